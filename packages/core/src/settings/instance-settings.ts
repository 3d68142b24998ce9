/** The start-up settings of one instance: its addresses, its data centre, the platform, and its limits. */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { z } from 'zod'
import { LimpetwinchError } from '../errors/limpetwinch-error.js'
import { nearestKey } from './nearest-key.js'
import { checkBySchema } from './schema-problems.js'
import { parseSettingsText } from './settings-text.js'
import type { ParsedText, SettingsProblem } from './settings-text.js'

const port = z.int().min(0).max(65_535)
const milliseconds = z.int().positive()
const seconds = z.number().positive()

/** Schema of the settings file with which an instance is started. */
export const instanceSettingsSchema = z.strictObject({
  /** The addresses on which this instance listens; port 0 selects any free port. */
  address: z.strictObject({ host: z.string().min(1), callerPort: port, adminPort: port, peerPort: port }),
  dataCentre: z.string().regex(/^[a-z0-9][a-z0-9._-]{0,63}$/i, "use letters, digits, '.', '_' or '-'"),
  /** Base URL of the platform. */
  platform: z.url({ protocol: /^https?$/ }),
  /** SHA-256 of the administrators' key, as 64 lower-case hex digits. */
  administratorKeySha256: z.string().regex(/^[0-9a-f]{64}$/, 'write the SHA-256 of the key as 64 hex digits'),
  logs: z.strictObject({
    format: z.enum(['text', 'json']).default('text'),
    level: z.enum(['error', 'warn', 'info', 'debug']).default('info')
  }).prefault({}),
  /** Destination of metrics over DogStatsD; without it no metrics are sent. */
  metrics: z.strictObject({ host: z.string().min(1), port: z.int().min(1).max(65_535).default(8125) }).optional(),
  /** Limits of the HTTP servers, and of the time that a stop may take. */
  limits: z.strictObject({
    bodyBytes: z.int().positive().default(1_048_576),
    headerBytes: z.int().positive().default(16_384),
    connections: z.int().positive().default(10_000),
    headerSeconds: seconds.default(10),
    bodySeconds: seconds.default(30),
    /** Maximum time in seconds that a stopping instance waits for its requests in progress; the remaining ones are cut off. */
    stopSeconds: seconds.default(600)
  }).prefault({}),
  timing: z.strictObject({
    /**
     * Interval between the heartbeats to each peer. With 36 peers and 800 ms, heartbeats cost about 2.8 KB a second. With the defaults,
     * a peer is suspected after three missed heartbeats.
     */
    heartbeatMilliseconds: milliseconds.default(800),
    /** Time without a heartbeat after which a peer is suspected. */
    suspectMilliseconds: milliseconds.default(2_400),
    /** Interval between reads of the instance list by each instance. Each read counts against the platform's rate limit. */
    instanceListMilliseconds: milliseconds.default(3_000),
    /** Maximum time that the platform may hold one watch call for settings while nothing changes. */
    settingsWatchMilliseconds: milliseconds.default(2_000)
  }).prefault({})
})

/** The settings of one instance, with defaults filled in. */
export type InstanceSettings = z.infer<typeof instanceSettingsSchema>

/** A value that a command line flag or an environment variable may override. */
export interface InstanceSettingsOverride {
  /** Keys from the root, such as `['address', 'callerPort']`. */
  readonly place: readonly string[]
  /** Name of the flag, such as `address-caller-port`. */
  readonly flag: string
  /** Name of the environment variable, such as `LIMPETWINCH_ADDRESS_CALLER_PORT`. */
  readonly variable: string
  readonly numeric: boolean
}

const VARIABLE_PREFIX = 'LIMPETWINCH_'
/** Variables with the same prefix that override no setting: the command line client reads them, or they name the settings file. */
const OTHER_VARIABLES: ReadonlySet<string> = new Set(['LIMPETWINCH_SERVER', 'LIMPETWINCH_KEY', 'LIMPETWINCH_SETTINGS'])

/** All values that a command line flag or an environment variable may override. */
export const INSTANCE_SETTINGS_OVERRIDES: readonly InstanceSettingsOverride[] = overridesOf(instanceSettingsSchema, [])

/** One value to override, as read from a command line flag or an environment variable. */
interface Override {
  readonly place: readonly string[]
  readonly value: string | number
  /** The flag or variable that sets the value, for error messages. */
  readonly source: string
}

/**
 * Reads the settings of an instance.
 *
 * @param text - text of the settings file: JSON with comments
 * @param environment - environment variables; those named `LIMPETWINCH_…` override the file
 * @param flags - command line flags by name as in {@link InstanceSettingsOverride}; they override the file and the environment
 * @returns the settings, or the error `invalid-instance-settings` with all problems
 */
