/** Tells all instances which adapters an engine holds, as the one that orders its loads knows it. */
import type { AdaptersHeldFrame, Clock, EndpointId, FencingToken } from '@limpetwinch/core'
import type { PeerNetwork } from '@limpetwinch/entry'
import type { IngressMetrics } from '../observability/ingress-metrics.js'
import type { AdapterKey, Endpoint } from '../routes/configuration.js'
import type { AdapterLocations } from './adapter-locations.js'
import type { SlotLedger } from './slot-ledger.js'

/** What is told of one engine. */
export interface HeldStatement {
  readonly endpoint: Endpoint
  readonly token: FencingToken
  /** Grows with each statement under one token. */
  readonly sequence: number
  readonly ledger: SlotLedger
  /** Adapters that are held and not offered: they are about to leave or to be replaced. */
  readonly hidden: ReadonlySet<AdapterKey>
}

/** Sends statements, and the last ones again to whoever connects. */
export class HeldNotices {
  private readonly network: PeerNetwork
  private readonly locations: AdapterLocations
  private readonly metrics: IngressMetrics
  private readonly clock: Clock
  private readonly last = new Map<EndpointId, AdaptersHeldFrame>()

  constructor (network: PeerNetwork, locations: AdapterLocations, metrics: IngressMetrics, clock: Clock) {
    this.network = network
    this.locations = locations
    this.metrics = metrics
    this.clock = clock
  }

  /** Tells this instance and all peers. */
  publish ({ endpoint, token, sequence, ledger, hidden }: HeldStatement): void {
    const held = [...ledger.held].filter(([key]) => !hidden.has(key)).map(([key, slot]): [string, number] => [key, slot.version])
    const frame: AdaptersHeldFrame = { kind: 'adapters-held', endpoint: endpoint.id, born: endpoint.born, token, sequence, held, inFlight: [...ledger.inFlight.keys()] }
    this.last.set(endpoint.id, frame)
    this.locations.takeNotice(frame, this.clock.now())
    this.send(frame)
  }

  /**
   * A peer that has just connected has heard nothing; what it believes would otherwise be as old as engines' statements.
   *
   * @param isOrdered - whether this instance still orders the engine's loads
   */
  retell (isOrdered: (endpoint: EndpointId) => boolean): void {
    for (const [id, frame] of this.last) {
      if (isOrdered(id)) this.send(frame)
      else this.last.delete(id)
    }
  }

  private send (frame: AdaptersHeldFrame): void {
    for (const peer of this.network.connected()) {
      this.metrics.adapterNotice('sent')
      this.network.notify(peer, frame)
    }
  }
}
