/** Reads the values of all gauges from the components of an instance. */
import type { Clock, LineSink } from '@limpetwinch/core'
import type { PeerLinks } from '@limpetwinch/entry'
import type { AcceptedConfiguration } from '../cluster-state/accepted-configuration.js'
import { STATE_KINDS } from '../cluster-state/state-freshness.js'
import type { StateFreshness } from '../cluster-state/state-freshness.js'
import type { StoreHealth } from '../cluster-state/store-health.js'
import type { EngineFigures } from '../engine-figures/engine-figures.js'
import type { EndpointDirectory } from '../endpoints/endpoint-directory.js'
import type { MemberList } from '../members/member-list.js'
import type { GaugeReadings } from '../observability/ingress-metrics.js'
import type { PeerOverlay } from '../overlay/peer-overlay.js'
import type { InstancePaths } from '../paths/create-paths.js'
import type { ServicePlaces } from '../places/service-places.js'
import type { RequestQuarantine } from '../quarantine/request-quarantine.js'
import type { EndpointRateLimiter } from '../rate-limits/endpoint-rate-limiter.js'
import type { RoutedListener } from '../relay/routed-listener.js'
import type { StreamOrigins } from '../streams/stream-origins.js'
import type { UnboundedResponses } from '../unbounded-responses/unbounded-responses.js'
import type { Teams } from '../teams/teams.js'

/** The components that the gauges describe. */
export interface GaugeSources {
  readonly unbounded: Pick<UnboundedResponses, 'ejectedCount'>
  readonly teams: Teams
  readonly configuration: AcceptedConfiguration
  readonly health: StoreHealth
  readonly freshness: StateFreshness
  readonly clock: Clock
  readonly members: MemberList
  readonly directory: EndpointDirectory
  readonly rateLimiter: EndpointRateLimiter
  readonly places: ServicePlaces
  readonly paths: InstancePaths
  readonly origins: StreamOrigins
  readonly sink: LineSink
  readonly listener: RoutedListener
  readonly overlay: PeerOverlay
  readonly network: PeerLinks
  readonly quarantine: RequestQuarantine
  readonly figures: EngineFigures
}

/** @returns the present value of each gauge */
export function readGauges (sources: GaugeSources): GaugeReadings {
  const { unbounded, teams, configuration, health, freshness, clock, members, directory, rateLimiter, places, paths, origins, sink, listener, overlay, network, quarantine, figures } = sources
  return {
    ...teams.gauges(),
    configurationVersion: configuration.version,
    stateAgeSeconds: STATE_KINDS.map((kind) => [kind, freshness.ageMilliseconds(kind) / 1_000]),
    storeSilenceSeconds: health.millisecondsSinceAnswer(clock.now()) / 1_000,
    members: members.live().length,
    servableEndpoints: directory.all().filter((endpoint) => !endpoint.leaving).length,
    unboundedEndpoints: unbounded.ejectedCount,
    rateLimitedEndpoints: rateLimiter.limits.count,
    placesHeld: places.heldCount,
    placesWaiting: places.waitingCount,
    lostPaths: paths.paths.lostCount,
    rememberedStreams: origins.count,
    tunnels: paths.server.count,
    droppedLogLines: sink.dropped,
    requestsInProgress: listener.requestsInProgress,
    peerConnections: overlay.neighbours().length,
    isHub: overlay.isHub ? 1 : 0,
    leaves: overlay.leafCount,
    peerFrames: network.counts(),
    accusedRequests: quarantine.counts.implicated,
    quarantinedRequests: quarantine.counts.verdicts,
    accusedParts: quarantine.partCounts.implicated,
    quarantinedParts: quarantine.partCounts.verdicts,
    ownedEngines: figures.ownedEngines()
  }
}
