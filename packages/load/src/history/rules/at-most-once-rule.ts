/** The promise that a non-idempotent request runs at most once, even when its caller sends it again under the same key. */
import { HistoryRule } from '../history-rule.js'
import type { Violation } from '../history-rule.js'
import { groupBy, runKey } from '../history.js'
import type { RequestRecord, History, Run } from '../history.js'

/** Counts the runs of each non-idempotent request, or of all requests with the same idempotency key together. */
export class AtMostOnceRule extends HistoryRule {
  override readonly promise = 'at-most-once'

  override check (history: History): Violation[] {
    const records = history.requests.filter((record) => !record.sent.idempotent)
    return [...groupBy(records, workOf).entries()].flatMap(([work, same]) => this.checkWork(work, same))
  }

  private checkWork (work: string, records: readonly RequestRecord[]): Violation[] {
    const runs = new Map<string, Run>()
    for (const run of records.flatMap((record) => record.runs)) runs.set(runKey(run.started), run)
    if (runs.size <= 1) return []
    const started = [...runs.values()].map((run) => run.started)
    return [this.violation(`${work} ran ${runs.size} times`, [...records.map((record) => record.sent), ...started])]
  }
}

function workOf ({ sent }: RequestRecord): string {
  return sent.key === undefined ? `request ${sent.request}` : `key ${sent.key} of team ${sent.team}`
}
