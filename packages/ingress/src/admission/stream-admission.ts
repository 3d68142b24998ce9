/** Refuses requests for adapters that no engine holds at once when a forecast shows that they cannot be served in time, and says when they fit. */
import { LimpetwinchError } from '@limpetwinch/core'
import type { Clock, EndpointId, Logger } from '@limpetwinch/core'
import { decideLoadAdmission } from '@limpetwinch/decisions'
import type { LoadAdmissionDecision } from '@limpetwinch/decisions'
import type { IngressMetrics } from '../observability/ingress-metrics.js'
import type { RequestFacts } from '../relay/request-codec.js'
import type { EngineForecast, LoadForecast, LoadForecastQuery } from './load-forecast.js'
import { ExpectedReturns } from './expected-returns.js'

/** A request that would wait for a load. */
export interface AdmissionQuery extends LoadForecastQuery {
  /** Monotonic time after which the response is late. */
  readonly onTimeUntil: number
  /** Monotonic time at which the search for an engine ends. */
  readonly until: number
}

/** What the admission would decide on a request now, and what it is based on. */
export interface AdmissionForecast {
  readonly forecast: EngineForecast | undefined
  readonly decision: LoadAdmissionDecision
}

/** A request that was refused, and the engine in whose load queue its place is kept. */
export interface KeptPlace {
  readonly endpoint: EndpointId
  readonly returnMilliseconds: number
}

/** Dependencies of the admission. */
export interface StreamAdmissionDependencies {
  readonly clock: Clock
  readonly logger: Logger
  readonly metrics: Pick<IngressMetrics, 'admissionDecided'>
  readonly forecast: Pick<LoadForecast, 'earliest' | 'extraWait'>
  /** @returns whether requests of different priorities or teams compete for the engines, so that one may have to give way to another */
  readonly competes: () => boolean
}

/** Admits streams by forecast. */
export class StreamAdmission {
  private readonly parts: StreamAdmissionDependencies
  private readonly returns = new ExpectedReturns()
  private readonly refusals = new WeakMap<RequestFacts, LimpetwinchError>()

  constructor (parts: StreamAdmissionDependencies) {
    this.parts = parts
  }

  /** Whether requests are judged by forecast, and loads go by urgency and share. */
  get isActive (): boolean {
    return this.parts.competes()
  }

  /** @returns what would be decided on the request now; nothing is recorded */
  forecast (query: AdmissionQuery, now: number): AdmissionForecast {
    const forecast = this.parts.forecast.earliest(query, now)
    if (forecast === undefined || !this.parts.competes()) return { forecast, decision: { admitted: true } }
    const { priority, onTimeUntil, until } = query
    const decision = decideLoadAdmission({
      ...forecast,
      priority,
      onTimeMilliseconds: onTimeUntil - now,
      longestWaitMilliseconds: until - now,
      moreUrgentReturnMilliseconds: this.returns.millisecondsUntilMoreUrgent(priority, now)
    })
    return { forecast, decision }
  }

  /**
   * Decides on a request when it arrives. To be called at most once for a request.
   *
   * @returns where the place of the refused request is kept until its caller returns; undefined when the request is admitted
   */
  refuse (query: AdmissionQuery): KeptPlace | undefined {
    const { clock, logger, metrics, competes } = this.parts
    if (!competes()) return undefined
    const now = clock.now()
    const { forecast, decision } = this.forecast(query, now)
    if (decision.admitted || forecast === undefined) {
      metrics.admissionDecided('admitted')
      return undefined
    }
    const { facts, priority, onTimeUntil, until } = query
    const { reason, returnMilliseconds } = decision
    const adapter = facts.adapter?.key
    metrics.admissionDecided(reason)
    logger.info('A request was refused by forecast.', {
      request: facts.requestId,
      adapter,
      priority,
      reason,
      endpoint: forecast.endpoint,
      waitMilliseconds: Math.round(forecast.waitMilliseconds),
      readyMilliseconds: Math.round(forecast.readyMilliseconds),
      firstEventMilliseconds: Math.round(forecast.firstEventMilliseconds),
      onTimeMilliseconds: Math.round(onTimeUntil - now),
      longestWaitMilliseconds: Math.round(until - now),
      returnMilliseconds: Math.round(returnMilliseconds)
    })
    this.returns.expect(priority, now + returnMilliseconds)
    this.refusals.set(facts, new LimpetwinchError('no-room-in-time', { adapter, reason }, { retryAfterSeconds: Math.ceil(returnMilliseconds) / 1_000 }))
    return { endpoint: forecast.endpoint, returnMilliseconds }
  }

  /** @returns milliseconds to add to the wait for a load that the router assumes, which counts less urgent loads as well; 0 or less */
  extraWait (query: Pick<AdmissionQuery, 'service' | 'facts' | 'priority'>, endpoint: EndpointId, now: number): number {
    return this.parts.competes() ? Math.min(0, this.parts.forecast.extraWait(query, endpoint, now)) : 0
  }

  /** @returns the error of a request that was refused by forecast; undefined for every other request */
  refusalOf (facts: RequestFacts): LimpetwinchError | undefined {
    return this.refusals.get(facts)
  }
}
