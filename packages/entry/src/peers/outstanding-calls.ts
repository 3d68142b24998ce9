/** Calls of one connection that have no answer yet. */
import { LimpetwinchError } from '@limpetwinch/core'
import type { InstanceId } from '@limpetwinch/core'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { ReplyBody, ReplyFrame } from './peer-network.js'

/** What a call ends in. */
export type CallResult = Result<ReplyBody, LimpetwinchError>

interface OutstandingCall {
  written: boolean
  readonly settle: (result: CallResult) => void
}

/** How long a call may wait and what ends it early. */
export interface CallLimits {
  readonly timeoutMilliseconds: number
  readonly signal: AbortSignal | undefined
}

/** The book of calls by number. */
export class OutstandingCalls {
  private readonly peer: InstanceId
  private readonly calls = new Map<number, OutstandingCall>()
  private lastNumber = 0

  /** @param peer - who is asked, for errors */
  constructor (peer: InstanceId) {
    this.peer = peer
  }

  /**
   * Opens a call and waits for its end.
   *
   * @param limits - how long to wait
   * @param write - hands the frame on; calls back once it may have reached the peer; false when there is no room
   * @returns the answer, `peer-unreachable` when the peer was certainly not asked, `peer-silent` otherwise
   */
  async open (limits: CallLimits, write: (call: number, onWritten: () => void) => boolean): Promise<CallResult> {
    this.lastNumber += 1
    const number = this.lastNumber
    return await new Promise<CallResult>((resolve) => {
      const timer = setTimeout(() => this.fail(number, 'no answer in time'), limits.timeoutMilliseconds)
      const abandon = (): void => this.fail(number, 'given up')
      const call: OutstandingCall = {
        written: false,
        settle: (result) => {
          clearTimeout(timer)
          limits.signal?.removeEventListener('abort', abandon)
          this.calls.delete(number)
          resolve(result)
        }
      }
      this.calls.set(number, call)
      limits.signal?.addEventListener('abort', abandon)
      if (limits.signal?.aborted === true) return this.fail(number, 'given up')
      if (!write(number, () => { call.written = true })) this.fail(number, 'its send queue is full')
    })
  }

  /** Ends a call with its answer; an answer that nobody waits for is dropped. */
  answered (frame: ReplyFrame): void {
    const { call, ...body } = frame
    this.calls.get(call)?.settle(ok(body as ReplyBody))
  }

  /** Ends all calls because the connection has ended. */
  failAll (reason: string): void {
    for (const number of [...this.calls.keys()]) this.fail(number, reason)
  }

  private fail (number: number, reason: string): void {
    const call = this.calls.get(number)
    if (call === undefined) return
    // What was handed to the socket may have been read by the peer, whatever became of the connection.
    const kind = call.written ? 'peer-silent' : 'peer-unreachable'
    call.settle(err(new LimpetwinchError(kind, { instance: this.peer, reason })))
  }
}
