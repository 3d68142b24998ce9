/** One task for each request: attempts, the whole answer once, and exactly what the caller is told. */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { LimpetwinchError } from '@limpetwinch/core'
import type { AdapterReference, Clock, EndpointId, EngineClient, EngineSettings, InstanceId, OperatorSettings, RequestId } from '@limpetwinch/core'
import type { RetryBudget, RoutingPolicy } from '@limpetwinch/decisions'
import type { ExplainLog, RequestStory } from '../measures/explain-log.js'
import type { PrefixTracker } from '../routing/prefix-tracker.js'
import type { EndpointDirectory } from '../routing/endpoint-directory.js'
import { LinkedAbort } from '../runtime/linked-abort.js'
import type { Route, Router } from '../routing/router.js'
import type { AdmissionClient, HeldAdmission } from './admission-client.js'
import { endAbandonedRun } from './abandoned-run.js'
import { EngineAnswer } from './engine-answer.js'
import type { StreamLimits } from './engine-answer.js'
import { ReplacementAdmission } from './replacement-admission.js'
import type { Admitted } from './replacement-admission.js'

const MOST_ATTEMPTS = 4
const ASK_AGAIN_MILLISECONDS = 50
/** Between asks of a request whose run was lost, after a refusal or while the retry budget is used up. */
const SEARCH_AGAIN_MILLISECONDS = 250

/** A request that has passed authentication and limits. */
export interface DeliveryRequest {
  readonly requestId: RequestId
  readonly adapter: AdapterReference
  /** `team/adapter@version`. */
  readonly adapterName: string
  readonly baseModel: string
  readonly priority: number
  readonly prompt: string
  readonly promptTokens: number
  readonly maximumTokens: number
  readonly temperature: number | undefined
  readonly seed: number
  readonly idempotent: boolean
  /** Monotonic milliseconds. */
  readonly deadlineAt: number
}

/** What a delivery yields: one `admitted`, texts, then one end or error. After a retry there is another `admitted`. */
export type DeliveryEvent =
  | { readonly kind: 'admitted', readonly endpoint: EndpointId, readonly servedAs: string | undefined, readonly loadStall: number, readonly queueWait: number }
  | { readonly kind: 'text', readonly text: string }
  | { readonly kind: 'end', readonly finishReason: string, readonly promptTokens: number, readonly outputTokens: number }
  | { readonly kind: 'error', readonly error: LimpetwinchError }

/** What deliveries work with. */
export interface DeliveryOptions {
  readonly router: Router
  readonly admissions: AdmissionClient
  readonly directory: EndpointDirectory
  readonly prefixes: PrefixTracker
  readonly clientOf: (engine: EngineSettings) => EngineClient
  readonly policy: () => RoutingPolicy
  readonly retryBudget: RetryBudget
  readonly explain: ExplainLog
  readonly streamLimits: StreamLimits
  /** A team's recent service over its share. */
  readonly shareUsed: (team: string) => number
  readonly clock: Clock
}

/** Delivers answers. */
export class Delivery {
  private readonly options: DeliveryOptions

  /** @param options - what it works with */
  constructor (options: DeliveryOptions) {
    this.options = options
  }

  /**
   * @param request - the request
   * @param settings - what is in force; the same for the whole request
   * @param signal - the caller has gone away
   * @returns events; the last is an end or an error
   */
  async * deliver (request: DeliveryRequest, settings: OperatorSettings, signal: AbortSignal): AsyncGenerator<DeliveryEvent> {
    const deadline = new Deadline(signal, request.deadlineAt - this.options.clock.now())
    try {
      const run = new DeliveryRun(this.options, request, settings, deadline.signal, deadline)
      yield * run.events()
    } finally {
      deadline.stop()
    }
  }
}

/** Ends the request when its time is over or its caller is gone. */
class Deadline {
  private readonly link: LinkedAbort
  private readonly timer: NodeJS.Timeout
  passed = false

  constructor (gone: AbortSignal, milliseconds: number) {
    this.link = new LinkedAbort(gone)
    // A timer of its own, stopped with the request, where AbortSignal.timeout would stay until it ends.
    this.timer = setTimeout(() => {
      this.passed = true
      this.link.abort()
    }, Math.max(0, milliseconds))
  }

  get signal (): AbortSignal {
    return this.link.signal
  }

  stop (): void {
    clearTimeout(this.timer)
    this.link.unlink()
  }
}

