/**
 * The interface through which membership and ownership use the peer network: sets which peers to connect to, and returns when each peer
 * was last in contact.
 */
import type { DataCentreId, HeartbeatFrame, InstanceId } from '@limpetwinch/core'
import { PeerNetwork } from './peer-network.js'
import type { NoticeFrame } from './peer-network.js'

/** An instance that may be dialled. */
export interface PeerTarget {
  readonly instance: InstanceId
  readonly dataCentre: DataCentreId
  /** `host:port`. */
  readonly address: string
  /** Whether to keep a connection at all times; otherwise the target is dialled when a frame has to be sent. */
  readonly keep: boolean
  /** Whether the target also dials this instance; true by default. Of two such instances, the one with the higher id dials first. */
  readonly dialsBack?: boolean
}

/** Identity of the peer at the other end of a connection. */
export interface PeerIdentity {
  readonly instance: InstanceId
  readonly dataCentre: DataCentreId
  readonly address: string
}

/** What an instance announces about itself in each heartbeat. */
export type HeartbeatBody = Omit<HeartbeatFrame, 'kind' | 'sequence' | 'echo'>

/** A received heartbeat, with a time on this instance's clocks before which the peer cannot have created it. */
export interface ReceivedHeartbeat {
  readonly frame: HeartbeatFrame
  /**
   * When this instance sent the heartbeat that the frame echoes, in milliseconds on both clocks; undefined when the frame
   * echoes none. The peer created the frame after this time. The time at which the frame was read is no evidence, since
   * the frame may have waited in the socket's buffer during a pause.
   */
  readonly echoedSentAt: { readonly monotonic: number, readonly wall: number } | undefined
}

/**
 * Evidence that an instance has ended, available before the platform's list shows the end: its address refused a
 * connection, or another process answered there.
 */
export type EndEvidence = 'refused' | 'replaced'

/** A {@link PeerNetwork} with the operations that membership and ownership need. */
export abstract class PeerLinks extends PeerNetwork {
  /** Replaces the set of instances that may be dialled. */
  abstract setTargets (targets: readonly PeerTarget[]): void

  /** Sets the function that provides the content of each heartbeat. */
  abstract setHeartbeatBody (describe: () => HeartbeatBody): void

  /** @returns monotonic time of the last frame from a peer, in milliseconds, or undefined when none has arrived */
  abstract lastContactAt (instance: InstanceId): number | undefined

  /** Calls the listener with the peer of each new connection. */
  abstract onConnected (listener: (peer: PeerIdentity) => void): void

  /** Calls the listener when the last connection to an instance has ended. */
  abstract onDisconnected (listener: (instance: InstanceId) => void): void

  /** @returns whether there is a connection to the instance */
  abstract isConnected (instance: InstanceId): boolean

  /** Ends all connections to the instance. */
  abstract disconnect (instance: InstanceId, reason: string): void

  /** Sends the same one-way message to several peers, encoded once. */
  abstract notifyAll (to: Iterable<InstanceId>, frame: NoticeFrame): void

  /**
   * Delivers a one-way message that another instance forwarded.
   *
   * @param origin - the instance that created the message
   * @param bytes - the frame as its origin encoded it; an invalid frame is dropped and counted
   */
  abstract deliverForwarded (origin: InstanceId, bytes: Uint8Array): void

  /** Calls the listener with each received heartbeat. */
  abstract onHeartbeat (listener: (from: InstanceId, heartbeat: ReceivedHeartbeat) => void): void

  /** Calls the listener when an attempt to dial shows that an instance no longer listens at its address. */
  abstract onEndEvidence (listener: (instance: InstanceId, evidence: EndEvidence) => void): void
}
