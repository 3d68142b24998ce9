/** Settings of the deployments of fault runs. */
import { createHash } from 'node:crypto'
import { SERVICE } from './caller.js'

/** The teams; all have adapters of the same names, so that a wrong team's adapter would be found. */
export const TEAMS = ['athletics', 'listings'] as const
/** Adapters of each team; together more than the engines have slots. */
export const ADAPTERS = ['essay', 'notes', 'blurb'] as const
/** Versions of each adapter that callers may name. */
export const VERSIONS = ['1', '2'] as const
/** An adapter whose current version says which revision of the settings is in force. */
export const MARKER = 'marker'
/** Key of a team's callers, in these deployments only. */
export const CALLER_KEY = 'fault-run'

/** @returns the key of a team's callers */
export function keyOf (team: string): string {
  return `${CALLER_KEY}-${team}`
}

/** @returns the marker's current version at a revision, which names the revision and who wrote it */
export function markerOf (revision: number, author: string): string {
  return author === '' ? `r${revision}` : `r${revision}.${author}`
}

/** @returns a team's settings at a revision */
export function teamText (team: string, revision: number, author = ''): string {
  const adapters = Object.fromEntries(ADAPTERS.map((adapter) => [adapter, { baseModel: 'base-1', versions: VERSIONS, current: '1' }]))
  const current = markerOf(revision, author)
  return JSON.stringify({
    adapters: { ...adapters, [MARKER]: { baseModel: 'base-1', versions: [current], current } },
    keys: [{ label: 'callers', sha256: createHash('sha256').update(keyOf(team)).digest('hex') }]
  })
}

/** @returns the endpoints' settings */
export function endpointsText (engines: readonly { id: string, url: string, fencing: string }[], services: readonly { id: string, url: string }[]): string {
  return JSON.stringify({
    engines: Object.fromEntries(engines.map(({ id, url, fencing }) => [id, { url, dataCentre: 'north', baseModel: 'base-1', slots: 2, batchCapacity: 8, fencing }])),
    services: { [SERVICE]: { endpoints: Object.fromEntries(services.map(({ id, url }) => [id, { url, dataCentre: 'north' }])) } }
  })
}
