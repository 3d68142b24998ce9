/** Sends notices over the overlay and passes on those of others. */
import { encodeFrame } from '@limpetwinch/entry'
import type { NoticeFrame, PeerLinks } from '@limpetwinch/entry'
import type { Clock, InstanceId, Logger, OverlayBatchFrame, OverlayItem, OverlayRoleFrame } from '@limpetwinch/core'
import { FLUSH_MILLISECONDS, NoticeOutbox } from './notice-outbox.js'
import type { QueuedItem, Urgency } from './notice-outbox.js'

/** From a leaf over its hub and that of another data centre to a leaf there. Beyond, two instances take each other for a leaf. */
const MOST_HOPS = 3
const ALL = ''
/** A notice between two instances that are connected, with the work that its reader has in hand. */
const DIRECT_NOTICE_MILLISECONDS = 30

/** What an instance is towards its neighbours. */
export type OverlayRole = OverlayRoleFrame['role']

/** The overlay around one instance, as it is at the moment. */
export interface OverlayView {
  readonly self: InstanceId
  readonly isHub: boolean
  /** Whether notices go straight from each instance to each other one. */
  readonly isMesh: boolean
  /** The hub of a leaf. */
  readonly ownHub: InstanceId | undefined
  readonly neighbours: () => readonly InstanceId[]
  readonly neighboursOf: (role: OverlayRole) => readonly InstanceId[]
  readonly isLeaf: (neighbour: InstanceId) => boolean
  /** @returns the hub that is connected to the instance */
  readonly hubOf: (instance: InstanceId) => InstanceId | undefined
}

/** The notices of one instance, its own and those that it passes on. */
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
    network.onNotice('overlay-batch', (from, frame) => this.takeBatch(from, frame))
  }

  /** Within this a notice has reached all others, and their answer is here. */
  get noticeRoundTripMilliseconds (): number {
    return this.view.isMesh ? DIRECT_NOTICE_MILLISECONDS : DIRECT_NOTICE_MILLISECONDS + 2 * MOST_HOPS * FLUSH_MILLISECONDS
  }

  /** Tells all other instances. @param urgency - whether it may wait at each hop for others to go with */
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

  /** Tells one instance; lost when it cannot be reached. */
  notify (to: InstanceId, frame: NoticeFrame): void {
    if (to === this.view.self || this.network.isConnected(to)) return this.network.notify(to, frame)
    const item = this.itemOf(this.view.self, to, frame)
    if (item !== undefined) this.route({ item, urgency: 'urgent' }, to)
  }

  /**
   * Tells a neighbour, and all behind it, what was said before it was there.
   *
   * @param frames - with those who made them
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

  private takeBatch (from: InstanceId, { items, patient = [] }: OverlayBatchFrame): void {
    const { self } = this.view
    const isFromLeaf = this.view.isLeaf(from)
    const mayWait = new Set(patient)
    for (const [place, [origin, to, hops, frame]] of items.entries()) {
      // What goes to all leaves comes back to the one that made it.
      if (origin === self) continue
      if (to === ALL || to === self) this.network.takePassedOn(origin, frame)
      if (to === self || hops >= MOST_HOPS) continue
      const next: QueuedItem = { item: [origin, to, hops + 1, frame], urgency: mayWait.has(place) ? 'patient' : 'urgent' }
      if (to === ALL) this.passOn(next, isFromLeaf)
      else this.route(next, to)
    }
  }

  /** What comes from a leaf goes to all hubs, and what comes from a hub to leaves only: nothing goes round in circles. */
  private passOn (queued: QueuedItem, isFromLeaf: boolean): void {
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
    this.logger.error('A notice cannot be sent.', { kind: frame.kind, reason: encoded.error.message })
    return undefined
  }
}

function batchOf (queued: readonly QueuedItem[]): OverlayBatchFrame {
  const items = queued.map(({ item }) => item)
  const patient = [...queued.keys()].filter((place) => queued[place]?.urgency === 'patient')
  return patient.length === 0 ? { kind: 'overlay-batch', items } : { kind: 'overlay-batch', items, patient }
}
