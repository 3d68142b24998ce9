/** One event stream on its way to its caller: tried on engines until it is whole, and on from its last event where it may be resumed. */
import type { EndpointId } from '@limpetwinch/core'
import { LimpetwinchError } from '@limpetwinch/core'
import { callerPatience, longestAdapterWait } from '@limpetwinch/decisions'
import type { FoundEngine, EngineSearch } from '../adapters/engine-finder.js'
import { FailoverSearch } from './failover-search.js'
import { AttemptRecord } from './attempt-record.js'
import type { RelayOutcome } from './relay-outcome.js'
import type { RoutedRequest } from './routed-request.js'
import type { StreamRelayDependencies } from './stream-relay.js'
import { StreamAttempt } from './stream-attempt.js'
import type { IdleWatch, StreamProgress, StreamAttemptResult } from './stream-attempt.js'

/** Tries that prove that nothing ran still cost their time; after so many the engines are taken to be full. */
const MAXIMUM_SENDS = 4
/** Another engine is looked for when one has said nothing for so long. */
const MINIMUM_PATIENCE_MILLISECONDS = 1_500
/** Forecasts are off by this factor under load at most times. */
const PATIENCE_FORECAST_FACTOR = 3
const MISDIRECTED = 421
/** An engine is searched for anew when another suspected request has come there first. */
const MAXIMUM_SEARCHES = 4
/** Why an engine was left that said nothing. */
const REPLACED = 'the engine fell silent and another one goes on'

/** What follows on a try. */
type NextStep = 'whole' | 'pass-on' | 'try-again' | 'give-up'

/** A try, and the engine that was found while it was under way. */
interface AttemptOutcome {
  readonly result: StreamAttemptResult
  readonly replacement: FoundEngine | undefined
}

/** Relays one stream. */
export class RelayedStream {
  private readonly parts: StreamRelayDependencies
  private readonly request: RoutedRequest
  private readonly attempted = new Set<EndpointId>()
  private readonly record = new AttemptRecord()
  private readonly progress: StreamProgress
  private sends = 0
  /** Tries that may have run. */
  private runs = 0
  private totalStallMilliseconds = 0
  /** Engines of which this request has told that they say nothing to anybody. */
  private readonly reportedUnresponsive = new Set<EndpointId>()
  /** Why the request must not be sent now. */
  private refusal: LimpetwinchError | undefined
  /** The engine that was left last for another one. */
  private left: EndpointId | undefined

  constructor (parts: StreamRelayDependencies, request: RoutedRequest) {
    this.parts = parts
    this.request = request
    this.progress = { lastEventId: request.facts.lastEventId, firstEventAt: undefined, lastEventAt: undefined, longestGap: 0 }
  }

  /** Serves it to its end. @returns how it ended, for the log */
  async run (): Promise<RelayOutcome> {
    let engine = await this.nextEngine()
    while (engine !== undefined) {
      const { result, replacement }: AttemptOutcome = await this.attemptOn(engine)
      if (this.request.exchange.left.aborted) break
      const verdict = this.decideNextStep(engine, result)
      if (verdict === 'whole') return this.answered()
      if (verdict === 'pass-on' && result.kind === 'other-answer') return this.passOn(result)
      if (verdict === 'give-up') break
      engine = this.request.signal.aborted ? undefined : replacement ?? await this.nextEngine()
    }
    return this.endUnanswered()
  }

  /** @returns the engine to try next; undefined when there is none, or the request may be sent no more */
  private async nextEngine (): Promise<FoundEngine | undefined> {
    const { signal } = this.request
    if (this.sends >= MAXIMUM_SENDS || signal.aborted) return undefined
    const engine = await this.admittedEngine()
    if (engine === undefined || signal.aborted) return undefined
    return this.sends === 0 || this.mayRetry() ? engine : undefined
  }

