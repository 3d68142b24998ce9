/** Every request is served by exactly the adapter and version it was addressed to. */
import { splitLoadedName } from '@limpetwinch/core'
import { HistoryRule } from '../history-rule.js'
import type { Violation } from '../history-rule.js'
import type { RequestRecord, History } from '../history.js'

/** Compares what ran, and what the answer says, with what was asked. */
export class RightAdapterRule extends HistoryRule {
  override readonly promise = 'right-adapter'

  override check (history: History): Violation[] {
    return history.requests
      .filter((view) => view.sent.adapter !== undefined)
      .flatMap((view) => [...this.wrongRuns(view), ...this.wrongAnswers(view)])
  }

  private wrongRuns (view: RequestRecord): Violation[] {
    return view.runs
      .filter((run) => !isAddressed(view, adapterOfRun(run.started.adapter)))
      .map((run) => this.violation(
        `request ${view.sent.request} asked for ${addressOf(view)} and ran with ${run.started.adapter ?? 'the base model'}`,
        [view.sent, run.started]
      ))
  }

  private wrongAnswers (view: RequestRecord): Violation[] {
    return view.ends
      .filter((ended) => ended.outcome === 'answered' && ended.adapter !== undefined)
      .filter((ended) => !isAddressed(view, ended.version === undefined ? ended.adapter : `${ended.adapter}@${ended.version}`))
      .map((ended) => this.violation(
        `request ${view.sent.request} asked for ${addressOf(view)} and was told ${ended.adapter}@${ended.version ?? ''}`,
        [view.sent, ended]
      ))
  }
}

/** @returns `team/adapter@version` of a run, whatever fencing token the engine's name for it carries */
export function adapterOfRun (loadedName: string | undefined): string | undefined {
  return loadedName === undefined ? undefined : splitLoadedName(loadedName).adapter
}

/** A request without a version means the current one, so any version of its adapter may answer it. */
function isAddressed (view: RequestRecord, adapter: string | undefined): boolean {
  const asked = addressOf(view)
  if (adapter === undefined) return false
  return view.sent.version === undefined ? adapter === asked || adapter.startsWith(`${asked}@`) : adapter === asked
}

function addressOf ({ sent }: RequestRecord): string {
  const adapter = `${sent.team}/${sent.adapter}`
  return sent.version === undefined ? adapter : `${adapter}@${sent.version}`
}
