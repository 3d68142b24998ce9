/** Tells all instances which adapters an engine holds, as the one that orders its loads knows it. */
import type { AdaptersHeldFrame, Clock, EndpointId, FencingToken, InstanceId } from '@limpetwinch/core'
import type { Urgency } from '../overlay/notice-outbox.js'
import type { PeerOverlay } from '../overlay/peer-overlay.js'
import type { IngressMetrics } from '../observability/ingress-metrics.js'
import type { AdapterKey, Endpoint } from '../routes/configuration.js'
import type { AdapterLocations } from './adapter-locations.js'
import { deltaBetween } from './held-adapter-deltas.js'
import type { SlotReservations } from './slot-reservations.js'

/**
 * One word in so many is whole. A peer that missed one, on a connection that broke, is told all at its next connection;
 * where two connections crossed it is at sea until the next whole word, about a second later on a busy engine.
 */
const FULL_NOTICE_INTERVAL = 20

/** What is told of one engine. */
export interface HeldAdaptersUpdate {
  readonly endpoint: Endpoint
  readonly token: FencingToken
  /** Grows with each statement under one token. */
  readonly sequence: number
  readonly reservations: SlotReservations
  /** Adapters that are held and not offered: they are about to leave or to be replaced. */
  readonly hidden: { readonly has: (key: AdapterKey) => boolean }
  /** Adapters that wait for their load. */
  readonly waiting: readonly AdapterKey[]
  /** How long one more would wait for its turn. */
  readonly waitMilliseconds: number
}

/** Sends statements, and the last ones again to whoever connects. */
export class HeldAdapterNotices {
  private readonly peers: Pick<PeerOverlay, 'broadcast'>
  private readonly locations: AdapterLocations
  private readonly metrics: IngressMetrics
  private readonly clock: Clock
  private readonly self: InstanceId
  private readonly last = new Map<EndpointId, AdaptersHeldFrame>()

  /** @param self - this process */
  constructor (peers: Pick<PeerOverlay, 'broadcast'>, locations: AdapterLocations, metrics: IngressMetrics, clock: Clock, self: InstanceId) {
    this.peers = peers
    this.locations = locations
    this.metrics = metrics
    this.clock = clock
    this.self = self
  }

  /** Tells this instance and all peers. @param urgency - `urgent` when requests go elsewhere by it */
  publish ({ endpoint, token, sequence, reservations: ledger, hidden, waiting, waitMilliseconds }: HeldAdaptersUpdate, urgency: Urgency): void {
    const held = [...ledger.held].filter(([key]) => !hidden.has(key)).map(([key, slot]): [string, number] => [key, slot.version])
    const frame: AdaptersHeldFrame = {
      kind: 'adapters-held', endpoint: endpoint.id, born: endpoint.born, token, sequence, held, inFlight: [...ledger.inFlight.keys()], waiting, waitMilliseconds: Math.round(waitMilliseconds)
    }
    const before = this.last.get(endpoint.id)
    this.last.set(endpoint.id, frame)
    this.locations.applyNotice(this.self, frame, this.clock.now())
    const goesOn = before !== undefined && before.born === frame.born && before.token === frame.token && before.sequence === sequence - 1
    const word = goesOn && sequence % FULL_NOTICE_INTERVAL !== 0 ? deltaBetween(before, frame) : frame
    this.metrics.adapterNotice('sent')
    this.peers.broadcast(word, urgency)
  }

  /**
   * A peer that has just connected has heard nothing; what it believes would otherwise be as old as engines' statements.
   *
   * @param isOrdered - whether this instance still orders the engine's loads
   * @returns the last statements, whole
   */
  present (isOrdered: (endpoint: EndpointId) => boolean): readonly AdaptersHeldFrame[] {
    for (const id of [...this.last.keys()]) if (!isOrdered(id)) this.last.delete(id)
    return [...this.last.values()]
  }
}
