/** The promise that an adapter is never evicted from an engine while a run on that engine uses the adapter. */
import type { HistoryEventOf, Recorded } from '../events.js'
import { HistoryRule } from '../history-rule.js'
import type { Violation } from '../history-rule.js'
import { groupBy, runKey } from '../history.js'
import type { History } from '../history.js'

type RunStarted = Recorded<HistoryEventOf<'run-started'>>

/** Tracks the runs on each engine and detects unload orders that were carried out for an adapter with a run in progress. */
export class NoEvictionInUseRule extends HistoryRule {
  override readonly promise = 'no-eviction-in-use'

  override check (history: History): Violation[] {
    const events = history.events.filter((event) => 'endpoint' in event)
    return [...groupBy(events, (event) => event.endpoint).values()].flatMap((seen) => this.checkEndpoint(seen))
  }

  private checkEndpoint (events: readonly Recorded[]): Violation[] {
    const running = new Map<string, RunStarted>()
    const violations: Violation[] = []
    for (const event of events) {
      if (event.event === 'run-started') running.set(runKey(event), event)
      if (event.event === 'run-ended') running.delete(runKey(event))
      if (event.event === 'endpoint-restarted') running.clear()
      if (event.event !== 'order' || event.order !== 'unload' || event.result !== 'done') continue
      for (const run of running.values()) {
        if (run.adapter !== event.name) continue
        violations.push(this.violation(`${event.endpoint} unloaded ${event.name} while run ${run.run} used it`, [run, event]))
      }
    }
    return violations
  }
}
