/** Finds an engine for a request, and requests a load of the adapter when no engine holds it. */
import { QueuePosition } from '@limpetwinch/decisions'
import type { Clock, EndpointId, InstanceId, LimpetwinchError, LoadAskFrame, Logger, TeamId } from '@limpetwinch/core'
import type { AdmissionForecast, AdmissionQuery, KeptPlace, StreamAdmission } from '../admission/stream-admission.js'
import type { RequestFacts } from '../relay/request-codec.js'
import type { ModelName, Service } from '../routes/configuration.js'
import type { EngineChoice, EngineQuery, EngineRouter, LoadChoice, UsableQuery } from '../routing/engine-router.js'
import type { EndpointRateLimiter } from '../rate-limits/endpoint-rate-limiter.js'
import { PlaceSearch } from '../rate-limits/place-search.js'
import type { AdapterLocations } from './adapter-locations.js'
import { isAdapterTooLarge } from './engine-memory.js'

/**
 * Interval between the load requests of one search. A load owner drops a load request that is not repeated, and by then another
 * engine may be the better choice.
 */
const LOAD_REQUEST_INTERVAL_MILLISECONDS = 300
/** How long an engine whose load request was refused is passed over. A refusal means that the load owner has changed; the update arrives within this time. */
const REFUSAL_VALID_MILLISECONDS = 500
/** Interval between attempts to choose an engine while no engine can load the adapter. */
const NO_ENGINE_WAIT_MILLISECONDS = 100

/**
 * Added to the cost of a load on an engine with a rate limit. The engine serves few requests with the adapter afterwards, so it is chosen
 * only where the load queues of the other engines are longer by this time.
 */
const LIMITED_LOAD_MILLISECONDS = 300

/**
 * Bounds of the retry delay sent to a refused caller. A request that is retried before the load queue is shorter is refused
 * again, and no slot is freed and no load completes much sooner than the shortest delay. A caller whose deadline is a few
 * seconds away would not retry after more than the longest delay.
 */
const SHORTEST_RETRY_AFTER_MILLISECONDS = 400
const LONGEST_RETRY_AFTER_MILLISECONDS = 1_500

/** Dependencies of the engine finder. */
export interface EngineFinderDependencies {
  readonly clock: Clock
  readonly logger: Logger
  readonly router: EngineRouter
  readonly rateLimiter: EndpointRateLimiter
  readonly locations: AdapterLocations
  /** @returns the load owner of the engine; undefined when there is none or it is unreachable */
  readonly loadOwnerOf: (endpoint: EndpointId) => InstanceId | undefined
  /** Sends a load request to the load owner of an engine. */
  readonly requestLoad: (to: InstanceId, frame: LoadAskFrame) => void
  /** @returns the lowest adapter version that a new request may start on */
  readonly leastVersion: (request: RequestFacts, now: number) => number
  readonly admission: Pick<StreamAdmission, 'isActive' | 'refuse' | 'refusalOf' | 'extraWait' | 'forecast'>
  /** @returns recent service of a team over all instances, divided by its share; undefined if it is not known */
  readonly shareUsed: (team: TeamId) => number | undefined
}

/** An engine that was found, and how long the search waited for it. */
export interface FoundEngine extends EngineChoice {
  readonly stallMilliseconds: number
}

/** What a search looks for, and its time limits. */
export interface EngineSearch extends EngineQuery {
  /** Priority of the request, 0 being the most urgent. */
  readonly priority: number
  /** Team of the request; undefined when it belongs to none. */
  readonly team: TeamId | undefined
  /** Whether the request was sent to no engine yet, and begins a new stream, so that its caller loses nothing when it is refused at once. */
  readonly isNew: boolean
  /** Monotonic time after which a response misses its latency objective. */
  readonly onTimeUntil: number
  /** Monotonic time at which the search times out. */
  readonly until: number
  /** Cancels the search. */
  readonly signal: AbortSignal
}

/** The engine that is asked for a load, and the cost for which it was chosen. */
interface LoadTarget {
  readonly endpoint: EndpointId
  readonly costMilliseconds: number
}

/** Why a search found no engine. */
type SearchFailure = 'no engine may serve it' | 'no engine runs its software version' | 'its adapter is larger than the memory of engines' | 'its engines have reached their rate limits' | 'the forecast shows no room in time' | 'its search took too long' | 'its request ended'

/** Finds engines for requests. */
export class EngineFinder {
  private readonly dependencies: EngineFinderDependencies
  private readonly refusals = new Map<string, number>()

  constructor (dependencies: EngineFinderDependencies) {
    this.dependencies = dependencies
  }

  /** Records that a load request was refused, and wakes the requests that wait for the adapter so that they try another engine. */
  refused (endpoint: EndpointId, key: string): void {
    this.refusals.set(`${endpoint} ${key}`, this.dependencies.clock.now())
    this.dependencies.locations.wakeWaitingRequests(key as Parameters<AdapterLocations['wakeWaitingRequests']>[0])
  }

