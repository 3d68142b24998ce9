/** Open connections by peer. */
import type { InstanceId } from '@limpetwinch/core'
import { Wake } from '../concurrency/wake.js'
import type { PeerConnection } from './peer-connection.js'

/**
 * Open connections. A pair of instances may have two for a while, one dialled by each side; frames are sent on the newer
 * one. No rule closes one of the two on purpose: if each side closed a different one, both would be lost.
 */
export class ConnectionTable {
  private readonly connections = new Map<InstanceId, readonly PeerConnection[]>()
  /** Monotonic time of the last frame from each peer on connections that have ended, in milliseconds. */
  private readonly endedContactAt = new Map<InstanceId, number>()
  private readonly wakes = new Map<InstanceId, Wake>()

  /** Adds a connection and ends an earlier one that was dialled by the same side, which has abandoned it. */
  add (connection: PeerConnection): void {
    const { instance } = connection.peer
    const earlier = this.connections.get(instance) ?? []
    const kept = earlier.filter((other) => other.dialled !== connection.dialled)
    this.connections.set(instance, [...kept, connection])
    for (const other of earlier) {
      if (!kept.includes(other)) other.end('a newer connection took its place')
    }
    this.wakeOf(instance).notify()
  }

  /** Removes a connection after its end. */
  remove (connection: PeerConnection): void {
    const { instance } = connection.peer
    this.endedContactAt.set(instance, Math.max(connection.lastContactAt, this.endedContactAt.get(instance) ?? -Infinity))
    const left = (this.connections.get(instance) ?? []).filter((other) => other !== connection)
    if (left.length === 0) this.connections.delete(instance)
    else this.connections.set(instance, left)
    this.wakeOf(instance).notify()
  }

  /** @returns the newest open connection to a peer */
  newest (instance: InstanceId): PeerConnection | undefined {
    return this.connections.get(instance)?.findLast((connection) => !connection.ended)
  }

  /** @returns peers with an open connection */
  peers (): readonly InstanceId[] {
    return [...this.connections.keys()].filter((instance) => this.newest(instance) !== undefined)
  }

  /** @returns monotonic time of the last frame from a peer on any connection, in milliseconds, or undefined */
  lastContactAt (instance: InstanceId): number | undefined {
    const open = (this.connections.get(instance) ?? []).map((connection) => connection.lastContactAt)
    const ended = this.endedContactAt.get(instance)
    const times = ended === undefined ? open : [...open, ended]
    return times.length === 0 ? undefined : Math.max(...times)
  }

  /** Removes the contact time of an instance that is no longer a target, unless it has a connection. */
  forget (instance: InstanceId): void {
    if (this.connections.has(instance)) return
    this.endedContactAt.delete(instance)
    this.wakes.delete(instance)
  }

  /** @returns the wake that is notified when a connection to the peer is added or removed */
  wakeOf (instance: InstanceId): Wake {
    let wake = this.wakes.get(instance)
    if (wake === undefined) {
      wake = new Wake()
      this.wakes.set(instance, wake)
    }
    return wake
  }

  /** Ends all connections to a peer. */
  end (instance: InstanceId, reason: string): void {
    for (const connection of [...this.connections.get(instance) ?? []]) connection.end(reason)
  }

  /** Ends all connections. */
  endAll (reason: string): void {
    for (const connection of [...this.connections.values()].flat()) connection.end(reason)
  }
}
