/** The promise that a request did not run if its caller received outcome `not_run`. */
import { HistoryRule } from '../history-rule.js'
import type { Violation } from '../history-rule.js'
import { groupBy, runKey } from '../history.js'
import type { RequestRecord, History } from '../history.js'

/** Detects runs that only requests with outcome `not_run` can have caused, and `not_run` outcomes after delivered parts. */
export class NotRunRule extends HistoryRule {
  override readonly promise = 'not-run'

  override check (history: History): Violation[] {
    const candidates = history.requests.flatMap((record) => record.runs.map((run) => ({ record, run })))
    const byRun = groupBy(candidates, (candidate) => runKey(candidate.run.started))
    const ran = [...byRun.values()]
      .filter((causes) => causes.every((candidate) => notRunEnd(candidate.record) !== undefined))
      .map((causes) => this.violationOf(causes.map((candidate) => candidate.record), causes[0]!.run.started))
    return [...ran, ...this.deliveredParts(history)]
  }

  private violationOf (records: readonly RequestRecord[], started: Parameters<HistoryRule['violation']>[1][number]): Violation {
    const evidence = records.flatMap((record) => [record.sent, notRunEnd(record)!])
    const names = records.map((record) => record.sent.request).join(', ')
    return this.violation(`request ${names} was told not_run, but it ran`, [...evidence, started])
  }

  private deliveredParts (history: History): Violation[] {
    return history.requests
      .filter((record) => record.parts.length > 0 && notRunEnd(record) !== undefined)
      .map((record) => this.violation(
        `request ${record.sent.request} was told not_run after parts of its answer`,
        [record.sent, ...record.parts, notRunEnd(record)!]
      ))
  }
}

function notRunEnd (record: RequestRecord): RequestRecord['ends'][number] | undefined {
  return record.ends.find((ended) => ended.outcome === 'not_run')
}
