/** Operator settings of the development deployment, as an operator would write them. */
import { createHash, randomBytes } from 'node:crypto'

/** An engine of the deployment, once it listens. */
export interface SampleEngine {
  readonly id: string
  readonly url: string
  readonly dataCentre: string
  readonly fencing: 'refuses' | 'ignores'
}

/** A plain service's endpoint of the deployment, once it listens. */
export interface SampleService {
  readonly id: string
  readonly url: string
  readonly dataCentre: string
}

/** One file of settings. */
export interface SettingsFile {
  readonly path: string
  readonly text: string
}

/** A key made for one run of the launcher; only its hash goes into settings. */
export interface DevelopmentKey {
  readonly key: string
  readonly sha256: string
}

/** Slots of each engine. */
export const ENGINE_SLOTS = 4
/** Sequences in a step of each engine. */
export const ENGINE_BATCH_CAPACITY = 16
/** The one base model. */
export const BASE_MODEL = 'base-1'
/** The plain service's name. */
export const SERVICE_NAME = 'echo'

/** @returns a new random key */
export function makeKey (): DevelopmentKey {
  const key = randomBytes(24).toString('base64url')
  return { key, sha256: createHash('sha256').update(key).digest('hex') }
}

/**
 * @param key - the callers' key of both teams
 * @param engines - where the engines listen
 * @param services - where the plain service listens
 * @returns the settings by path, in the order in which they are put in
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
