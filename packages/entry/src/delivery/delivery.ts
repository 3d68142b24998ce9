/**
 * Delivers the response of each request to an adapter: makes the attempts, streams the response once and decides which error
 * the caller gets.
 */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { LimpetwinchError } from '@limpetwinch/core'
import type { AdapterReference, Clock, EndpointId, EngineClient, EngineSettings, InstanceId, OperatorSettings, RequestId } from '@limpetwinch/core'
import type { RetryBudget, RoutingPolicy } from '@limpetwinch/decisions'
import type { ExplainLog, RequestTimeline } from '../metrics/explain-log.js'
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

/** Number of attempts for one request, including the first. It bounds how much engine time a failing request can use. */
const MAXIMUM_ATTEMPTS = 4
/** Pause before admission is requested again, after the owners of all suitable endpoints were unresponsive. */
const RETRY_ADMISSION_MILLISECONDS = 50
/**
 * Pause before the next try for a request whose earlier run was lost. The pause follows a refused admission, and a retry that
 * the retry budget did not allow.
 */
const RETRY_REFUSED_MILLISECONDS = 250

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
  /** Time until which the caller waits for the complete response, monotonic milliseconds. */
  readonly deadlineAt: number
}

/** Events of a delivery: `admitted`, any number of texts, then one end or error. Each retry adds another `admitted`, also after texts. */
export type DeliveryEvent =
  | { readonly kind: 'admitted', readonly endpoint: EndpointId, readonly servedAs: string | undefined, readonly loadStall: number, readonly queueWait: number }
  | { readonly kind: 'text', readonly text: string }
  | { readonly kind: 'end', readonly finishReason: string, readonly promptTokens: number, readonly outputTokens: number }
  | { readonly kind: 'error', readonly error: LimpetwinchError }

/** Dependencies of deliveries. */
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
  /** @returns a team's recent service, which is its use of engines in weighted tokens, relative to the team's fair share; 1 is fair */
  readonly shareUsed: (team: string) => number
  readonly clock: Clock
}

/** Delivers the responses of requests to adapters. */
export class Delivery {
  private readonly options: DeliveryOptions

  /** @param options - dependencies */
  constructor (options: DeliveryOptions) {
    this.options = options
  }

  /**
   * Runs a request and streams its response.
   *
   * @param request - the request
   * @param settings - the settings, which stay the same during the whole request
   * @param signal - aborted when the caller has disconnected
   * @returns the events; the last one is an end or an error
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

/** Aborts a request when its deadline passes or its caller disconnects. */
class Deadline {
  private readonly link: LinkedAbort
  private readonly timer: NodeJS.Timeout
  passed = false

  constructor (callerSignal: AbortSignal, milliseconds: number) {
    this.link = new LinkedAbort(callerSignal)
    // This timer is cleared when the request ends. A timer of AbortSignal.timeout would stay until the deadline.
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

/**
 * The result of one attempt: a complete response, or an error. `next` is the admission at another engine, if one was secured
 * for the next attempt.
 */
type Attempt =
  | { readonly whole: true, readonly end: DeliveryEvent }
  | { readonly whole: false, readonly error: LimpetwinchError, readonly next?: Admitted | undefined }

/** Runs one request and keeps its state across attempts. */
class DeliveryRun {
  private readonly avoid = new Set<EndpointId>()
  private readonly delivered: string[] = []
  private readonly timeline: RequestTimeline
  private attempts = 0
  /** Number of retries of this request that were withdrawn from the retry budget. */
  private paidRetries = 0
  /** Whether an earlier attempt may have run at an engine. */
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
      // The end event is yielded last, because a reader stops at that event and no code of this generator runs afterwards.
      if (attempt.whole) return yield attempt.end
      next = attempt.next
      if (next === undefined && !await this.mayTryAgain(attempt.error)) return yield this.finalError(attempt.error)
      this.attempts += 1
      this.timeline.add('tries again', { attempt: this.attempts })
      this.avoid.add(route.engine.endpoint)
    }
  }

