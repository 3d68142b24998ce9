/**
 * Reads the complete response of one engine run. When a connection breaks or becomes unresponsive, the stream is resumed
 * after the last received part.
 */
import { LimpetwinchError, SystemClock } from '@limpetwinch/core'
import type { Clock, EndpointId, EngineClient, GenerateRequest, GenerationEnd, GenerationEventResult } from '@limpetwinch/core'
import { Backoff } from '../concurrency/backoff.js'
import { LinkedAbort } from '../runtime/linked-abort.js'
import { AnswerAssembler } from './answer-assembler.js'

/** Bounds of the pause before the next connection after one without progress, milliseconds. The pause starts at `first` and doubles. */
const PAUSE = { first: 50, largest: 1_000 }

/** When the stream of a run is resumed, and when the stream counts as stalled, so that another engine is sought. */
export interface StreamLimits {
  /** Time without data after which a connection is replaced by a new one. */
  readonly idleTimeoutMilliseconds: number
  /** Number of consecutive resumes without progress after which a stream counts as stalled. */
  readonly resumesWithoutProgress: number
}

/** Events of an engine's response. */
export type AnswerEvent =
  | { readonly kind: 'text', readonly texts: readonly string[] }
  /**
   * The engine is unresponsive. The run may continue, so further connections are tried until the response ends or the reader
   * aborts the signal of {@link EngineAnswer.events}.
   */
  | { readonly kind: 'stalled' }
  | { readonly kind: 'end', readonly end: GenerationEnd }
  | { readonly kind: 'error', readonly error: LimpetwinchError }

/** How one connection ended: with the last event of the response, or broken before that. */
type StepResult = { readonly finished: AnswerEvent } | { readonly broken: LimpetwinchError }

/** Streams one run. The signal of {@link EngineAnswer.events} can end the stream at any time. */
export class EngineAnswer {
  private readonly endpoint: EndpointId
  private readonly client: EngineClient
  private readonly request: GenerateRequest
  private readonly limits: StreamLimits
  private readonly clock: Clock
  private readonly assembler = new AnswerAssembler()

  /**
   * @param endpoint - the id of the engine, for errors
   * @param client - the client of the engine
   * @param request - the request to run
   * @param limits - when the stream is resumed and when the stream counts as stalled
   * @param clock - the clock to use
   */
  constructor (endpoint: EndpointId, client: EngineClient, request: GenerateRequest, limits: StreamLimits, clock: Clock = new SystemClock()) {
    this.clock = clock
    this.endpoint = endpoint
    this.client = client
    this.request = request
    this.limits = limits
  }

  /** Number of tokens given to the reader so far. */
  get delivered (): number {
    return this.assembler.next
  }

  /**
   * Resumes the stream until the response is complete, the engine itself reports a failure, or the signal is aborted.
   * Unresponsive and broken connections do not show that the run has failed, so they do not end the stream.
   *
   * @param signal - ends the stream
   * @returns texts in order, then an end or an error; an error with outcome `not_run` proves that nothing was run
   */
  async * events (signal: AbortSignal): AsyncGenerator<AnswerEvent> {
    const pause = new Backoff(PAUSE, Math.random)
    let lastError: LimpetwinchError | undefined
    let started = false
    let withoutProgress = 0
    let reportedFailures = 0
    while (!signal.aborted && reportedFailures <= this.limits.resumesWithoutProgress) {
      const before = this.assembler.next
      const step = yield * this.connection(started, signal)
      if ('finished' in step) return yield step.finished
      lastError = step.broken
      if (!started && step.broken.outcome === 'not_run') break
      if (started && isUnknownRequest(step.broken)) {
        lastError = this.lost(step.broken)
        break
      }
      started = true
      if (this.assembler.next > before) {
        withoutProgress = 0
        reportedFailures = 0
        pause.reset()
        continue
      }
      withoutProgress += 1
      if (step.broken.details.heard !== false) reportedFailures += 1
      else if (withoutProgress > this.limits.resumesWithoutProgress) yield { kind: 'stalled' }
      await this.clock.sleep(pause.next(), signal)
    }
    yield { kind: 'error', error: lastError ?? new LimpetwinchError('request-ended-early') }
  }

