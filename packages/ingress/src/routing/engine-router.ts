/**
 * Chooses engines. For a request, this is the engine that holds its adapter and is expected to send the first event of the response earliest.
 * When no engine holds the adapter, it is the engine that should load the adapter. All costs are in milliseconds of waiting; the engine
 * with the lowest cost is chosen.
 */
import { ownPauseCost, pauseCost, rendezvousWeight } from '@limpetwinch/decisions'
import type { EngineSpeeds, OutlierEjection } from '@limpetwinch/decisions'
import type { EndpointId } from '@limpetwinch/core'
import type { AdapterLocations } from '../adapters/adapter-locations.js'
import { adapterCapacity, canLoadAdapters } from '../adapters/engine-memory.js'
import type { EndpointDirectory } from '../endpoints/endpoint-directory.js'
import type { EndpointBackoffs } from '../rate-limits/endpoint-backoffs.js'
import type { RequestFacts } from '../relay/request-codec.js'
import { modelOf } from '../routes/configuration.js'
import type { AdapterKey, Endpoint, EngineShape, ModelName, Service, SoftwareVersion } from '../routes/configuration.js'
import type { FirstEventForecast } from './first-event-forecast.js'
import type { EndpointWorkTracker } from './endpoint-work-tracker.js'
import type { PrefixCacheEstimate } from './prefix-cache-estimate.js'
import { maySend } from './stream-beginnings.js'
import type { EngineClaims, StreamContinuation } from './stream-beginnings.js'

/**
 * Added to the cost of engines in other data centres, since bytes take longer and cost money between data centres. The addition decides
 * only between engines that are otherwise nearly equal.
 */
const REMOTE_MILLISECONDS = 12
/** Added to the cost of an engine that has just failed. The addition falls to 0 over a recovery time, so that the engine gets requests again gradually. */
const PENALTY_MILLISECONDS = 300
/** Expected duration of an adapter load from the copy that the engine has cached. */
const CACHED_LOAD_MILLISECONDS = 40
/**
 * Cost of an adapter load from the weight store, in addition to the duration of the load. The store delivers a limited number of adapters a
 * second to all engines together, so each load from the store delays the load of another request. With this cost, a request rather
 * waits for an engine that has cached the adapter.
 */
const STORE_LOAD_COST_MILLISECONDS = 400
/** Expected time after which an adapter slot in use becomes free again: about the duration of a short response. */
const RUN_MILLISECONDS = 600
/**
 * Largest cost that the rendezvous hash of adapter and engine adds when an engine for a load is chosen. The hash spreads adapters that no
 * engine holds yet over the engines, in the same way on all instances.
 */
const HOME_MILLISECONDS = 150
/**
 * Least gain for which a further copy of an adapter is requested: the time by which the first event of a request would come earlier from the
 * engine with the further copy. The bound exists because each copy takes an adapter slot and a load. A copy that
 * relieves a crowded engine is requested without such a gain.
 */
const COPY_GAIN_MILLISECONDS = 400
/** Shortest interval between requests for further copies of one adapter, so that the effect of the previous copy shows before the next request. */
const COPY_INTERVAL_MILLISECONDS = 500
/**
 * An engine is crowded when the number of its requests reaches both this multiple of the mean over the engines of its service and this share
 * of its batch slots. Below that share, batch steps are as short as on other engines. Crowding comes about when a few popular adapters
 * gather requests on the engine that held them first, while other engines have capacity. Streams on the crowded engine take half as
 * long again, and hold their slots for half as long again. With further copies of these adapters, the streams end and free their
 * slots sooner, and the capacity of the other engines is used.
 */
const CROWDED_SHARE_OF_MEAN = 1.4
const CROWDED_SHARE_OF_BATCH = 0.3
/** Least number of running requests with which an adapter counts as a cause of the crowding of its engine. */
const CROWDED_RUNS = 4
/**
 * Cost of each running request on an engine: about the time by which it lengthens the response of another request there. The cost decides
 * between engines that hold the same adapter.
 */
