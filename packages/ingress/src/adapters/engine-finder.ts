/** Finds an engine for a request, and has the adapter loaded where none holds it. */
import { QueuePosition } from '@limpetwinch/decisions'
import type { Clock, EndpointId, InstanceId, LoadAskFrame, Logger } from '@limpetwinch/core'
import type { RequestFacts } from '../relay/request-codec.js'
import type { Service } from '../routes/configuration.js'
import type { EngineChoice, EngineQuery, EngineRouter, LoadChoice } from '../routing/engine-router.js'
import type { AdapterLocations } from './adapter-locations.js'

/** Between askings: a want that is not repeated is dropped, and another engine may have room by now. */
const LOAD_REQUEST_INTERVAL_MILLISECONDS = 300
/** A refusal says that the holder has changed; the news of it comes within this. */
const REFUSAL_VALID_MILLISECONDS = 500
/** Between looks while no engine can be asked at all. */
const NO_ENGINE_WAIT_MILLISECONDS = 100

/**
 * A request that was refused and comes back before the line is shorter is refused again. No slot and no load comes free much
 * sooner than the first of these; told to wait for longer than the second, callers with a few seconds left would not come back.
 */
const SHORTEST_RETRY_AFTER_MILLISECONDS = 400
const LONGEST_RETRY_AFTER_MILLISECONDS = 1_500

/** What the seeker needs. */
export interface EngineFinderDependencies {
  readonly clock: Clock
  readonly logger: Logger
  readonly router: EngineRouter
  readonly locations: AdapterLocations
  /** @returns who orders the engine's loads */
  readonly loadOwnerOf: (endpoint: EndpointId) => InstanceId | undefined
  /** Tells the one that orders an engine's loads that an adapter is wanted. */
  readonly requestLoad: (to: InstanceId, frame: LoadAskFrame) => void
  /** @returns the least adapter version that a new request may begin on */
  readonly leastVersion: (request: RequestFacts, now: number) => number
}

/** An engine, and how long its adapter was waited for. */
export interface FoundEngine extends EngineChoice {
  readonly stallMilliseconds: number
}

/** What is looked for, and for how long. */
export interface EngineSearch extends EngineQuery {
  /** Monotonic time after which an answer is late. */
  readonly onTimeUntil: number
  /** Monotonic time at which the search is given up. */
  readonly until: number
  /** Ends it as well. */
  readonly signal: AbortSignal
}

/** Why a search found nothing. */
type SearchFailure = 'no engine may serve it' | 'its search took too long' | 'its request ended'

/** Finds engines. */
export class EngineFinder {
  private readonly dependencies: EngineFinderDependencies
  private readonly refusals = new Map<string, number>()

  constructor (dependencies: EngineFinderDependencies) {
    this.dependencies = dependencies
  }

  /** A load was refused: those that wait for it look elsewhere. */
  refused (endpoint: EndpointId, key: string): void {
    this.refusals.set(`${endpoint} ${key}`, this.dependencies.clock.now())
    this.dependencies.locations.wakeWaitingRequests(key as Parameters<AdapterLocations['wakeWaitingRequests']>[0])
  }

  /** @returns an engine that holds the adapter, or undefined */
  async find (search: EngineSearch): Promise<FoundEngine | undefined> {
    const { facts, until, signal } = search
    const { clock, router } = this.dependencies
    const startedAt = clock.now()
    const place = new QueuePosition()
    for (let askings = 0; !signal.aborted; askings++) {
      const now = clock.now()
      const choice = router.choose(search, now)
      if (choice !== undefined) {
        this.requestCopy(search, choice, now)
        return { ...choice, stallMilliseconds: now - startedAt }
      }
      const isLate = now >= until
      if (facts.adapter === undefined || (isLate && facts.adapter.name === undefined)) return this.logNoEngine(search, 'no engine may serve it', askings, now - startedAt)
      if (isLate) return this.logNoEngine(search, 'its search took too long', askings, now - startedAt)
      await this.requestLoadAndWait(search, place)
    }
    return this.logNoEngine(search, 'its request ended', undefined, clock.now() - startedAt)
  }

