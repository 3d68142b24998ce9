/** Calls of plain services: picked by load, repeated only where nothing can have run or the call may be repeated. */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { LimpetwinchError } from '@limpetwinch/core'
import type { Clock, DataCentreId, EndpointId, OperatorSettings, RequestId, ServiceAnswer, ServiceCall, ServiceClient } from '@limpetwinch/core'
import type { RetryBudget } from '@limpetwinch/decisions'
import type { Membership } from '../membership/membership.js'
import type { ExplainLog, RequestStory } from '../measures/explain-log.js'

const MOST_ATTEMPTS = 3
const REMOTE_PENALTY = 4
const FAILED_MILLISECONDS = 2_000
const RETRY_SECONDS = 1
/** Before an endpoint that failed a call is given it again, since there is no other. */
const SAME_AGAIN_MILLISECONDS = 250

/** What service calls work with. */
export interface ServiceDeliveryOptions {
  readonly dataCentre: DataCentreId
  readonly membership: Membership
  readonly clientOf: (endpoint: EndpointId, url: string) => ServiceClient
  readonly retryBudget: RetryBudget
  readonly explain: ExplainLog
  readonly clock: Clock
}

const NONE: ReadonlySet<EndpointId> = new Set()

interface ServiceEndpoint {
  readonly endpoint: EndpointId
  readonly url: string
  readonly dataCentre: string
}

/** An answer with the endpoint that gave it. */
export interface DeliveredCall {
  readonly endpoint: EndpointId
  readonly answer: ServiceAnswer
}

/** Delivers calls of plain services. */
export class ServiceDelivery {
  private readonly options: ServiceDeliveryOptions
  private readonly inFlight = new Map<EndpointId, number>()
  private readonly failedAt = new Map<EndpointId, number>()

  /** @param options - what it works with */
  constructor (options: ServiceDeliveryOptions) {
    this.options = options
  }

  /**
   * @param requestId - the request
   * @param service - the service's name
   * @param call - what to pass on
   * @param idempotent - whether it may run again after a failure
   * @param settings - what is in force
   * @param signal - the caller has gone away, or its deadline has passed
   * @returns the whole answer, or an error that says whether it may have run
   */
  async deliver (requestId: RequestId, service: string, call: ServiceCall, idempotent: boolean, settings: OperatorSettings, signal: AbortSignal): Promise<Result<DeliveredCall, LimpetwinchError>> {
    if (signal.aborted) return err(new LimpetwinchError('request-ended-early', {}, { outcome: 'not_run' }))
    const story = this.options.explain.begin(requestId, `service ${service}`)
    this.options.retryBudget.deposit(this.options.clock.now())
    const avoid = new Set<EndpointId>()
    let mayHaveRun = false
    for (let attempt = 1; ; attempt += 1) {
      const fresh = this.choose(service, settings, avoid)
      // Once the call may have run, all that could be told is `unknown`; the fault of one that failed may have passed.
      if (fresh === undefined && mayHaveRun) await this.options.clock.sleep(SAME_AGAIN_MILLISECONDS, signal)
      const chosen = fresh ?? (mayHaveRun && !signal.aborted ? this.choose(service, settings, NONE) : undefined)
      if (chosen === undefined) return err(this.withFinalOutcome(this.noEndpoint(service), mayHaveRun))
      const result = await this.attempt(chosen, call, story, signal)
      if (result.isOk()) return result
      mayHaveRun ||= result.error.outcome === 'unknown'
      avoid.add(chosen.endpoint)
      const mayRepeat = idempotent || !mayHaveRun
      if (!mayRepeat || signal.aborted || attempt >= MOST_ATTEMPTS) return err(this.withFinalOutcome(result.error, mayHaveRun))
      if (!this.options.retryBudget.withdraw(this.options.clock.now())) return err(this.withFinalOutcome(result.error, mayHaveRun))
    }
  }

  private async attempt (chosen: ServiceEndpoint, call: ServiceCall, story: RequestStory, signal: AbortSignal): Promise<Result<DeliveredCall, LimpetwinchError>> {
    const { endpoint } = chosen
    story.add('sent', { endpoint })
    this.inFlight.set(endpoint, this.load(endpoint) + 1)
    const answer = await this.options.clientOf(endpoint, chosen.url).call(call, signal)
    this.inFlight.set(endpoint, this.load(endpoint) - 1)
    story.add(answer.isOk() ? 'answered' : 'failed', { endpoint })
    if (answer.isErr()) this.failedAt.set(endpoint, this.options.clock.now())
    return answer.map((value) => ({ endpoint, answer: value }))
  }

  /** Least in flight, the own data centre first; one that failed just now only when there is no other. */
  private choose (service: string, settings: OperatorSettings, avoid: ReadonlySet<EndpointId>): ServiceEndpoint | undefined {
    const leaving = this.options.membership.leavingEndpoints()
    const endpoints = Object.entries(settings.endpoints.services[service]?.endpoints ?? {})
      .map(([endpoint, entry]) => ({ endpoint: endpoint as EndpointId, ...entry }))
      .filter(({ endpoint }) => !leaving.has(endpoint) && !avoid.has(endpoint))
    return endpoints.sort((one, other) => this.rank(one) - this.rank(other))[0]
  }

  private rank (candidate: ServiceEndpoint): number {
    const remote = candidate.dataCentre === this.options.dataCentre ? 0 : REMOTE_PENALTY
    const failedAt = this.failedAt.get(candidate.endpoint) ?? -Infinity
    const failed = this.options.clock.now() - failedAt < FAILED_MILLISECONDS ? Number.MAX_SAFE_INTEGER / 2 : 0
    return this.load(candidate.endpoint) + remote + failed
  }

  private load (endpoint: EndpointId): number {
    return this.inFlight.get(endpoint) ?? 0
  }

  private noEndpoint (service: string): LimpetwinchError {
    return new LimpetwinchError('no-endpoint', { reason: `no endpoint of service '${service}' is left to try` }, { retryAfterSeconds: RETRY_SECONDS })
  }

  private withFinalOutcome (error: LimpetwinchError, mayHaveRun: boolean): LimpetwinchError {
    if (!mayHaveRun || error.outcome === 'unknown') return error
    return new LimpetwinchError(error.kind, error.details, { outcome: 'unknown', cause: error })
  }
}

/** @returns whether a service exists and which of its calls may be repeated */
export function idempotentByMethod (settings: OperatorSettings, service: string, method: string): Result<boolean, LimpetwinchError> {
  if (!Object.hasOwn(settings.endpoints.services, service)) return err(new LimpetwinchError('unknown-service', { service: service.slice(0, 80) }))
  const methods: readonly string[] = settings.endpoints.services[service]?.idempotentMethods ?? []
  return ok(methods.includes(method))
}