const RUNNING_MILLISECONDS = 3
/**
 * Cost of each running request on an engine when the request to be placed is suspected of crashing engines. A crash would end the running
 * requests, and their callers would lose their complete responses.
 */
const CRASH_RISK_MILLISECONDS = 1_000
/** Largest number of adapters for which the time of the last copy request is kept, which bounds the memory used. Beyond it, all times are dropped. */
const MAXIMUM_COPY_TIMES = 5_000

/** What an engine is chosen for. */
export interface EngineQuery extends StreamContinuation {
  readonly service: Service
  readonly facts: RequestFacts
  /** The longest pause between two events of a stream that callers accept. */
  readonly gapMilliseconds: number
  /** Engines that must not be chosen, such as those that were attempted before or refused the request. */
  readonly excluded: ReadonlySet<EndpointId>
  /** Whether the request is suspected of crashing its engine, so that an engine with few running requests is best. */
  readonly isolated?: boolean
}

/** The part of a query that says which engines may serve it at all. */
export type UsableQuery = Pick<EngineQuery, 'service' | 'excluded' | 'softwareVersion'>

/** An engine chosen for a request. */
export interface EngineChoice {
  readonly endpoint: Endpoint
  /** Time until the first event, plus the additions for other data centres and recent failures. */
  readonly forecastMilliseconds: number
  /** Prompt tokens that the engine has to read, since it has not cached them. */
  readonly uncachedTokens: number
  /** What was compared with the other engines; absent in an estimate that was compared with none. */
  readonly costMilliseconds?: number
}

/** An engine chosen to load an adapter. */
export interface LoadChoice {
  readonly endpoint: Endpoint
  /** Expected time until the adapter can be used, plus the costs for other requests; 0 when the load is already in progress. */
  readonly costMilliseconds: number
}

/** Dependencies of the router. */
export interface EngineRouterDependencies extends EngineClaims {
  readonly directory: EndpointDirectory
  readonly locations: AdapterLocations
  readonly workTracker: EndpointWorkTracker
  readonly forecast: FirstEventForecast
  readonly speeds: EngineSpeeds
  readonly prefixes: PrefixCacheEstimate
  readonly ejection: OutlierEjection
  readonly backoffs: Pick<EndpointBackoffs, 'penalty' | 'backingOff'>
  readonly dataCentre: string
  /** @returns the lowest version of the adapter with which a new request may start */
  readonly leastVersion: (key: AdapterKey, now: number) => number
  /** @returns whether a request with this forecast time until its first event begins at an engine while the version there may serve */
  readonly mayBegin: (endpoint: EndpointId, key: AdapterKey, forecastMilliseconds: number, now: number) => boolean
  /** @returns current duration of an adapter load from the weight store, milliseconds */
  readonly loadMilliseconds: () => number
}

/** Chooses engines for requests and for loads. */
export class EngineRouter {
  private readonly parts: EngineRouterDependencies
  private readonly copyRequestTimes = new Map<AdapterKey, number>()

  constructor (parts: EngineRouterDependencies) {
    this.parts = parts
  }

  /** @returns the engine that holds the adapter and has the lowest cost; undefined when no engine holds it */
  choose (query: EngineQuery, now: number): EngineChoice | undefined {
    const { service: { engine: shape }, facts: { adapter } } = query
    if (shape === undefined || adapter === undefined) return undefined
    const { mayBegin } = this.parts
    let best: EngineChoice | undefined
    let least = Infinity
    for (const endpoint of this.holders(query, now)) {
      const choice = this.estimate(endpoint, shape, query.facts, now)
      if (!mayBegin(endpoint.id, adapter.key, choice.forecastMilliseconds, now)) continue
      const running = this.parts.workTracker.outstanding(endpoint.id, now).requests * (query.isolated === true ? CRASH_RISK_MILLISECONDS : RUNNING_MILLISECONDS)
      const pauses = this.pauseCost(endpoint, choice.uncachedTokens, query.gapMilliseconds, now) + this.ownPauseCost(endpoint, choice.uncachedTokens, query.gapMilliseconds, now)
      const cost = choice.forecastMilliseconds + running + pauses
      if (cost >= least) continue
      best = { ...choice, costMilliseconds: cost }
      least = cost
    }
    return best
  }

