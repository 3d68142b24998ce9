/** Relays requests to plain services: the answer is read whole before the caller gets any of it. */
import type { Clock, EndpointId, LimpetwinchError, Logger } from '@limpetwinch/core'
import type { ErrorRates } from '@limpetwinch/decisions'
import type { RequestQuarantine } from '../quarantine/request-quarantine.js'
import type { RetryBudgets } from '../retries/retry-budgets.js'
import type { Endpoint } from '../routes/configuration.js'
import type { EndpointWorkTracker } from '../routing/endpoint-work-tracker.js'
import type { ServiceRouter } from '../routing/service-router.js'
import type { ResponseHead, AttemptEnd } from './attempt.js'
import type { EndpointSenders } from './endpoint-senders.js'
import { AttemptRecord } from './attempt-record.js'
import type { RelayOutcome } from './relay-outcome.js'
import type { RoutedRequest } from './routed-request.js'

/** Answers are held in memory until they are whole, since a cut one must not reach the caller. */
const MAXIMUM_RESPONSE_BYTES = 8 * 1024 * 1024
/** Tries that prove that nothing ran still cost their time; after so many the service is taken to be full. */
const MAXIMUM_SENDS = 4
/** A safe request that has no answer after this part of its objective is tried elsewhere while that still helps. */
const PATIENCE_OBJECTIVE_SHARE = 0.9
/** Places come free within a fraction of a second. */
const RETRY_AFTER_SECONDS = 0.25
const FIRST_SERVER_ERROR = 500

/** What the relay needs. */
export interface ServiceRelayDependencies {
  readonly clock: Clock
  readonly logger: Logger
  readonly router: ServiceRouter
  readonly workTracker: EndpointWorkTracker
  readonly senders: EndpointSenders
  readonly errors: ErrorRates
  readonly budgets: RetryBudgets
  readonly quarantine: RequestQuarantine
  readonly random: () => number
}

interface AttemptResult {
  readonly end: AttemptEnd
  readonly head: ResponseHead | undefined
  readonly body: Buffer
  /** Where it is tried next, when it was given up for that. */
  readonly replacement: Endpoint | undefined
}

/** How one try is made. */
interface AttemptPlan {
  readonly endpoint: Endpoint
  /** Endpoints that it was sent to before. */
  readonly earlierAttempts: number
  /** When to look for another endpoint, milliseconds; undefined for never. */
  readonly patience: number | undefined
  /** @returns another endpoint that may be sent to */
  readonly next: () => Endpoint | undefined
}

/** Relays one request at a time for each call of `relay`. */
export class ServiceRelay {
  private readonly parts: ServiceRelayDependencies

  constructor (parts: ServiceRelayDependencies) {
    this.parts = parts
  }

  /** Serves the request to its end. @returns how it ended, for the log */
  async relay (request: RoutedRequest): Promise<RelayOutcome> {
    const { route, exchange, signal } = request
    const tried = new Set<EndpointId>()
    const record = new AttemptRecord()
    const { quarantine } = this.parts
    const next = (): Endpoint | undefined => quarantine.isUnsuspected(request) ? this.nextEndpoint(request, tried, NONE) : undefined
    let refusal: LimpetwinchError | undefined
    let runs = 0
    let kept: AttemptResult | undefined
    let replacement: Endpoint | undefined
    let left: EndpointId | undefined
    for (let sends = 0; sends < MAXIMUM_SENDS && !signal.aborted; sends++) {
      const endpoint = replacement ?? this.nextEndpoint(request, tried, quarantine.endpointsToAvoid(request))
      if (endpoint === undefined) break
      const admission = await quarantine.admit(request, endpoint.id)
      if (admission.kind === 'elsewhere') continue
      if (admission.kind === 'refused') {
        refusal = admission.error
        break
      }
      tried.add(endpoint.id)
      const patience = sends + 1 < MAXIMUM_SENDS ? this.patience(request, runs) : undefined
      const result = await this.attemptOn(request, { endpoint, earlierAttempts: sends, patience, next })
      replacement = result.replacement
      if (exchange.left.aborted) break
      const verdict = this.classify(request, result, endpoint, record)
      if (verdict === 'deliver' || (verdict === 'server-error' && route.kind !== 'safe')) return deliver(request, result, sends + 1)
      if (verdict === 'server-error') kept = result
      // The endpoint that was left may still answer where the one that was to do so refuses.
      if (verdict === 'not-run' && left !== undefined) tried.delete(left)
      left = replacement === undefined ? undefined : endpoint.id
      if (verdict !== 'not-run') runs += 1
      if (verdict !== 'not-run' && (route.kind !== 'safe' || runs >= route.mostAttempts)) break
    }
    if (exchange.left.aborted) return { outcome: 'caller-left', tries: tried.size }
    // A failure that the endpoint itself tells is an answer, and says more than this instance could.
    if (kept !== undefined) return deliver(request, kept, tried.size)
    const error = this.finalError(request, record, refusal)
    exchange.refuse(error)
    return { outcome: 'refused', error, tries: tried.size }
  }

