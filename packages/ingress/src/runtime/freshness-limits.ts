/** The times within which each kind of state must be known to an instance, from its settings. */
import type { FreshnessLimits } from '../cluster-state/state-freshness.js'
import type { IngressSettings } from './ingress-settings.js'

/** Part of the time until a new adapter version must be in use that may pass until it is known; the rest is for loading it. */
const ANNOUNCEMENT_SHARE = 0.5

/** @returns the time within which each kind of state must be known */
export function freshnessLimits (settings: IngressSettings): FreshnessLimits {
  return {
    configuration: settings.configurationMilliseconds,
    endpoints: settings.drainMilliseconds,
    announcements: settings.newVersionMilliseconds * ANNOUNCEMENT_SHARE,
    cluster: settings.leaseMilliseconds
  }
}
