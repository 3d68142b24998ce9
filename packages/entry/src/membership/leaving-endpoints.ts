/** Endpoints that the platform lists as leaving, by the newest reading of this instance or of a peer. */
import type { Clock, InstanceId } from '@limpetwinch/core'
import type { PeerLinks } from '../peers/peer-links.js'

/**
 * An instance that the platform does not answer, or that was paused, would go on to send work to an endpoint that all
 * others have left. Each one that reads a change tells its peers, so one reader in reach is enough for all. Told on
 * change only: at rest it costs nothing.
 */
export class LeavingEndpoints {
  private readonly peers: PeerLinks
  private readonly clock: Clock
  private readonly listeners: (() => void)[] = []
  private endpoints: ReadonlySet<string> = new Set()
  /** Monotonic time at which the reading behind them began. */
  private readAt = -Infinity

  constructor (peers: PeerLinks, clock: Clock) {
    this.peers = peers
    this.clock = clock
    peers.onNotice('endpoints-leaving', (_from, frame) => {
      if (this.apply(frame.leaving, this.clock.now() - frame.readMillisecondsAgo)) for (const listener of this.listeners) listener()
    })
    // One that comes back from a cut has missed the change.
    peers.onConnected(({ instance }) => { if (this.endpoints.size > 0) this.sendTo(instance) })
  }

  /** @returns the endpoints that are leaving */
  get current (): ReadonlySet<string> {
    return this.endpoints
  }

  /** Calls the listener after a change that a peer told. */
  onPeerUpdate (listener: () => void): void {
    this.listeners.push(listener)
  }

  /**
   * Takes up what this instance read itself, and passes a change on.
   *
   * @param began - monotonic time at which the reading began
   * @returns whether anything changed
   */
  read (endpoints: readonly string[], began: number): boolean {
    if (!this.apply(endpoints, began)) return false
    for (const instance of this.peers.connected()) this.sendTo(instance)
    return true
  }

  private sendTo (instance: InstanceId): void {
    const readMillisecondsAgo = Math.max(0, this.clock.now() - this.readAt)
    this.peers.notify(instance, { kind: 'endpoints-leaving', leaving: [...this.endpoints], readMillisecondsAgo })
  }

  /** An older reading may arrive after a newer one; taking it up would send work to an endpoint that is leaving. */
  private apply (endpoints: readonly string[], readAt: number): boolean {
    if (readAt < this.readAt) return false
    this.readAt = readAt
    const same = endpoints.length === this.endpoints.size && endpoints.every((endpoint) => this.endpoints.has(endpoint))
    if (same) return false
    this.endpoints = new Set(endpoints)
    return true
  }
}