/** What one attempt came to: the answer is whole, or an error which says whether it may have run, and what takes its place. */
type Attempt =
  | { readonly whole: true, readonly end: DeliveryEvent }
  | { readonly whole: false, readonly error: LimpetwinchError, readonly next?: Admitted | undefined }

/** The state of one request over its attempts. */
class DeliveryRun {
  private readonly avoid = new Set<EndpointId>()
  private readonly delivered: string[] = []
  private readonly timeline: RequestStory
  private attempts = 0
  /** Attempts beyond the first that the retry budget has paid for. */
  private paidRetries = 0
  private mayHaveRun = false

  constructor (
    private readonly options: DeliveryOptions,
    private readonly request: DeliveryRequest,
    private readonly settings: OperatorSettings,
    private readonly signal: AbortSignal,
    private readonly deadline: Deadline
  ) {
    this.timeline = options.explain.begin(request.requestId, request.adapterName)
  }

  async * events (): AsyncGenerator<DeliveryEvent> {
    this.options.retryBudget.deposit(this.options.clock.now())
    let next: Admitted | undefined
    for (;;) {
      const admission = next === undefined ? await this.admit() : ok(next)
      if (admission.isErr()) return yield this.finalError(admission.error)
      const { held, route } = admission.value
      yield { kind: 'admitted', endpoint: route.engine.endpoint, servedAs: held.loadedName, loadStall: held.grant.loadStall, queueWait: held.grant.queueWait }
      const attempt = yield * this.attempt(route, held)
      // Yielded last of all: a reader stops at the end, and nothing of an attempt that it cut short is run after it.
      if (attempt.whole) return yield attempt.end
      next = attempt.next
      if (next === undefined && !await this.mayTryAgain(attempt.error)) return yield this.finalError(attempt.error)
      this.attempts += 1
      this.timeline.add('tries again', { attempt: this.attempts })
      this.avoid.add(route.engine.endpoint)
    }
  }

  /**
   * Routes and asks until admitted, refused for good, or out of time; asking runs nothing, so it may be repeated. An
   * endpoint whose owner does not answer is left out while others can be asked, and waited for when there is no other.
   */
  private async admit (): Promise<Result<Admitted, LimpetwinchError>> {
    const silent = new Set<EndpointId>()
    for (;;) {
      if (this.signal.aborted) return err(this.ended('not_run'))
      const route = this.options.router.route({ ...this.routingQuestion(), avoid: new Set([...this.avoid, ...silent]) }, this.settings)
      if (route.isErr() && silent.size === 0) {
        if (!await this.waitToRetryRefusal()) return err(route.error)
        continue
      }
      if (route.isErr() || silent.has(route.value.engine.endpoint)) {
        // All that could serve it were asked. Without a pause this would keep the event loop from every timer and socket.
        silent.clear()
        await this.options.clock.sleep(ASK_AGAIN_MILLISECONDS, this.signal)
        continue
      }
      const held = await this.ask(route.value, this.attemptId(this.attempts), this.signal)
      if (held.isOk()) return ok({ held: held.value, route: route.value })
      this.timeline.add('not admitted', { endpoint: route.value.engine.endpoint, kind: held.error.kind })
      if (!isTransient(held.error)) {
        if (!await this.waitToRetryRefusal()) return err(held.error)
        continue
      }
      if (!this.followOwner(route.value, held.error)) silent.add(route.value.engine.endpoint)
    }
  }

  /**
   * Waits before a request is tried once more after a refusal.
   *
   * @returns false when nothing has run: its caller is better told so at once, and comes back; once a run was lost, all that
   *   could be told is `unknown`, with a part of the answer read already
   */
  private async waitToRetryRefusal (): Promise<boolean> {
    if (!this.mayHaveRun || this.signal.aborted) return false
    await this.options.clock.sleep(SEARCH_AGAIN_MILLISECONDS, this.signal)
    return true
  }

  /** @returns whether the former owner named the next one, which can be asked at once */
  private followOwner (route: Route, error: LimpetwinchError): boolean {
    const { owner } = error.details
    if (typeof owner !== 'string' || owner === route.owner) return false
    this.options.directory.setOwner(route.engine.endpoint, owner as InstanceId)
    return true
  }

