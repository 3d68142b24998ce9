/**
 * Delivers calls of plain services, which are HTTP back ends without adapters or admission. A call goes to the endpoint with
 * the fewest calls in flight, and is retried only if the call cannot have run or is idempotent.
 */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { LimpetwinchError } from '@limpetwinch/core'
import type { Clock, DataCentreId, EndpointId, OperatorSettings, RequestId, ServiceAnswer, ServiceCall, ServiceClient } from '@limpetwinch/core'
import type { RetryBudget } from '@limpetwinch/decisions'
import type { Membership } from '../membership/membership.js'
import type { ExplainLog, RequestTimeline } from '../metrics/explain-log.js'

/** Number of attempts for one call, including the first, so that a call that fails everywhere ends soon. */
const MAXIMUM_ATTEMPTS = 3
/** Number of calls added to the calls in flight of an endpoint in another data centre, so that endpoints in this one are preferred. */
const REMOTE_PENALTY = 4
/** Time for which an endpoint is avoided after a failed call, by all calls of this instance. */
const AVOID_FAILED_MILLISECONDS = 2_000
/** Time after which a caller may retry a call that no endpoint could serve. */
const RETRY_SECONDS = 1
/** Pause before a call is retried at an endpoint that has already failed it, when there is no other endpoint. */
const SAME_ENDPOINT_PAUSE_MILLISECONDS = 250

/** Dependencies of service calls. */
export interface ServiceDeliveryOptions {
  readonly dataCentre: DataCentreId
  readonly membership: Membership
  readonly clientOf: (endpoint: EndpointId, url: string) => ServiceClient
  readonly retryBudget: RetryBudget
  readonly explain: ExplainLog
  readonly clock: Clock
}

const NO_ENDPOINTS: ReadonlySet<EndpointId> = new Set()

interface ServiceEndpoint {
  readonly endpoint: EndpointId
  readonly url: string
  readonly dataCentre: string
}

/** A response and the endpoint that sent it. */
export interface DeliveredCall {
  readonly endpoint: EndpointId
  readonly answer: ServiceAnswer
}

/** Delivers calls to the endpoints of plain services. */
export class ServiceDelivery {
  private readonly options: ServiceDeliveryOptions
  private readonly inFlight = new Map<EndpointId, number>()
  private readonly failedAt = new Map<EndpointId, number>()

  /** @param options - dependencies */
  constructor (options: ServiceDeliveryOptions) {
    this.options = options
  }

  /**
   * Delivers one call, with retries within the retry budget.
   *
   * @param requestId - the id of the request
   * @param service - the name of the service
   * @param call - the call to forward
   * @param idempotent - whether the call may run again after a failure
   * @param settings - the current settings
   * @param signal - aborted when the caller disconnects or the caller's deadline passes
   * @returns the complete response, or an error whose outcome says whether the call may have run
   */
  async deliver (requestId: RequestId, service: string, call: ServiceCall, idempotent: boolean, settings: OperatorSettings, signal: AbortSignal): Promise<Result<DeliveredCall, LimpetwinchError>> {
    if (signal.aborted) return err(new LimpetwinchError('request-ended-early', {}, { outcome: 'not_run' }))
    const timeline = this.options.explain.begin(requestId, `service ${service}`)
    this.options.retryBudget.deposit(this.options.clock.now())
    const avoid = new Set<EndpointId>()
    let mayHaveRun = false
    for (let attempt = 1; ; attempt += 1) {
      const fresh = this.choose(service, settings, avoid)
      // Once the call may have run, an error could only have the outcome `unknown`. So endpoints that failed this call are tried
      // again, because their faults may have passed.
      if (fresh === undefined && mayHaveRun) await this.options.clock.sleep(SAME_ENDPOINT_PAUSE_MILLISECONDS, signal)
      const chosen = fresh ?? (mayHaveRun && !signal.aborted ? this.choose(service, settings, NO_ENDPOINTS) : undefined)
      if (chosen === undefined) return err(this.withFinalOutcome(this.noEndpoint(service), mayHaveRun))
      const result = await this.attempt(chosen, call, timeline, signal)
      if (result.isOk()) return result
      mayHaveRun ||= result.error.outcome === 'unknown'
      avoid.add(chosen.endpoint)
      const mayRetry = idempotent || !mayHaveRun
      if (!mayRetry || signal.aborted || attempt >= MAXIMUM_ATTEMPTS) return err(this.withFinalOutcome(result.error, mayHaveRun))
      if (!this.options.retryBudget.withdraw(this.options.clock.now())) return err(this.withFinalOutcome(result.error, mayHaveRun))
    }
  }

  private async attempt (chosen: ServiceEndpoint, call: ServiceCall, timeline: RequestTimeline, signal: AbortSignal): Promise<Result<DeliveredCall, LimpetwinchError>> {
    const { endpoint } = chosen
    timeline.add('sent', { endpoint })
    this.inFlight.set(endpoint, this.load(endpoint) + 1)
    const answer = await this.options.clientOf(endpoint, chosen.url).call(call, signal)
    this.inFlight.set(endpoint, this.load(endpoint) - 1)
    timeline.add(answer.isOk() ? 'answered' : 'failed', { endpoint })
    if (answer.isErr()) this.failedAt.set(endpoint, this.options.clock.now())
    return answer.map((value) => ({ endpoint, answer: value }))
  }

  /**
   * Prefers endpoints with few calls in flight and in the same data centre. An endpoint that failed recently is chosen only
   * if there is no other.
   */
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
    const failed = this.options.clock.now() - failedAt < AVOID_FAILED_MILLISECONDS ? Number.MAX_SAFE_INTEGER / 2 : 0
    return this.load(candidate.endpoint) + remote + failed
  }

  private load (endpoint: EndpointId): number {
    return this.inFlight.get(endpoint) ?? 0
  }

  private noEndpoint (service: string): LimpetwinchError {
    return new LimpetwinchError('no-endpoint', { reason: `no endpoint of service '${service}' is available` }, { retryAfterSeconds: RETRY_SECONDS })
  }

  private withFinalOutcome (error: LimpetwinchError, mayHaveRun: boolean): LimpetwinchError {
    if (!mayHaveRun || error.outcome === 'unknown') return error
    return new LimpetwinchError(error.kind, error.details, { outcome: 'unknown', cause: error })
  }
}

/** @returns whether calls of the service with this method are idempotent, or the error `unknown-service` */
export function idempotentByMethod (settings: OperatorSettings, service: string, method: string): Result<boolean, LimpetwinchError> {
  if (!Object.hasOwn(settings.endpoints.services, service)) return err(new LimpetwinchError('unknown-service', { service: service.slice(0, 80) }))
  const methods: readonly string[] = settings.endpoints.services[service]?.idempotentMethods ?? []
  return ok(methods.includes(method))
}
