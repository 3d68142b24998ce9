/** Sends the notices (one-way messages) of this instance over the overlay and forwards those of other instances. */
import { encodeFrame } from '@limpetwinch/entry'
import type { NoticeFrame, PeerLinks } from '@limpetwinch/entry'
import type { Clock, InstanceId, Logger, OverlayBatchFrame, OverlayItem, OverlayRoleFrame } from '@limpetwinch/core'
import { FLUSH_MILLISECONDS, NoticeOutbox } from './notice-outbox.js'
import type { QueuedItem, Urgency } from './notice-outbox.js'

/**
 * Number of hops after which a notice is not forwarded any further: the length of the longest path, from a leaf through its
 * hub and a hub of another data centre to a leaf there. A longer path arises only while two instances consider each other a leaf.
 */
const MAXIMUM_HOPS = 3
/** Destination of a notice for all instances. */
const ALL = ''
/** Time for a notice between two connected instances and its reply, including the work that is queued at the receiver. */
const DIRECT_NOTICE_MILLISECONDS = 30

/** Role of an instance in the overlay. */
export type OverlayRole = OverlayRoleFrame['role']

/** The current overlay from the point of view of one instance. */
export interface OverlayView {
  readonly self: InstanceId
  readonly isHub: boolean
  /** Whether each instance sends notices directly to every other instance. */
  readonly isMesh: boolean
  /** The hub that this instance is attached to, when it is a leaf. */
  readonly ownHub: InstanceId | undefined
  readonly neighbours: () => readonly InstanceId[]
  readonly neighboursOf: (role: OverlayRole) => readonly InstanceId[]
  readonly isLeaf: (neighbour: InstanceId) => boolean
  /** @returns a hub that is connected to the instance, or undefined when none is known */
  readonly hubOf: (instance: InstanceId) => InstanceId | undefined
}

/** Routes the notices of one instance: those it creates and those it forwards. */
export class NoticeRouter {
  private readonly network: PeerLinks
  private readonly view: OverlayView
  private readonly logger: Logger
  private readonly outbox: NoticeOutbox

  constructor (network: PeerLinks, view: OverlayView, clock: Clock, logger: Logger) {
    this.network = network
    this.view = view
    this.logger = logger
    const neighbours = { leaves: () => view.neighboursOf('leaf'), hubs: () => view.neighboursOf('hub') }
    this.outbox = new NoticeOutbox(clock, neighbours, (to, queued) => network.notifyAll(to, batchOf(queued)))
    network.onNotice('overlay-batch', (from, frame) => this.handleBatch(from, frame))
  }

  /** Time in milliseconds in which a notice reaches all other instances and their replies arrive here. */
  get noticeRoundTripMilliseconds (): number {
    return this.view.isMesh ? DIRECT_NOTICE_MILLISECONDS : DIRECT_NOTICE_MILLISECONDS + 2 * MAXIMUM_HOPS * FLUSH_MILLISECONDS
  }

  /**
   * Sends a notice to all other instances.
   *
   * @param frame - the notice
   * @param urgency - whether the notice may wait longer at each hop to be batched
   */
  broadcast (frame: NoticeFrame, urgency: Urgency): void {
    const { view } = this
    if (view.isMesh) return this.network.notifyAll(view.neighbours(), frame)
    const item = this.itemOf(view.self, ALL, frame)
    if (item === undefined) return
    const queued = { item, urgency }
    if (!view.isHub) return this.toOwnHub(queued)
    this.outbox.toHubs(queued)
    this.outbox.toLeaves(queued)
  }

  /** Sends a notice to one instance; the notice is lost when the instance cannot be reached. */
  notify (to: InstanceId, frame: NoticeFrame, urgency: Urgency): void {
    if (to === this.view.self || this.network.isConnected(to)) return this.network.notify(to, frame)
    const item = this.itemOf(this.view.self, to, frame)
    if (item !== undefined) this.route({ item, urgency }, to)
  }

  /**
   * Sends a new neighbour the notices that were broadcast before it connected. A neighbour that is a hub forwards the notices to the
   * instances behind it.
   *
   * @param neighbour - the instance that has connected
   * @param frames - the notices with the instances that created them
   */
  replay (neighbour: InstanceId, frames: Iterable<readonly [origin: InstanceId, frame: NoticeFrame]>): void {
    for (const [origin, frame] of frames) {
      if (this.view.isMesh && origin === this.view.self) {
        this.network.notify(neighbour, frame)
        continue
      }
      const item = this.itemOf(origin, ALL, frame)
      if (item !== undefined) this.outbox.toOne(neighbour, { item, urgency: 'urgent' })
    }
  }

  private handleBatch (from: InstanceId, { items, patient = [], immediate = [] }: OverlayBatchFrame): void {
    const { self } = this.view
    const isFromLeaf = this.view.isLeaf(from)
    const isPatient = new Set(patient)
    const isImmediate = new Set(immediate)
    for (const [index, [origin, to, hops, frame]] of items.entries()) {
      // A notice for all leaves is also sent back to the leaf that created it.
      if (origin === self) continue
      if (to === ALL || to === self) this.network.deliverForwarded(origin, frame)
      if (to === self || hops >= MAXIMUM_HOPS) continue
      const next: QueuedItem = { item: [origin, to, hops + 1, frame], urgency: isImmediate.has(index) ? 'immediate' : isPatient.has(index) ? 'patient' : 'urgent' }
      if (to === ALL) this.forward(next, isFromLeaf)
      else this.route(next, to)
    }
  }

  /** Forwards a notice of a leaf to hubs and leaves, and a notice of a hub to leaves only, so that no notice circulates. */
  private forward (queued: QueuedItem, isFromLeaf: boolean): void {
    if (!this.view.isHub) return
    if (isFromLeaf) this.outbox.toHubs(queued)
    this.outbox.toLeaves(queued)
  }

  private route (queued: QueuedItem, to: InstanceId): void {
    if (this.network.isConnected(to)) return this.outbox.toOne(to, queued)
    if (!this.view.isHub) return this.toOwnHub(queued)
    const hub = this.view.hubOf(to)
    if (hub !== undefined) this.outbox.toOne(hub, queued)
  }

  private toOwnHub (queued: QueuedItem): void {
    const { ownHub } = this.view
    if (ownHub !== undefined) this.outbox.toOne(ownHub, queued)
  }

  private itemOf (origin: InstanceId, to: InstanceId | typeof ALL, frame: NoticeFrame): OverlayItem | undefined {
    const encoded = encodeFrame(frame)
    if (encoded.isOk()) return [origin, to, 1, encoded.value]
    this.logger.error('A notice could not be encoded and was not sent.', { kind: frame.kind, reason: encoded.error.message })
    return undefined
  }
}

function batchOf (queued: readonly QueuedItem[]): OverlayBatchFrame {
  const items = queued.map(({ item }) => item)
  const patient = indexesOf(queued, 'patient')
  const immediate = indexesOf(queued, 'immediate')
  return { kind: 'overlay-batch', items, ...(patient.length > 0 && { patient }), ...(immediate.length > 0 && { immediate }) }
}

function indexesOf (queued: readonly QueuedItem[], urgency: Urgency): readonly number[] {
  return [...queued.keys()].filter((index) => queued[index]?.urgency === urgency)
}
