/** Frames between entry instances, as the other parts of an instance see them. */
import type { ResultAsync } from 'neverthrow'
import type { DataCentreId, FrameKind, FrameOf, InstanceId, LimpetwinchError, PeerFrame } from '@limpetwinch/core'

/** A frame that asks for an answer; the network gives it its call number. */
export type CallFrame = Extract<PeerFrame, { kind: 'admission-ask' | 'pins-ask' | 'hand-over' | 'load-turn-ask' }>
/** Such a frame before it has its number. */
export type CallBody = CallFrame extends infer Frame ? (Frame extends unknown ? Omit<Frame, 'call'> : never) : never
/** A frame that answers a call. */
export type ReplyFrame = Extract<PeerFrame, { kind: 'admission-granted' | 'admission-refused' | 'pins-report' | 'accepted' | 'refused' }>
/** Such a frame before it has its number. */
export type ReplyBody = ReplyFrame extends infer Frame ? (Frame extends unknown ? Omit<Frame, 'call'> : never) : never
/** A frame that is told and not answered. */
export type NoticeFrame = Exclude<PeerFrame, CallFrame | ReplyFrame | { kind: 'hello' }>

/** Bytes and frames by kind, for the budget of control traffic. */
export type FrameCounts = Readonly<Partial<Record<FrameKind, { readonly sent: number, readonly received: number, readonly bytesSent: number, readonly bytesReceived: number }>>>

/** The connections to all peers. Calls and notices to oneself are delivered as well, without a connection. */
export abstract class PeerNetwork {
  /** This instance. */
  abstract readonly self: { readonly instance: InstanceId, readonly dataCentre: DataCentreId, readonly address: string }

  /** Tells a peer something; lost when there is no connection. */
  abstract notify (to: InstanceId, frame: NoticeFrame): void

  /**
   * Asks a peer.
   *
   * @param to - the peer
   * @param body - the question
   * @param timeoutMilliseconds - how long to wait
   * @param signal - gives up waiting
   * @returns its answer; `peer-unreachable` when it was certainly not asked, `peer-silent` when it may have been
   */
  abstract call (to: InstanceId, body: CallBody, timeoutMilliseconds: number, signal?: AbortSignal): ResultAsync<ReplyBody, LimpetwinchError>

  /** Takes up notices of one kind. */
  abstract onNotice<Kind extends NoticeFrame['kind']> (kind: Kind, handler: (from: InstanceId, frame: FrameOf<Kind>) => void): void

  /** Takes up calls of one kind; the handler's promise is the answer. The signal ends with the connection. */
  abstract onCall<Kind extends CallFrame['kind']> (kind: Kind, handler: (from: InstanceId, frame: FrameOf<Kind>, signal: AbortSignal) => Promise<ReplyBody>): void

  /** @returns peers with a live connection */
  abstract connected (): readonly InstanceId[]

  /** @returns what was sent and received so far */
  abstract counts (): FrameCounts
}
