/** Creates the rate limiter of one instance from the instance's other components. */
import type { Clock, EndpointId, InstanceId, Logger } from '@limpetwinch/core'
import type { EndpointDirectory } from '../endpoints/endpoint-directory.js'
import type { MemberList } from '../members/member-list.js'
import type { IngressMetrics } from '../observability/ingress-metrics.js'
import type { PeerOverlay } from '../overlay/peer-overlay.js'
import type { QuotaOwners } from '../quotas/quota-owners.js'
import { EndpointRateLimiter } from './endpoint-rate-limiter.js'
import { BrittleEndpoints } from './brittle-endpoints.js'
import { EndpointBackoffs } from './endpoint-backoffs.js'
import { NamedRateLimits } from './named-rate-limits.js'

/** The components that the rate limiter needs. */
export interface RateLimiterComponents {
  readonly self: InstanceId
  readonly clock: Clock
  readonly logger: Logger
  readonly directory: EndpointDirectory
  readonly members: MemberList
  readonly overlay: PeerOverlay
  readonly owners: QuotaOwners
  readonly metrics: IngressMetrics
  /** @returns whether the members have been read from the store */
  readonly areMembersKnown: () => boolean
}

/** @returns the rate limiter; {@link EndpointRateLimiter.connect} registers its handlers */
export function createRateLimiter ({ self, clock, logger, directory, members, overlay, owners, metrics, areMembersKnown }: RateLimiterComponents): EndpointRateLimiter {
  const shared = {
    clock,
    logger,
    bornOf: (endpoint: EndpointId) => directory.find(endpoint)?.born,
    noticeRoundTripMilliseconds: () => overlay.noticeRoundTripMilliseconds
  }
  const limits = new NamedRateLimits({ ...shared, broadcast: (frame) => overlay.broadcast(frame) })
  const brittle = new BrittleEndpoints({ ...shared, broadcast: (frame) => overlay.broadcast(frame) })
  return new EndpointRateLimiter({
    self,
    clock,
    limits,
    brittle,
    backoffs: new EndpointBackoffs({ ...shared, notify: (to, frame) => overlay.notify(to, frame) }),
    slotsOf: (endpoint) => directory.find(endpoint)?.slots ?? 1,
    owners,
    instances: () => members.count,
    // An instance that knows no members yet would take all of a limit for itself.
    reachableShare: () => areMembersKnown() ? members.reachableShare() : 0,
    isReachable: (instance) => instance === self || overlay.isReachable(instance),
    notify: (to, frame) => overlay.notify(to, frame),
    endpointsOf: (service) => directory.servable(service).map(({ id }) => id),
    onDecision: (endpoint, decision) => metrics.rateLimitDecided(directory.find(endpoint)?.service ?? '', decision)
  })
}
