/** One attempt of a stream on one engine: passes complete events to the caller and detects when the engine sends no events on this stream. */
import { ByteCollector } from '@limpetwinch/core'
import type { Clock } from '@limpetwinch/core'
import { EventSpacing } from '@limpetwinch/decisions'
import type { ChunkUse, ResponseHead, AttemptSink } from './attempt.js'
import type { CallerExchange } from './caller-exchange.js'
import type { RunningAttempt } from './endpoint-senders.js'
import type { CompleteEvent } from './event-splitter.js'
import { EventSplitter, MAXIMUM_EVENT_BYTES } from './event-splitter.js'

/**
 * Time without an event after which a stream counts as idle. Engines produce an event of a stream every few milliseconds, so the engine of
 * an idle stream may be lost.
 */
const GAP_MILLISECONDS = 1_500
/** Largest accepted body of a response that is not a stream. Engines send such a response to refuse a request or to report an error, with a short message. */
const MAXIMUM_OTHER_BYTES = 1_048_576
const OK = 200
const MULTIPLE_CHOICES = 300

/** Progress of a stream over all its attempts. */
export interface StreamProgress {
  /** Id of the last event that was sent to the caller. */
  lastEventId: string | undefined
  /** Monotonic time at which the first event arrived, from any attempt. */
  firstEventAt: number | undefined
  /** Monotonic time at which the latest event arrived, from any attempt. */
  lastEventAt: number | undefined
  /** Longest time between two events of the stream, milliseconds. */
  longestGap: number
}

/** How an attempt ended. */
export type StreamAttemptResult =
  | { readonly kind: 'whole' }
  /** The engine responded with something other than a stream, such as a refusal or an error. */
  | { readonly kind: 'other-answer', readonly head: ResponseHead, readonly body: Buffer }
  | { readonly kind: 'not-sent', readonly reason: string }
  | { readonly kind: 'broken', readonly reason: string }

/**
 * Callbacks for an idle stream, that is, one on which the engine has sent no event for some time. Idleness alone does not end an attempt,
 * since the engine may have paused the run of this request and continue it.
 */
export interface IdleWatch {
  /** How long the first event may take before the stream counts as idle, milliseconds. After the first event, the limit is {@link GAP_MILLISECONDS}. */
  readonly firstMilliseconds: number
  /**
   * Called when the stream becomes idle, and again each time another such period has passed without an event: `firstMilliseconds` before
   * the first event, {@link GAP_MILLISECONDS} after it.
   */
  readonly onIdle: () => void
  /** Called when events arrive. */
  readonly onEvent: () => void
}

/** Runs one attempt of a stream on one engine. */
export class StreamAttempt {
  private readonly exchange: CallerExchange
  private readonly progress: StreamProgress
  private readonly idleWatch: IdleWatch | undefined
  private readonly clock: Clock
  private readonly onFirstEvent: () => void
  /** Time between the events of this attempt, from which the speed of the engine is learnt. */
  readonly spacing = new EventSpacing()
  private readonly splitter = new EventSplitter()
  private readonly otherBody = new ByteCollector()
  private head: ResponseHead | undefined
  private sending: RunningAttempt | undefined
  private watchdog: NodeJS.Timeout | undefined
  private watchdogMilliseconds = 0
  private idleCheck: NodeJS.Immediate | undefined
  private hasEvents = false
  /** Largest id of an event of this attempt; an engine that repeats events makes no progress. */
  private latestId = Number.NEGATIVE_INFINITY
  private ended = false
  private fault: string | undefined

  /**
   * @param exchange - exchange with the caller
   * @param progress - shared by all attempts of the stream
   * @param idleWatch - called while the stream is idle; undefined when the stream may not continue on another engine
   * @param clock - monotonic time
   * @param onFirstEvent - called once, with the first event of this attempt
   */
  constructor (exchange: CallerExchange, progress: StreamProgress, idleWatch: IdleWatch | undefined, clock: Clock, onFirstEvent: () => void) {
    this.exchange = exchange
    this.progress = progress
    this.idleWatch = idleWatch
    this.clock = clock
    this.onFirstEvent = onFirstEvent
  }

  /**
   * Runs the attempt to its end.
   *
   * @param send - sends the request
   * @returns how the attempt ended
   */
  async run (send: (sink: AttemptSink) => RunningAttempt): Promise<StreamAttemptResult> {
    this.sending = send({ head: (head) => { this.head = head }, data: (chunk) => this.handleChunk(chunk) })
    this.watch(this.idleWatch?.firstMilliseconds)
    const end = await this.sending.ended
    this.ended = true
    this.stopWatching()
    if (end.kind === 'not-sent') return { kind: 'not-sent', reason: end.reason }
    if (this.fault !== undefined) return { kind: 'broken', reason: this.fault }
    if (end.kind !== 'whole') return { kind: 'broken', reason: end.reason }
    return this.finish()
  }

  private get isStream (): boolean {
    const { head } = this
    return head !== undefined && head.facts.signed && head.status >= OK && head.status < MULTIPLE_CHOICES
  }

