/** When a caller is told its request was not run, it was not run. */
import { HistoryRule } from '../history-rule.js'
import type { Violation } from '../history-rule.js'
import { groupBy, runKey } from '../history.js'
import type { RequestRecord, History } from '../history.js'

/** Looks for a run that only callers who were told `not_run` can have caused. */
export class NotRunRule extends HistoryRule {
  override readonly promise = 'not-run'

  override check (history: History): Violation[] {
    const claims = history.requests.flatMap((view) => view.runs.map((run) => ({ view, run })))
    const byRun = groupBy(claims, (claim) => runKey(claim.run.started))
    const ran = [...byRun.values()]
      .filter((claimants) => claimants.every((claim) => toldNotRun(claim.view) !== undefined))
      .map((claimants) => this.broken(claimants.map((claim) => claim.view), claimants[0]!.run.started))
    return [...ran, ...this.deliveredParts(history)]
  }

  private broken (views: readonly RequestRecord[], started: Parameters<HistoryRule['violation']>[1][number]): Violation {
    const told = views.flatMap((view) => [view.sent, toldNotRun(view)!])
    const names = views.map((view) => view.sent.request).join(', ')
    return this.violation(`request ${names} was told not_run, but it ran`, [...told, started])
  }

  private deliveredParts (history: History): Violation[] {
    return history.requests
      .filter((view) => view.parts.length > 0 && toldNotRun(view) !== undefined)
      .map((view) => this.violation(`request ${view.sent.request} was told not_run after parts of its answer`, [view.sent, ...view.parts, toldNotRun(view)!]))
  }
}

function toldNotRun (view: RequestRecord): RequestRecord['ends'][number] | undefined {
  return view.ends.find((ended) => ended.outcome === 'not_run')
}
