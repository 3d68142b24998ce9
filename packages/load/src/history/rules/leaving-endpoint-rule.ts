/** The promise that an endpoint receives no new work later than a few seconds after it was listed as leaving. */
import type { Recorded } from '../events.js'
import { HistoryRule } from '../history-rule.js'
import type { Violation } from '../history-rule.js'
import type { History } from '../history.js'

/** Kinds of faults during which no instance can learn that an endpoint is leaving, neither from the platform nor from a peer. */
const LIST_OUTAGES: ReadonlySet<string> = new Set(['store-out'])

interface Interval {
  readonly from: number
  readonly to: number
}

/** Detects runs that start on an endpoint after the grace period that follows its listing as leaving. */
export class LeavingEndpointRule extends HistoryRule {
  override readonly promise = 'leaving-endpoint'
  private readonly graceMilliseconds: number

  /** @param graceMilliseconds - the grace period; time in which no instance could read the instance list does not count */
  constructor (graceMilliseconds: number) {
    super()
    this.graceMilliseconds = graceMilliseconds
  }

  override check (history: History): Violation[] {
    const outages = outagesOf(history)
    const leaving = new Map<string, Recorded>()
    const violations: Violation[] = []
    for (const event of history.events) {
      if (event.event === 'endpoint-leaving' && !leaving.has(event.endpoint)) leaving.set(event.endpoint, event)
      if (event.event === 'endpoint-live') leaving.delete(event.endpoint)
      if (event.event !== 'run-started') continue
      const since = leaving.get(event.endpoint)
      if (since === undefined || readableTime(since.at, event.at, outages) <= this.graceMilliseconds) continue
      violations.push(this.violation(`${event.endpoint} was given run ${event.run} ${event.at - since.at} ms after it was leaving`, [since, event]))
    }
    return violations
  }
}

function outagesOf (history: History): Interval[] {
  const ends = new Map(history.of('fault-ended').map((ended) => [ended.fault, ended.at]))
  return history.of('fault-started')
    .filter(({ kind }) => LIST_OUTAGES.has(kind))
    .map(({ fault, at }) => ({ from: at, to: ends.get(fault) ?? Infinity }))
}

/** @returns the milliseconds between two times in which the instance list could be read; overlapping outages count once */
function readableTime (from: number, to: number, outages: readonly Interval[]): number {
  let readable = to - from
  let counted = from
  for (const outage of outages.toSorted((left, right) => left.from - right.from)) {
    const start = Math.max(counted, outage.from)
    const end = Math.min(to, outage.to)
    if (end <= start) continue
    readable -= end - start
    counted = end
  }
  return readable
}
