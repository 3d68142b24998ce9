/** Decides whether a request that is sent to an engine with an old version of its adapter will begin there before the newest version must serve. */
import type { EndpointId } from '@limpetwinch/core'
import type { AdapterLocations } from '../adapters/adapter-locations.js'
import type { AdapterVersions } from '../cluster-state/adapter-versions.js'
import type { WaitingAttempts } from '../relay/waiting-attempts.js'
import type { AdapterKey } from '../routes/configuration.js'

/** Factor by which the forecast time until the first event may be too short: under load, forecasts are mostly wrong by up to this factor. */
const FORECAST_FACTOR = 3
/** Factor by which the wait may be longer than that of the attempt that waits longest there now: that attempt has not begun yet. */
const WAIT_FACTOR = 2

/** Dependencies of the limit. */
export interface PreviousVersionLimitDependencies {
  readonly locations: Pick<AdapterLocations, 'holders'>
  readonly versions: Pick<AdapterVersions, 'newest' | 'previousServesUntil'>
  readonly waiting: Pick<WaitingAttempts, 'longestWait'>
}

/** The limit for requests on old adapter versions. */
export class PreviousVersionLimit {
  private readonly parts: PreviousVersionLimitDependencies

  constructor (parts: PreviousVersionLimitDependencies) {
    this.parts = parts
  }

  /** @returns whether a request with this forecast time until its first event may be sent to the engine, which holds the adapter */
  mayBegin (endpoint: EndpointId, key: AdapterKey, forecastMilliseconds: number, now: number): boolean {
    const { locations, versions, waiting } = this.parts
    const newest = versions.newest(key)
    const held = locations.holders(key).get(endpoint)
    if (newest === undefined || held === undefined || held >= newest) return true
    const until = versions.previousServesUntil(key, held) ?? Infinity
    return now + Math.max(forecastMilliseconds * FORECAST_FACTOR, waiting.longestWait(endpoint, now) * WAIT_FACTOR) < until
  }
}