  private finish (): StreamAttemptResult {
    const { head } = this
    if (head === undefined) return { kind: 'broken', reason: 'an answer without a beginning' }
    if (!this.isStream) {
      if (!head.facts.signed && !head.facts.notRun) return { kind: 'broken', reason: 'an answer that the engine did not sign' }
      return { kind: 'other-answer', head, body: this.otherBody.toBuffer() }
    }
    // A stream that ends in the middle of an event is truncated, even if its HTTP framing is complete.
    if (!this.splitter.isBetweenEvents) return { kind: 'broken', reason: 'the stream ended within an event' }
    this.exchange.beginResponse(head)
    this.exchange.end()
    return { kind: 'whole' }
  }

  private handleChunk (chunk: Buffer): ChunkUse {
    if (!this.isStream) return this.handleOtherChunk(chunk)
    const events = this.splitter.append(chunk)
    if (this.sending?.attempt.holds(this.splitter.pendingBytes, MAXIMUM_EVENT_BYTES, 'event') === false) return 'filler'
    if (events.filter((event) => this.isAdvance(event.id)).length === 0) return events.length === 0 && !this.splitter.isBetweenEvents ? 'piece' : 'filler'
    this.passOn(events)
    return 'event'
  }

  /** @returns whether the event is one that this attempt has not brought before */
  private isAdvance (id: string | undefined): boolean {
    const number = Number(id ?? Number.NaN)
    if (number <= this.latestId) return false
    if (!Number.isNaN(number)) this.latestId = number
    return true
  }

  private passOn (events: readonly CompleteEvent[]): void {
    this.idleWatch?.onEvent()
    this.recordGap()
    if (!this.hasEvents) this.firstEvent()
    let mayWriteMore = true
    for (const event of events) {
      // A resumed stream may begin with events that the caller has already received from an earlier attempt.
      if (event.id !== undefined && this.isOld(event.id)) continue
      mayWriteMore = this.exchange.write(event.bytes)
      if (event.id !== undefined) this.progress.lastEventId = event.id
    }
    if (!mayWriteMore) this.waitForCaller()
    else this.watch(GAP_MILLISECONDS)
  }

  private recordGap (): void {
    const now = this.clock.now()
    const { lastEventAt } = this.progress
    if (lastEventAt !== undefined) this.progress.longestGap = Math.max(this.progress.longestGap, now - lastEventAt)
    if (lastEventAt !== undefined && this.hasEvents) this.spacing.recordGap(now - lastEventAt)
    this.progress.lastEventAt = now
  }

  private firstEvent (): void {
    this.hasEvents = true
    this.progress.firstEventAt ??= this.clock.now()
    if (this.head !== undefined) this.exchange.beginResponse(this.head)
    this.onFirstEvent()
  }

  private isOld (id: string): boolean {
    const last = Number(this.progress.lastEventId ?? Number.NaN)
    return Number(id) <= last
  }

  private handleOtherChunk (chunk: Buffer): ChunkUse {
    const bytes = this.otherBody.length + chunk.length
    if (this.sending?.attempt.holds(bytes, MAXIMUM_OTHER_BYTES, 'body') !== false) this.otherBody.append(chunk)
    return 'part'
  }

  /** Stops reading the stream until a caller that reads slowly has caught up. The stream does not count as idle meanwhile. */
  private waitForCaller (): void {
    this.stopWatching()
    this.sending?.attempt.pause()
    void this.exchange.drained().then(() => {
      this.sending?.attempt.resume()
      this.watch(GAP_MILLISECONDS)
    })
  }

  /** Starts or restarts the timer that detects when the engine sends no event on this stream for the given time. */
  private watch (milliseconds: number | undefined): void {
    const { idleWatch } = this
    if (idleWatch === undefined || milliseconds === undefined || this.ended) return
    if (this.watchdog !== undefined && this.watchdogMilliseconds === milliseconds) {
      this.watchdog.refresh()
      return
    }
    this.stopWatching()
    this.watchdogMilliseconds = milliseconds
    this.watchdog = setTimeout(() => { this.checkIdle(idleWatch) }, milliseconds)
  }

  /**
   * Called by the timer that detects an idle stream. After a process pause, timers fire before data that has already arrived is read. So
   * the stream counts as idle only when no event was read by the next turn of the event loop.
   */
  private checkIdle (idleWatch: IdleWatch): void {
    const { lastEventAt } = this.progress
    this.idleCheck = setImmediate(() => {
      if (this.progress.lastEventAt !== lastEventAt) return
      idleWatch.onIdle()
      this.watchdog?.refresh()
    })
  }

  /** Stops the timer and forgets it, since a timer that was cleared must not be refreshed. */
  private stopWatching (): void {
    clearTimeout(this.watchdog)
    clearImmediate(this.idleCheck)
    this.watchdog = undefined
  }

  /** Ends the attempt as broken. @param reason - for the log and the caller */
  fail (reason: string): void {
    this.fault = reason
    this.sending?.attempt.abandon(reason)
  }
}
