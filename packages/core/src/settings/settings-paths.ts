/** Validates and builds the paths of settings documents. */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { LimpetwinchError } from '../errors/limpetwinch-error.js'
import type { SettingsPath, TeamId } from '../ids/ids.js'

/** The paths of the documents that operators write. Each team has one more document under its own path. */
export const OPERATOR_SETTINGS_PATHS = ['/shares', '/endpoints', '/policy'] as const

const TEAM_PATH = /^\/teams\/([a-z0-9][a-z0-9._-]{0,63})$/i

/**
 * Validates a path from untrusted input. Only the exact form is accepted. With an encoded slash, `..` or a double slash, the
 * check of the caller's key could refer to another document than the path in the store does.
 *
 * @param text - the path as written
 * @returns the path, or the error `unknown-settings-path`
 */
export function parseSettingsPath (text: string): Result<SettingsPath, LimpetwinchError> {
  if ((OPERATOR_SETTINGS_PATHS as readonly string[]).includes(text)) return ok(text as SettingsPath)
  if (TEAM_PATH.test(text)) return ok(text as SettingsPath)
  return err(new LimpetwinchError('unknown-settings-path', { path: text.slice(0, 120) }))
}

/** @returns the team whose settings are under a path, or undefined for the paths of the operators */
export function teamOfPath (path: SettingsPath): TeamId | undefined {
  return TEAM_PATH.exec(path)?.[1] as TeamId | undefined
}

/** @returns the path of a team's settings */
export function teamPath (team: TeamId): SettingsPath {
  return `/teams/${team}` as SettingsPath
}