  private async ask (route: Route, requestId: RequestId, signal: AbortSignal): Promise<Result<HeldAdmission, LimpetwinchError>> {
    const { admissions, directory, clock } = this.options
    const { request } = this
    directory.sent(route.engine.endpoint, request.adapterName)
    this.timeline.add('asked for admission', { endpoint: route.engine.endpoint, owner: route.owner })
    return await admissions.ask(route, {
      requestId,
      adapter: request.adapter,
      team: request.adapter.team,
      priority: request.priority,
      promptTokens: request.promptTokens,
      maximumTokens: request.maximumTokens,
      patience: Math.max(0, request.deadlineAt - clock.now())
    }, signal)
  }

  /** Asks for the next attempt's admission at another endpoint while the present attempt may still come to its end. */
  private async askElsewhere (present: EndpointId, signal: AbortSignal): Promise<Admitted | undefined> {
    if (!this.hasAttemptLeft() || !this.request.idempotent) return undefined
    const avoid = new Set([...this.avoid, present])
    const route = this.options.router.route({ ...this.routingQuestion(), avoid }, this.settings)
    if (route.isErr() || avoid.has(route.value.engine.endpoint) || !this.payForRetry()) return undefined
    const held = await this.ask(route.value, this.attemptId(this.attempts + 1), signal)
    if (held.isOk()) return { held: held.value, route: route.value }
    this.timeline.add('not admitted', { endpoint: route.value.engine.endpoint, kind: held.error.kind })
    if (isTransient(held.error)) this.followOwner(route.value, held.error)
    return undefined
  }

  private async * attempt (route: Route, held: HeldAdmission): AsyncGenerator<DeliveryEvent, Attempt> {
    const { clientOf, prefixes, streamLimits, clock } = this.options
    const { endpoint } = route.engine
    if (this.options.router.isLeaving(endpoint)) {
      held.done('withdrawn', 0)
      return { whole: false, error: new LimpetwinchError('endpoint-refused', { endpoint, reason: 'it is leaving' }) }
    }
    const client = clientOf(route.engine)
    const requestId = this.attemptId(this.attempts)
    const answer = new EngineAnswer(endpoint, client, {
      requestId,
      adapter: held.loadedName,
      prompt: this.request.prompt,
      maximumTokens: this.request.maximumTokens,
      priority: this.request.priority,
      seed: this.request.seed,
      ...(this.request.temperature === undefined ? {} : { temperature: this.request.temperature })
    }, streamLimits, clock)
    this.timeline.add('sent', { endpoint, loadedName: held.loadedName, attempt: this.attempts })
    prefixes.sent(endpoint, this.request.adapterName, this.request.prompt)
    const stop = new LinkedAbort(this.signal)
    const replacement = new ReplacementAdmission(async (signal) => await this.askElsewhere(endpoint, signal), () => stop.abort(), this.signal)
    let ended = false
    try {
      const attempt = yield * this.relay(answer, held, stop.signal, replacement)
      ended = attempt.whole || attempt.error.outcome === 'not_run'
      // A stalled run was told before.
      if (attempt.whole || !replacement.everRequested) this.reportToPolicy(endpoint, attempt)
      if (attempt.whole) return attempt
      this.mayHaveRun ||= attempt.error.outcome === 'unknown'
      return { ...attempt, next: await replacement.take() }
    } finally {
      stop.unlink()
      void replacement.release()
      if (!ended) void this.abandon(client, held, requestId, answer.delivered)
    }
  }

  /** A caller that leaves ends its run, which says nothing of the engine. */
  private reportToPolicy (endpoint: EndpointId, attempt: Attempt): void {
    const { policy, clock } = this.options
    const callerLeft = this.signal.aborted && !this.deadline.passed
    if (attempt.whole) policy().observe(endpoint, 'answered', clock.now())
    else if (!callerLeft) policy().observe(endpoint, 'failed', clock.now())
  }

  private async * relay (answer: EngineAnswer, held: HeldAdmission, signal: AbortSignal, replacement: ReplacementAdmission): AsyncGenerator<DeliveryEvent, Attempt> {
    let position = 0
    for await (const event of answer.events(signal)) {
      if (event.kind === 'stalled') {
        this.handleStall(held.endpoint, replacement)
      } else if (event.kind === 'text') {
        replacement.cancelRequest()
        for (const text of event.texts) {
          const known = this.delivered[position]
          if (known === undefined) {
            this.delivered.push(text)
            yield { kind: 'text', text }
          } else if (known !== text) {
            // A second run that says something else cannot be joined to what the caller has read of the first.
            return { whole: false, error: new LimpetwinchError('endpoint-failed', { endpoint: held.endpoint, reason: 'a repeated run gave another answer' }) }
          }
          position += 1
        }
      } else if (event.kind === 'end') {
        held.done('answered', event.end.outputTokens)
        this.timeline.add('answered whole', { outputTokens: event.end.outputTokens })
        const { finishReason, promptTokens, outputTokens } = event.end
        return { whole: true, end: { kind: 'end', finishReason, promptTokens, outputTokens } }
      } else {
        this.timeline.add('attempt failed', { kind: event.error.kind, outcome: event.error.outcome, reason: event.error.message })
        if (event.error.outcome === 'not_run') held.done('not-run', 0)
        return { whole: false, error: event.error }
      }
    }
    return { whole: false, error: this.ended('unknown') }
  }

