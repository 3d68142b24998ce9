/**
 * Relays one event stream: sends the request to one engine after another until the stream is complete. Where the route allows it, the next
 * engine resumes the stream after its last event.
 */
import type { EndpointId } from '@limpetwinch/core'
import { LimpetwinchError } from '@limpetwinch/core'
import { callerPatience, longestAdapterWait } from '@limpetwinch/decisions'
import type { FoundEngine, EngineSearch } from '../adapters/engine-finder.js'
import { FailoverSearch } from './failover-search.js'
import { AttemptRecord } from './attempt-record.js'
import type { RelayOutcome } from './relay-outcome.js'
import type { RoutedRequest } from './routed-request.js'
import type { Endpoint } from '../routes/configuration.js'
import { UNSTATED_VERSION } from '../members/engine-names.js'
import type { StreamOrigin } from '../streams/stream-origin-table.js'
import type { StreamRelayDependencies } from './stream-relay.js'
import { StreamAttempt } from './stream-attempt.js'
import type { IdleWatch, StreamProgress, StreamAttemptResult } from './stream-attempt.js'

/** Most attempts of one request. Even attempts that prove that the request did not run take time. After this many attempts the engines are assumed to be full. */
const MAXIMUM_SENDS = 4
/**
 * Shortest time without a first event after which another engine is searched for. The same time without any response bytes on any
 * connection to an endpoint makes that endpoint count as lost.
 */
const MINIMUM_PATIENCE_MILLISECONDS = 1_500
/**
 * Multiple of the forecast time until the first event after which another engine is searched for. Under load, the forecasts are mostly wrong
 * by up to this factor.
 */
const PATIENCE_FORECAST_FACTOR = 3
/** HTTP status with which an engine refuses a request because it does not hold the adapter. */
const MISDIRECTED = 421
/** Most searches for an engine before one attempt, when each engine that is found turns out to be claimed by another suspected request. */
const MAXIMUM_SEARCHES = 4
/** Reason of the attempt that is abandoned when another engine takes over the stream. */
const REPLACED = 'the engine fell silent and another one goes on'

/**
 * What to do after an attempt.
 *
 * - `whole`: nothing more, since the caller has received the complete stream
 * - `pass-on`: send the engine's response, which is not a stream but an error, to the caller
 * - `try-again`: make another attempt, if an engine is found and the retry budget allows it
 * - `give-up`: respond to the caller with an error of this instance, or truncate the response that has begun
 */
type NextStep = 'whole' | 'pass-on' | 'try-again' | 'give-up'

/** The result of an attempt, and the engine on which the stream continues, if the attempt was abandoned because its engine was unresponsive. */
interface AttemptOutcome {
  readonly result: StreamAttemptResult
  readonly replacement: FoundEngine | undefined
}

/** The relaying of one stream, from its request to its end, over all attempts. */
export class RelayedStream {
  private readonly parts: StreamRelayDependencies
  private readonly request: RoutedRequest
  private readonly attempted = new Set<EndpointId>()
  private readonly record = new AttemptRecord()
  private readonly progress: StreamProgress
  /** Number of attempts. */
  private sends = 0
  /** Whether an engine may have received the request. */
  private wasSent = false
  /** Number of attempts on which the request may have run. */
  private runs = 0
  /** Time that the searches waited for engines that hold the adapter, over all attempts. */
  private totalStallMilliseconds = 0
  /** Engines that were already reported as failed for this request, because no response bytes arrived from them on any connection. */
  private readonly reportedUnresponsive = new Set<EndpointId>()
  /** The error with which the quarantine refused the request; undefined unless it did. */
  private refusal: LimpetwinchError | undefined
  /** Where the stream began, and may go on; undefined before its first event. */
  private origin: StreamOrigin | undefined
  private isOriginRecorded = false
  /** Whether an engine refused the request because the version for which it waited there is replaced. */
  private wasRecalled = false
  /** The last engine that was unresponsive and that the stream left for another engine. */
  private left: EndpointId | undefined