  /**
   * Requests admission at one endpoint after another until the request is admitted, finally refused or out of time.
   * Admission requests do not run anything, so they may be retried. An endpoint with an unresponsive owner is skipped while
   * there are other endpoints. When there is no other, the endpoint is tried again after a pause.
   */
  private async admit (): Promise<Result<Admitted, LimpetwinchError>> {
    const unresponsive = new Set<EndpointId>()
    for (;;) {
      if (this.signal.aborted) return err(this.earlyEndError('not_run'))
      const route = this.options.router.route({ ...this.routingQuestion(), avoid: new Set([...this.avoid, ...unresponsive]) }, this.settings)
      if (route.isErr() && unresponsive.size === 0) {
        if (!await this.waitToRetryRefusal()) return err(route.error)
        continue
      }
      if (route.isErr() || unresponsive.has(route.value.engine.endpoint)) {
        // All suitable endpoints were tried. Without a pause this loop could starve all timers and sockets of the event loop.
        unresponsive.clear()
        await this.options.clock.sleep(RETRY_ADMISSION_MILLISECONDS, this.signal)
        continue
      }
      const held = await this.requestAdmission(route.value, this.attemptId(this.attempts), this.signal)
      if (held.isOk()) return ok({ held: held.value, route: route.value })
      this.timeline.add('not admitted', { endpoint: route.value.engine.endpoint, kind: held.error.kind })
      if (!isTransient(held.error)) {
        if (!await this.waitToRetryRefusal()) return err(held.error)
        continue
      }
      if (!this.followOwner(route.value, held.error)) unresponsive.add(route.value.engine.endpoint)
    }
  }

  /**
   * Waits before a refused request is tried again, if an earlier attempt may have run.
   *
   * A request that has not run is refused at once instead, so that the caller can retry. After a lost run an error could only
   * have the outcome `unknown`, possibly after the caller received a part of the response, so trying again is better.
   *
   * @returns false if nothing has run or the request has ended
   */
  private async waitToRetryRefusal (): Promise<boolean> {
    if (!this.mayHaveRun || this.signal.aborted) return false
    await this.options.clock.sleep(RETRY_REFUSED_MILLISECONDS, this.signal)
    return true
  }

  /**
   * Looks for the id of another owner in an error, where an owner that has been replaced names its successor. If there is one,
   * the directory is updated, so that the next route to the endpoint leads to the successor.
   *
   * @returns whether the error named another owner, so that admission can be requested again at once
   */
  private followOwner (route: Route, error: LimpetwinchError): boolean {
    const { owner } = error.details
    if (typeof owner !== 'string' || owner === route.owner) return false
    this.options.directory.setOwner(route.engine.endpoint, owner as InstanceId)
    return true
  }

  private async requestAdmission (route: Route, requestId: RequestId, signal: AbortSignal): Promise<Result<HeldAdmission, LimpetwinchError>> {
    const { admissions, directory, clock } = this.options
    const { request } = this
    directory.sent(route.engine.endpoint, request.adapterName)
    this.timeline.add('asked for admission', { endpoint: route.engine.endpoint, owner: route.owner })
    return await admissions.requestAdmission(route, {
      requestId,
      adapter: request.adapter,
      team: request.adapter.team,
      priority: request.priority,
      promptTokens: request.promptTokens,
      maximumTokens: request.maximumTokens,
      patience: Math.max(0, request.deadlineAt - clock.now())
    }, signal)
  }

