/** What operators and teams' owners set, under paths; one object of the store for each path below. */
import { z } from 'zod'
import type { AdapterName, AdapterVersion, DataCentreId, EndpointId, PriorityClass, Revision, SettingsPath, TeamId } from '../ids/ids.js'

const name = z.string().regex(/^[a-z0-9][a-z0-9._-]{0,63}$/i, "use letters, digits, '.', '_' or '-'")
const positive = z.number().positive()

/** `/teams/<team>`: one team's subtree. */
export const teamSettingsSchema = z.strictObject({
  adapters: z.record(name, z.strictObject({
    baseModel: name,
    versions: z.array(name).min(1),
    current: name
  })).default({}),
  /** Callers' keys, each only as the SHA-256 of the key in hex. */
  keys: z.array(z.strictObject({
    label: name,
    sha256: z.string().regex(/^[0-9a-f]{64}$/, 'write the SHA-256 of the key as 64 hex digits'),
    role: z.enum(['caller', 'owner']).default('caller')
  })).default([]),
  limits: z.strictObject({
    requestsPerSecond: positive.default(1000),
    tokensPerSecond: positive.default(200_000),
    inFlight: z.int().positive().default(1000),
    queued: z.int().positive().default(1000)
  }).prefault({}),
  /** Priority of each class that the team's requests may use; higher goes first. */
  priorityClasses: z.record(name, z.int().min(0).max(9)).default({ normal: 5 })
})

/** `/shares`: weights between teams; a team not named has weight 1. Operators alone write it. */
export const sharesSettingsSchema = z.strictObject({
  weights: z.record(name, positive).default({}),
  /** The highest priority that each team may grant itself; a team not named may use up to 5. */
  highestPriority: z.record(name, z.int().min(0).max(9)).default({})
})

/** `/endpoints`: the engines and plain services. */
export const endpointsSettingsSchema = z.strictObject({
  engines: z.record(name, z.strictObject({
    url: z.url(),
    dataCentre: name,
    baseModel: name,
    slots: z.int().positive(),
    batchCapacity: z.int().positive().default(16),
    /** Whether the engine refuses an order with an old fencing token. */
    fencing: z.enum(['refuses', 'ignores'])
  })).default({}),
  services: z.record(name, z.strictObject({
    endpoints: z.record(name, z.strictObject({ url: z.url(), dataCentre: name })),
    /** Methods that may be repeated after a failure. */
    idempotentMethods: z.array(z.enum(['GET', 'HEAD', 'PUT', 'DELETE', 'OPTIONS', 'POST'])).default(['GET', 'HEAD', 'OPTIONS'])
  })).default({})
})

/** `/policy`: how decisions are weighed. */
export const policySettingsSchema = z.strictObject({
  /** 0 puts load stalls first, 1 puts batch efficiency first. */
  batchEfficiencyWeight: z.number().min(0).max(1).default(0.5),
  loadsPerSecond: positive.default(4),
  longestRequestSeconds: positive.default(600)
})

/** One team's settings. */
export type TeamSettings = z.infer<typeof teamSettingsSchema>
/** Weights between teams. */
export type SharesSettings = z.infer<typeof sharesSettingsSchema>
/** Engines and plain services. */
export type EndpointsSettings = z.infer<typeof endpointsSettingsSchema>
/** Weighting of the decisions. */
export type PolicySettings = z.infer<typeof policySettingsSchema>

/** One accepted state of one path, as the store and the peers carry it. */
export interface SettingsDocument {
  readonly path: SettingsPath
  /** Grows by one with each accepted change, also over a deletion. */
  readonly revision: Revision
  /** JSON with comments as the operator wrote it; undefined when the path was deleted. */
  readonly text: string | undefined
  /** Identifies the write, so that it can be found again when its answer was lost. */
  readonly writeId: string
  readonly acceptedAt: number
  readonly author: string
}

/** What is in force on this instance: parsed and checked. */
export interface OperatorSettings {
  readonly teams: ReadonlyMap<TeamId, TeamSettings>
  readonly shares: SharesSettings
  readonly endpoints: EndpointsSettings
  readonly policy: PolicySettings
}

/** An engine with its ids branded. */
export interface EngineSettings {
  readonly endpoint: EndpointId
  readonly url: string
  readonly dataCentre: DataCentreId
  readonly baseModel: string
  readonly slots: number
  readonly batchCapacity: number
  readonly fencing: 'refuses' | 'ignores'
}

/** @returns the engines of the settings, ids branded */
export function enginesOf (settings: OperatorSettings): EngineSettings[] {
  return Object.entries(settings.endpoints.engines).map(([endpoint, engine]) => ({
    ...engine,
    endpoint: endpoint as EndpointId,
    dataCentre: engine.dataCentre as DataCentreId
  }))
}

/** @returns an adapter's settings, or undefined when the team has no such adapter */
export function adapterOf (team: TeamSettings, adapter: AdapterName): { baseModel: string, versions: AdapterVersion[], current: AdapterVersion } | undefined {
  if (!Object.hasOwn(team.adapters, adapter)) return undefined
  return team.adapters[adapter] as { baseModel: string, versions: AdapterVersion[], current: AdapterVersion }
}

/** @returns the priority of a class in a team within what the operators grant, or undefined when the team has no such class */
export function priorityOf (settings: OperatorSettings, team: TeamId, priorityClass: PriorityClass): number | undefined {
  const classes = settings.teams.get(team)?.priorityClasses
  if (classes === undefined || !Object.hasOwn(classes, priorityClass)) return undefined
  return Math.min(classes[priorityClass] ?? 0, grantedPriority(settings.shares, team))
}

/** @returns the highest priority that the operators grant a team */
export function grantedPriority (shares: SharesSettings | undefined, team: TeamId): number {
  if (shares === undefined || !Object.hasOwn(shares.highestPriority, team)) return DEFAULT_HIGHEST_PRIORITY
  return shares.highestPriority[team] ?? DEFAULT_HIGHEST_PRIORITY
}

const DEFAULT_HIGHEST_PRIORITY = 5

/** Where settings objects stand in the store: this, then the path. */
export const SETTINGS_PREFIX = '/settings'

/** A document as the store holds it. */
export const settingsDocumentSchema = z.object({
  path: z.string(),
  revision: z.int().positive(),
  text: z.string().optional(),
  writeId: z.string(),
  acceptedAt: z.number(),
  author: z.string()
})

/** What orders the states of one path. */
export type SettingsOrder = Pick<SettingsDocument, 'revision' | 'acceptedAt' | 'writeId'>

/**
 * Whether one state of a path is newer than another. The revision decides. After a restore of the store two writers
 * can give the same revision to different texts; then the later acceptance wins, the same way on every instance.
 */
export function isNewer (document: SettingsOrder, than: SettingsOrder | undefined): boolean {
  if (than === undefined) return true
  if (document.revision !== than.revision) return document.revision > than.revision
  if (document.acceptedAt !== than.acceptedAt) return document.acceptedAt > than.acceptedAt
  return document.writeId > than.writeId
}