  /** Reads one connection until the response ends, the connection breaks or the connection delivers no data for too long. */
  private async * connection (resumed: boolean, signal: AbortSignal): AsyncGenerator<AnswerEvent, StepResult> {
    const idleTimeout = new IdleTimeout(signal, this.limits.idleTimeoutMilliseconds)
    const source = resumed
      ? this.client.resume(this.request.requestId, this.assembler.next, idleTimeout.signal)
      : this.client.generate(this.request, idleTimeout.signal)
    try {
      for await (const result of source) {
        // While the caller processes an event, nothing is read from the engine, so this time must not count as idle.
        idleTimeout.pause()
        const step = yield * this.take(result)
        if (step !== undefined) return step
        idleTimeout.restart()
      }
    } finally {
      idleTimeout.stop()
    }
    return { broken: new LimpetwinchError('endpoint-failed', { endpoint: this.endpoint, reason: 'the stream ended before the response was complete', heard: false }) }
  }

  private async * take (result: GenerationEventResult): AsyncGenerator<AnswerEvent, StepResult | undefined> {
    if (!result.ok) return { broken: result.error }
    if (result.event.kind === 'part') {
      const texts = this.assembler.push(result.event.part)
      if (texts.length > 0) yield { kind: 'text', texts }
      return undefined
    }
    const { end } = result.event
    // The end event counts more parts than have arrived. Ending here would truncate the response, so the stream is resumed for the
    // missing parts.
    if (this.assembler.hasGap || this.assembler.next < end.outputTokens) {
      return { broken: new LimpetwinchError('endpoint-failed', { endpoint: this.endpoint, reason: 'the stream ended with parts missing' }) }
    }
    return { finished: this.checked(end) }
  }

  /** Rejects a response that the engine generated with an adapter other than the requested one. */
  private checked (end: GenerationEnd): AnswerEvent {
    if (end.adapter === this.request.adapter) return { kind: 'end', end }
    const reason = `it reports that it used '${end.adapter}' instead of '${this.request.adapter}'`
    return { kind: 'error', error: new LimpetwinchError('endpoint-failed', { endpoint: this.endpoint, reason }) }
  }

  /**
   * @returns the error for a request that the engine does not know; the request may have run before an engine restart, or may
   *   still reach the engine late, so the outcome is `unknown`
   */
  private lost (cause: LimpetwinchError): LimpetwinchError {
    return new LimpetwinchError('endpoint-failed', { endpoint: this.endpoint, reason: 'it no longer knows the request' }, { cause })
  }
}

function isUnknownRequest (error: LimpetwinchError): boolean {
  return error.kind === 'endpoint-refused' && error.details.code === 'unknown-request'
}

/** Aborts a connection that delivers no data for too long. One interval timer per connection avoids a timer per token. */
class IdleTimeout {
  private readonly link: LinkedAbort
  private readonly timer: NodeJS.Timeout
  private waitingSince = performance.now()

  constructor (parent: AbortSignal, milliseconds: number) {
    this.link = new LinkedAbort(parent)
    this.timer = setInterval(() => {
      if (performance.now() - this.waitingSince > milliseconds) this.link.abort()
    }, milliseconds / 4)
  }

  get signal (): AbortSignal {
    return this.link.signal
  }

  /** Stops the idle time while a received event is processed. */
  pause (): void {
    this.waitingSince = Infinity
  }

  /** Restarts the idle time when the next event is awaited. */
  restart (): void {
    this.waitingSince = performance.now()
  }

  stop (): void {
    clearInterval(this.timer)
    this.link.unlink()
  }
}
