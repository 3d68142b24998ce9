/** Relays requests to plain services: a response is received completely before any of it is sent to the caller. */
import { ByteCollector, LimpetwinchError } from '@limpetwinch/core'
import type { EndpointId, Logger } from '@limpetwinch/core'
import type { ErrorRates, PlaceEnd } from '@limpetwinch/decisions'
import type { RequestQuarantine } from '../quarantine/request-quarantine.js'
import type { Endpoint } from '../routes/configuration.js'
import type { EndpointWorkTracker } from '../routing/endpoint-work-tracker.js'
import type { ResponseHead, AttemptEnd } from './attempt.js'
import type { EndpointSenders } from './endpoint-senders.js'
import { AttemptRecord } from './attempt-record.js'
import { ServiceEndpointSearch } from './service-endpoint-search.js'
import type { FoundEndpoint, ServiceEndpointSearchDependencies } from './service-endpoint-search.js'
import type { RelayOutcome } from './relay-outcome.js'
import type { RoutedRequest } from './routed-request.js'

/** Largest accepted response body. Responses are buffered in memory until they are complete, since a truncated response must not reach the caller. */
const MAXIMUM_RESPONSE_BYTES = 8 * 1024 * 1024
/** Most attempts of one request. Even attempts that prove that the request did not run take time. After this many attempts the service is assumed to be full. */
const MAXIMUM_SENDS = 4
/**
 * Share of the latency objective after which a safe request without a response is sent to another endpoint. The rest of the objective
 * is left so that the response of the other endpoint can still be on time.
 */
const PATIENCE_OBJECTIVE_SHARE = 0.9
/** `retry-after` of the errors that callers receive, in seconds: slots of an endpoint become free within a fraction of a second. */
export const RETRY_AFTER_SECONDS = 0.25
const FIRST_SERVER_ERROR = 500

/** Dependencies of the relay. */
export interface ServiceRelayDependencies extends ServiceEndpointSearchDependencies {
  readonly logger: Logger
  readonly workTracker: EndpointWorkTracker
  readonly senders: EndpointSenders
  readonly errors: ErrorRates
  readonly quarantine: RequestQuarantine
}

interface AttemptResult {
  readonly end: AttemptEnd
  readonly head: ResponseHead | undefined
  readonly body: Buffer
  /** Endpoint of the next attempt, when this attempt was abandoned in favour of that endpoint. */
  readonly replacement: FoundEndpoint | undefined
}

/** Where one attempt is sent, and when another endpoint may replace that endpoint. */
interface AttemptPlan {
  readonly found: FoundEndpoint
  /** Number of attempts of the same request that were made before this one. */
  readonly earlierAttempts: number
  /** Time without a response after which another endpoint is searched for, milliseconds; undefined for never. */
  readonly patience: number | undefined
  /** @returns another endpoint that the request may be sent to, if any */
  readonly next: () => Promise<FoundEndpoint | undefined>
}

/** Relays requests of plain routes. */
export class ServiceRelay {
  private readonly parts: ServiceRelayDependencies
  private readonly search: ServiceEndpointSearch

  constructor (parts: ServiceRelayDependencies) {
    this.parts = parts
    this.search = new ServiceEndpointSearch(parts)
  }

