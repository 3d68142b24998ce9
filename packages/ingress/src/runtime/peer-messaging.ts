/**
 * Sends and handles the notices (one-way messages) between instances about outstanding work, adapters held by engines, and loads of
 * adapters.
 */
import type { AdaptersHeldFrame, Clock, EndpointId, InstanceId, LoadAskFrame } from '@limpetwinch/core'
import type { WaitingRequestFacts } from '@limpetwinch/decisions'
import type { PeerLinks } from '@limpetwinch/entry'
import type { OverlayRole } from '../overlay/notice-router.js'
import type { PeerOverlay } from '../overlay/peer-overlay.js'
import type { AdapterLocations } from '../adapters/adapter-locations.js'
import type { EngineFinder } from '../adapters/engine-finder.js'
import { HeldAdapterBaselines } from '../adapters/held-adapter-deltas.js'
import type { HeldAdapterNotices } from '../adapters/held-adapter-notices.js'
import type { LoadOwnership } from '../adapters/load-ownership.js'
import type { IngressMetrics } from '../observability/ingress-metrics.js'
import type { AdapterKey } from '../routes/configuration.js'
import type { EndpointWorkTracker } from '../routing/endpoint-work-tracker.js'
import type { WorkDigests } from '../routing/work-digests.js'

/** Dependencies of the peer messaging. */
export interface PeerMessagingDependencies {
  readonly self: InstanceId
  readonly network: PeerLinks
  readonly overlay: PeerOverlay
  readonly clock: Clock
  readonly workTracker: EndpointWorkTracker
  readonly digests: WorkDigests
  readonly locations: AdapterLocations
  readonly heldNotices: HeldAdapterNotices
  readonly loadOwnership: LoadOwnership
  readonly engineFinder: EngineFinder
  readonly metrics: IngressMetrics
}

/** Handles the notices that one instance receives from its peers, and sends them its own. */
export class PeerMessaging {
  private readonly dependencies: PeerMessagingDependencies
  private readonly heldAdapters = new HeldAdapterBaselines()

  constructor (dependencies: PeerMessagingDependencies) {
    this.dependencies = dependencies
  }

  /** Registers the handlers and listeners. */
  connect (): void {
    const { network, overlay, workTracker, digests, loadOwnership, engineFinder, clock } = this.dependencies
    workTracker.onReleased((endpoint) => this.announceRelease(endpoint))
    workTracker.onLongPrompt((endpoint) => digests.announce(endpoint))
    network.onNotice('work-changed', (from, frame) => workTracker.applyPeerChange(from, frame, clock.now()))
    network.onNotice('relay-load', (from, frame) => {
      workTracker.applyPeerReport(from, frame.loads, clock.now())
      loadOwnership.runsEnded()
    })
    network.onNotice('adapters-held', (from, frame) => {
      this.heldAdapters.setFull(from, frame)
      this.handleHeldAdapters(from, frame)
    })
    network.onNotice('adapters-changed', (from, change) => {
      const frame = this.heldAdapters.apply(from, change)
      if (frame !== undefined) this.handleHeldAdapters(from, frame)
    })
    network.onNotice('load-ask', (from, frame) => this.handleLoadRequest(from, frame))
    network.onNotice('load-refused', (_from, frame) => engineFinder.refused(frame.endpoint, frame.key))
    overlay.onNeighbour((neighbour, role) => this.replayHeldAdapters(neighbour, role))
  }

  /** Drops what is known of an endpoint that was removed. */
  forget (endpoint: EndpointId): void {
    this.heldAdapters.forget(endpoint)
  }

  /**
   * Sends a new neighbour the held adapters of the engines whose load owner is this instance. A hub also sends the announcements of
   * other instances: to a leaf those of all instances, to another hub only those of the leaves attached to this hub.
   */
  private replayHeldAdapters (neighbour: InstanceId, role: OverlayRole): void {
    const { self, overlay, heldNotices, loadOwnership } = this.dependencies
    const own = heldNotices.present((endpoint) => loadOwnership.loader(endpoint) !== undefined)
    overlay.replay(neighbour, own.map((frame) => [self, frame]))
    if (!overlay.isHub || overlay.isMesh) return
    const leaves = new Set(overlay.neighboursOf('leaf'))
    overlay.replay(neighbour, this.heldAdapters.all().filter(([from]) => role === 'leaf' || leaves.has(from)))
  }

  private handleLoadRequest (from: InstanceId, frame: LoadAskFrame): void {
    const { loadOwnership, overlay } = this.dependencies
    const { endpoint, key, version } = frame
    const loader = loadOwnership.loader(endpoint)
    if (loader === undefined) return overlay.notify(from, { kind: 'load-refused', endpoint, key, reason: 'this instance does not order its loads' })
    if (loadOwnership.isBackingOff(endpoint)) return overlay.notify(from, { kind: 'load-refused', endpoint, key, reason: 'the endpoint asked this instance to back off' })
    loader.requestLoad(key as AdapterKey, version, waitingRequestOf(frame, from))
  }

  private handleHeldAdapters (from: InstanceId, frame: AdaptersHeldFrame): void {
    const { metrics, locations, clock } = this.dependencies
    metrics.adapterNotice('taken')
    const hidden = locations.applyNotice(from, frame, clock.now())
    this.objectToEviction(from, frame.endpoint, hidden)
  }

  /**
   * The load owner of an engine knows the running requests of other instances from their digests, and a request that started after
   * the last digest is missing in that digest. If the adapter of that request were evicted, the engine would accept no other order
   * until the request has ended, and all loads of the engine would wait for seconds. The digest sent here reaches the load owner
   * before it sends the order.
   */
  private objectToEviction (loadOwner: InstanceId, endpoint: EndpointId, hidden: readonly AdapterKey[]): void {
    const { workTracker, digests } = this.dependencies
    if (hidden.some((key) => workTracker.ownRunning(endpoint, key) > 0)) digests.send(loadOwner)
  }

  /** Informs the load owner of an engine that an adapter slot may be free, when loads wait for one. */
  private announceRelease (endpoint: EndpointId): void {
    const { locations, loadOwnership, digests, self } = this.dependencies
    const loadOwner = locations.line(endpoint)?.waiting.size === 0 ? undefined : loadOwnership.loadOwnerOf(endpoint)
    if (loadOwner === self) loadOwnership.loader(endpoint)?.runsEnded()
    else if (loadOwner !== undefined) digests.sendSoon(loadOwner)
  }
}

/** Describes the request that waits for a load. An instance of a release that sends no request ids counts as one waiting request. */
function waitingRequestOf (frame: LoadAskFrame, from: InstanceId): WaitingRequestFacts | undefined {
  const { waiting, request = from, onTimeMilliseconds, priority, shareUsed, returnsInMilliseconds } = frame
  return waiting ? { request, onTimeMilliseconds, priority, shareUsed, returnsInMilliseconds } : undefined
}