  /**
   * Chooses the engine that should load the adapter. All instances with the same state choose the same engine, so that requests that
   * arrive at several instances share one load.
   *
   * @param bias - returns milliseconds that are added to the cost of an engine for this request only. A negative value favours an engine, such
   *   as the one in whose load queue the request already waits.
   * @returns the engine; undefined when no engine can load the adapter
   */
  chooseForLoad (query: EngineQuery, bias: (endpoint: EndpointId) => number, now: number): LoadChoice | undefined {
    const { locations, hasLoadOwner } = this.parts
    const { service, facts, gapMilliseconds } = query
    const shape = service.engine
    if (shape === undefined || facts.adapter === undefined) return undefined
    const { key, model } = facts.adapter
    const usable = this.usableEngines(query, now)
      .filter((endpoint) => hasLoadOwner(endpoint.id) && canLoadAdapters(shape, endpoint.models, model as ModelName) && !locations.holders(key).has(endpoint.id))
    // Computing the duration of a load goes over all engines, so it is done once and not for each engine.
    const storeMilliseconds = this.parts.loadMilliseconds()
    let best: LoadChoice | undefined
    for (const endpoint of usable) {
      if (locations.inFlight.has(endpoint.id, key, now)) return { endpoint, costMilliseconds: 0 }
      const pause = this.pauseCost(endpoint, facts.promptTokens, gapMilliseconds, now)
      const costMilliseconds = this.loadCost(endpoint, shape, key, storeMilliseconds, now) + pause + bias(endpoint.id)
      if (best === undefined || costMilliseconds < best.costMilliseconds) best = { endpoint, costMilliseconds }
    }
    return best
  }

  /**
   * Decides whether a further copy of the adapter is worth a load.
   *
   * @param best - the engine that was chosen for the request among those that hold the adapter
   * @param excluded - engines that should not load a copy
   * @returns the engine that should load the copy, when `best` is slow or crowded and that engine would be better; else undefined
   */
  chooseForCopy (query: EngineQuery, best: EngineChoice, excluded: ReadonlySet<EndpointId>, now: number): LoadChoice | undefined {
    const { facts } = query
    const { adapter } = facts
    const shape = query.service.engine
    if (adapter?.name === undefined || shape === undefined) return undefined
    const crowded = this.isCrowded(query, best.endpoint, shape, now)
    if (!crowded && best.forecastMilliseconds < COPY_GAIN_MILLISECONDS + this.parts.loadMilliseconds()) return undefined
    if (now - (this.copyRequestTimes.get(adapter.key) ?? -Infinity) < COPY_INTERVAL_MILLISECONDS) return undefined
    const load = this.chooseForLoad({ ...query, excluded }, unbiased, now)
    if (load === undefined) return undefined
    const copyMilliseconds = this.estimate(load.endpoint, shape, facts, now).forecastMilliseconds + this.parts.loadMilliseconds()
    const relieves = crowded && !this.isAboveMean(query.service, load.endpoint, now)
    if (!relieves && copyMilliseconds + COPY_GAIN_MILLISECONDS > best.forecastMilliseconds) return undefined
    if (this.copyRequestTimes.size > MAXIMUM_COPY_TIMES) this.copyRequestTimes.clear()
    this.copyRequestTimes.set(adapter.key, now)
    return load
  }

  /**
   * @returns whether engines of other software versions serve, and none of the one that the query asks for that is not excluded. While no engine
   *   serves at all, one of that version is expected back.
   */
  isVersionGone ({ service, excluded, softwareVersion }: UsableQuery): boolean {
    if (softwareVersion === undefined || this.ofVersion(service, softwareVersion).some(({ id }) => !excluded.has(id))) return false
    return this.parts.directory.servable(service.name).some((engine) => engine.softwareVersion !== softwareVersion)
  }