  /** @param origin - where the stream began that the request resumes; undefined for a new stream */
  constructor (parts: StreamRelayDependencies, request: RoutedRequest, origin?: StreamOrigin) {
    this.parts = parts
    this.request = request
    this.origin = origin
    this.progress = { lastEventId: request.facts.lastEventId, firstEventAt: undefined, lastEventAt: undefined, longestGap: 0 }
  }

  /** Serves the request to its end. @returns how it ended */
  async run (): Promise<RelayOutcome> {
    let engine = await this.nextEngine()
    while (engine !== undefined) {
      const { result, replacement }: AttemptOutcome = await this.attemptOn(engine)
      if (this.request.exchange.left.aborted) break
      const next = this.decideNextStep(engine, result)
      if (next === 'whole') return this.answered()
      if (next === 'pass-on' && result.kind === 'other-answer') return this.passOn(result)
      if (next === 'give-up') break
      engine = this.request.signal.aborted ? undefined : replacement ?? await this.nextEngine()
    }
    return this.endUnanswered()
  }

  /** @returns the engine for the next attempt; undefined when there is none, or no further attempt is allowed */
  private async nextEngine (): Promise<FoundEngine | undefined> {
    const { signal } = this.request
    if (this.sends >= MAXIMUM_SENDS || signal.aborted) return undefined
    const engine = await this.admittedEngine()
    if (engine === undefined || signal.aborted) return undefined
    return !this.wasSent || this.mayRetry() ? engine : undefined
  }

  /** @returns an engine for which the quarantine admits the request; undefined when there is none, or the quarantine refuses the request */
  private async admittedEngine (): Promise<FoundEngine | undefined> {
    for (let search = 0; search < MAXIMUM_SEARCHES; search += 1) {
      const engine = await this.findAdmissibleEngine()
      if (engine === undefined || this.request.signal.aborted) return undefined
      this.totalStallMilliseconds += engine.stallMilliseconds
      const admission = await this.parts.quarantine.admit(this.request, engine.endpoint.id)
      if (admission.kind === 'granted') return engine
      if (admission.kind === 'elsewhere') continue
      this.refusal = admission.error
      return undefined
    }
    return undefined
  }

  /**
   * Searches for an engine. A request that is suspected of crashing engines avoids engines that run other suspected requests, and engines
   * where a crash would end many running requests.
   */
  private async findAdmissibleEngine (): Promise<FoundEngine | undefined> {
    const { quarantine } = this.parts
    if (quarantine.isUnsuspected(this.request)) return await this.findEngine()
    return await this.findEngine({ excluded: new Set([...this.attempted, ...quarantine.endpointsToAvoid(this.request)]), isolated: true })
  }

  private async findEngine (choice: Partial<EngineSearch> = {}): Promise<FoundEngine | undefined> {
    const { service, facts, route, arrivedAt, signal, priority, team } = this.request
    return await this.parts.engineFinder.find({
      service,
      facts,
      gapMilliseconds: route.gapMilliseconds,
      resumable: route.resumable,
      softwareVersion: this.origin?.softwareVersion,
      excluded: this.attempted,
      priority,
      team: team?.name,
      isNew: this.sends === 0 && this.origin === undefined,
      onTimeUntil: arrivedAt + route.objectiveMilliseconds,
      until: this.searchEnd(),
      signal,
      ...choice
    })
  }

