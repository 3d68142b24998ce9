/** An endpoint that is leaving receives no new work after a few seconds. */
import type { Recorded } from '../events.js'
import { HistoryRule } from '../history-rule.js'
import type { Violation } from '../history-rule.js'
import type { History } from '../history.js'

/** Looks for runs that start on an endpoint later than the grace after it was listed as leaving. */
export class LeavingEndpointRule extends HistoryRule {
  override readonly promise = 'leaving-endpoint'
  private readonly graceMilliseconds: number

  /** @param graceMilliseconds - the few seconds */
  constructor (graceMilliseconds: number) {
    super()
    this.graceMilliseconds = graceMilliseconds
  }

  override check (history: History): Violation[] {
    const leaving = new Map<string, Recorded>()
    const violations: Violation[] = []
    for (const event of history.events) {
      if (event.event === 'endpoint-leaving' && !leaving.has(event.endpoint)) leaving.set(event.endpoint, event)
      if (event.event === 'endpoint-live') leaving.delete(event.endpoint)
      if (event.event !== 'run-started') continue
      const since = leaving.get(event.endpoint)
      if (since === undefined || event.at - since.at <= this.graceMilliseconds) continue
      violations.push(this.violation(`${event.endpoint} was given run ${event.run} ${event.at - since.at} ms after it was leaving`, [since, event]))
    }
    return violations
  }
}