  /** Serves the request to its end. @returns how it ended */
  async relay (request: RoutedRequest): Promise<RelayOutcome> {
    const { route, exchange, signal } = request
    const attempted = new Set<EndpointId>()
    const record = new AttemptRecord()
    const { quarantine } = this.parts
    const next = async (): Promise<FoundEndpoint | undefined> => {
      const found = quarantine.isUnsuspected(request) ? await this.search.next(request, { attempted, avoided: NONE, wasSent: true }) : undefined
      return found instanceof LimpetwinchError ? undefined : found
    }
    let refusal: LimpetwinchError | undefined
    let runs = 0
    let sent = 0
    let serverError: AttemptResult | undefined
    let replacement: FoundEndpoint | undefined
    let replaced: EndpointId | undefined
    for (let sends = 0; sends < MAXIMUM_SENDS && !signal.aborted; sends++) {
      const found = replacement ?? await this.search.next(request, { attempted, avoided: quarantine.endpointsToAvoid(request), wasSent: sent > 0 })
      if (found instanceof LimpetwinchError) refusal = found
      if (found === undefined || found instanceof LimpetwinchError) break
      const { endpoint } = found
      const admission = signal.aborted ? undefined : await quarantine.admit(request, endpoint.id)
      if (admission?.kind !== 'granted') found.giveBack('abandoned', 0)
      if (admission?.kind === 'refused') refusal = admission.error
      if (admission === undefined || admission.kind === 'refused') break
      replacement = undefined
      if (admission.kind === 'elsewhere') continue
      attempted.add(endpoint.id)
      const patience = sends + 1 < MAXIMUM_SENDS ? this.patience(request, runs) : undefined
      const result = await this.attemptOn(request, { found, earlierAttempts: sends, patience, next })
      replacement = result.replacement
      if (result.end.kind !== 'not-sent') sent += 1
      if (exchange.left.aborted) break
      const resultKind = this.classify(request, result, endpoint, record)
      if (resultKind === 'deliver' || (resultKind === 'server-error' && route.kind !== 'safe')) return deliver(request, result, sends + 1)
      if (resultKind === 'server-error') {
        serverError = result
        exchange.retain(result.body.length)
      }
      // When the replacement refused the request, the endpoint that was replaced may be attempted again.
      if (resultKind === 'not-run' && replaced !== undefined) attempted.delete(replaced)
      replaced = replacement === undefined ? undefined : endpoint.id
      if (resultKind !== 'not-run') runs += 1
      if (resultKind !== 'not-run' && (route.kind !== 'safe' || runs >= route.mostAttempts)) break
    }
    if (exchange.left.aborted) return { outcome: 'caller-left', tries: attempted.size }
    // The caller learns more from an error response of an endpoint than from an error that this instance produces.
    if (serverError !== undefined) return deliver(request, serverError, attempted.size)
    const error = this.finalError(request, record, refusal)
    exchange.refuse(error)
    return { outcome: 'refused', error, tries: attempted.size }
  }

  private finalError ({ signal, service, priority }: RoutedRequest, record: AttemptRecord, refusal: LimpetwinchError | undefined): LimpetwinchError {
    if (refusal !== undefined && !record.isOutcomeUnknown) return refusal
    if (signal.aborted) return record.endedError(signal, RETRY_AFTER_SECONDS)
    const rateLimited = record.isOutcomeUnknown ? undefined : this.parts.rateLimiter.refusal(service.name, priority)
    return rateLimited ?? record.finalError(RETRY_AFTER_SECONDS)
  }

  private async attemptOn (request: RoutedRequest, { found: { endpoint, giveBack }, earlierAttempts, patience, next }: AttemptPlan): Promise<AttemptResult> {
    const { clock, workTracker, senders } = this.parts
    const startedAt = clock.now()
    const ticket = workTracker.begin(endpoint.id, { prefillTokens: 0, memoryTokens: 0, adapter: undefined })
    const body = new ByteCollector()
    let head: ResponseHead | undefined
    let replacement: FoundEndpoint | undefined
    const inHand = workTracker.outstanding(endpoint.id, clock.now()).requests
    const sending = senders.send(request, { endpoint, lastEventId: undefined, adapterVersion: undefined, earlierAttempts, grounds: { inHand } }, {
      head: (answer) => { head = answer },
      data: (chunk) => {
        if (sending.attempt.holds(body.length + chunk.length, MAXIMUM_RESPONSE_BYTES, 'body')) body.append(chunk)
        return 'part'
      }
    })
    let hasEnded = false
    const switchEndpoint = async (): Promise<void> => {
      if (!senders.stopGate.allowsAnother(request)) return
      // Without another endpoint, the attempt goes on: its late response is the only one that the caller can get.
      const found = await next()
      if (hasEnded) found?.giveBack('abandoned', 0)
      if (found === undefined || hasEnded) return
      replacement = found
      sending.attempt.abandon('no answer within the objective')
    }
    let pendingSwitch: NodeJS.Immediate | undefined
    // After a process pause, timers fire before a response that has already arrived is read. `setImmediate` lets that response be read first.
    const timer = patience === undefined ? undefined : setTimeout(() => { pendingSwitch = setImmediate(() => { void switchEndpoint() }) }, patience)
    const end = await sending.ended
    hasEnded = true
    clearTimeout(timer)
    clearImmediate(pendingSwitch)
    ticket.ended()
    giveBack(this.placeEnd(request, end, head, endpoint), clock.now() - startedAt)
    return { end, head, body: body.toBuffer(), replacement }
  }

