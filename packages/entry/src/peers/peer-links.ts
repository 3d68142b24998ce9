/** The peer network as membership and ownership see it: whom to keep connections to, and who was heard when. */
import type { DataCentreId, HeartbeatFrame, InstanceId } from '@limpetwinch/core'
import { PeerNetwork } from './peer-network.js'
import type { NoticeFrame } from './peer-network.js'

/** An instance that may be dialled. */
export interface PeerTarget {
  readonly instance: InstanceId
  readonly dataCentre: DataCentreId
  /** `host:port`. */
  readonly address: string
  /** Whether to keep a connection at all times; otherwise it is dialled when something is to be sent. */
  readonly keep: boolean
  /** Whether the other one dials as well, which it does unless said otherwise; of the two, the one with the higher id dials first. */
  readonly dialsBack?: boolean
}

/** Who speaks at the other end of a connection. */
export interface PeerIdentity {
  readonly instance: InstanceId
  readonly dataCentre: DataCentreId
  readonly address: string
}

/** What an instance says of itself in each heartbeat. */
export type HeartbeatBody = Omit<HeartbeatFrame, 'kind' | 'sequence' | 'echo'>

/** A heartbeat with the times that say what it proves, both in milliseconds. */
export interface ReceivedHeartbeat {
  readonly frame: HeartbeatFrame
  /**
   * When this instance sent the heartbeat that the frame echoes; undefined when it echoes none. The frame was made
   * after that. When it was read proves nothing: it may have lain in the socket's buffer through a pause.
   */
  readonly echoedSentAt: { readonly monotonic: number, readonly wall: number } | undefined
}

/** Why an instance is taken to have ended, before the platform's list says so. */
export type EndEvidence = 'refused' | 'replaced'

/** A {@link PeerNetwork} with what membership needs. */
export abstract class PeerLinks extends PeerNetwork {
  /** Replaces the set of instances that may be dialled. */
  abstract setTargets (targets: readonly PeerTarget[]): void

  /** Sets what goes into each heartbeat. */
  abstract setHeartbeatBody (describe: () => HeartbeatBody): void

  /** @returns monotonic time at which the last frame of a peer came in, or undefined */
  abstract lastContactAt (instance: InstanceId): number | undefined

  /** Calls the listener with each new connection's peer. */
  abstract onConnected (listener: (peer: PeerIdentity) => void): void

  /** Calls the listener when the last connection to an instance has ended. */
  abstract onDisconnected (listener: (instance: InstanceId) => void): void

  /** @returns whether there is a connection to the instance */
  abstract isConnected (instance: InstanceId): boolean

  /** Ends all connections to the instance. */
  abstract disconnect (instance: InstanceId, reason: string): void

  /** Tells several peers the same, encoded once. */
  abstract notifyAll (to: Iterable<InstanceId>, frame: NoticeFrame): void

  /**
   * Takes up a notice that another instance passed on.
   *
   * @param origin - who made it
   * @param bytes - the frame as its maker encoded it; one that cannot be read is dropped and counted
   */
  abstract deliverForwarded (origin: InstanceId, bytes: Uint8Array): void

  /** Calls the listener with each heartbeat. */
  abstract onHeartbeat (listener: (from: InstanceId, heartbeat: ReceivedHeartbeat) => void): void

  /** Calls the listener when a dial shows that an instance no longer listens at its address. */
  abstract onEndEvidence (listener: (instance: InstanceId, evidence: EndEvidence) => void): void
}