  private finalError ({ signal }: RoutedRequest, record: AttemptRecord, refusal: LimpetwinchError | undefined): LimpetwinchError {
    if (refusal !== undefined && !record.isOutcomeUnknown) return refusal
    return signal.aborted ? record.timeoutError(RETRY_AFTER_SECONDS) : record.finalError(RETRY_AFTER_SECONDS)
  }

  /**
   * @param tried - endpoints that it was sent to
   * @param avoided - endpoints that it has to keep away from
   * @returns an endpoint that may be sent to; the repeat is counted then
   */
  private nextEndpoint (request: RoutedRequest, tried: ReadonlySet<EndpointId>, avoided: ReadonlySet<EndpointId>): Endpoint | undefined {
    const { clock, logger, router, budgets, random } = this.parts
    const { service, facts } = request
    const excluded = avoided.size === 0 ? tried : new Set([...tried, ...avoided])
    const endpoint = router.choose(service.name, excluded, random, clock.now())
    if (endpoint === undefined || tried.size === 0 || budgets.tryRetry(service.name, clock.now())) return endpoint
    logger.debug('A repeat is beyond the budget.', { request: facts.requestId, service: service.name, tries: tried.size })
    return undefined
  }

  private async attemptOn (request: RoutedRequest, { endpoint, earlierAttempts: earlierTries, patience, next }: AttemptPlan): Promise<AttemptResult> {
    const { clock, workTracker: board, senders } = this.parts
    const ticket = board.begin(endpoint.id, { prefillTokens: 0, memoryTokens: 0, adapter: undefined })
    const chunks: Buffer[] = []
    let bytes = 0
    let head: ResponseHead | undefined
    let replacement: Endpoint | undefined
    const inHand = board.outstanding(endpoint.id, clock.now()).requests
    const sending = senders.send(request, { endpoint, lastEventId: undefined, adapterVersion: undefined, earlierAttempts: earlierTries, grounds: { inHand } }, {
      head: (answer) => { head = answer },
      data: (chunk) => {
        bytes += chunk.length
        if (bytes > MAXIMUM_RESPONSE_BYTES) return sending.attempt.abandon('the answer is too large')
        chunks.push(chunk)
      }
    })
    const goElsewhere = (): void => {
      // Without another endpoint this one's late answer is the only one that its caller can get.
      replacement = next()
      if (replacement !== undefined) sending.attempt.abandon('no answer within the objective')
    }
    let lastLook: NodeJS.Immediate | undefined
    // After a standstill of this process timers come before an answer that waits on its connection.
    const timer = patience === undefined ? undefined : setTimeout(() => { lastLook = setImmediate(goElsewhere) }, patience)
    const end = await sending.ended
    clearTimeout(timer)
    clearImmediate(lastLook)
    ticket.ended()
    return { end, head, body: Buffer.concat(chunks), replacement }
  }

  /** @returns how long to wait before trying elsewhere, milliseconds; undefined to wait to the end */
  private patience (request: RoutedRequest, runs: number): number | undefined {
    const { route, arrivedAt: cameAt } = request
    if (route.kind !== 'safe' || runs + 1 >= route.mostAttempts) return undefined
    const left = cameAt + route.objectiveMilliseconds * PATIENCE_OBJECTIVE_SHARE - this.parts.clock.now()
    return Math.max(route.objectiveMilliseconds / 2, left)
  }

  private classify (request: RoutedRequest, { end, head }: AttemptResult, endpoint: Endpoint, record: AttemptRecord): 'deliver' | 'server-error' | 'not-run' | 'unknown' {
    const { senders, errors, quarantine } = this.parts
    if (end.kind === 'not-sent') {
      senders.observe(endpoint.id, 'failed', end.reason)
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
      // A service may answer some requests with errors of its own; what counts is whether one endpoint does so more often.
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

const CALLER_LEFT = 'the caller left'
const NONE: ReadonlySet<EndpointId> = new Set()

function deliver (request: RoutedRequest, result: AttemptResult, tries: number): RelayOutcome {
  if (result.head === undefined) return { outcome: 'caller-left', tries }
  request.exchange.answer(result.head, result.body)
  return { outcome: 'answered', status: result.head.status, tries }
}
