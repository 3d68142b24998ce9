/** Relays event streams: whole events as they come, and on from the last one where a stream breaks and may be resumed. */
import type { Clock, EndpointId, Logger } from '@limpetwinch/core'
import { LimpetwinchError } from '@limpetwinch/core'
import { longestWait } from '@limpetwinch/decisions'
import type { AdapterLocations } from '../adapters/adapter-locations.js'
import type { AdapterSeeker, FoundEngine } from '../adapters/adapter-seeker.js'
import type { EngineSpeeds } from '@limpetwinch/decisions'
import type { RepeatBudgets } from '../retries/repeat-budgets.js'
import type { FirstEventForecast } from '../routing/first-event-forecast.js'
import type { LoadBoard } from '../routing/load-board.js'
import type { PrefixMemory } from '../routing/prefix-memory.js'
import type { EndpointSenders } from './endpoint-senders.js'
import { TryRecord } from './final-errors.js'
import type { RelayOutcome } from './relay-outcome.js'
import type { RoutedRequest } from './routed-request.js'
import { StreamTry } from './stream-try.js'
import type { StreamProgress, StreamTryResult } from './stream-try.js'

/** Tries that prove that nothing ran still cost their time; after so many the engines are taken to be full. */
const MOST_SENDS = 4
/** Callers give a stream up that stands still for some seconds. */
const LONGEST_PAUSE_MILLISECONDS = 1_500
/** An engine that says nothing for so long is taken to be silent, however much it has in hand. */
const LEAST_PATIENCE_MILLISECONDS = 1_500
/** Forecasts are off by this factor under load at most times. */
const PATIENCE_FORECASTS = 3
const MISDIRECTED = 421

/** What the relay needs. */
export interface StreamRelayParts {
  readonly clock: Clock
  readonly logger: Logger
  readonly seeker: AdapterSeeker
  readonly locations: AdapterLocations
  readonly board: LoadBoard
  readonly forecast: FirstEventForecast
  readonly speeds: EngineSpeeds
  readonly prefixes: PrefixMemory
  readonly senders: EndpointSenders
  readonly budgets: RepeatBudgets
  /** @returns the version that engines are held to; undefined accepts any */
  readonly expectedVersion: (request: RoutedRequest, now: number) => number | undefined
}

/** Relays one request at a time for each call of `relay`. */
export class StreamRelay {
  private readonly parts: StreamRelayParts

  constructor (parts: StreamRelayParts) {
    this.parts = parts
  }

  /** Serves the request to its end. @returns how it ended, for the log */
  async relay (request: RoutedRequest): Promise<RelayOutcome> {
    const { clock, logger, budgets } = this.parts
    const { service, exchange, signal, facts } = request
    const tried = new Set<EndpointId>()
    const record = new TryRecord()
    const progress: StreamProgress = { lastEventId: facts.lastEventId, firstEventAt: undefined, lastEventAt: undefined, longestGap: 0 }
    let runs = 0
    let stall = 0
    for (let sends = 0; sends < MOST_SENDS && !signal.aborted; sends++) {
      const engine = await this.parts.seeker.seek({
        service,
        facts,
        gapMilliseconds: request.route.gapMilliseconds,
        excluded: tried,
        onTimeUntil: request.cameAt + request.route.objectiveMilliseconds,
        until: this.searchEnd(request, progress),
        signal
      })
      if (engine === undefined || signal.aborted) break
      stall += engine.stallMilliseconds
      if (sends > 0 && !budgets.repeat(service.name, clock.now())) {
        logger.debug('A repeat is beyond the budget.', { request: facts.requestId, service: service.name, tries: sends })
        break
      }
      tried.add(engine.endpoint.id)
      const result = await this.tryOn(engine, request, progress, sends, this.mayTryAgain(request, runs + 1))
      if (exchange.left.aborted) break
      if (result.kind === 'whole') return this.answered(request, progress, sends + 1, stall)
      if (result.kind === 'other-answer') {
        const again = result.head.facts.notRun
        this.learn(engine, result, record, request)
        if (!again && !this.mayTryAgain(request, runs + 1)) return this.passOn(request, result, sends + 1)
        if (!again) runs += 1
        continue
      }
      this.learn(engine, result, record, request)
      if (result.kind === 'not-sent') continue
      runs += 1
      if (!this.mayTryAgain(request, runs)) break
    }
    return this.giveUp(request, progress, record, tried.size, stall)
  }

  private mayTryAgain (request: RoutedRequest, runs: number): boolean {
    return request.route.resumable && runs < request.route.mostAttempts
  }

  private searchEnd (request: RoutedRequest, progress: StreamProgress): number {
    const { cameAt, endsAt, route } = request
    // A stream that has begun is worth going on with for as long as its caller bears the pause.
    if (progress.firstEventAt !== undefined) return Math.min(endsAt, this.parts.clock.now() + LONGEST_PAUSE_MILLISECONDS)
    return cameAt + longestWait({ time: endsAt - cameAt, objective: route.objectiveMilliseconds, gap: route.gapMilliseconds })
  }