  /** @returns an engine that holds the adapter; undefined when the search ended without one */
  async find (search: EngineSearch): Promise<FoundEngine | undefined> {
    const { facts, until, signal, priority } = search
    const { clock, router, rateLimiter } = this.dependencies
    const startedAt = clock.now()
    const queuePosition = new QueuePosition()
    const places = new PlaceSearch(rateLimiter, priority)
    for (let askings = 0; !signal.aborted; askings++) {
      const now = clock.now()
      const choice = router.choose(withExcluded(search, places.full), now)
      if (choice !== undefined) {
        if (!await places.take(choice.endpoint.id)) continue
        this.requestCopy(search, choice, now)
        return { ...choice, stallMilliseconds: clock.now() - startedAt }
      }
      if (router.isVersionGone(search)) {
        return this.logNoEngine(search, 'no engine runs its software version', askings, now - startedAt)
      }
      if (isLargerThanEngines(search)) return this.logNoEngine(search, 'its adapter is larger than the memory of engines', askings, now - startedAt)
      const isLate = now >= until
      if (facts.adapter === undefined || (isLate && facts.adapter.name === undefined)) {
        return this.logNoEngine(search, 'no engine may serve it', askings, now - startedAt)
      }
      if (isLate) return this.logNoEngine(search, 'its search took too long', askings, now - startedAt)
      const untilRoom = places.hasPlace ? undefined : this.millisecondsUntilRoom(search, now)
      const kept = untilRoom === undefined && askings === 0 && search.isNew ? this.dependencies.admission.refuse(withExcluded(search, places.full)) : undefined
      if (kept !== undefined) {
        this.keepPlace(search, kept, now)
        return this.logNoEngine(search, 'the forecast shows no room in time', askings, now - startedAt)
      }
      if (untilRoom === undefined) {
        await this.requestLoadAndWait(search, queuePosition, places)
        continue
      }
      if (now + untilRoom > until) return this.logNoEngine(search, 'its engines have reached their rate limits', askings, now - startedAt)
      await clock.sleep(untilRoom, signal)
      places.waited()
    }
    return this.logNoEngine(search, 'its request ended', undefined, clock.now() - startedAt)
  }

  /** @returns whether only engines of other software versions than the one that the query asks for are left */
  isVersionGone (query: UsableQuery): boolean {
    return this.dependencies.router.isVersionGone(query)
  }

  /** @returns seconds after which a request that found no engine should be retried */
  retryAfterSeconds (service: Service): number {
    const wait = this.dependencies.router.shortestWait(service, this.dependencies.clock.now())
    return Math.min(LONGEST_RETRY_AFTER_MILLISECONDS, Math.max(SHORTEST_RETRY_AFTER_MILLISECONDS, wait)) / 1_000
  }

  /** @returns what the admission by forecast would decide on a request that no engine can serve now; nothing is recorded or sent */
  admissionForecast (query: AdmissionQuery): AdmissionForecast {
    return this.dependencies.admission.forecast(query, this.dependencies.clock.now())
  }

  /** @returns the error of a request that was refused by forecast, or while all engines of its service have reached their rate limits; else undefined */
  refusalOf ({ facts, service, priority }: Pick<EngineSearch, 'facts' | 'service' | 'priority'>): LimpetwinchError | undefined {
    const { admission, rateLimiter } = this.dependencies
    return admission.refusalOf(facts) ?? rateLimiter.refusal(service.name, priority)
  }

  /** Asks the load owner to keep the place of a refused request in its load queue until the caller returns. */
  private keepPlace (search: EngineSearch, { endpoint, returnMilliseconds }: KeptPlace, now: number): void {
    const onTimeMilliseconds = search.onTimeUntil - now
    this.sendLoadRequest({ endpoint, costMilliseconds: returnMilliseconds }, search, { ...this.claimOf(search), onTimeMilliseconds, returnsInMilliseconds: Math.round(returnMilliseconds) }, now)
  }

  /** @returns the part of a load request that says how the waiting request is ordered among others */
  private claimOf ({ facts, priority, team }: EngineSearch): Pick<LoadAskFrame, 'request' | 'priority' | 'shareUsed'> {
    if (!this.dependencies.admission.isActive) return { request: facts.requestId }
    return { request: facts.requestId, priority, shareUsed: team === undefined ? undefined : this.dependencies.shareUsed(team) }
  }

  /**
   * @returns milliseconds to wait for a place in the rate limit of an engine; undefined when a load is the better way: on an engine without a
   *   limit, or on one with room
   */
  private millisecondsUntilRoom (search: EngineSearch, now: number): number | undefined {
    const { router, rateLimiter } = this.dependencies
    const { service, priority, onTimeUntil } = search
    if (!rateLimiter.areAllLimited(service.name)) return undefined
    const untilRoom = rateLimiter.millisecondsUntilRoomAt(router.holders(search, now).map(({ id }) => id), priority)
    if (untilRoom !== undefined && now + untilRoom <= onTimeUntil) return untilRoom
    return rateLimiter.millisecondsUntilRoom(service.name, priority)
  }

