/** Builds the notices about the adapters that an engine holds, in full or as deltas, and sends them from its load owner to all instances. */
import type { AdaptersHeldFrame, Clock, EndpointId, FencingToken, InstanceId } from '@limpetwinch/core'
import type { Urgency } from '../overlay/notice-outbox.js'
import type { PeerOverlay } from '../overlay/peer-overlay.js'
import type { IngressMetrics } from '../observability/ingress-metrics.js'
import type { AdapterKey, Endpoint } from '../routes/configuration.js'
import type { AdapterLocations } from './adapter-locations.js'
import { deltaBetween } from './held-adapter-deltas.js'
import type { SlotReservations } from './slot-reservations.js'

/**
 * Every 20th notice is sent in full, the others as deltas. A peer that missed a notice on a broken connection receives all notices
 * in full on its next connection. If two connections of the peer crossed, the peer cannot apply deltas until the next full
 * notice, which follows about a second later for a busy engine.
 */
const FULL_NOTICE_INTERVAL = 20

/** Content of one notice about an engine. */
export interface HeldAdaptersUpdate {
  readonly endpoint: Endpoint
  readonly token: FencingToken
  /** Grows with each notice under one fencing token. */
  readonly sequence: number
  readonly reservations: SlotReservations
  /** Adapters that are held but not offered: they are about to be evicted or replaced. */
  readonly hidden: { readonly has: (key: AdapterKey) => boolean }
  /** Adapters with a pending load. */
  readonly waiting: readonly AdapterKey[]
  /** Expected wait of one more load in the engine's load queue. */
  readonly waitMilliseconds: number
  /** Expected wait of one more load of each priority while no slot is free, from the most urgent one on. */
  readonly waits: readonly number[]
}

/** Sends notices about held adapters to all peers, and the last notice about each engine to a peer that connects. */
export class HeldAdapterNotices {
  private readonly peers: Pick<PeerOverlay, 'broadcast'>
  private readonly locations: AdapterLocations
  private readonly metrics: IngressMetrics
  private readonly clock: Clock
  private readonly self: InstanceId
  private readonly last = new Map<EndpointId, AdaptersHeldFrame>()

  /** @param self - id of this process, under which the notices are applied locally */
  constructor (peers: Pick<PeerOverlay, 'broadcast'>, locations: AdapterLocations, metrics: IngressMetrics, clock: Clock, self: InstanceId) {
    this.peers = peers
    this.locations = locations
    this.metrics = metrics
    this.clock = clock
    this.self = self
  }

  /**
   * Applies a notice to this instance and sends it to all peers.
   *
   * @param urgency - `urgent` when the notice changes where requests may go; otherwise `patient`, which allows a slight delay for batching
   */
  publish ({ endpoint, token, sequence, reservations, hidden, waiting, waitMilliseconds, waits }: HeldAdaptersUpdate, urgency: Urgency): void {
    const held = [...reservations.held].filter(([key]) => !hidden.has(key)).map(([key, slot]): [string, number] => [key, slot.version])
    const frame: AdaptersHeldFrame = {
      kind: 'adapters-held',
      endpoint: endpoint.id,
      born: endpoint.born,
      token,
      sequence,
      held,
      inFlight: [...reservations.inFlight.keys()],
      waiting,
      waitMilliseconds: Math.round(waitMilliseconds),
      ...(waits.length === 0 ? {} : { waits: waits.map(Math.round) })
    }
    const before = this.last.get(endpoint.id)
    this.last.set(endpoint.id, frame)
    this.locations.applyNotice(this.self, frame, this.clock.now())
    const isSuccessor = before !== undefined && before.born === frame.born && before.token === frame.token && before.sequence === sequence - 1
    const notice = isSuccessor && sequence % FULL_NOTICE_INTERVAL !== 0 ? deltaBetween(before, frame) : frame
    this.metrics.adapterNotice('sent')
    this.peers.broadcast(notice, urgency)
  }

  /**
   * Lists the last notices for a peer that has just connected and received none. The peer would otherwise know only the engines'
   * own statements in the store, which are older.
   *
   * @param isOwner - whether this instance is still the load owner of the engine
   * @returns the last notices, in full
   */
  present (isOwner: (endpoint: EndpointId) => boolean): readonly AdaptersHeldFrame[] {
    for (const id of [...this.last.keys()]) if (!isOwner(id)) this.last.delete(id)
    return [...this.last.values()]
  }
}
