/** One whole answer of one engine run: taken up again by position when a connection drops or goes silent. */
import { LimpetwinchError, SystemClock } from '@limpetwinch/core'
import type { Clock, EndpointId, EngineClient, GenerateRequest, GenerationEnd, GenerationEventResult } from '@limpetwinch/core'
import { Backoff } from '../concurrency/backoff.js'
import { LinkedAbort } from '../runtime/linked-abort.js'
import { AnswerAssembler } from './answer-assembler.js'

/** Milliseconds between connections that brought nothing. */
const PAUSE = { first: 50, largest: 1_000 }

/** When a stream is taken up again, and when another engine is looked for. */
export interface StreamLimits {
  /** A connection that says nothing for so long is left for a new one. */
  readonly idleTimeoutMilliseconds: number
  /** A stream that was taken up again so often without progress has stalled. */
  readonly resumesWithoutProgress: number
}

/** What an engine's answer yields. */
export type AnswerEvent =
  | { readonly kind: 'text', readonly texts: readonly string[] }
  /** Nothing is heard of the engine. The run may go on, and is listened for until the signal ends it. */
  | { readonly kind: 'stalled' }
  | { readonly kind: 'end', readonly end: GenerationEnd }
  | { readonly kind: 'error', readonly error: LimpetwinchError }

type StepResult = { readonly finished: AnswerEvent } | { readonly broken: LimpetwinchError }

/** Streams one run. The caller of {@link EngineAnswer.events} may leave at any time by its signal. */
export class EngineAnswer {
  private readonly endpoint: EndpointId
  private readonly client: EngineClient
  private readonly request: GenerateRequest
  private readonly limits: StreamLimits
  private readonly clock: Clock
  private readonly assembler = new AnswerAssembler()

  /**
   * @param endpoint - the engine's id, for errors
   * @param client - the engine
   * @param request - what to run
   * @param limits - when to give a connection up
   * @param clock - time
   */
  constructor (endpoint: EndpointId, client: EngineClient, request: GenerateRequest, limits: StreamLimits, clock: Clock = new SystemClock()) {
    this.clock = clock
    this.endpoint = endpoint
    this.client = client
    this.request = request
    this.limits = limits
  }

  /** Tokens that have gone out. */
  get delivered (): number {
    return this.assembler.next
  }

  /**
   * Takes the stream up again until the answer is whole, the engine itself has said that there is none, or the signal
   * ends it: silence and broken connections say nothing of the run, which would be ended with this stream.
   *
   * @param signal - gives the answer up
   * @returns texts in order, then an end or an error; an error with outcome `not_run` proves that nothing was run
   */
  async * events (signal: AbortSignal): AsyncGenerator<AnswerEvent> {
    const pause = new Backoff(PAUSE, Math.random)
    let lastError: LimpetwinchError | undefined
    let started = false
    let withoutProgress = 0
    let failuresTold = 0
    while (!signal.aborted && failuresTold <= this.limits.resumesWithoutProgress) {
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
        failuresTold = 0
        pause.reset()
        continue
      }
      withoutProgress += 1
      if (step.broken.details.heard !== false) failuresTold += 1
      else if (withoutProgress > this.limits.resumesWithoutProgress) yield { kind: 'stalled' }
      await this.clock.sleep(pause.next(), signal)
    }
    yield { kind: 'error', error: lastError ?? new LimpetwinchError('request-ended-early') }
  }

  /** Reads one connection until it ends, breaks, or says nothing for too long. */
  private async * connection (resumed: boolean, signal: AbortSignal): AsyncGenerator<AnswerEvent, StepResult> {
    const silence = new IdleTimeout(signal, this.limits.idleTimeoutMilliseconds)
    const source = resumed
      ? this.client.resume(this.request.requestId, this.assembler.next, silence.signal)
      : this.client.generate(this.request, silence.signal)
    try {
      for await (const result of source) {
        // While the caller does not take what came, nothing is read, which says nothing of the engine.
        silence.pause()
        const step = yield * this.take(result)
        if (step !== undefined) return step
        silence.listen()
      }
    } finally {
      silence.stop()
    }
    return { broken: new LimpetwinchError('endpoint-failed', { endpoint: this.endpoint, reason: 'the stream ended early', heard: false }) }
  }

  private async * take (result: GenerationEventResult): AsyncGenerator<AnswerEvent, StepResult | undefined> {
    if (!result.ok) return { broken: result.error }
    if (result.event.kind === 'part') {
      const texts = this.assembler.push(result.event.part)
      if (texts.length > 0) yield { kind: 'text', texts }
      return undefined
    }
    const { end } = result.event
    // An end that comes before parts it counts would cut the answer short; the missing parts are asked for again.
    if (this.assembler.hasGap || this.assembler.next < end.outputTokens) {
      return { broken: new LimpetwinchError('endpoint-failed', { endpoint: this.endpoint, reason: 'parts are missing' }) }
    }
    return { finished: this.checked(end) }
  }

  /** An engine that says it used another adapter has not answered this request, whatever it sent. */
  private checked (end: GenerationEnd): AnswerEvent {
    if (end.adapter === this.request.adapter) return { kind: 'end', end }
    const reason = `it says that it used '${end.adapter}' in place of '${this.request.adapter}'`
    return { kind: 'error', error: new LimpetwinchError('endpoint-failed', { endpoint: this.endpoint, reason }) }
  }

  /** The engine knows the request no more. It may have run before a restart, or may still reach the engine late. */
  private lost (cause: LimpetwinchError): LimpetwinchError {
    return new LimpetwinchError('endpoint-failed', { endpoint: this.endpoint, reason: 'it knows the request no more' }, { cause })
  }
}

function isUnknownRequest (error: LimpetwinchError): boolean {
  return error.kind === 'endpoint-refused' && error.details.code === 'unknown-request'
}

/** Ends a connection that says nothing. One timer for the whole stream, so that a token costs no timer. */
class IdleTimeout {
  private readonly link: LinkedAbort
  private readonly timer: NodeJS.Timeout
  private listeningSince = performance.now()

  constructor (parent: AbortSignal, milliseconds: number) {
    this.link = new LinkedAbort(parent)
    this.timer = setInterval(() => {
      if (performance.now() - this.listeningSince > milliseconds) this.link.abort()
    }, milliseconds / 4)
  }

  get signal (): AbortSignal {
    return this.link.signal
  }

  /** Something came, and nothing is read until it has been taken. */
  pause (): void {
    this.listeningSince = Infinity
  }

  /** Reads again. */
  listen (): void {
    this.listeningSince = performance.now()
  }

  stop (): void {
    clearInterval(this.timer)
    this.link.unlink()
  }
}