  /** @returns how the use of the place at the endpoint ended */
  private placeEnd ({ exchange, signal }: RoutedRequest, end: AttemptEnd, head: ResponseHead | undefined, endpoint: Endpoint): PlaceEnd {
    if (head?.facts.notRun === true) return head.facts.isFull ? 'full' : 'abandoned'
    if (end.kind === 'whole' && head !== undefined && head.status >= FIRST_SERVER_ERROR) return 'error'
    if (end.kind === 'whole' && head?.facts.signed === true) return 'answered'
    const isGivenUp = exchange.left.aborted || (end.kind === 'abandoned' && !signal.aborted) || this.parts.rateLimiter.backoffs.isBackingOff(endpoint.id)
    return isGivenUp ? 'abandoned' : 'failed'
  }

  /** @returns how long to wait for a response before another endpoint is searched for, milliseconds; undefined to wait until the request times out */
  private patience (request: RoutedRequest, runs: number): number | undefined {
    const { route, arrivedAt } = request
    if (route.kind !== 'safe' || runs + 1 >= route.mostAttempts) return undefined
    const left = arrivedAt + route.objectiveMilliseconds * PATIENCE_OBJECTIVE_SHARE - this.parts.clock.now()
    return Math.max(route.objectiveMilliseconds / 2, left)
  }

  /** Records what the result of an attempt shows about its endpoint and about the request. @returns the kind of the result */
  private classify (request: RoutedRequest, { end, head }: AttemptResult, endpoint: Endpoint, record: AttemptRecord): 'deliver' | 'server-error' | 'not-run' | 'unknown' {
    const { senders, errors, quarantine } = this.parts
    if (end.kind === 'not-sent') {
      senders.observe(endpoint.id, 'unreachable', end.reason)
      record.notRun(endpoint.id, end.reason)
      return 'not-run'
    }
    if (head?.facts.notRun === true) {
      record.notRun(endpoint.id, `status ${head.status}`)
      return 'not-run'
    }
    if (end.kind !== 'whole' || head === undefined || (!head.facts.signed && head.status < FIRST_SERVER_ERROR)) {
      const reason = end.kind === 'whole' ? 'an answer that the endpoint did not sign' : end.reason
      if (reason !== CALLER_LEFT) senders.observe(endpoint.id, 'failed', reason)
      record.unknown(endpoint.id, reason)
      return 'unknown'
    }
    if (head.status >= FIRST_SERVER_ERROR) {
      // A service may respond to some requests with errors of its own, so an error is not a failure of the endpoint. Endpoints that respond with
      // errors more often than their peers are found by the error rates.
      errors.observe(endpoint.id, true)
      record.unknown(endpoint.id, `status ${head.status}`)
      quarantine.completed(request)
      return 'server-error'
    }
    senders.observe(endpoint.id, 'answered')
    errors.observe(endpoint.id, false)
    quarantine.completed(request)
    return 'deliver'
  }
}

/** Reason with which the endpoint senders abandon an attempt whose caller has left; such an attempt does not count as a failure of the endpoint. */
const CALLER_LEFT = 'the caller left'
const NONE: ReadonlySet<EndpointId> = new Set()

function deliver (request: RoutedRequest, result: AttemptResult, tries: number): RelayOutcome {
  if (result.head === undefined) return { outcome: 'caller-left', tries }
  request.exchange.answer(result.head, result.body)
  return { outcome: 'answered', status: result.head.status, tries }
}
