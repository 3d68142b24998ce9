/** Renders summaries of settings as a table. */
import type { SettingsSummary } from '../server/settings-command.js'
import { table } from './table.js'

/** @returns a table with one line for each accepted revision */
export function summaryTable (summaries: readonly SettingsSummary[]): string {
  return table(['PATH', 'REVISION', 'ACCEPTED', 'BY'], summaries.map(({ path, revision, acceptedAt, author, deleted }) =>
    [path, `${revision}${deleted ? ' (deleted)' : ''}`, new Date(acceptedAt).toISOString(), author]))
}
