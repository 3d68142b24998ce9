/** Calls on one connection that have no reply yet. */
import { LimpetwinchError } from '@limpetwinch/core'
import type { InstanceId } from '@limpetwinch/core'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { ReplyBody, ReplyFrame } from './peer-network.js'

/** Result of a call: the reply, or an error. */
export type CallResult = Result<ReplyBody, LimpetwinchError>

interface OutstandingCall {
  written: boolean
  readonly settle: (result: CallResult) => void
}

/** Time limit of a call, and the signal that cancels it. */
export interface CallLimits {
  readonly timeoutMilliseconds: number
  readonly signal: AbortSignal | undefined
}

/** Tracks outstanding calls by their number. */
export class OutstandingCalls {
  private readonly peer: InstanceId
  private readonly calls = new Map<number, OutstandingCall>()
  private lastNumber = 0

  /** @param peer - the called peer, named in errors */
  constructor (peer: InstanceId) {
    this.peer = peer
  }

  /**
   * Opens a call and waits for its result.
   *
   * @param limits - time limit and cancellation of the call
   * @param write - queues the frame of the call and calls back once the frame may have reached the peer; returns false when
   *   the queue has no room
   * @returns the reply, `peer-unreachable` when the frame certainly did not reach the peer, `peer-silent` when it may have
   */
  async open (limits: CallLimits, write: (call: number, onWritten: () => void) => boolean): Promise<CallResult> {
    this.lastNumber += 1
    const number = this.lastNumber
    return await new Promise<CallResult>((resolve) => {
      const timer = setTimeout(() => this.fail(number, 'no answer in time'), limits.timeoutMilliseconds)
      const cancel = (): void => this.fail(number, 'given up')
      const call: OutstandingCall = {
        written: false,
        settle: (result) => {
          clearTimeout(timer)
          limits.signal?.removeEventListener('abort', cancel)
          this.calls.delete(number)
          resolve(result)
        }
      }
      this.calls.set(number, call)
      limits.signal?.addEventListener('abort', cancel)
      if (limits.signal?.aborted === true) return this.fail(number, 'given up')
      if (!write(number, () => { call.written = true })) this.fail(number, 'its send queue is full')
    })
  }

  /** Ends a call with its reply; the reply to a call that has already ended is dropped. */
  answered (frame: ReplyFrame): void {
    const { call, ...body } = frame
    this.calls.get(call)?.settle(ok(body as ReplyBody))
  }

  /** Fails all calls because the connection has ended. */
  failAll (reason: string): void {
    for (const number of [...this.calls.keys()]) this.fail(number, reason)
  }

  private fail (number: number, reason: string): void {
    const call = this.calls.get(number)
    if (call === undefined) return
    // The peer may have read a frame that was written to the socket, even if the connection has failed since.
    const kind = call.written ? 'peer-silent' : 'peer-unreachable'
    call.settle(err(new LimpetwinchError(kind, { instance: this.peer, reason })))
  }
}
