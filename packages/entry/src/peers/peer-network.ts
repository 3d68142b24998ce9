/** Interface for exchanging frames with other instances. */
import type { ResultAsync } from 'neverthrow'
import type { DataCentreId, FrameKind, FrameOf, InstanceId, LimpetwinchError, PeerFrame } from '@limpetwinch/core'

/** A frame that expects a reply; the network assigns its call number. */
export type CallFrame = Extract<PeerFrame, { kind: 'admission-ask' | 'pins-ask' | 'hand-over' | 'load-turn-ask' }>
/** A call before its call number is assigned. */
export type CallBody = CallFrame extends infer Frame ? (Frame extends unknown ? Omit<Frame, 'call'> : never) : never
/** A frame that replies to a call. */
export type ReplyFrame = Extract<PeerFrame, { kind: 'admission-granted' | 'admission-refused' | 'pins-report' | 'accepted' | 'refused' }>
/** A reply before its call number is assigned. */
export type ReplyBody = ReplyFrame extends infer Frame ? (Frame extends unknown ? Omit<Frame, 'call'> : never) : never
/** A one-way message: a frame that gets no reply. */
export type NoticeFrame = Exclude<PeerFrame, CallFrame | ReplyFrame | { kind: 'hello' }>

/** Sent and received frames and bytes by kind, to check the traffic between instances against its budget. */
export type FrameCounts = Readonly<Partial<Record<FrameKind, {
  readonly sent: number, readonly received: number, readonly bytesSent: number, readonly bytesReceived: number
}>>>

/** The connections to all peers. Calls and one-way messages of an instance to itself are delivered without a connection. */
export abstract class PeerNetwork {
  /** Identity of this instance. */
  abstract readonly self: { readonly instance: InstanceId, readonly dataCentre: DataCentreId, readonly address: string }

  /** Sends a one-way message to a peer; the message is lost when no connection can be used. */
  abstract notify (to: InstanceId, frame: NoticeFrame): void

  /**
   * Calls a peer and waits for its reply.
   *
   * @param to - the peer
   * @param body - the call without its call number
   * @param timeoutMilliseconds - time limit for the reply
   * @param signal - cancels the call
   * @returns the reply; `peer-unreachable` when the call certainly did not reach the peer, `peer-silent` when it may have
   */
  abstract call (to: InstanceId, body: CallBody, timeoutMilliseconds: number, signal?: AbortSignal): ResultAsync<ReplyBody, LimpetwinchError>

  /** Adds a handler for one-way messages of one kind. */
  abstract onNotice<Kind extends NoticeFrame['kind']> (kind: Kind, handler: (from: InstanceId, frame: FrameOf<Kind>) => void): void

  /** Sets the handler for calls of one kind; the handler resolves to the reply. Its signal is aborted when the connection ends. */
  abstract onCall<Kind extends CallFrame['kind']> (
    kind: Kind,
    handler: (from: InstanceId, frame: FrameOf<Kind>, signal: AbortSignal) => Promise<ReplyBody>
  ): void

  /** @returns peers with an open connection */
  abstract connected (): readonly InstanceId[]

  /** @returns the frames and bytes sent and received so far */
  abstract counts (): FrameCounts
}
