/** Tables of settings. */
import type { SettingsSummary } from '../server/settings-command.js'
import { table } from './table.js'

/** @returns one line for each accepted state */
export function summaryTable (summaries: readonly SettingsSummary[]): string {
  return table(['PATH', 'REVISION', 'ACCEPTED', 'BY'], summaries.map(({ path, revision, acceptedAt, author, deleted }) =>
    [path, `${revision}${deleted ? ' (deleted)' : ''}`, new Date(acceptedAt).toISOString(), author]))
}
