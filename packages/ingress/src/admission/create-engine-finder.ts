/** Creates the engine finder of one instance with its admission by forecast, from the instance's other components. */
import type { Clock, Logger } from '@limpetwinch/core'
import { EngineFinder } from '../adapters/engine-finder.js'
import type { EngineFinderDependencies } from '../adapters/engine-finder.js'
import type { WeightStoreLimiter } from '../adapters/weight-store-limiter.js'
import type { AcceptedConfiguration, ActiveConfiguration } from '../cluster-state/accepted-configuration.js'
import type { AdapterVersions } from '../cluster-state/adapter-versions.js'
import type { LoadOwnership } from '../adapters/load-ownership.js'
import type { IngressMetrics } from '../observability/ingress-metrics.js'
import type { PeerOverlay } from '../overlay/peer-overlay.js'
import { LoadForecast } from './load-forecast.js'
import type { LoadForecastDependencies } from './load-forecast.js'
import { StreamAdmission } from './stream-admission.js'

/** The components that the finder and the admission need. */
export interface EngineFinderComponents extends Pick<EngineFinderDependencies, 'router' | 'rateLimiter' | 'locations' | 'shareUsed'>,
  Pick<LoadForecastDependencies, 'directory' | 'workTracker' | 'ejection'> {
  readonly clock: Clock
  readonly logger: Logger
  readonly metrics: IngressMetrics
  readonly configuration: AcceptedConfiguration
  readonly forecast: LoadForecastDependencies['firstEvent']
  readonly storeLimiter: WeightStoreLimiter
  readonly versions: AdapterVersions
  readonly loadOwnership: LoadOwnership
  readonly overlay: PeerOverlay
  /** Whether the settings of the instance say that callers compete for too little room. */
  readonly isEnabled: boolean
}

/** @returns the engine finder */
export function createEngineFinder (components: EngineFinderComponents): EngineFinder {
  const { clock, configuration, locations, storeLimiter, versions, loadOwnership, overlay } = components
  const forecast = new LoadForecast({
    ...components,
    firstEvent: components.forecast,
    leastVersion: (key, now) => versions.minimumUsable(key, now),
    loadMilliseconds: () => storeLimiter.expectedMilliseconds(locations.inFlight.count(clock.now())),
    hasStoreCapacity: (now) => locations.inFlight.count(now) < storeLimiter.limit,
    hasLoadOwner: (endpoint) => loadOwnership.loadOwnerOf(endpoint) !== undefined
  })
  return new EngineFinder({
    ...components,
    admission: new StreamAdmission({ ...components, forecast, competes: () => components.isEnabled && doCallersCompete(configuration.current) }),
    loadOwnerOf: (endpoint) => loadOwnership.loadOwnerOf(endpoint),
    requestLoad: (to, frame) => overlay.notify(to, frame),
    leastVersion: (facts, now) => facts.adapter === undefined ? 0 : versions.minimumUsable(facts.adapter.key, now)
  })
}

/** @returns whether the configuration names teams, or streams of different priorities, so that one caller may have to give way to another */
export function doCallersCompete (current: ActiveConfiguration | undefined): boolean {
  if (current === undefined) return false
  const { teams, routes } = current.configuration
  if (teams.length > 0) return true
  const first = routes.find(({ kind }) => kind === 'stream')?.priority
  return routes.some(({ kind, priority }) => kind === 'stream' && priority !== first)
}