  /** @returns an engine that the request may be sent to; undefined when there is none, or it must not be sent now */
  private async admittedEngine (): Promise<FoundEngine | undefined> {
    const { quarantine } = this.parts
    for (let search = 0; search < MAXIMUM_SEARCHES; search += 1) {
      const engine = await this.seekAdmissible()
      if (engine === undefined || this.request.signal.aborted) return undefined
      this.totalStallMilliseconds += engine.stallMilliseconds
      const admission = await quarantine.admit(this.request, engine.endpoint.id)
      if (admission.kind === 'granted') return engine
      if (admission.kind === 'elsewhere') continue
      this.refusal = admission.error
      return undefined
    }
    return undefined
  }

  /** A suspected request keeps away from others of its kind, and from engines where a crash would end many runs. */
  private async seekAdmissible (): Promise<FoundEngine | undefined> {
    const { quarantine } = this.parts
    if (quarantine.isUnsuspected(this.request)) return await this.seek()
    return await this.seek({ excluded: new Set([...this.attempted, ...quarantine.endpointsToAvoid(this.request)]), isolated: true })
  }

  private async seek (choice: Partial<EngineSearch> = {}): Promise<FoundEngine | undefined> {
    const { service, facts, route, arrivedAt: cameAt, signal } = this.request
    return await this.parts.engineFinder.find({
      service,
      facts,
      gapMilliseconds: route.gapMilliseconds,
      excluded: this.attempted,
      onTimeUntil: cameAt + route.objectiveMilliseconds,
      until: this.searchEnd(),
      signal,
      ...choice
    })
  }

  /** Looks for an engine to replace one that says nothing, while the stream stays there. */
  private async seekReplacement (silent: FoundEngine, ending: AbortSignal): Promise<FoundEngine | undefined> {
    const { clock, senders, quarantine } = this.parts
    if (!quarantine.isUnsuspected(this.request)) return undefined
    // An engine that answers others has this stream in its queue: a load elsewhere would take a slot from requests that have none.
    const isLost = senders.millisecondsSinceContact(silent.endpoint.id) >= MINIMUM_PATIENCE_MILLISECONDS
    if (isLost) this.reportUnresponsive(silent.endpoint.id)
    const waits = this.progress.firstEventAt === undefined && !isLost
    const engine = await this.seek({ until: waits ? clock.now() : this.callerLeavesAt(), signal: AbortSignal.any([ending, this.request.signal]) })
    if (engine === undefined || ending.aborted || !this.mayRetry()) return undefined
    this.totalStallMilliseconds += engine.stallMilliseconds
    return engine
  }

  /** One silence is one failure, however often it is noticed. */
  private reportUnresponsive (endpoint: EndpointId): void {
    if (this.reportedUnresponsive.has(endpoint)) return
    this.reportedUnresponsive.add(endpoint)
    this.parts.senders.observe(endpoint, 'failed', 'it says nothing to anybody')
  }

  private searchEnd (): number {
    const { arrivedAt: cameAt, endsAt, route, facts } = this.request
    // A refusal lets a caller come back, but only where nothing has run; any other caller has this answer or none.
    if (this.runs > 0 || this.progress.firstEventAt !== undefined) return this.callerLeavesAt()
    // Without an adapter there is no load to wait for.
    if (facts.adapter?.name === undefined) return cameAt
    return cameAt + longestAdapterWait({ timeToDeadline: endsAt - cameAt, objective: route.objectiveMilliseconds, gap: route.gapMilliseconds })
  }

  /** @returns when the caller leaves, or the request ends, if no event comes until then */
  private callerLeavesAt (): number {
    const { arrivedAt: cameAt, endsAt, route } = this.request
    const patience = callerPatience({ objective: route.objectiveMilliseconds, gap: route.gapMilliseconds })
    return Math.min(endsAt, (this.progress.lastEventAt ?? cameAt) + patience)
  }

  private mayRetry (): boolean {
    const { clock, logger, budgets } = this.parts
    const { service, facts } = this.request
    if (budgets.tryRetry(service.name, clock.now())) return true
    logger.debug('A repeat is beyond the budget.', { request: facts.requestId, service: service.name, tries: this.sends })
    return false
  }

  /** @param runs - tries that may have run by then */
  private mayRunAgain (runs: number): boolean {
    const { route } = this.request
    return route.resumable && runs < route.mostAttempts
  }

