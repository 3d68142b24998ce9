/** The settings that operators and the owners of teams write. The settings under one path are one document, stored as one object. */
import { z } from 'zod'
import type { AdapterName, AdapterVersion, DataCentreId, EndpointId, PriorityClass, Revision, SettingsPath, TeamId } from '../ids/ids.js'

const name = z.string().regex(/^[a-z0-9][a-z0-9._-]{0,63}$/i, "use letters, digits, '.', '_' or '-'")
const positive = z.number().positive()

/** `/teams/<team>`: the settings of one team. */
export const teamSettingsSchema = z.strictObject({
  adapters: z.record(name, z.strictObject({
    baseModel: name,
    versions: z.array(name).min(1),
    current: name
  })).default({}),
  /** Keys of callers, each stored only as the SHA-256 of the key in hex. */
  keys: z.array(z.strictObject({
    label: name,
    sha256: z.string().regex(/^[0-9a-f]{64}$/, 'write the SHA-256 of the key as 64 hex digits'),
    role: z.enum(['caller', 'owner']).default('caller')
  })).default([]),
  /** Limits of the team in the whole deployment; each instance enforces an equal part of them. */
  limits: z.strictObject({
    requestsPerSecond: positive.default(1000),
    tokensPerSecond: positive.default(200_000),
    inFlight: z.int().positive().default(1000),
    queued: z.int().positive().default(1000)
  }).prefault({}),
  /** Priority of each class that the team's requests may use; higher priorities are served first. */
  priorityClasses: z.record(name, z.int().min(0).max(9)).default({ normal: 5 })
})

/**
 * `/shares`: the weights of teams. A team's weight sets how large its part of the engines' use is compared to other teams. A team that
 * is not listed has weight 1. Only operators may write this document.
 */
export const sharesSettingsSchema = z.strictObject({
  weights: z.record(name, positive).default({}),
  /** The highest priority that each team may use; a team that is not listed may use priorities up to 5. */
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
    /** Whether the engine refuses orders with an old fencing token. */
    fencing: z.enum(['refuses', 'ignores'])
  })).default({}),
  services: z.record(name, z.strictObject({
    endpoints: z.record(name, z.strictObject({ url: z.url(), dataCentre: name })),
    /** Methods whose requests may be retried after a failure. */
    idempotentMethods: z.array(z.enum(['GET', 'HEAD', 'PUT', 'DELETE', 'OPTIONS', 'POST'])).default(['GET', 'HEAD', 'OPTIONS'])
  })).default({})
})

/** `/policy`: settings of the policies for routing, loads and the duration of requests. */
export const policySettingsSchema = z.strictObject({
  /** Trade-off between avoiding load stalls, which are waits for an adapter to be loaded (0), and filling the engines' batches (1). */
  batchEfficiencyWeight: z.number().min(0).max(1).default(0.5),
  /**
   * Rate of adapter loads in the whole deployment. Each instance paces its loads at an equal part of this rate while no coordinator
   * grants load turns, and policies estimate the duration of a load from this rate.
   */
  loadsPerSecond: positive.default(4),
  /** Maximum duration of a request, in seconds. */
  longestRequestSeconds: positive.default(600)
})

/** The settings of one team. */
export type TeamSettings = z.infer<typeof teamSettingsSchema>
/** Weights and highest priorities of teams. */
export type SharesSettings = z.infer<typeof sharesSettingsSchema>
/** Engines and plain services. */
export type EndpointsSettings = z.infer<typeof endpointsSettingsSchema>
/** Settings of the policies for routing, loads and the duration of requests. */
export type PolicySettings = z.infer<typeof policySettingsSchema>

/** One accepted state of the settings under one path, in the form in which instances store it and send it to peers. */
export interface SettingsDocument {
  readonly path: SettingsPath
  /** Increases by one with each accepted change, including a deletion. */
  readonly revision: Revision
  /** JSON with comments as the operator wrote it; undefined when the path was deleted. */
  readonly text: string | undefined
  /** Identifies the write that stored this state, so that the writer recognises its own write when the response was lost. */
  readonly writeId: string
  /** Wall time at which the change was accepted, in Unix milliseconds. */
  readonly acceptedAt: number
  readonly author: string
}

/** The settings in force on this instance, parsed and checked. */
export interface OperatorSettings {
  readonly teams: ReadonlyMap<TeamId, TeamSettings>
  readonly shares: SharesSettings
  readonly endpoints: EndpointsSettings
  readonly policy: PolicySettings
}

/** The settings of one engine, with branded ids. */
export interface EngineSettings {
  readonly endpoint: EndpointId
  readonly url: string
  readonly dataCentre: DataCentreId
  readonly baseModel: string
  readonly slots: number
  readonly batchCapacity: number
  readonly fencing: 'refuses' | 'ignores'
}

/** @returns the settings of all engines, with branded ids */
export function enginesOf (settings: OperatorSettings): EngineSettings[] {
  return Object.entries(settings.endpoints.engines).map(([endpoint, engine]) => ({
    ...engine,
    endpoint: endpoint as EndpointId,
    dataCentre: engine.dataCentre as DataCentreId
  }))
}

/** @returns the settings of an adapter, or undefined if the team has no such adapter */
export function adapterOf (team: TeamSettings, adapter: AdapterName): { baseModel: string, versions: AdapterVersion[], current: AdapterVersion } | undefined {
  if (!Object.hasOwn(team.adapters, adapter)) return undefined
  return team.adapters[adapter] as { baseModel: string, versions: AdapterVersion[], current: AdapterVersion }
}

/** @returns the priority of a team's class, limited to what the operators grant the team, or undefined if the team has no such class */
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

/** Highest priority of a team for which operators have set none. */
const DEFAULT_HIGHEST_PRIORITY = 5

/** Prefix of settings objects in the store, followed by the settings path. */
export const SETTINGS_PREFIX = '/settings'

/** Schema of a settings document in the store. */
export const settingsDocumentSchema = z.object({
  path: z.string(),
  revision: z.int().positive(),
  text: z.string().optional(),
  writeId: z.string(),
  acceptedAt: z.number(),
  author: z.string()
})

/** The fields of a document that decide which of two states of one path is newer. */
export type SettingsOrder = Pick<SettingsDocument, 'revision' | 'acceptedAt' | 'writeId'>

/**
 * Checks whether one state of a path is newer than another. The revision decides. After a restore of the store two writers
 * can give the same revision to different texts. Then the state that was accepted later wins, and the write id breaks a tie, so
 * that all instances choose the same state.
 */
export function isNewer (document: SettingsOrder, than: SettingsOrder | undefined): boolean {
  if (than === undefined) return true
  if (document.revision !== than.revision) return document.revision > than.revision
  if (document.acceptedAt !== than.acceptedAt) return document.acceptedAt > than.acceptedAt
  return document.writeId > than.writeId
}
