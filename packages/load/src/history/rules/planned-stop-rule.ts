/** A planned stop cuts off no request in progress. */
import type { HistoryEventOf, Recorded } from '../events.js'
import { HistoryRule } from '../history-rule.js'
import type { Violation } from '../history-rule.js'
import type { RequestRecord, History } from '../history.js'

type StopAsked = Recorded<HistoryEventOf<'instance-stop-asked'>>

/** What callers see when an instance ends under them. */
const CUT_OFF_CODES: ReadonlySet<string> = new Set(['connection-lost', 'stopping', 'request_ended_early'])

/** Looks for requests that were in progress when their instance was asked to stop, and were cut off by that. */
export class PlannedStopRule extends HistoryRule {
  override readonly promise = 'planned-stop'

  override check (history: History): Violation[] {
    const killed = new Map(history.of('instance-killed').map((event) => [event.instance, event]))
    return history.of('instance-stop-asked').flatMap((stop) => {
      const kill = killed.get(stop.instance)
      return history.requests
        .filter((view) => view.sent.instance === stop.instance && wasCutOff(view, stop, kill?.at ?? Infinity))
        .map((view) => this.violation(
          `request ${view.sent.request} was in progress at ${stop.instance} and was cut off by its planned stop`,
          [view.sent, ...view.runs.map((run) => run.started), stop, ...view.ends]
        ))
    })
  }
}

/** A request that ran nowhere and was told so was refused, not cut off; one that was killed was not stopped as planned. */
function wasCutOff (view: RequestRecord, stop: StopAsked, killedAt: number): boolean {
  if (view.sent.line > stop.line && view.sent.at >= stop.at) return false
  const [ended] = view.ends
  if (ended === undefined) return killedAt === Infinity
  if (ended.at < stop.at || ended.at >= killedAt) return false
  if (ended.outcome === 'answered' || !CUT_OFF_CODES.has(ended.code ?? 'connection-lost')) return false
  return ended.outcome === 'unknown' || view.runs.length > 0
}
