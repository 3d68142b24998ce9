/** Dispatches received frames to the handlers registered for their kind. */
import type { FrameKind, FrameOf, InstanceId, Logger, PeerFrame } from '@limpetwinch/core'
import type { CallFrame, NoticeFrame, ReplyBody, ReplyFrame } from './peer-network.js'

const CALL_KINDS: ReadonlySet<FrameKind> = new Set<CallFrame['kind']>(['admission-ask', 'pins-ask', 'hand-over', 'load-turn-ask'])
const REPLY_KINDS: ReadonlySet<FrameKind> = new Set<ReplyFrame['kind']>(['admission-granted', 'admission-refused', 'pins-report', 'accepted', 'refused'])

type NoticeHandler = (from: InstanceId, frame: NoticeFrame) => void
type CallHandler = (from: InstanceId, frame: CallFrame, signal: AbortSignal) => Promise<ReplyBody>

/** @returns whether a frame is a call, which expects a reply */
export function isCall (frame: { readonly kind: FrameKind }): frame is CallFrame {
  return CALL_KINDS.has(frame.kind)
}

/** @returns whether a frame is the reply to a call */
export function isReply (frame: { readonly kind: FrameKind }): frame is ReplyFrame {
  return REPLY_KINDS.has(frame.kind)
}

/** @returns whether a frame is a one-way message, which gets no reply */
export function isNotice (frame: PeerFrame): frame is NoticeFrame {
  return frame.kind !== 'hello' && !isCall(frame) && !isReply(frame)
}

/** Holds the handlers by kind of frame and calls them. */
export class FrameDispatcher {
  private readonly logger: Logger
  private readonly notices = new Map<FrameKind, NoticeHandler[]>()
  private readonly calls = new Map<FrameKind, CallHandler>()

  /** @param logger - logs failures of handlers */
  constructor (logger: Logger) {
    this.logger = logger
  }

  /** Adds a handler for one kind of one-way message. */
  onNotice<Kind extends NoticeFrame['kind']> (kind: Kind, handler: (from: InstanceId, frame: FrameOf<Kind>) => void): void {
    const handlers = this.notices.get(kind) ?? []
    this.notices.set(kind, [...handlers, handler as unknown as NoticeHandler])
  }

  /** Sets the handler for one kind of call. */
  onCall<Kind extends CallFrame['kind']> (kind: Kind, handler: (from: InstanceId, frame: FrameOf<Kind>, signal: AbortSignal) => Promise<ReplyBody>): void {
    this.calls.set(kind, handler as unknown as CallHandler)
  }

  /** Delivers a one-way message to all its handlers. */
  deliverNotice (from: InstanceId, frame: NoticeFrame): void {
    for (const handler of this.notices.get(frame.kind) ?? []) {
      try {
        handler(from, frame)
      } catch (cause) {
        // A fault of one handler must not end the connection, which all handlers share.
        this.logger.error('A notice handler failed.', { kind: frame.kind, cause: String(cause) })
      }
    }
  }

  /** Delivers a call to its handler. @returns the reply; the promise is never rejected */
  async call (from: InstanceId, frame: CallFrame, signal: AbortSignal): Promise<ReplyBody> {
    const handler = this.calls.get(frame.kind)
    if (handler === undefined) {
      return { kind: 'refused', error: 'peer-unreachable', details: { reason: `it takes no ${frame.kind}` }, outcome: 'not_run' }
    }
    try {
      return await handler(from, frame, signal)
    } catch (cause) {
      this.logger.error('A call handler failed.', { kind: frame.kind, cause: String(cause) })
      return { kind: 'refused', error: 'peer-silent', details: {}, outcome: 'unknown' }
    }
  }
}
