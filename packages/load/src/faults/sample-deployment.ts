/** Settings for the deployments of fault runs. */
import { createHash } from 'node:crypto'
import { SERVICE } from './caller.js'

/** The teams. Their adapters have the same names, so that the checker detects a request served with the adapter of another team. */
export const TEAMS = ['athletics', 'listings'] as const
/** Adapters of each team. All teams together have more adapters than the engines have slots. */
export const ADAPTERS = ['essay', 'notes', 'blurb'] as const
/** Versions of each adapter that callers may name. */
export const VERSIONS = ['1', '2'] as const
/** Name of an adapter whose current version names the revision of the settings that is in force. */
export const MARKER = 'marker'
/** Key of the administrator, and prefix of the teams' keys, in these deployments only. */
export const CALLER_KEY = 'fault-run'

/** @returns the key that callers of a team use */
export function keyOf (team: string): string {
  return `${CALLER_KEY}-${team}`
}

/** @returns the current version of the marker adapter at a revision; it names the revision and its author */
export function markerOf (revision: number, author: string): string {
  return author === '' ? `r${revision}` : `r${revision}.${author}`
}

/** @returns the settings of a team at a revision, as JSON */
export function teamText (team: string, revision: number, author = ''): string {
  const adapters = Object.fromEntries(ADAPTERS.map((adapter) => [adapter, { baseModel: 'base-1', versions: VERSIONS, current: '1' }]))
  const current = markerOf(revision, author)
  return JSON.stringify({
    adapters: { ...adapters, [MARKER]: { baseModel: 'base-1', versions: [current], current } },
    keys: [{ label: 'callers', sha256: createHash('sha256').update(keyOf(team)).digest('hex') }]
  })
}

/** @returns the settings of the engines and services, as JSON */
export function endpointsText (engines: readonly { id: string, url: string, fencing: string }[], services: readonly { id: string, url: string }[]): string {
  return JSON.stringify({
    engines: Object.fromEntries(engines.map(({ id, url, fencing }) => [id, { url, dataCentre: 'north', baseModel: 'base-1', slots: 2, batchCapacity: 8, fencing }])),
    services: { [SERVICE]: { endpoints: Object.fromEntries(services.map(({ id, url }) => [id, { url, dataCentre: 'north' }])) } }
  })
}
