/** The live connections by peer. */
import type { InstanceId } from '@limpetwinch/core'
import { Wake } from '../concurrency/wake.js'
import type { PeerConnection } from './peer-connection.js'

/**
 * Live connections. A pair may hold two for a while, one dialled by each side; what is sent goes on the newest. Closing
 * one of the two by a rule is left out on purpose: when each side closes another one, both are lost.
 */
export class ConnectionTable {
  private readonly connections = new Map<InstanceId, readonly PeerConnection[]>()
  private readonly heard = new Map<InstanceId, number>()
  private readonly wakes = new Map<InstanceId, Wake>()

  /** Adds a connection; an earlier one of the same dialler is ended, since its dialler has given it up. */
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

  /** Takes a connection out after its end. */
  remove (connection: PeerConnection): void {
    const { instance } = connection.peer
    this.heard.set(instance, Math.max(connection.lastContactAt, this.heard.get(instance) ?? -Infinity))
    const left = (this.connections.get(instance) ?? []).filter((other) => other !== connection)
    if (left.length === 0) this.connections.delete(instance)
    else this.connections.set(instance, left)
    this.wakeOf(instance).notify()
  }

  /** @returns the newest connection to a peer */
  newest (instance: InstanceId): PeerConnection | undefined {
    return this.connections.get(instance)?.findLast((connection) => !connection.ended)
  }

  /** @returns peers with a connection */
  peers (): readonly InstanceId[] {
    return [...this.connections.keys()].filter((instance) => this.newest(instance) !== undefined)
  }

  /** @returns when the last frame of a peer came in on any connection, monotonic milliseconds */
  lastContactAt (instance: InstanceId): number | undefined {
    const live = (this.connections.get(instance) ?? []).map((connection) => connection.lastContactAt)
    const ended = this.heard.get(instance)
    const times = ended === undefined ? live : [...live, ended]
    return times.length === 0 ? undefined : Math.max(...times)
  }

  /** Forgets when an instance was heard that is no longer of interest. */
  forget (instance: InstanceId): void {
    if (this.connections.has(instance)) return
    this.heard.delete(instance)
    this.wakes.delete(instance)
  }

  /** @returns what is notified when connections to a peer come and go */
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
