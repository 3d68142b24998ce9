/** The promise that every request is served by exactly the adapter and version that the request names. */
import { splitLoadedName } from '@limpetwinch/core'
import { HistoryRule } from '../history-rule.js'
import type { Violation } from '../history-rule.js'
import type { RequestRecord, History } from '../history.js'

/** Compares the adapter that ran, and the adapter that the response names, with the adapter that the request names. */
export class RightAdapterRule extends HistoryRule {
  override readonly promise = 'right-adapter'

  override check (history: History): Violation[] {
    return history.requests
      .filter((record) => record.sent.adapter !== undefined)
      .flatMap((record) => [...this.wrongRuns(record), ...this.wrongAnswers(record)])
  }

  private wrongRuns (record: RequestRecord): Violation[] {
    return record.runs
      .filter((run) => !isAddressed(record, adapterOfRun(run.started.adapter)))
      .map((run) => this.violation(
        `request ${record.sent.request} asked for ${addressOf(record)} and ran with ${run.started.adapter ?? 'the base model'}`,
        [record.sent, run.started]
      ))
  }

  private wrongAnswers (record: RequestRecord): Violation[] {
    return record.ends
      .filter((ended) => ended.outcome === 'answered' && ended.adapter !== undefined)
      .filter((ended) => !isAddressed(record, ended.version === undefined ? ended.adapter : `${ended.adapter}@${ended.version}`))
      .map((ended) => this.violation(
        `request ${record.sent.request} asked for ${addressOf(record)} and was told ${ended.adapter}@${ended.version ?? ''}`,
        [record.sent, ended]
      ))
  }
}

/** @returns `team/adapter@version` of a run, without the fencing token that the loaded name may contain */
export function adapterOfRun (loadedName: string | undefined): string | undefined {
  return loadedName === undefined ? undefined : splitLoadedName(loadedName).adapter
}

/** A request without a version is served by the current version, so any version of its adapter is accepted here. */
function isAddressed (record: RequestRecord, adapter: string | undefined): boolean {
  const asked = addressOf(record)
  if (adapter === undefined) return false
  return record.sent.version === undefined ? adapter === asked || adapter.startsWith(`${asked}@`) : adapter === asked
}

function addressOf ({ sent }: RequestRecord): string {
  const adapter = `${sent.team}/${sent.adapter}`
  return sent.version === undefined ? adapter : `${adapter}@${sent.version}`
}