  /** @returns milliseconds until an adapter load that is requested now could be complete, on the engine with the shortest load queue */
  shortestWait (service: Service, now: number): number {
    let least = Infinity
    for (const { id } of this.usableEngines({ service, excluded: this.parts.backoffs.backingOff() }, now)) {
      if (this.parts.hasLoadOwner(id)) least = Math.min(least, this.parts.locations.line(id)?.waitMilliseconds ?? 0)
    }
    return least + this.parts.loadMilliseconds()
  }

  /** @returns whether the engine is crowded and the adapter of the request is a cause of the crowding */
  private isCrowded ({ service, facts }: EngineQuery, endpoint: Endpoint, shape: EngineShape, now: number): boolean {
    const { requests } = this.parts.workTracker.outstanding(endpoint.id, now)
    if (facts.adapter === undefined || requests < shape.batchSlots * CROWDED_SHARE_OF_BATCH) return false
    if (requests < this.meanRequests(service, now) * CROWDED_SHARE_OF_MEAN) return false
    return this.parts.workTracker.running(endpoint.id, facts.adapter.key, now) >= CROWDED_RUNS
  }

  private isAboveMean (service: Service, endpoint: Endpoint, now: number): boolean {
    return this.parts.workTracker.outstanding(endpoint.id, now).requests > this.meanRequests(service, now)
  }

  private meanRequests (service: Service, now: number): number {
    const engines = this.parts.directory.servable(service.name)
    return engines.reduce((sum, { id }) => sum + this.parts.workTracker.outstanding(id, now).requests, 0) / Math.max(1, engines.length)
  }

  /** @returns usable engines that hold the adapter in a version that a new request may start on */
  holders (query: EngineQuery, now: number): Endpoint[] {
    const { locations, leastVersion } = this.parts
    const { adapter } = query.facts
    if (adapter === undefined) return []
    const engines = this.usableEngines(query, now).filter((endpoint) => maySend(query, endpoint, this.parts))
    if (adapter.name === undefined) return engines.filter((endpoint) => endpoint.models.includes(adapter.model as ModelName))
    const least = leastVersion(adapter.key, now)
    const holders = locations.holders(adapter.key)
    return engines.filter((endpoint) => (holders.get(endpoint.id) ?? -1) >= least)
  }

  /**
   * @returns servable engines that are neither ejected nor excluded. Outlier ejection always leaves a minimum of the given engines in use, so
   *   all engines of the service are given. If only the few holders of one adapter were given, a failing holder would stay in use. A stream
   *   that can go on at one software version only has no others, so all engines of that version are given.
   */
  private usableEngines ({ service, excluded, softwareVersion }: UsableQuery, now: number): Endpoint[] {
    const engines = this.ofVersion(service, softwareVersion).map((endpoint) => ({ endpoint: endpoint.id, entry: endpoint }))
    return this.parts.ejection.usable(engines, now).map(({ entry }) => entry).filter((endpoint) => !excluded.has(endpoint.id))
  }

  private ofVersion (service: Service, softwareVersion: SoftwareVersion | undefined): readonly Endpoint[] {
    const engines = this.parts.directory.servable(service.name)
    return softwareVersion === undefined ? engines : engines.filter((engine) => engine.softwareVersion === softwareVersion)
  }

