/**
 * Checks that a schema cannot express, because they compare several values: fields of one settings document with each other, and a
 * team's document with the limits that operators have set for the team. The checks read raw values, so that problems are also
 * reported for a document that violates the schema.
 */
import type { SettingsPath, TeamId } from '../ids/ids.js'
import { nearestKey } from './nearest-key.js'
import { grantedPriority } from './operator-settings.js'
import type { OperatorSettings } from './operator-settings.js'

/** A problem found by a check, and the location of the problem in the document. */
export interface PlacedProblem {
  /** Keys and list indexes from the root to the value. */
  readonly place: readonly (string | number)[]
  readonly message: string
}

/**
 * Checks a document for contradictions between the values in it, and for contradictions to the settings in force.
 *
 * @param path - path of the document
 * @param team - the team that owns the document, if any
 * @param value - the raw value, which need not conform to the schema
 * @param inForce - the settings in force
 * @returns all problems found
 */
export function crossProblems (path: SettingsPath, team: TeamId | undefined, value: unknown, inForce: OperatorSettings | undefined): PlacedProblem[] {
  if (team !== undefined) {
    return [...currentVersionProblems(value), ...keyProblems(value), ...priorityProblems(value, team, inForce)]
  }
  return path === '/endpoints' ? endpointProblems(value) : []
}

/** Checks the versions of adapters. With a current version that does not exist, every request for the adapter would fail. */
function currentVersionProblems (value: unknown): PlacedProblem[] {
  const problems: PlacedProblem[] = []
  for (const [adapter, settings] of entriesOf(fieldOf(value, 'adapters'))) {
    const versions = stringsOf(fieldOf(settings, 'versions'))
    const current = fieldOf(settings, 'current')
    const place = ['adapters', adapter]
    if (typeof current === 'string' && versions.length > 0 && !versions.includes(current)) {
      const choice = nearestKey(current, versions) ?? versions.at(-1)
      problems.push({ place: [...place, 'current'], message: `'${current}' is not among the versions; write '${choice}' or add '${current}' to the versions` })
    }
    for (const index of repeatedIndexes(versions)) {
      problems.push({ place: [...place, 'versions', index], message: `version '${versions[index]}' appears twice; remove one of them` })
    }
  }
  return problems
}

function keyProblems (value: unknown): PlacedProblem[] {
  const keys = listOf(fieldOf(value, 'keys'))
  const hashes = keys.map((key) => String(fieldOf(key, 'sha256')))
  const labels = keys.map((key) => String(fieldOf(key, 'label')))
  return [
    ...repeatedIndexes(hashes).map((index) => ({ place: ['keys', index, 'sha256'], message: 'this key appears twice; remove one of them' })),
    ...repeatedIndexes(labels).map((index) => ({ place: ['keys', index, 'label'], message: `label '${labels[index]}' appears twice; choose another` }))
  ]
}

function priorityProblems (value: unknown, team: TeamId, inForce: OperatorSettings | undefined): PlacedProblem[] {
  const granted = grantedPriority(inForce?.shares, team)
  return entriesOf(fieldOf(value, 'priorityClasses')).flatMap(([name, priority]) => {
    if (typeof priority !== 'number' || priority <= granted) return []
    return [{ place: ['priorityClasses', name], message: `the operators grant this team priorities up to ${granted}; write ${granted} or less, or ask them to raise it under /shares highestPriority` }]
  })
}

/** Checks engines and services. If two engines had the same URL, each would get an owner, and the two owners would evict each other's adapters. */
function endpointProblems (value: unknown): PlacedProblem[] {
  const engines = entriesOf(fieldOf(value, 'engines'))
  const problems: PlacedProblem[] = []
  const names = new Set(engines.map(([name]) => name))
  const urls = new Map<string, string>()
  for (const [name, engine] of engines) {
    const place = ['engines', name, 'url']
    const url = String(fieldOf(engine, 'url')).replace(/\/+$/, '')
    problems.push(...urlProblems(place, url))
    const first = urls.get(url)
    if (first !== undefined) problems.push({ place, message: `engine '${first}' already has this URL; write the URL of this engine` })
    urls.set(url, first ?? name)
  }
  for (const [service, settings] of entriesOf(fieldOf(value, 'services'))) {
    for (const [name, endpoint] of entriesOf(fieldOf(settings, 'endpoints'))) {
      const place = ['services', service, 'endpoints', name]
      problems.push(...urlProblems([...place, 'url'], String(fieldOf(endpoint, 'url'))))
      if (names.has(name)) problems.push({ place, message: `endpoint '${name}' appears twice; choose another name` })
      names.add(name)
    }
  }
  return problems
}

function urlProblems (place: readonly (string | number)[], url: string): PlacedProblem[] {
  const other = /^([a-z][a-z0-9+.-]*):/i.exec(url)?.[1]?.toLowerCase()
  if (other === undefined || other === 'http' || other === 'https') return []
  return [{ place, message: `'${other}:' is not supported; write an http: or https: URL` }]
}

function fieldOf (value: unknown, key: string): unknown {
  if (typeof value !== 'object' || value === null || !Object.hasOwn(value, key)) return undefined
  return (value as Record<string, unknown>)[key]
}

function entriesOf (value: unknown): [string, unknown][] {
  return typeof value === 'object' && value !== null && !Array.isArray(value) ? Object.entries(value) : []
}

function listOf (value: unknown): unknown[] {
  return Array.isArray(value) ? value as unknown[] : []
}

function stringsOf (value: unknown): string[] {
  return listOf(value).map(String)
}

function repeatedIndexes (texts: readonly string[]): number[] {
  const seen = new Set<string>()
  return texts.flatMap((text, index) => {
    if (seen.has(text)) return [index]
    seen.add(text)
    return []
  })
}
