/** Endpoints that the platform lists as leaving, by the latest read of the list by this instance or by a peer. */
import type { Clock, InstanceId } from '@limpetwinch/core'
import type { PeerLinks } from '../peers/peer-links.js'

/**
 * Keeps the latest known set of leaving endpoints and exchanges its changes with the peers.
 *
 * Without messages from peers, an instance that gets no answer from the platform, or that was paused, would keep sending
 * work to a leaving endpoint that the other instances no longer use. Each instance that reads a change notifies its
 * peers, so one peer that can read the list is enough. Only changes are sent, so there is no traffic without changes.
 */
export class LeavingEndpoints {
  private readonly peers: PeerLinks
  private readonly clock: Clock
  private readonly listeners: (() => void)[] = []
  private endpoints: ReadonlySet<string> = new Set()
  /** Monotonic time at which the read of the list that named these endpoints began. */
  private readAt = -Infinity

  constructor (peers: PeerLinks, clock: Clock) {
    this.peers = peers
    this.clock = clock
    peers.onNotice('endpoints-leaving', (_from, frame) => {
      if (this.apply(frame.leaving, this.clock.now() - frame.readMillisecondsAgo)) for (const listener of this.listeners) listener()
    })
    // A peer that reconnects may have missed the change.
    peers.onConnected(({ instance }) => { if (this.endpoints.size > 0) this.sendTo(instance) })
  }

  /** @returns the endpoints that are leaving now */
  get current (): ReadonlySet<string> {
    return this.endpoints
  }

  /** Calls the listener after a change that a peer announced. */
  onPeerUpdate (listener: () => void): void {
    this.listeners.push(listener)
  }

  /**
   * Applies a list that this instance read itself, and notifies the peers of a change.
   *
   * @param endpoints - the endpoints that the list names as leaving
   * @param began - monotonic time at which the read began
   * @returns whether the set of leaving endpoints changed
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

  /** Ignores an older read that arrives after a newer one: applying it would send work to an endpoint that is leaving. */
  private apply (endpoints: readonly string[], readAt: number): boolean {
    if (readAt < this.readAt) return false
    this.readAt = readAt
    const same = endpoints.length === this.endpoints.size && endpoints.every((endpoint) => this.endpoints.has(endpoint))
    if (same) return false
    this.endpoints = new Set(endpoints)
    return true
  }
}