  /** @returns when a request that found no engine is best sent again, seconds */
  retryAfterSeconds (service: Service): number {
    const wait = this.dependencies.router.shortestWait(service, this.dependencies.clock.now())
    return Math.min(LONGEST_RETRY_AFTER_MILLISECONDS, Math.max(SHORTEST_RETRY_AFTER_MILLISECONDS, wait)) / 1_000
  }

  private logNoEngine ({ facts, excluded, onTimeUntil }: EngineSearch, reason: SearchFailure, askings: number | undefined, milliseconds: number): undefined {
    this.dependencies.logger.debug('No engine was found.', {
      request: facts.requestId, adapter: facts.adapter?.key, reason, milliseconds: Math.round(milliseconds), askings, excluded: [...excluded], late: this.dependencies.clock.now() >= onTimeUntil
    })
    return undefined
  }

  /** Asks the best engine for the adapter and waits a while. */
  private async requestLoadAndWait (search: EngineSearch, place: QueuePosition): Promise<void> {
    const { clock, router, locations } = this.dependencies
    const { facts, until, onTimeUntil, signal } = search
    const { adapter } = facts
    if (adapter === undefined) return
    const now = clock.now()
    // Whole models are not loaded for one request, but an engine that holds the model may come, or be let in again.
    if (adapter.name === undefined) return await locations.waitForArrival(adapter.key, Math.max(1, Math.min(NO_ENGINE_WAIT_MILLISECONDS, until - now)), signal)
    const bias = (endpoint: EndpointId): number => place.bias(endpoint, locations.line(endpoint)?.receivedAt, now)
    const recentlyRefusing = this.recentlyRefusing(adapter.key, now)
    // A load to an engine that this request may not use again serves others at best.
    const load = router.chooseForLoad({ ...search, excluded: new Set([...recentlyRefusing, ...search.excluded]) }, bias, now) ??
      router.chooseForLoad({ ...search, excluded: recentlyRefusing }, bias, now)
    if (load === undefined) return await locations.waitForArrival(adapter.key, Math.max(1, Math.min(NO_ENGINE_WAIT_MILLISECONDS, until - now)), signal)
    place.join(load.endpoint.id, now)
    this.sendLoadRequest(load, facts, { request: facts.requestId, onTimeMilliseconds: onTimeUntil - now }, now)
    await locations.waitForArrival(adapter.key, Math.max(1, Math.min(LOAD_REQUEST_INTERVAL_MILLISECONDS, until - now)), signal)
  }

  /** Engines whose loads the asked instance does not order; the holder that it believed in has changed. */
  private recentlyRefusing (key: string, now: number): Set<EndpointId> {
    const engines = new Set<EndpointId>()
    for (const [what, refusedAt] of this.refusals) {
      if (now - refusedAt > REFUSAL_VALID_MILLISECONDS) this.refusals.delete(what)
      else if (what.endsWith(` ${key}`)) engines.add(what.slice(0, what.indexOf(' ')) as EndpointId)
    }
    return engines
  }

  private requestCopy (question: EngineQuery, choice: EngineChoice, now: number): void {
    const copy = this.dependencies.router.chooseForCopy(question, choice, now)
    if (copy !== undefined) this.sendLoadRequest(copy, question.facts, undefined, now)
  }

  private sendLoadRequest ({ endpoint, costMilliseconds }: LoadChoice, facts: RequestFacts, waiter: Pick<LoadAskFrame, 'request' | 'onTimeMilliseconds'> | undefined, now: number): void {
    const holder = this.dependencies.loadOwnerOf(endpoint.id)
    if (holder === undefined || facts.adapter === undefined) return
    const version = this.dependencies.leastVersion(facts, now)
    const waiting = waiter !== undefined
    this.dependencies.logger.debug('A load was asked for.', {
      request: facts.requestId, adapter: facts.adapter.key, endpoint: endpoint.id, of: holder, version, waiting, costMilliseconds: Math.round(costMilliseconds)
    })
    this.dependencies.requestLoad(holder, { kind: 'load-ask', endpoint: endpoint.id, key: facts.adapter.key, version, waiting, ...waiter })
  }
}
