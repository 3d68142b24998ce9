/** Operator settings of the path bench. */
import type { DevelopmentKey, SettingsFile } from '@limpetwinch/stand-ins'

/** The base model of all engines and adapters. */
export const BASE_MODEL = 'base-1'
/** Adapter slots of each engine. */
export const ENGINE_SLOTS = 8
/** Maximum sequences in a step of each engine, high enough that the engines do not limit the rate. */
export const BATCH_CAPACITY = 1024
/** Models that the load requests. */
export const LOADED_MODELS: readonly string[] = ['team-0/adapter-0@1', 'team-0/adapter-1@1', 'team-0/adapter-2@1', 'team-0/adapter-3@1']

/** Maximum adapters per team: the object store limits the settings of a team to one megabyte. */
const ADAPTERS_PER_TEAM = 1000
const NO_LIMIT = 1_000_000_000

/**
 * @param key - API key of the callers, the same for all teams
 * @param adapters - total number of adapters
 * @param engines - URLs of the engines
 * @returns the settings files
 */
export function benchSettings (key: DevelopmentKey, adapters: number, engines: readonly string[]): SettingsFile[] {
  const teams = Math.ceil(adapters / ADAPTERS_PER_TEAM)
  const files = [{ path: '/endpoints', text: JSON.stringify({ engines: Object.fromEntries(engines.map(engineEntry)) }) }]
  for (let team = 0; team < teams; team += 1) {
    const count = Math.min(ADAPTERS_PER_TEAM, adapters - team * ADAPTERS_PER_TEAM)
    files.push({ path: `/teams/team-${team}`, text: JSON.stringify(teamSettings(key, count)) })
  }
  return files
}

function engineEntry (url: string, index: number): [string, unknown] {
  return [`engine-${index + 1}`, { url, dataCentre: 'north', baseModel: BASE_MODEL, slots: ENGINE_SLOTS, batchCapacity: BATCH_CAPACITY, fencing: 'refuses' }]
}

function teamSettings (key: DevelopmentKey, count: number): unknown {
  const adapters = Array.from({ length: count }, (_, index) => [`adapter-${index}`, { baseModel: BASE_MODEL, versions: ['1'], current: '1' }])
  return {
    adapters: Object.fromEntries(adapters),
    keys: [{ label: 'bench', sha256: key.sha256 }],
    limits: { requestsPerSecond: NO_LIMIT, tokensPerSecond: NO_LIMIT, inFlight: NO_LIMIT, queued: NO_LIMIT }
  }
}