  /** Searches for an engine to replace an unresponsive one, while the stream stays on that engine. */
  private async findReplacement (idle: FoundEngine, ending: AbortSignal): Promise<FoundEngine | undefined> {
    const { clock, senders, quarantine } = this.parts
    if (!quarantine.isUnsuspected(this.request)) return undefined
    // When the engine responds to other requests but has sent no event of this stream, the request waits in the queue of that engine.
    // Loading the adapter on another engine would take an adapter slot from requests that have no engine at all.
    const isLost = senders.millisecondsSinceContact(idle.endpoint.id) >= MINIMUM_PATIENCE_MILLISECONDS
    if (isLost) this.reportUnresponsive(idle.endpoint.id)
    const mayNotLoad = this.progress.firstEventAt === undefined && !isLost
    const engine = await this.findEngine({ until: mayNotLoad ? clock.now() : this.callerLeavesAt(), signal: AbortSignal.any([ending, this.request.signal]) })
    if (engine === undefined || ending.aborted || !this.mayRetry()) return undefined
    this.totalStallMilliseconds += engine.stallMilliseconds
    return engine
  }

  /** Reports an engine that is unresponsive on all connections as failed, at most once for this request. */
  private reportUnresponsive (endpoint: EndpointId): void {
    if (this.reportedUnresponsive.has(endpoint)) return
    this.reportedUnresponsive.add(endpoint)
    this.parts.senders.observe(endpoint, 'failed', 'it says nothing to anybody')
  }

  /** @returns monotonic time until which to search for an engine */
  private searchEnd (): number {
    const { arrivedAt, endsAt, route, facts } = this.request
    // Only a caller whose request has not run can retry after a refusal. Any other caller, and one that resumes a stream, has no second chance
    // to get a response, so the search goes on until that caller is expected to leave. A recalled request has waited for most of its time.
    if (this.runs > 0 || this.origin !== undefined || this.wasRecalled) return this.callerLeavesAt()
    // A request for the base model needs no adapter load, so its search does not wait.
    if (facts.adapter?.name === undefined) return arrivedAt
    return arrivedAt + longestAdapterWait({ timeToDeadline: endsAt - arrivedAt, objective: route.objectiveMilliseconds, gap: route.gapMilliseconds })
  }

  /**
   * @returns monotonic time at which the caller is expected to leave if no event arrives before; at the latest the time at which the request
   *   times out
   */
  private callerLeavesAt (): number {
    const { arrivedAt, endsAt, route } = this.request
    const patience = callerPatience({ objective: route.objectiveMilliseconds, gap: route.gapMilliseconds })
    return Math.min(endsAt, (this.progress.lastEventAt ?? arrivedAt) + patience)
  }

  /** Takes one retry from the retry budget of the service. @returns whether the budget allowed the retry */
  private mayRetry (): boolean {
    const { clock, budgets } = this.parts
    const { service, facts } = this.request
    return budgets.tryRetry({ service: service.name, requestId: facts.requestId, tries: this.sends }, clock.now())
  }

  /**
   * @param runs - number of attempts on which the request may already have run before the next one
   * @returns whether the stream may be resumed by one more attempt: the route allows it, and the software version that began the stream is known
   */
  private mayRunAgain (runs: number): boolean {
    return this.request.route.resumable && runs < this.request.route.mostAttempts && this.origin?.softwareVersion !== UNSTATED_VERSION
  }