export function loadInstanceSettings (text: string, environment: Readonly<Record<string, string | undefined>>, flags: Readonly<Record<string, string | undefined>>): Result<InstanceSettings, LimpetwinchError> {
  const result = parseSettingsText(text)
  if ('problems' in result) return refused(result.problems.map(withFilePosition))
  const fromVariables = variableOverrides(environment)
  const fromFlags = flagOverrides(flags)
  const unknown = [...fromVariables.unknown, ...fromFlags.unknown]
  const overrides = [...fromVariables.overrides, ...fromFlags.overrides]
  const merged: ParsedText = { root: result.parsed.root, value: applyOverrides(result.parsed.value, overrides) }
  const checked = checkBySchema(instanceSettingsSchema, text, merged)
  if ('problems' in checked) return refused([...unknown, ...checked.problems.map((problem) => describeProblem(problem, overrides))])
  const problems = [...unknown, ...crossProblems(checked.value)]
  return problems.length === 0 ? ok(checked.value) : refused(problems)
}

function crossProblems (settings: InstanceSettings): string[] {
  const problems: string[] = []
  const { callerPort, adminPort, peerPort } = settings.address
  const fixed = [callerPort, adminPort, peerPort].filter((each) => each !== 0)
  if (new Set(fixed).size < fixed.length) problems.push('address: two ports are equal; write a different number for each of callerPort, adminPort and peerPort')
  const { heartbeatMilliseconds, suspectMilliseconds } = settings.timing
  if (suspectMilliseconds < 2 * heartbeatMilliseconds) {
    problems.push(`timing.suspectMilliseconds: one late heartbeat would already make a peer suspect; write at least ${2 * heartbeatMilliseconds}`)
  }
  return problems
}

function variableOverrides (environment: Readonly<Record<string, string | undefined>>): { overrides: Override[], unknown: string[] } {
  const overrides: Override[] = []
  const unknown: string[] = []
  for (const [variable, value] of Object.entries(environment)) {
    if (!variable.startsWith(VARIABLE_PREFIX) || OTHER_VARIABLES.has(variable) || value === undefined) continue
    const known = INSTANCE_SETTINGS_OVERRIDES.find((each) => each.variable === variable)
    if (known === undefined) unknown.push(unknownName(`variable ${variable}`, variable, INSTANCE_SETTINGS_OVERRIDES.map((each) => each.variable)))
    else overrides.push({ place: known.place, value: convertValue(known, value), source: `variable ${variable}` })
  }
  return { overrides, unknown }
}

function flagOverrides (flags: Readonly<Record<string, string | undefined>>): { overrides: Override[], unknown: string[] } {
  const overrides: Override[] = []
  const unknown: string[] = []
  for (const [flag, value] of Object.entries(flags)) {
    if (value === undefined) continue
    const known = INSTANCE_SETTINGS_OVERRIDES.find((each) => each.flag === flag)
    if (known === undefined) unknown.push(unknownName(`flag --${flag}`, flag, INSTANCE_SETTINGS_OVERRIDES.map((each) => each.flag)))
    else overrides.push({ place: known.place, value: convertValue(known, value), source: `flag --${flag}` })
  }
  return { overrides, unknown }
}

function unknownName (source: string, name: string, known: readonly string[]): string {
  const nearest = nearestKey(name, known)
  return `${source}: it is not known; ${nearest === undefined ? 'remove it' : `write '${nearest}'`}`
}

function convertValue (override: InstanceSettingsOverride, text: string): string | number {
  const number = Number(text)
  return override.numeric && text.trim() !== '' && Number.isFinite(number) ? number : text
}

function applyOverrides (value: unknown, overrides: readonly Override[]): unknown {
  if (overrides.length === 0 || typeof value !== 'object' || value === null) return value
  const merged = structuredClone(value) as Record<string, unknown>
  for (const { place, value: written } of overrides) {
    let inside = merged
    for (const part of place.slice(0, -1)) {
      if (typeof inside[part] !== 'object' || inside[part] === null) inside[part] = {}
      inside = inside[part] as Record<string, unknown>
    }
    inside[place.at(-1) ?? ''] = written
  }
  return merged
}

function describeProblem (problem: SettingsProblem, overrides: readonly Override[]): string {
  const override = overrides.findLast((each) => each.place.join('.') === problem.key)
  return override === undefined ? withFilePosition(problem) : `${override.source}: ${problem.message}`
}

function withFilePosition (problem: SettingsProblem): string {
  const place = `line ${problem.line}, column ${problem.column}: ${problem.message}`
  return problem.key === '' ? place : `${problem.key}, ${place}`
}

function refused (problems: readonly string[]): Result<never, LimpetwinchError> {
  return err(new LimpetwinchError('invalid-instance-settings', { problems: problems.join('; '), list: problems }))
}

function overridesOf (schema: z.ZodObject, place: readonly string[]): InstanceSettingsOverride[] {
  return Object.entries(schema.shape as Record<string, z.ZodType>).flatMap(([key, value]) => {
    let inner = value
    while (inner instanceof z.ZodDefault || inner instanceof z.ZodPrefault || inner instanceof z.ZodOptional) inner = inner.def.innerType as z.ZodType
    const inside = [...place, key]
    if (inner instanceof z.ZodObject) return overridesOf(inner, inside)
    const flag = inside.map((part) => part.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`)).join('-')
    const variable = VARIABLE_PREFIX + flag.replaceAll('-', '_').toUpperCase()
    return [{ place: inside, flag, variable, numeric: inner instanceof z.ZodNumber }]
  })
}
