/** The promise that a planned stop cuts off no request in progress. */
import type { HistoryEventOf, Recorded } from '../events.js'
import { HistoryRule } from '../history-rule.js'
import type { Violation } from '../history-rule.js'
import type { RequestRecord, History } from '../history.js'

type StopAsked = Recorded<HistoryEventOf<'instance-stop-asked'>>

/** Error codes that callers receive when an instance ends while their requests are in progress. */
const CUT_OFF_CODES: ReadonlySet<string> = new Set(['connection-lost', 'stopping', 'request_ended_early'])

/** Detects requests that were in progress when their instance was asked to stop, and that the stop cut off. */
export class PlannedStopRule extends HistoryRule {
  override readonly promise = 'planned-stop'

  override check (history: History): Violation[] {
    const killed = new Map(history.of('instance-killed').map((event) => [event.instance, event]))
    return history.of('instance-stop-asked').flatMap((stop) => {
      const kill = killed.get(stop.instance)
      return history.requests
        .filter((record) => record.sent.instance === stop.instance && wasCutOff(record, stop, kill?.at ?? Infinity))
        .map((record) => this.violation(
          `request ${record.sent.request} was in progress at ${stop.instance} and was cut off by its planned stop`,
          [record.sent, ...record.runs.map((run) => run.started), stop, ...record.ends]
        ))
    })
  }
}

/**
 * Decides whether a planned stop cut off a request. A request that ran nowhere and ended with outcome `not_run` was
 * refused, not cut off. A request that ended after the kill of its instance was not cut off by the planned stop.
 */
function wasCutOff (record: RequestRecord, stop: StopAsked, killedAt: number): boolean {
  if (record.sent.line > stop.line && record.sent.at >= stop.at) return false
  const [ended] = record.ends
  if (ended === undefined) return killedAt === Infinity
  if (ended.at < stop.at || ended.at >= killedAt) return false
  if (ended.outcome === 'answered' || !CUT_OFF_CODES.has(ended.code ?? 'connection-lost')) return false
  return ended.outcome === 'unknown' || record.runs.length > 0
}