  private async attemptOn (engine: FoundEngine): Promise<AttemptOutcome> {
    const { request, progress } = this
    const { clock, workTracker, senders, forecast, speeds, prefixes, versionedSends } = this.parts
    const { facts, service } = request
    const { endpoint, forecastMilliseconds, uncachedTokens } = engine
    const readTokens = workTracker.outstanding(endpoint.id, clock.now()).prefillTokens + uncachedTokens
    const ticket = workTracker.begin(endpoint.id, { prefillTokens: uncachedTokens, memoryTokens: facts.promptTokens + facts.outputTokens, adapter: facts.adapter?.key })
    const sentAt = clock.now()
    const versioned = versionedSends.begin(request, endpoint.id, sentAt)
    const failover = new FailoverSearch(async (ending) => await this.findReplacement(engine, ending), () => stream.fail(REPLACED))
    const stream = new StreamAttempt(request.exchange, progress, this.idleWatch(failover, forecastMilliseconds), clock, () => {
      this.recordOrigin(endpoint)
      versionedSends.answerBegan(request, endpoint.id, versioned, clock.now())
      ticket.prefilled()
      forecast.observe(endpoint.id, forecastMilliseconds, clock.now() - sentAt, readTokens)
      if (facts.adapter !== undefined) prefixes.recordPrompt(endpoint.id, facts.adapter.key, facts.promptParts, service.engine?.memoryTokens ?? 0)
    })
    stream.spacing.onEstimate((milliseconds) => speeds.recordEventSpacing(endpoint.id, milliseconds))
    const grounds = { forecastMilliseconds: Math.round(forecastMilliseconds), uncachedTokens, stallMilliseconds: Math.round(engine.stallMilliseconds), ...versioned.grounds }
    const options = { endpoint, lastEventId: progress.lastEventId, adapterVersion: versioned.expectedVersion, earlierAttempts: this.sends, grounds }
    this.attempted.add(endpoint.id)
    this.sends += 1
    const result = await stream.run((sink) => senders.send(request, options, sink))
    if (result.kind !== 'not-sent') this.wasSent = true
    ticket.ended()
    versioned.ended()
    // The same engine may be the first one that holds the newer version.
    if (result.kind === 'other-answer' && result.head.facts.notRun && versionedSends.isReplaced(request, versioned)) this.wasRecalled = this.attempted.delete(endpoint.id)
    const replacement = await failover.end()
    if (replacement !== undefined) this.left = endpoint.id
    return { result, replacement }
  }

  /** Called with the first event of an attempt, before the event is passed on. */
  private recordOrigin ({ service, softwareVersion = UNSTATED_VERSION }: Endpoint): void {
    const { facts: { requestId }, team } = this.request
    this.origin ??= { service, softwareVersion }
    if (this.isOriginRecorded || requestId === undefined) return
    this.isOriginRecorded = true
    this.parts.origins.begun({ requestId, team: team?.name }, this.origin)
  }

  /** @returns what to do while the engine sends no event of the stream; undefined when the stream may not continue on another engine */
  private idleWatch (failover: FailoverSearch, forecastMilliseconds: number): IdleWatch | undefined {
    if (!this.mayRunAgain(this.runs + 1) || this.sends + 1 >= MAXIMUM_SENDS) return undefined
    const firstMilliseconds = Math.max(MINIMUM_PATIENCE_MILLISECONDS, PATIENCE_FORECAST_FACTOR * forecastMilliseconds)
    return { firstMilliseconds, onIdle: () => failover.start(), onEvent: () => failover.stop() }
  }

  /** Records what the result of an attempt shows about its engine and about the request. @returns what to do next */
  private decideNextStep (engine: FoundEngine, result: StreamAttemptResult): NextStep {
    if (result.kind === 'whole') {
      this.parts.senders.observe(engine.endpoint.id, 'answered')
      this.parts.quarantine.completed(this.request)
      this.recordCompletion()
      return 'whole'
    }
    const mayHaveRun = result.kind === 'broken' || (result.kind === 'other-answer' && !result.head.facts.notRun)
    if (result.kind === 'other-answer') this.recordResponse(engine, result)
    else this.recordFailure(engine, result)
    if (!mayHaveRun) {
      this.readmitReplacedEngine()
      return 'try-again'
    }
    this.runs += 1
    if (this.mayRunAgain(this.runs)) return 'try-again'
    return result.kind === 'other-answer' ? 'pass-on' : 'give-up'
  }

  private recordCompletion (): void {
    const { facts: { requestId }, team } = this.request
    if (requestId !== undefined) this.parts.origins.completed({ requestId, team: team?.name })
  }

  /**
   * Called when an engine did not run the request. If that engine had replaced another one, and the replaced engine responds to other
   * requests, the replaced engine may be attempted again.
   */
  private readmitReplacedEngine (): void {
    const { left } = this
    this.left = undefined
    if (left !== undefined && this.parts.senders.millisecondsSinceContact(left) < MINIMUM_PATIENCE_MILLISECONDS) this.attempted.delete(left)
  }

