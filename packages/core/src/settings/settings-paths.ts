/** The paths that settings stand under. */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { LimpetwinchError } from '../errors/limpetwinch-error.js'
import type { SettingsPath, TeamId } from '../ids/ids.js'

/** The documents that stand alone; each team has one more. */
export const OPERATOR_SETTINGS_PATHS = ['/shares', '/endpoints', '/policy'] as const

const TEAM_PATH = /^\/teams\/([a-z0-9][a-z0-9._-]{0,63})$/i

/**
 * Checks a path that comes from outside. Anything but the exact form is refused: an encoded slash, `..` or a doubled
 * slash could otherwise name one subtree in the check of the key and another in the store.
 *
 * @param text - the path as written
 * @returns the path, or `unknown-settings-path`
 */
export function parseSettingsPath (text: string): Result<SettingsPath, LimpetwinchError> {
  if ((OPERATOR_SETTINGS_PATHS as readonly string[]).includes(text)) return ok(text as SettingsPath)
  if (TEAM_PATH.test(text)) return ok(text as SettingsPath)
  return err(new LimpetwinchError('unknown-settings-path', { path: text.slice(0, 120) }))
}

/** @returns the team whose subtree a path is, or undefined for the operators' own paths */
export function teamOfPath (path: SettingsPath): TeamId | undefined {
  return TEAM_PATH.exec(path)?.[1] as TeamId | undefined
}

/** @returns the path of a team's subtree */
export function teamPath (team: TeamId): SettingsPath {
  return `/teams/${team}` as SettingsPath
}
