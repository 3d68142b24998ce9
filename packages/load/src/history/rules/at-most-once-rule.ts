/** A request marked as non-idempotent runs at most once, also when its caller sends it again under the same key. */
import { HistoryRule } from '../history-rule.js'
import type { Violation } from '../history-rule.js'
import { groupBy, runKey } from '../history.js'
import type { RequestRecord, History, Run } from '../history.js'

/** Counts the runs of each non-idempotent request and of each idempotency key. */
export class AtMostOnceRule extends HistoryRule {
  override readonly promise = 'at-most-once'

  override check (history: History): Violation[] {
    const views = history.requests.filter((view) => !view.sent.idempotent)
    return [...groupBy(views, workOf).entries()].flatMap(([work, same]) => this.checkWork(work, same))
  }

  private checkWork (work: string, views: readonly RequestRecord[]): Violation[] {
    const runs = new Map<string, Run>()
    for (const run of views.flatMap((view) => view.runs)) runs.set(runKey(run.started), run)
    if (runs.size <= 1) return []
    const started = [...runs.values()].map((run) => run.started)
    return [this.violation(`${work} ran ${runs.size} times`, [...views.map((view) => view.sent), ...started])]
  }
}

function workOf ({ sent }: RequestRecord): string {
  return sent.key === undefined ? `request ${sent.request}` : `key ${sent.key} of team ${sent.team}`
}
