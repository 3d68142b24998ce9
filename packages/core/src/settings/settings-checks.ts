/** Checks whether a text is acceptable as the settings document of a path: its syntax, its schema and the checks across values. */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { z } from 'zod'
import { LimpetwinchError } from '../errors/limpetwinch-error.js'
import type { SettingsPath } from '../ids/ids.js'
import { crossProblems } from './cross-checks.js'
import type { PlacedProblem } from './cross-checks.js'
import { endpointsSettingsSchema, policySettingsSchema, sharesSettingsSchema, teamSettingsSchema } from './operator-settings.js'
import type { OperatorSettings } from './operator-settings.js'
import { checkBySchema } from './schema-problems.js'
import { MAXIMUM_PROBLEMS, offsetOf, parseAcceptedText, parseSettingsText, problemAt } from './settings-text.js'
import type { ParsedText, SettingsProblem } from './settings-text.js'
import { teamOfPath } from './settings-paths.js'

const SCHEMAS: Readonly<Record<string, z.ZodType>> = {
  '/shares': sharesSettingsSchema,
  '/endpoints': endpointsSettingsSchema,
  '/policy': policySettingsSchema
}

/** @returns the schema of the document under a path */
export function schemaOf (path: SettingsPath): z.ZodType {
  return SCHEMAS[path] ?? teamSettingsSchema
}

/**
 * Checks a text before it is stored under a path. All problems are reported together, up to a hundred from the schema and a
 * hundred from the checks across values.
 *
 * @param path - path of the document
 * @param text - JSON with comments
 * @param inForce - the settings in force, for checks across paths
 * @returns nothing, or the error `invalid-settings` with the problems in `details.list`
 */
export function checkSettings (path: SettingsPath, text: string, inForce: OperatorSettings | undefined): Result<void, LimpetwinchError> {
  const problems = problemsOf(path, text, inForce)
  return problems.length === 0 ? ok(undefined) : err(invalidSettingsError(path, problems))
}

/** @returns the error that lists all problems with path, line and column */
export function invalidSettingsError (path: string, list: readonly SettingsProblem[]): LimpetwinchError {
  const lines = list.map(({ key, line, column, message }) => `${path}${key === '' ? '' : ` ${key}`}, line ${line}, column ${column}: ${message}`)
  return new LimpetwinchError('invalid-settings', { path, problems: lines.join('; '), list })
}

/**
 * Parses the text of a settings document that was accepted earlier, possibly by another release.
 *
 * @returns the value with defaults filled in, or undefined if this release cannot read the text
 */
export function parseAcceptedSettings (path: SettingsPath, text: string): unknown {
  const result = schemaOf(path).safeParse(parseAcceptedText(text))
  return result.success ? result.data : undefined
}

function problemsOf (path: SettingsPath, text: string, inForce: OperatorSettings | undefined): readonly SettingsProblem[] {
  const result = parseSettingsText(text)
  if ('problems' in result) return result.problems
  const checked = checkBySchema(schemaOf(path), text, result.parsed)
  const problems = 'problems' in checked ? checked.problems : []
  const across = crossProblems(path, teamOfPath(path), result.parsed.value, inForce)
  const all = [...problems, ...across.slice(0, MAXIMUM_PROBLEMS).map((problem) => withPosition(text, result.parsed, problem))]
  return all.sort((left, right) => left.line - right.line || left.column - right.column)
}

function withPosition (text: string, parsed: ParsedText, problem: PlacedProblem): SettingsProblem {
  return problemAt(text, offsetOf(parsed.root, problem.place), problem.place.join('.'), problem.message)
}