  /** The run may go on, so it is kept until another engine has admitted the request. */
  private handleStall (endpoint: EndpointId, replacement: ReplacementAdmission): void {
    const { policy, clock } = this.options
    this.timeline.add('stalled', { endpoint })
    // Told once and at once: the run may be kept for long, and new requests are better sent elsewhere meanwhile.
    if (!replacement.everRequested) policy().observe(endpoint, 'failed', clock.now())
    replacement.request()
  }

  /**
   * Ends a run that nobody waits for. It may go on where the engine cannot be reached, so its adapter stays pinned
   * until the engine has said that it ended or no run can last any longer.
   */
  private async abandon (client: EngineClient, held: HeldAdmission, requestId: RequestId, outputTokens: number): Promise<void> {
    const { clock } = this.options
    const giveUpAt = clock.now() + 1000 * this.settings.policy.longestRequestSeconds
    await endAbandonedRun(client, requestId, outputTokens, clock, giveUpAt)
    held.done('failed', outputTokens)
  }

  private async mayTryAgain (error: LimpetwinchError): Promise<boolean> {
    // A run that may have begun is never begun again for a request that may run only once.
    if (error.outcome === 'unknown' && !this.request.idempotent) return false
    while (this.hasAttemptLeft()) {
      if (this.payForRetry()) return true
      if (!await this.waitToRetryRefusal()) return false
    }
    return false
  }

  private hasAttemptLeft (): boolean {
    return !this.signal.aborted && this.attempts + 1 < MOST_ATTEMPTS
  }

  /** Pays for the attempt after this one, once: an ask that was refused, or withdrawn, has not used it up. */
  private payForRetry (): boolean {
    if (this.paidRetries > this.attempts) return true
    if (!this.options.retryBudget.withdraw(this.options.clock.now())) return false
    this.paidRetries = this.attempts + 1
    return true
  }

  /** What the caller is told: once anything may have run, no later refusal makes it `not_run` again. */
  private finalError (error: LimpetwinchError): DeliveryEvent {
    const outcome = this.mayHaveRun ? 'unknown' : error.outcome
    const options = error.retryAfterSeconds === undefined ? {} : { retryAfterSeconds: error.retryAfterSeconds }
    const told = this.signal.aborted ? this.ended(outcome) : new LimpetwinchError(error.kind, error.details, { outcome, cause: error, ...options })
    this.timeline.add('told an error', { kind: told.kind, outcome })
    return { kind: 'error', error: told }
  }

  private ended (outcome: 'not_run' | 'unknown'): LimpetwinchError {
    return new LimpetwinchError(this.deadline.passed ? 'deadline-passed' : 'request-ended-early', {}, { outcome, retryAfterSeconds: 1 })
  }

  /** Each attempt has an id of its own: an engine knows requests by id, and a late first attempt is not the second. */
  private attemptId (attempts: number): RequestId {
    return (attempts === 0 ? this.request.requestId : `${this.request.requestId}~${attempts + 1}`) as RequestId
  }

  private routingQuestion (): Omit<Parameters<Router['route']>[0], 'avoid'> {
    const { request } = this
    return {
      adapter: request.adapterName,
      team: request.adapter.team,
      baseModel: request.baseModel,
      prompt: request.prompt,
      promptTokens: request.promptTokens,
      maximumTokens: request.maximumTokens,
      priority: request.priority,
      shareUsed: this.options.shareUsed(request.adapter.team)
    }
  }
}

/** Errors of an owner that moved or went: the next one is asked at once. */
function isTransient (error: LimpetwinchError): boolean {
  return error.kind === 'not-owner' || error.kind === 'peer-unreachable' || error.kind === 'peer-silent'
}