  /** Requests admission of the next attempt at an endpoint other than `present`, while the current attempt may still complete. */
  private async askElsewhere (present: EndpointId, signal: AbortSignal): Promise<Admitted | undefined> {
    if (!this.hasAttemptLeft() || !this.request.idempotent) return undefined
    const avoid = new Set([...this.avoid, present])
    const route = this.options.router.route({ ...this.routingQuestion(), avoid }, this.settings)
    if (route.isErr() || avoid.has(route.value.engine.endpoint) || !this.payForRetry()) return undefined
    const held = await this.requestAdmission(route.value, this.attemptId(this.attempts + 1), signal)
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
      // If the run stalled, the routing policy has already been notified of the failure.
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

  /**
   * Reports the result of an attempt to the routing policy. A run that ended because its caller disconnected is no failure
   * of the engine.
   */
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
            // The caller has read a part of the first response, which cannot be continued with a different response.
            return { whole: false, error: new LimpetwinchError('endpoint-failed', { endpoint: held.endpoint, reason: 'a retried run gave a different response' }) }
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
    return { whole: false, error: this.earlyEndError('unknown') }
  }

  /** Requests a replacement for a stalled run. The run may recover, so the run is kept until another engine has admitted the request. */
  private handleStall (endpoint: EndpointId, replacement: ReplacementAdmission): void {
    const { policy, clock } = this.options
    this.timeline.add('stalled', { endpoint })
    // The routing policy is notified of the stall, as a failure, at once and only once: the stalled run may be kept for long, and new
    // requests should go to other engines meanwhile.
    if (!replacement.everRequested) policy().observe(endpoint, 'failed', clock.now())
    replacement.request()
  }

  /**
   * Ends a run that no caller waits for. The run may continue while the engine cannot be reached. So the run's adapter stays
   * pinned until the engine confirms the end or the longest request time has passed.
   */
  private async abandon (client: EngineClient, held: HeldAdmission, requestId: RequestId, outputTokens: number): Promise<void> {
    const { clock } = this.options
    const giveUpAt = clock.now() + 1000 * this.settings.policy.longestRequestSeconds
    await endAbandonedRun(client, requestId, outputTokens, clock, giveUpAt)
    held.done('failed', outputTokens)
  }

  private async mayTryAgain (error: LimpetwinchError): Promise<boolean> {
    // A request that may run only once is never started again after an attempt that may have run.
    if (error.outcome === 'unknown' && !this.request.idempotent) return false
    while (this.hasAttemptLeft()) {
      if (this.payForRetry()) return true
      if (!await this.waitToRetryRefusal()) return false
    }
    return false
  }

  private hasAttemptLeft (): boolean {
    return !this.signal.aborted && this.attempts + 1 < MAXIMUM_ATTEMPTS
  }

  /**
   * Withdraws the next attempt from the retry budget, at most once. If the admission request for that attempt is refused or
   * withdrawn, a later request for the same attempt needs no second withdrawal.
   *
   * @returns whether the next attempt is within the retry budget
   */
  private payForRetry (): boolean {
    if (this.paidRetries > this.attempts) return true
    if (!this.options.retryBudget.withdraw(this.options.clock.now())) return false
    this.paidRetries = this.attempts + 1
    return true
  }

  /** @returns the error for the caller; once an attempt may have run, no later refusal sets the outcome back to `not_run` */
  private finalError (error: LimpetwinchError): DeliveryEvent {
    const outcome = this.mayHaveRun ? 'unknown' : error.outcome
    const options = error.retryAfterSeconds === undefined ? {} : { retryAfterSeconds: error.retryAfterSeconds }
    const callerError = this.signal.aborted ? this.earlyEndError(outcome) : new LimpetwinchError(error.kind, error.details, { outcome, cause: error, ...options })
    this.timeline.add('told an error', { kind: callerError.kind, outcome })
    return { kind: 'error', error: callerError }
  }

  private earlyEndError (outcome: 'not_run' | 'unknown'): LimpetwinchError {
    return new LimpetwinchError(this.deadline.passed ? 'deadline-passed' : 'request-ended-early', {}, { outcome, retryAfterSeconds: 1 })
  }

  /** @returns the id of an attempt; engines identify runs by this id, and must not mistake a late first attempt for the second */
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

/** @returns whether an error means that the owner was replaced, has left or is unresponsive, so that admission is requested again */
function isTransient (error: LimpetwinchError): boolean {
  return error.kind === 'not-owner' || error.kind === 'peer-unreachable' || error.kind === 'peer-silent'
}
