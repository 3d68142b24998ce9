/** Frames of the connection between two instances, whatever it is used for. */
import type { Outcome } from '../errors/error-data.js'
import type { ErrorName } from '../errors/errors-data.js'
import type { DataCentreId, InstanceId } from '../ids/ids.js'

/** The first frame in each direction of a connection, which identifies the sender. */
export interface HelloFrame {
  readonly kind: 'hello'
  readonly instance: InstanceId
  readonly dataCentre: DataCentreId
  readonly address: string
}

/** Sent at every heartbeat interval. A peer whose heartbeats are missing is first suspected and then considered to have left. */
export interface HeartbeatFrame {
  readonly kind: 'heartbeat'
  readonly sequence: number
  /**
   * Sequence number of the receiver's last heartbeat that arrived on this connection, 0 for none. The echo proves that the sender made
   * this heartbeat after the receiver had sent the echoed one.
   */
  readonly echo: number
  readonly leaving: boolean
  /** Hash over all settings revisions in force at the sender; different hashes show that one side lacks a change. */
  readonly settingsHash: string
  /**
   * Sequence number of the latest ownership object (the stored record of which instance owns which endpoint) that the sender knows.
   * While the response to a write by the sender is missing, this is the sequence number of that write if it is higher, because
   * the write may have taken effect.
   */
  readonly ownershipVersion: number
  /** Whether the sender's last call to the object API got a response. */
  readonly storeReachable: boolean
  /** A configuration version that was the newest one at a known moment; absent if the sender knows of no such moment. */
  readonly provedConfiguration?: number | undefined
  /** Time from that moment until the sender created this heartbeat, in milliseconds. A duration does not depend on synchronised clocks. */
  readonly provedMillisecondsAgo?: number | undefined
}

/** The sender's last frame: the sender runs no more requests, sends no more orders to endpoints and then exits. */
export interface GoodbyeFrame {
  readonly kind: 'goodbye'
}

/** The fields of a frame that reports an error. */
export interface ErrorFrameBody {
  readonly error: ErrorName
  readonly details: Record<string, unknown>
  readonly outcome: Outcome
  readonly retryAfterSeconds?: number
}

/** A positive response to a call, without further content. */
export interface AcceptedFrame {
  readonly kind: 'accepted'
  readonly call: number
}

/** A negative response to a call. */
export interface RefusedFrame extends ErrorFrameBody {
  readonly kind: 'refused'
  readonly call: number
}
