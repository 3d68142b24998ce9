/** Creates the load ownership of one instance from the instance's other components. */
import type { Clock, DeletingObjectStore, EndpointId, Logger } from '@limpetwinch/core'
import { StallEvictionPolicy } from '@limpetwinch/decisions'
import type { AcceptedConfiguration } from '../cluster-state/accepted-configuration.js'
import type { AdapterVersions } from '../cluster-state/adapter-versions.js'
import type { StoreHealth } from '../cluster-state/store-health.js'
import type { EndpointDirectory } from '../endpoints/endpoint-directory.js'
import type { MemberList } from '../members/member-list.js'
import type { PeerOverlay } from '../overlay/peer-overlay.js'
import type { EndpointRateLimiter } from '../rate-limits/endpoint-rate-limiter.js'
import type { EndpointSenders } from '../relay/endpoint-senders.js'
import type { EndpointWorkTracker } from '../routing/endpoint-work-tracker.js'
import type { IngressSettings } from '../runtime/ingress-settings.js'
import { ReportingEngineControl } from '../unbounded-responses/reporting-engine-control.js'
import type { UnboundedResponses } from '../unbounded-responses/unbounded-responses.js'
import type { AdapterLocations } from './adapter-locations.js'
import type { EngineControl } from './engine-control.js'
import type { EngineInventory } from './engine-inventory.js'
import type { HeldAdapterNotices } from './held-adapter-notices.js'
import { LoadOwnership } from './load-ownership.js'
import type { LoadOwnershipDependencies } from './load-ownership.js'
import { ModelLoadRateLimiter } from './model-load-rate-limiter.js'
import { isModelNeeded } from './model-need.js'
import type { WeightStoreLimiter } from './weight-store-limiter.js'

/** The components that the load ownership needs. */
export interface LoadOwnershipComponents {
  readonly clock: Clock
  readonly logger: Logger
  readonly settings: Pick<IngressSettings, 'leaseMilliseconds' | 'fencedEndpoints'>
  readonly store: DeletingObjectStore
  readonly control: EngineControl
  readonly unbounded: Pick<UnboundedResponses, 'recordFailure'>
  readonly health: StoreHealth
  readonly members: MemberList
  readonly directory: EndpointDirectory
  readonly configuration: AcceptedConfiguration
  readonly reachesService: LoadOwnershipDependencies['reachesService']
  readonly locations: AdapterLocations
  readonly workTracker: EndpointWorkTracker
  readonly storeLimiter: WeightStoreLimiter
  readonly versions: AdapterVersions
  readonly engines: EngineInventory
  readonly heldNotices: HeldAdapterNotices
  readonly overlay: PeerOverlay
  readonly rateLimiter: EndpointRateLimiter
  /** @returns the senders, which are created later */
  readonly senders: () => EndpointSenders
}

/** @returns the load ownership, whose eviction policy learns from the requests that the work tracker counts */
export function createLoadOwnership (components: LoadOwnershipComponents): LoadOwnership {
  const { clock, logger, settings: { leaseMilliseconds, fencedEndpoints }, store, health, members, directory, configuration, reachesService, locations, workTracker, storeLimiter, versions, engines, heldNotices, overlay, rateLimiter, senders } = components
  const policy = new StallEvictionPolicy({ minimumResidenceMilliseconds: 1_500, loadsPerSecond: 30 })
  workTracker.onUse((_endpoint, key) => policy.recordUse(key, '', 1, clock.now()))
  const isBackingOff = (endpoint: EndpointId): boolean => rateLimiter.backoffs.isBackingOff(endpoint)
  const dependencies = { store, health, clock, logger, members, directory, configuration, leaseMilliseconds, fencedEndpoints, reachesService, isBackingOff }
  return new LoadOwnership(dependencies, {
    control: new ReportingEngineControl(components.control, components.unbounded, directory),
    clock,
    logger,
    locations,
    workTracker,
    policy,
    modelLoadLimiter: new ModelLoadRateLimiter(clock, () => members.count),
    storeLimiter,
    latestVersion: (key) => versions.newest(key) ?? 0,
    recallsPreviousAt: (key, version) => versions.recallsPreviousAt(key, version),
    isModelNeeded: (endpoint, model) => isModelNeeded(engines.usageOf(endpoint, model)),
    publish: (statement, urgency) => heldNotices.publish(statement, urgency),
    noticeRoundTripMilliseconds: () => overlay.noticeRoundTripMilliseconds,
    onUnreachable: (endpoint, reason) => senders().orderFailed(endpoint, reason)
  })
}