  private async tryOn (engine: FoundEngine, request: RoutedRequest, progress: StreamProgress, sends: number, mayGoElsewhere: boolean): Promise<StreamTryResult> {
    const { clock, board, senders, forecast, speeds, prefixes, expectedVersion } = this.parts
    const { facts, service } = request
    const { endpoint, forecastMilliseconds, uncachedTokens } = engine
    const readTokens = board.inHand(endpoint.id, clock.now()).prefillTokens + uncachedTokens
    const ticket = board.begin(endpoint.id, {
      prefillTokens: uncachedTokens, memoryTokens: facts.promptTokens + facts.outputTokens, adapter: facts.adapter?.key
    })
    const sentAt = clock.now()
    const patience = mayGoElsewhere ? Math.max(LEAST_PATIENCE_MILLISECONDS, PATIENCE_FORECASTS * forecastMilliseconds) : undefined
    const stream = new StreamTry(request.exchange, progress, patience, clock, () => {
      ticket.prefilled()
      forecast.observe(endpoint.id, forecastMilliseconds, clock.now() - sentAt, readTokens)
      if (facts.adapter !== undefined) prefixes.remember(endpoint.id, facts.adapter.key, facts.promptParts, service.engine?.memoryTokens ?? 0)
    })
    const order = {
      endpoint,
      lastEventId: progress.lastEventId,
      adapterVersion: expectedVersion(request, sentAt),
      earlierTries: sends,
      grounds: { forecastMilliseconds: Math.round(forecastMilliseconds), uncachedTokens, stallMilliseconds: Math.round(engine.stallMilliseconds) }
    }
    const result = await stream.run((sink) => senders.send(request, order, sink))
    ticket.ended()
    if (stream.spacing.milliseconds !== undefined) speeds.spacingSeen(endpoint.id, stream.spacing.milliseconds)
    return result
  }

  /** What a try says of its engine, and of what has become of the request. */
  private learn (engine: FoundEngine, result: StreamTryResult, record: TryRecord, request: RoutedRequest): void {
    const { senders, locations } = this.parts
    const { id } = engine.endpoint
    if (result.kind === 'other-answer') {
      const { status, facts } = result.head
      if (!facts.notRun) {
        record.unknown(id, `status ${status}`)
        return senders.observe(id, 'failed', `status ${status}`)
      }
      record.notRun(id, `status ${status}`)
      if (status === MISDIRECTED && request.facts.adapter?.name !== undefined) locations.forget(id, request.facts.adapter.key)
      return
    }
    if (result.kind === 'whole') return
    if (result.kind === 'not-sent') record.notRun(id, result.reason)
    else record.unknown(id, result.reason)
    if (!request.signal.aborted) senders.observe(id, 'failed', result.reason)
  }

  private answered (request: RoutedRequest, progress: StreamProgress, tries: number, stall: number): RelayOutcome {
    return { outcome: 'answered', status: 200, tries, firstEventMilliseconds: sinceStart(request, progress), loadStallMilliseconds: stall, longestGapMilliseconds: progress.longestGap }
  }

  private passOn (request: RoutedRequest, result: Extract<StreamTryResult, { kind: 'other-answer' }>, tries: number): RelayOutcome {
    if (request.exchange.started) request.exchange.cut()
    else request.exchange.answer(result.head, result.body)
    return { outcome: request.exchange.started ? 'cut' : 'answered', status: result.head.status, tries }
  }

  private giveUp (request: RoutedRequest, progress: StreamProgress, record: TryRecord, tries: number, stall: number): RelayOutcome {
    const { exchange, signal } = request
    const common = { tries, firstEventMilliseconds: sinceStart(request, progress), loadStallMilliseconds: stall, longestGapMilliseconds: progress.longestGap }
    if (exchange.left.aborted) return { outcome: 'caller-left', ...common }
    const retryAfter = this.parts.seeker.comeBackSeconds(request.service)
    const error = signal.aborted ? record.timeoutError(retryAfter) : this.finalError(request, record, retryAfter)
    const wasStarted = exchange.started
    exchange.refuse(error)
    return { outcome: wasStarted ? 'cut' : 'refused', error, ...common }
  }

  private finalError (request: RoutedRequest, record: TryRecord, retryAfterSeconds: number): LimpetwinchError {
    const { adapter } = request.facts
    if (record.isUnknown || adapter === undefined) return record.finalError(retryAfterSeconds)
    return new LimpetwinchError('adapter-not-ready', { adapter: adapter.key, reason: 'no engine took it' }, { retryAfterSeconds })
  }
}

function sinceStart (request: RoutedRequest, progress: StreamProgress): number | undefined {
  return progress.firstEventAt === undefined ? undefined : progress.firstEventAt - request.cameAt
}
