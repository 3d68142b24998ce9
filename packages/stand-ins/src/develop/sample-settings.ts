/** Settings of the development deployment, as an operator would write them. */
import { createHash, randomBytes } from 'node:crypto'

/** A listening engine of the deployment. */
export interface SampleEngine {
  readonly id: string
  readonly url: string
  readonly dataCentre: string
  readonly fencing: 'refuses' | 'ignores'
}

/** A listening endpoint of the plain service. */
export interface SampleService {
  readonly id: string
  readonly url: string
  readonly dataCentre: string
}

/** The settings of one path, as JSON with comments. */
export interface SettingsFile {
  readonly path: string
  readonly text: string
}

/** A key created for one run; only its hash is written to the settings. */
export interface DevelopmentKey {
  readonly key: string
  readonly sha256: string
}

/** Adapter slots of each engine. */
export const ENGINE_SLOTS = 4
/** Maximum number of sequences in a batch step of each engine. */
export const ENGINE_BATCH_CAPACITY = 16
/** Base model of all engines. */
export const BASE_MODEL = 'base-1'
/** Name of the plain service. */
export const SERVICE_NAME = 'echo'

/** @returns a new random key */
export function makeKey (): DevelopmentKey {
  const key = randomBytes(24).toString('base64url')
  return { key, sha256: createHash('sha256').update(key).digest('hex') }
}

/**
 * @param key - caller key of both teams
 * @param engines - engines with their URLs
 * @param services - endpoints of the plain service with their URLs
 * @returns the settings by path, in the order in which they must be written
 */
export function sampleSettings (key: DevelopmentKey, engines: readonly SampleEngine[], services: readonly SampleService[]): SettingsFile[] {
  return [
    { path: '/endpoints', text: endpointsText(engines, services) },
    { path: '/shares', text: SHARES },
    { path: '/policy', text: POLICY },
    { path: '/teams/athletics', text: athleticsText(key) },
    { path: '/teams/listings', text: listingsText(key) }
  ]
}

const SHARES = `{
  // Under pressure athletics gets two tokens for each one of listings.
  "weights": { "athletics": 2, "listings": 1 },
  "highestPriority": { "athletics": 8 }
}
`

const POLICY = `{
  // 0 puts load stalls first, 1 puts batch efficiency first.
  "batchEfficiencyWeight": 0.3,
  "loadsPerSecond": 4
}
`

function athleticsText ({ sha256 }: DevelopmentKey): string {
  return `{
  "adapters": {
    "justification": { "baseModel": "${BASE_MODEL}", "versions": ["1", "2"], "current": "2" },
    "eligibility": { "baseModel": "${BASE_MODEL}", "versions": ["1"], "current": "1" }
  },
  // A key made for this run; only its hash is kept.
  "keys": [{ "label": "develop", "sha256": "${sha256}", "role": "caller" }],
  "priorityClasses": { "normal": 5, "panel": 8 }
}
`
}

function listingsText ({ sha256 }: DevelopmentKey): string {
  return `{
  "adapters": {
    "blurb": { "baseModel": "${BASE_MODEL}", "versions": ["3"], "current": "3" }
  },
  "keys": [{ "label": "develop", "sha256": "${sha256}", "role": "caller" }]
}
`
}

function endpointsText (engines: readonly SampleEngine[], services: readonly SampleService[]): string {
  const engineLines = engines.map(({ id, url, dataCentre, fencing }) => `    "${id}": ${JSON.stringify({
    url, dataCentre, baseModel: BASE_MODEL, slots: ENGINE_SLOTS, batchCapacity: ENGINE_BATCH_CAPACITY, fencing
  })}`)
  const serviceLines = services.map(({ id, url, dataCentre }) => `        "${id}": ${JSON.stringify({ url, dataCentre })}`)
  return `{
  // Say of each engine whether it refuses an order with an old fencing token.
  "engines": {
${engineLines.join(',\n')}
  },
  "services": {
    "${SERVICE_NAME}": {
      "endpoints": {
${serviceLines.join(',\n')}
      }
    }
  }
}
`
}