  private async attemptOn (engine: FoundEngine): Promise<AttemptOutcome> {
    const { request, progress } = this
    const { clock, workTracker: board, senders, forecast, speeds, prefixes, expectedVersion } = this.parts
    const { facts, service } = request
    const { endpoint, forecastMilliseconds, uncachedTokens } = engine
    const readTokens = board.outstanding(endpoint.id, clock.now()).prefillTokens + uncachedTokens
    const ticket = board.begin(endpoint.id, {
      prefillTokens: uncachedTokens, memoryTokens: facts.promptTokens + facts.outputTokens, adapter: facts.adapter?.key
    })
    const sentAt = clock.now()
    const failover = new FailoverSearch(async (ending) => await this.seekReplacement(engine, ending), () => stream.fail(REPLACED))
    const stream = new StreamAttempt(request.exchange, progress, this.idleWatch(failover, forecastMilliseconds), clock, () => {
      ticket.prefilled()
      forecast.observe(endpoint.id, forecastMilliseconds, clock.now() - sentAt, readTokens)
      if (facts.adapter !== undefined) prefixes.recordPrompt(endpoint.id, facts.adapter.key, facts.promptParts, service.engine?.memoryTokens ?? 0)
    })
    const order = {
      endpoint,
      lastEventId: progress.lastEventId,
      adapterVersion: expectedVersion(request, sentAt),
      earlierAttempts: this.sends,
      grounds: { forecastMilliseconds: Math.round(forecastMilliseconds), uncachedTokens, stallMilliseconds: Math.round(engine.stallMilliseconds) }
    }
    this.attempted.add(endpoint.id)
    this.sends += 1
    const result = await stream.run((sink) => senders.send(request, order, sink))
    ticket.ended()
    if (stream.spacing.milliseconds !== undefined) speeds.recordEventSpacing(endpoint.id, stream.spacing.milliseconds)
    const replacement = await failover.end()
    if (replacement !== undefined) this.left = endpoint.id
    return { result, replacement }
  }

  /** @returns what to do while an engine says nothing; undefined where the stream may go nowhere else */
  private idleWatch (failover: FailoverSearch, forecastMilliseconds: number): IdleWatch | undefined {
    if (!this.mayRunAgain(this.runs + 1) || this.sends + 1 >= MAXIMUM_SENDS) return undefined
    const firstMilliseconds = Math.max(MINIMUM_PATIENCE_MILLISECONDS, PATIENCE_FORECAST_FACTOR * forecastMilliseconds)
    return { firstMilliseconds, onIdle: () => failover.start(), onEvent: () => failover.stop() }
  }

  /** Learns what a try says of its engine and of the request, and decides what follows. */
  private decideNextStep (engine: FoundEngine, result: StreamAttemptResult): NextStep {
    if (result.kind === 'whole') {
      this.parts.senders.observe(engine.endpoint.id, 'answered')
      this.parts.quarantine.completed(this.request)
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

  /** The engine that was to go on did not take the stream. One that was left for it and answers others may go on itself. */
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
    // An engine that answers others and was left by choice has not failed.
    const wasLeft = result.reason === REPLACED
    if (!this.request.signal.aborted && !wasLeft && !this.reportedUnresponsive.has(endpoint.id)) this.parts.senders.observe(endpoint.id, 'failed', result.reason)
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
    const error = signal.aborted ? this.record.timeoutError(retryAfter) : this.finalError(retryAfter)
    const wasStarted = exchange.hasResponseStarted
    exchange.refuse(error)
    return { outcome: wasStarted ? 'cut' : 'refused', error, ...common }
  }

  private finalError (retryAfterSeconds: number): LimpetwinchError {
    const { adapter } = this.request.facts
    if (this.refusal !== undefined && !this.record.isOutcomeUnknown) return this.refusal
    if (this.record.isOutcomeUnknown || adapter === undefined) return this.record.finalError(retryAfterSeconds)
    return new LimpetwinchError('adapter-not-ready', { adapter: adapter.key, reason: 'no engine took it' }, { retryAfterSeconds })
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
