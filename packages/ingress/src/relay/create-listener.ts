/** Creates the listener of one instance with its relays, from the instance's other components. */
import type { Clock, Logger } from '@limpetwinch/core'
import type { EngineSpeeds, ErrorRates, OutlierEjection } from '@limpetwinch/decisions'
import type { AdapterLocations } from '../adapters/adapter-locations.js'
import type { EngineFinder } from '../adapters/engine-finder.js'
import type { AcceptedConfiguration } from '../cluster-state/accepted-configuration.js'
import type { AdapterVersions } from '../cluster-state/adapter-versions.js'
import type { StateFreshness } from '../cluster-state/state-freshness.js'
import type { EndpointDirectory } from '../endpoints/endpoint-directory.js'
import type { IngressMetrics } from '../observability/ingress-metrics.js'
import type { ServicePlaces } from '../places/service-places.js'
import type { RequestQuarantine } from '../quarantine/request-quarantine.js'
import type { EndpointRateLimiter } from '../rate-limits/endpoint-rate-limiter.js'
import type { RetryBudgets } from '../retries/retry-budgets.js'
import type { EndpointWorkTracker } from '../routing/endpoint-work-tracker.js'
import type { FirstEventForecast } from '../routing/first-event-forecast.js'
import type { PrefixCacheEstimate } from '../routing/prefix-cache-estimate.js'
import { ServiceRouter } from '../routing/service-router.js'
import type { IngressSettings } from '../runtime/ingress-settings.js'
import type { StreamOrigins } from '../streams/stream-origins.js'
import type { TeamAdmission } from '../teams/team-admission.js'
import { callerConnectionsFor, heldBackConnectionsFor, pendingConnectionsFor, waitingRequestsFor } from './caller-bounds.js'
import { CallerConnections } from './caller-connections.js'
import type { EndpointSenders } from './endpoint-senders.js'
import { HeldRequestBytes, requestBytesFor } from './held-request-bytes.js'
import type { RequestCodec } from './request-codec.js'
import { RoutedListener } from './routed-listener.js'
import { ServiceRelay } from './service-relay.js'
import { StreamRelay } from './stream-relay.js'
import type { WaitingAttempts } from './waiting-attempts.js'
import { VersionedSends } from './versioned-sends.js'

/** The components that the listener and its relays need. */
export interface ListenerComponents {
  readonly clock: Clock
  readonly logger: Logger
  readonly metrics: IngressMetrics
  readonly settings: Pick<IngressSettings, 'dataCentre' | 'memoryMegabytes' | 'descriptors'>
  readonly codec: RequestCodec
  readonly configuration: AcceptedConfiguration
  readonly freshness: StateFreshness
  readonly directory: EndpointDirectory
  readonly budgets: RetryBudgets
  readonly locations: AdapterLocations
  readonly versions: AdapterVersions
  readonly waiting: WaitingAttempts
  readonly engineFinder: EngineFinder
  readonly workTracker: EndpointWorkTracker
  readonly forecast: FirstEventForecast
  readonly speeds: EngineSpeeds
  readonly prefixes: PrefixCacheEstimate
  readonly ejection: OutlierEjection
  readonly errors: ErrorRates
  readonly senders: EndpointSenders
  readonly quarantine: RequestQuarantine
  readonly rateLimiter: EndpointRateLimiter
  readonly places: ServicePlaces
  readonly admission: TeamAdmission
  readonly origins: StreamOrigins
}

/** @returns the listener, which does not listen yet */
export function createListener (components: ListenerComponents): RoutedListener {
  const { settings, configuration, freshness, directory, workTracker, ejection, errors, rateLimiter } = components
  const shared = { ...components, random: Math.random }
  const router = new ServiceRouter(directory, workTracker, ejection, errors, rateLimiter.backoffs, settings.dataCentre)
  const services = new ServiceRelay({ ...shared, router })
  const streams = new StreamRelay({
    ...shared,
    findService: (name) => configuration.current?.services.get(name),
    versionedSends: new VersionedSends(components)
  })
  const { heldResponses } = components.senders
  const { clock, logger } = components
  const requestBytes = requestBytesFor(settings.memoryMegabytes)
  const heldRequests = new HeldRequestBytes(requestBytes, () => heldResponses.bytes)
  const connections = new CallerConnections({ clock, logger, maximumConnections: callerConnectionsFor(settings.descriptors), maximumWaiting: waitingRequestsFor(requestBytes), maximumHeldBack: heldBackConnectionsFor(requestBytes) })
  return new RoutedListener({ ...shared, stopGate: components.senders.stopGate, isConfigurationCurrent: () => !freshness.isOverdue('configuration'), streams, services, connections, heldRequests, heldResponses, maximumPending: pendingConnectionsFor(requestBytes) })
}