  /** @returns the engine with the forecast time until the first event, including the additions for other data centres and recent failures */
  private estimate (endpoint: Endpoint, shape: EngineShape, facts: RequestFacts, now: number): EngineChoice {
    const { workTracker, forecast, prefixes, dataCentre } = this.parts
    const key = facts.adapter?.key
    const cachedTokens = key === undefined ? 0 : prefixes.cachedTokens(endpoint.id, key, facts.promptParts)
    const uncachedTokens = Math.max(0, facts.promptTokens - cachedTokens)
    const outstanding = workTracker.outstanding(endpoint.id, now)
    const expected = forecast.milliseconds(endpoint.id, shape, outstanding, uncachedTokens, facts.promptTokens + facts.outputTokens)
    const remote = endpoint.dataCentre === dataCentre ? 0 : REMOTE_MILLISECONDS
    return { endpoint, forecastMilliseconds: expected + remote + this.penalty(endpoint.id, now), uncachedTokens }
  }

  /** @returns the cost of an engine that has just failed or asked to back off, in milliseconds */
  private penalty (endpoint: EndpointId, now: number): number {
    const { ejection, backoffs } = this.parts
    return Math.max(ejection.penalty(endpoint, now), backoffs.penalty(endpoint)) * PENALTY_MILLISECONDS
  }

  /** @returns the cost for the running streams of the engine when the engine reads a prompt of this many tokens now, in milliseconds of waiting */
  private pauseCost (endpoint: Endpoint, promptTokens: number, gapMilliseconds: number, now: number): number {
    const { speeds, workTracker } = this.parts
    const { requests, prefillTokens } = workTracker.outstanding(endpoint.id, now)
    return pauseCost({ promptTokens, gapMilliseconds, requests, prefillTokens }, (tokens) => speeds.prefillMilliseconds(endpoint.id, tokens))
  }

  /** @returns the cost for the stream of a prompt of this many tokens when it is sent to the engine now; a prompt that waits for a load is sent too late for it */
  private ownPauseCost (endpoint: Endpoint, promptTokens: number, gapMilliseconds: number, now: number): number {
    const { prefillTokens } = this.parts.workTracker.outstanding(endpoint.id, now)
    return ownPauseCost({ promptTokens, gapMilliseconds, prefillTokens }, (tokens) => this.parts.speeds.prefillMilliseconds(endpoint.id, tokens))
  }

  /** @returns milliseconds until the adapter could be used on the engine, plus the cost of the load for other requests */
  private loadCost (endpoint: Endpoint, shape: EngineShape, key: AdapterKey, storeMilliseconds: number, now: number): number {
    const { workTracker, forecast, locations, dataCentre, leastVersion } = this.parts
    const reading = forecast.milliseconds(endpoint.id, shape, workTracker.outstanding(endpoint.id, now), 0, 0)
    const queue = locations.line(endpoint.id)
    // Joining a load that is already pending takes nothing more from the weight store.
    const joinsPendingLoad = queue?.waiting.has(key) === true
    const storeCost = joinsPendingLoad ? 0 : STORE_LOAD_COST_MILLISECONDS
    const loadMilliseconds = locations.isCached(endpoint.id, key, leastVersion(key, now)) ? CACHED_LOAD_MILLISECONDS : storeMilliseconds + storeCost
    const slots = adapterCapacity(shape, endpoint.models, modelOf(key))
    const idleSlots = slots - workTracker.adaptersInUse(endpoint.id, now) - locations.inFlight.countFor(endpoint.id)
    const slotWait = idleSlots > 0 ? 0 : RUN_MILLISECONDS / slots * (1 - idleSlots)
    const queueWait = Math.max(slotWait, queue?.waitMilliseconds ?? 0)
    // Requests still run with the adapter although the engine does not offer it. So the engine is evicting or replacing the adapter, and has to
    // wait until these runs end before a new load.
    const evictionWait = workTracker.running(endpoint.id, key, now) > 0 ? RUN_MILLISECONDS : 0
    const remote = endpoint.dataCentre === dataCentre ? 0 : REMOTE_MILLISECONDS
    const penalty = this.penalty(endpoint.id, now)
    const home = HOME_MILLISECONDS * (1 - rendezvousWeight(key, endpoint.id))
    return reading + loadMilliseconds + queueWait + evictionWait + remote + penalty + home
  }
}

const unbiased = (): number => 0