  private recordResponse ({ endpoint }: FoundEngine, { head }: Extract<StreamAttemptResult, { kind: 'other-answer' }>): void {
    const { senders, locations } = this.parts
    const { adapter } = this.request.facts
    const reason = `status ${head.status}`
    if (!head.facts.notRun) {
      this.parts.quarantine.completed(this.request)
      this.record.unknown(endpoint.id, reason)
      return senders.observe(endpoint.id, 'failed', reason)
    }
    this.record.notRun(endpoint.id, reason)
    if (head.status === MISDIRECTED && adapter?.name !== undefined) locations.forget(endpoint.id, adapter.key)
  }

  private recordFailure ({ endpoint }: FoundEngine, result: Extract<StreamAttemptResult, { reason: string }>): void {
    if (result.kind === 'not-sent') this.record.notRun(endpoint.id, result.reason)
    else this.record.unknown(endpoint.id, result.reason)
    // An engine that was replaced has not failed as long as it responds to other requests. An engine that responds to none was already reported.
    const wasReplaced = result.reason === REPLACED
    if (!this.request.signal.aborted && !wasReplaced && !this.reportedUnresponsive.has(endpoint.id)) this.parts.senders.observe(endpoint.id, result.kind === 'not-sent' ? 'unreachable' : 'failed', result.reason)
  }

  private answered (): RelayOutcome {
    return { outcome: 'answered', status: 200, tries: this.sends, ...this.times() }
  }

  private passOn ({ head, body }: Extract<StreamAttemptResult, { kind: 'other-answer' }>): RelayOutcome {
    const { exchange } = this.request
    const common = { status: head.status, tries: this.sends }
    if (exchange.hasResponseStarted) {
      exchange.cut()
      return { outcome: 'cut', ...common }
    }
    exchange.answer(head, body)
    return { outcome: 'answered', ...common }
  }

  private endUnanswered (): RelayOutcome {
    const { exchange, signal, service } = this.request
    const common = { tries: this.sends, ...this.times() }
    if (exchange.left.aborted) return { outcome: 'caller-left', ...common }
    const retryAfter = this.parts.engineFinder.retryAfterSeconds(service)
    const error = signal.aborted ? this.record.endedError(signal, retryAfter) : this.finalError(retryAfter)
    const wasStarted = exchange.hasResponseStarted
    exchange.refuse(error)
    return { outcome: wasStarted ? 'cut' : 'refused', error, ...common }
  }

  private finalError (retryAfterSeconds: number): LimpetwinchError {
    const { adapter } = this.request.facts
    if (this.record.isOutcomeUnknown) return this.record.finalError(retryAfterSeconds)
    const refusal = this.refusal ?? this.parts.engineFinder.refusalOf(this.request)
    if (refusal !== undefined) return refusal
    if (this.isVersionGone()) return new LimpetwinchError('stream-version-gone', { softwareVersion: this.origin?.softwareVersion }, { retryAfterSeconds })
    if (adapter === undefined) return this.record.finalError(retryAfterSeconds)
    return new LimpetwinchError('adapter-not-ready', { adapter: adapter.key, reason: 'no engine took it' }, { retryAfterSeconds })
  }

  /** @returns whether no engine is left at which the stream could go on */
  private isVersionGone (): boolean {
    return this.parts.engineFinder.isVersionGone({ service: this.request.service, excluded: this.attempted, softwareVersion: this.origin?.softwareVersion })
  }

  private times (): Pick<RelayOutcome, 'firstEventMilliseconds' | 'loadStallMilliseconds' | 'longestGapMilliseconds'> {
    const { firstEventAt, longestGap } = this.progress
    return {
      firstEventMilliseconds: firstEventAt === undefined ? undefined : firstEventAt - this.request.arrivedAt,
      loadStallMilliseconds: this.totalStallMilliseconds,
      longestGapMilliseconds: longestGap
    }
  }
}
