/** One try of a stream on one engine: hands whole events to the caller and watches for silence. */
import type { Clock } from '@limpetwinch/core'
import { EventSpacing } from '@limpetwinch/decisions'
import type { ResponseHead, AttemptSink } from './attempt.js'
import type { CallerExchange } from './caller-exchange.js'
import type { RunningAttempt } from './endpoint-senders.js'
import { EventSplitter } from './event-splitter.js'

/** Engines make an event every few milliseconds; a stream that stands still for so long may have lost its engine. */
const GAP_MILLISECONDS = 1_500
/** An answer that is no stream is a short message. */
const MOST_OTHER_BYTES = 1_048_576
const OK = 200
const MULTIPLE_CHOICES = 300

/** How far a stream has come, over all its tries. */
export interface StreamProgress {
  /** Id of the last event that the caller was given. */
  lastEventId: string | undefined
  firstEventAt: number | undefined
  lastEventAt: number | undefined
  /** Between two events of the stream, milliseconds. */
  longestGap: number
}

/** How a try ended. */
export type StreamAttemptResult =
  | { readonly kind: 'whole' }
  /** The engine answered with something else than a stream. */
  | { readonly kind: 'other-answer', readonly head: ResponseHead, readonly body: Buffer }
  | { readonly kind: 'not-sent', readonly reason: string }
  | { readonly kind: 'broken', readonly reason: string }

/** Watches for an engine that says nothing. Silence alone ends no try: the run may be paused and go on. */
export interface IdleWatch {
  /** How long the first event may take before the engine counts as quiet, milliseconds. */
  readonly firstMilliseconds: number
  /** Called again and again while the engine is quiet. */
  readonly onIdle: () => void
  /** Called with each event. */
  readonly onEvent: () => void
}

/** One try. */
export class StreamAttempt {
  private readonly exchange: CallerExchange
  private readonly progress: StreamProgress
  private readonly quietWatch: IdleWatch | undefined
  private readonly clock: Clock
  private readonly onFirstEvent: () => void
  /** How far apart its events came. */
  readonly spacing = new EventSpacing()
  private readonly splitter = new EventSplitter()
  private readonly otherBody: Buffer[] = []
  private otherBytes = 0
  private head: ResponseHead | undefined
  private sending: RunningAttempt | undefined
  private watchdog: NodeJS.Timeout | undefined
  private watchdogMilliseconds = 0
  private idleCheck: NodeJS.Immediate | undefined
  private hasEvents = false
  private ended = false
  private fault: string | undefined

  /**
   * @param exchange - the caller
   * @param progress - carried on from earlier tries
   * @param quietWatch - told while the engine says nothing; undefined where nothing would follow on it
   * @param clock - for the time of the first event
   * @param onFirstEvent - called once
   */
  constructor (exchange: CallerExchange, progress: StreamProgress, quietWatch: IdleWatch | undefined, clock: Clock, onFirstEvent: () => void) {
    this.exchange = exchange
    this.progress = progress
    this.quietWatch = quietWatch
    this.clock = clock
    this.onFirstEvent = onFirstEvent
  }

  /**
   * @param send - sends the request
   * @returns how it ended
   */
  async run (send: (sink: AttemptSink) => RunningAttempt): Promise<StreamAttemptResult> {
    this.sending = send({ head: (head) => { this.head = head }, data: (chunk) => this.handleChunk(chunk) })
    this.watch(this.quietWatch?.firstMilliseconds)
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
      return { kind: 'other-answer', head, body: Buffer.concat(this.otherBody) }
    }
    // An end in the middle of an event is a cut, whatever the framing says.
    if (!this.splitter.isBetweenEvents) return { kind: 'broken', reason: 'the stream ended within an event' }
    this.exchange.beginResponse(head)
    this.exchange.end()
    return { kind: 'whole' }
  }

  private handleChunk (chunk: Buffer): void {
    if (!this.isStream) return this.handleOtherChunk(chunk)
    const events = this.splitter.append(chunk)
    if (this.splitter.exceedsEventLimit) return this.fail('an event without an end')
    if (events.length === 0) return
    this.quietWatch?.onEvent()
    this.recordGap()
    if (!this.hasEvents) this.firstEvent()
    let takesMore = true
    for (const event of events) {
      // A resumed run that begins before the last event would give the caller a part twice.
      if (event.id !== undefined && this.isOld(event.id)) continue
      takesMore = this.exchange.write(event.bytes)
      if (event.id !== undefined) this.progress.lastEventId = event.id
    }
    if (!takesMore) this.waitForCaller()
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

  private handleOtherChunk (chunk: Buffer): void {
    this.otherBytes += chunk.length
    if (this.otherBytes > MOST_OTHER_BYTES) return this.fail('the answer is too large')
    this.otherBody.push(chunk)
  }

  /** A caller that reads slowly holds its own stream back; the engine is not to blame for the pause. */
  private waitForCaller (): void {
    this.stopWatching()
    this.sending?.attempt.pause()
    void this.exchange.drained().then(() => {
      this.sending?.attempt.resume()
      this.watch(GAP_MILLISECONDS)
    })
  }

  private watch (milliseconds: number | undefined): void {
    const { quietWatch } = this
    if (quietWatch === undefined || milliseconds === undefined || this.ended) return
    if (this.watchdog !== undefined && this.watchdogMilliseconds === milliseconds) {
      this.watchdog.refresh()
      return
    }
    this.stopWatching()
    this.watchdogMilliseconds = milliseconds
    this.watchdog = setTimeout(() => { this.checkIdle(quietWatch) }, milliseconds)
  }

  /** After a standstill of this process timers come before what waits on its connections; only what is still quiet then is. */
  private checkIdle (quietWatch: IdleWatch): void {
    const { lastEventAt } = this.progress
    this.idleCheck = setImmediate(() => {
      if (this.progress.lastEventAt !== lastEventAt) return
      quietWatch.onIdle()
      this.watchdog?.refresh()
    })
  }

  /** A timer that was cleared cannot be refreshed, so none is kept. */
  private stopWatching (): void {
    clearTimeout(this.watchdog)
    clearImmediate(this.idleCheck)
    this.watchdog = undefined
  }

  /** Ends the try. @param reason - for the log and the caller */
  fail (reason: string): void {
    this.fault = reason
    this.sending?.attempt.abandon(reason)
  }
}
