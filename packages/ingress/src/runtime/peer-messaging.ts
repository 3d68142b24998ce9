/** What instances tell each other of work, held adapters and loads, and what each does with it. */
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

/** Who speaks and who listens. */
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

/** The notices of one instance. */
export class PeerMessaging {
  private readonly parts: PeerMessagingDependencies
  private readonly heldWords = new HeldAdapterBaselines()

  constructor (parts: PeerMessagingDependencies) {
    this.parts = parts
  }

  /** Begins to listen. */
  connect (): void {
    const { network, overlay, workTracker: board, loadOwnership: duty, engineFinder: seeker, clock } = this.parts
    board.onReleased((endpoint) => this.tellRelease(endpoint))
    network.onNotice('relay-load', (from, frame) => {
      board.applyPeerReport(from, frame.loads, clock.now())
      duty.runsEnded()
    })
    network.onNotice('adapters-held', (from, frame) => {
      this.heldWords.setFull(from, frame)
      this.takeHeld(from, frame)
    })
    network.onNotice('adapters-changed', (from, change) => {
      const frame = this.heldWords.apply(from, change)
      if (frame !== undefined) this.takeHeld(from, frame)
    })
    network.onNotice('load-ask', (from, frame) => this.takeAsk(from, frame))
    network.onNotice('load-refused', (_from, frame) => seeker.refused(frame.endpoint, frame.key))
    overlay.onNeighbour((neighbour, role) => this.retell(neighbour, role))
  }

  /** The endpoint is gone. */
  forget (endpoint: EndpointId): void {
    this.heldWords.forget(endpoint)
  }

  /** A neighbour has heard nothing from here; a leaf has heard nothing of anybody else either. */
  private retell (neighbour: InstanceId, role: OverlayRole): void {
    const { self, overlay, heldNotices, loadOwnership: duty } = this.parts
    const own = heldNotices.present((endpoint) => duty.loader(endpoint) !== undefined)
    overlay.replay(neighbour, own.map((frame) => [self, frame]))
    if (!overlay.isHub || overlay.isMesh) return
    const leaves = new Set(overlay.neighboursOf('leaf'))
    overlay.replay(neighbour, this.heldWords.all().filter(([from]) => role === 'leaf' || leaves.has(from)))
  }

  private takeAsk (from: InstanceId, frame: LoadAskFrame): void {
    const { loadOwnership: duty, overlay } = this.parts
    const { endpoint, key, version } = frame
    const loader = duty.loader(endpoint)
    if (loader === undefined) return overlay.notify(from, { kind: 'load-refused', endpoint, key, reason: 'this instance does not order its loads' })
    loader.requestLoad(key as AdapterKey, version, waiterOf(frame, from))
  }

  private takeHeld (from: InstanceId, frame: AdaptersHeldFrame): void {
    const { metrics, locations, clock } = this.parts
    metrics.adapterNotice('taken')
    const hidden = locations.applyNotice(from, frame, clock.now())
    this.objectToEviction(from, frame.endpoint, hidden)
  }

  /**
   * The one that orders an engine's loads knows what runs from digests, and a request that began since the last one is not
   * in them. Were the adapter evicted under it, the engine would take no other order until that request has ended: all its
   * loads stood still for seconds. The objection reaches the holder before its order goes out.
   */
  private objectToEviction (holder: InstanceId, endpoint: EndpointId, hidden: readonly AdapterKey[]): void {
    const { workTracker: board, digests } = this.parts
    if (hidden.some((key) => board.ownRunning(endpoint, key) > 0)) digests.send(holder)
  }

  /** A slot may be free where loads wait for one. */
  private tellRelease (endpoint: EndpointId): void {
    const { locations, loadOwnership: duty, digests, self } = this.parts
    const holder = locations.line(endpoint)?.waiting.size === 0 ? undefined : duty.loadOwnerOf(endpoint)
    if (holder === self) duty.loader(endpoint)?.runsEnded()
    else if (holder !== undefined) digests.sendSoon(holder)
  }
}

/** A release without names of requests asks for each instance as if one request waited there. */
function waiterOf (frame: LoadAskFrame, from: InstanceId): WaitingRequestFacts | undefined {
  return frame.waiting ? { request: frame.request ?? from, onTimeMilliseconds: frame.onTimeMilliseconds } : undefined
}