  private logNoEngine ({ facts, excluded, onTimeUntil }: EngineSearch, reason: SearchFailure, askings: number | undefined, milliseconds: number): undefined {
    this.dependencies.logger.debug('No engine was found.', {
      request: facts.requestId,
      adapter: facts.adapter?.key,
      reason,
      milliseconds: Math.round(milliseconds),
      askings,
      excluded: [...excluded],
      late: this.dependencies.clock.now() >= onTimeUntil
    })
    return undefined
  }

  /**
   * Asks the load owner of the best engine to load the adapter. Then waits until an engine holds the adapter, or until the load
   * request must be repeated, so that the load owner does not drop it. Returns at once when the best engine has no room for the request.
   */
  private async requestLoadAndWait (search: EngineSearch, queuePosition: QueuePosition, places: PlaceSearch): Promise<void> {
    const { clock, router, locations, rateLimiter, admission } = this.dependencies
    const { facts, until, onTimeUntil, signal } = search
    const { adapter } = facts
    if (adapter === undefined) return
    const now = clock.now()
    const wait = async (milliseconds: number): Promise<void> => {
      await locations.waitForArrival(adapter.key, Math.max(1, Math.min(milliseconds, until - now)), signal)
      places.waited()
    }
    // Whole models are not loaded for one request, but an engine that holds the model may join or become available again.
    if (adapter.name === undefined) return await wait(NO_ENGINE_WAIT_MILLISECONDS)
    const { limited } = rateLimiter
    const bias = (endpoint: EndpointId): number => {
      const position = queuePosition.bias(endpoint, locations.line(endpoint)?.receivedAt, now)
      return position + (limited.has(endpoint) ? LIMITED_LOAD_MILLISECONDS : 0) + admission.extraWait(search, endpoint, now)
    }
    const unable = new Set([...this.recentlyRefusing(adapter.key, now), ...places.full])
    // A load on an engine that this request may not use again can only serve other requests, so such an engine is the last resort.
    const choice = router.chooseForLoad(withExcluded(search, unable), bias, now) ?? router.chooseForLoad({ ...search, excluded: unable }, bias, now)
    if (choice === undefined) return await wait(NO_ENGINE_WAIT_MILLISECONDS)
    // An adapter that evicts another one for a request without a place in the rate limit would serve nobody.
    if (!await places.take(choice.endpoint.id)) return
    queuePosition.join(choice.endpoint.id, now)
    this.sendLoadRequest(targetOf(choice), search, { ...this.claimOf(search), onTimeMilliseconds: onTimeUntil - now }, now)
    await wait(LOAD_REQUEST_INTERVAL_MILLISECONDS)
  }

  /** @returns engines for which a load request was recently refused: the instance that received the request no longer owns the engine's loads */
  private recentlyRefusing (key: string, now: number): Set<EndpointId> {
    const engines = new Set<EndpointId>()
    for (const [engineAndKey, refusedAt] of this.refusals) {
      if (now - refusedAt > REFUSAL_VALID_MILLISECONDS) this.refusals.delete(engineAndKey)
      else if (engineAndKey.endsWith(` ${key}`)) engines.add(engineAndKey.slice(0, engineAndKey.indexOf(' ')) as EndpointId)
    }
    return engines
  }

  private requestCopy (question: EngineQuery, choice: EngineChoice, now: number): void {
    const { router, rateLimiter } = this.dependencies
    const copy = router.chooseForCopy(question, choice, rateLimiter.limited, now)
    if (copy !== undefined) this.sendLoadRequest(targetOf(copy), question, undefined, now)
  }

  private sendLoadRequest (
    { endpoint, costMilliseconds }: LoadTarget, { facts }: Pick<EngineQuery, 'facts'>, waitingRequest: Partial<LoadAskFrame> | undefined, now: number
  ): void {
    const owner = this.dependencies.loadOwnerOf(endpoint)
    if (owner === undefined || facts.adapter === undefined) return
    const version = this.dependencies.leastVersion(facts, now)
    const waiting = waitingRequest !== undefined
    const { key } = facts.adapter
    this.dependencies.logger.debug('A load was asked for.', {
      request: facts.requestId, adapter: key, endpoint, of: owner, version, waiting, costMilliseconds: Math.round(costMilliseconds), returnsInMilliseconds: waitingRequest?.returnsInMilliseconds
    })
    this.dependencies.requestLoad(owner, { ...waitingRequest, kind: 'load-ask', endpoint, key, version, waiting })
  }
}

function isLargerThanEngines ({ service, facts: { adapter } }: Pick<EngineQuery, 'service' | 'facts'>): boolean {
  return adapter?.name !== undefined && service.engine !== undefined && isAdapterTooLarge(service.engine, adapter.model as ModelName)
}

function targetOf ({ endpoint, costMilliseconds }: LoadChoice): LoadTarget {
  return { endpoint: endpoint.id, costMilliseconds }
}

/** @returns the query with further engines excluded */
function withExcluded<Query extends EngineQuery> (query: Query, engines: ReadonlySet<EndpointId>): Query {
  return engines.size === 0 ? query : { ...query, excluded: new Set([...query.excluded, ...engines]) }
}
