/** Chooses engines: for a request the engine that holds its adapter and has the earliest first event, or else the engine that should load the adapter. */
import { rendezvousWeight } from '@limpetwinch/decisions'
import type { EngineSpeeds, OutlierEjection } from '@limpetwinch/decisions'
import type { EndpointId } from '@limpetwinch/core'
import type { AdapterLocations } from '../adapters/adapter-locations.js'
import type { EndpointDirectory } from '../endpoints/endpoint-directory.js'
import type { RequestFacts } from '../relay/request-codec.js'
import type { AdapterKey, Endpoint, EngineShape, ModelName, Service } from '../routes/configuration.js'
import type { FirstEventForecast } from './first-event-forecast.js'
import type { EndpointWorkTracker } from './endpoint-work-tracker.js'
import type { PrefixCacheEstimate } from './prefix-cache-estimate.js'

/** Added to engines in other data centres, where bytes are slower and cost money; it decides between engines that are otherwise equal. */
const REMOTE_MILLISECONDS = 12
/** Added to an engine that has just failed, so that it gets requests again gradually. */
const PENALTY_MILLISECONDS = 300
/** Time of a load from the copy that an engine has cached. */
const CACHED_LOAD_MILLISECONDS = 40
/**
 * Cost of a load from the weight store in addition to its time. The store delivers a limited number of adapters a second to all engines
 * together, so each fetch delays the load of another request, and it is worth waiting for an engine that has cached the adapter.
 */
const STORE_LOAD_COST_MILLISECONDS = 400
/** Time after which a slot in use becomes free again: about the duration of a short response. */
const RUN_MILLISECONDS = 600
/** Weight of the rendezvous hash, which spreads adapters that no engine holds yet over the engines, in the same way on all instances. */
const HOME_MILLISECONDS = 150
/** A further copy of an adapter takes a slot and a load, so it is requested only when it saves a request at least this time. */
const COPY_GAIN_MILLISECONDS = 400
/** Shortest interval between requests for further copies of one adapter, so that the previous copy has taken effect before. */
const COPY_INTERVAL_MILLISECONDS = 500
/**
 * Cost for each stream on an engine that is paused for longer than callers accept, while the engine reads a long prompt. Each such stream is
 * late, which costs its caller as much as half a second or more of waiting would. The cost is lower than that because not all streams
 * see the pause: some end before it.
 */
const PAUSED_STREAM_MILLISECONDS = 200
/** Share of the longest accepted pause that reading one prompt may take; prompts that are read at the same time add to the pause. */
const PAUSE_SHARE = 0.9
/**
 * Cost for each stream when a prompt that is short enough alone may exceed the longest pause together with a prompt that is read right
 * before or after it. The more prompts are still to be read, the likelier that is, so the share of the pause counts squared, and
 * half as much as a certain pause, since the prompts may also not be read together.
 */
const JOINT_PAUSE_MILLISECONDS = PAUSED_STREAM_MILLISECONDS / 2
/** Prompts that take less than this share of the longest accepted pause are read between two events, without a noticeable pause. */
const SHORT_PROMPT_SHARE = 0.1
/**
 * An engine is crowded when its requests reach this multiple of the mean of its service and this share of its batch. Below that share,
 * batch steps are as short as on other engines. A few popular adapters gather requests on the engine that held them first while other
 * engines have capacity; streams on the crowded engine take half as long again, and hold their slots for half as long again. With
 * further copies of these adapters, the streams end and free their slots sooner, and the capacity of the other engines is used.
 */
const CROWDED_SHARE_OF_MEAN = 1.4
const CROWDED_SHARE_OF_BATCH = 0.3
/** An adapter with fewer running requests than this on a crowded engine is not a cause of the crowding. */
const CROWDED_RUNS = 4
/** Time by which each running request on an engine lengthens the response of another one; it decides between engines that hold the same adapter. */
const RUNNING_MILLISECONDS = 3
/** Cost of each running request that a crash of the engine would end: its caller would lose the complete response. */
const CRASH_RISK_MILLISECONDS = 1_000
/** Largest number of adapters for which the time of the last copy request is kept. */
const MAXIMUM_COPY_TIMES = 5_000

/** What an engine is chosen for. */
export interface EngineQuery {
  readonly service: Service
  readonly facts: RequestFacts
  /** The longest pause between two events that callers accept. */
  readonly gapMilliseconds: number
  /** Engines that must not be chosen, such as those that were attempted before or refused the request. */
  readonly excluded: ReadonlySet<EndpointId>
  /** Whether the request is suspected of crashing its engine, so that an engine with few running requests is best. */
  readonly isolated?: boolean
}

/** An engine chosen for a request. */
export interface EngineChoice {
  readonly endpoint: Endpoint
  readonly forecastMilliseconds: number
  /** Prompt tokens that the engine has to read. */
  readonly uncachedTokens: number
}

/** An engine chosen to load an adapter. */
export interface LoadChoice {
  readonly endpoint: Endpoint
  readonly costMilliseconds: number
}

/** Dependencies of the router. */
export interface EngineRouterDependencies {
  readonly directory: EndpointDirectory
  readonly locations: AdapterLocations
  readonly workTracker: EndpointWorkTracker
  readonly forecast: FirstEventForecast
  readonly speeds: EngineSpeeds
  readonly prefixes: PrefixCacheEstimate
  readonly ejection: OutlierEjection
  readonly dataCentre: string
  /** @returns the lowest adapter version on which a new request may start */
  readonly leastVersion: (key: AdapterKey, now: number) => number
  /** @returns current duration of a load from the weight store, milliseconds */
  readonly loadMilliseconds: () => number
  /** @returns whether the engine has a load owner, without which it loads nothing */
  readonly hasLoadOwner: (endpoint: EndpointId) => boolean
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
    const shape = query.service.engine
    if (shape === undefined || query.facts.adapter === undefined) return undefined
    let best: EngineChoice | undefined
    let least = Infinity
    for (const endpoint of this.holders(query, now)) {
      const choice = this.estimate(endpoint, shape, query.facts, now)
      const running = this.parts.workTracker.outstanding(endpoint.id, now).requests * (query.isolated === true ? CRASH_RISK_MILLISECONDS : RUNNING_MILLISECONDS)
      const cost = choice.forecastMilliseconds + running + this.pauseCost(endpoint, choice.uncachedTokens, query.gapMilliseconds, now)
      if (cost >= least) continue
      best = choice
      least = cost
    }
    return best
  }

  /**
   * Chooses the engine that should load the adapter. All instances with the same state choose the same engine, so that requests that
   * arrive at several instances share one load.
   *
   * @param bias - returns milliseconds that are added to the cost of an engine, by which the caller rates it differently from other instances
   * @returns the engine; undefined when no engine can load the adapter
   */
  chooseForLoad (query: EngineQuery, bias: (endpoint: EndpointId) => number, now: number): LoadChoice | undefined {
    const { locations, hasLoadOwner } = this.parts
    const { service, facts, excluded, gapMilliseconds } = query
    const shape = service.engine
    if (shape === undefined || facts.adapter === undefined) return undefined
    const { key, model } = facts.adapter
    const usable = this.usableEngines(service, excluded, now)
      .filter((endpoint) => hasLoadOwner(endpoint.id) && endpoint.models.includes(model as ModelName) && !locations.holders(key).has(endpoint.id))
    // The duration is computed over all engines, so it is read once and not for each engine.
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

  /** @returns an engine for a further copy of the adapter, when the best holder is slow or crowded and another engine would be better; else undefined */
  chooseForCopy (query: EngineQuery, best: EngineChoice, now: number): LoadChoice | undefined {
    const { facts } = query
    const { adapter } = facts
    const shape = query.service.engine
    if (adapter === undefined || adapter.name === undefined || shape === undefined) return undefined
    const crowded = this.isCrowded(query, best.endpoint, shape, now)
    if (!crowded && best.forecastMilliseconds < COPY_GAIN_MILLISECONDS + this.parts.loadMilliseconds()) return undefined
    if (now - (this.copyRequestTimes.get(adapter.key) ?? -Infinity) < COPY_INTERVAL_MILLISECONDS) return undefined
    const load = this.chooseForLoad({ ...query, excluded: NONE }, unbiased, now)
    if (load === undefined) return undefined
    const copyMilliseconds = this.estimate(load.endpoint, shape, facts, now).forecastMilliseconds + this.parts.loadMilliseconds()
    const relieves = crowded && !this.isAboveMean(query.service, load.endpoint, now)
    if (!relieves && copyMilliseconds + COPY_GAIN_MILLISECONDS > best.forecastMilliseconds) return undefined
    if (this.copyRequestTimes.size > MAXIMUM_COPY_TIMES) this.copyRequestTimes.clear()
    this.copyRequestTimes.set(adapter.key, now)
    return load
  }

  /** @returns milliseconds until a load that is requested now could be complete, on the engine with the shortest load queue */
  shortestWait (service: Service, now: number): number {
    let least = Infinity
    for (const { id } of this.usableEngines(service, NONE, now)) {
      if (this.parts.hasLoadOwner(id)) least = Math.min(least, this.parts.locations.line(id)?.waitMilliseconds ?? 0)
    }
    return least + this.parts.loadMilliseconds()
  }

  /** @returns whether the engine is crowded and the adapter of the request is a cause of that */
  private isCrowded ({ service, facts }: EngineQuery, endpoint: Endpoint, shape: EngineShape, now: number): boolean {
    const { workTracker } = this.parts
    const { requests } = workTracker.outstanding(endpoint.id, now)
    if (facts.adapter === undefined || requests < shape.batchSlots * CROWDED_SHARE_OF_BATCH) return false
    if (requests < this.meanRequests(service, now) * CROWDED_SHARE_OF_MEAN) return false
    return workTracker.running(endpoint.id, facts.adapter.key, now) >= CROWDED_RUNS
  }

  private isAboveMean (service: Service, endpoint: Endpoint, now: number): boolean {
    return this.parts.workTracker.outstanding(endpoint.id, now).requests > this.meanRequests(service, now)
  }

  private meanRequests (service: Service, now: number): number {
    const engines = this.parts.directory.servable(service.name)
    return engines.reduce((sum, { id }) => sum + this.parts.workTracker.outstanding(id, now).requests, 0) / Math.max(1, engines.length)
  }

  private holders ({ service, facts, excluded }: EngineQuery, now: number): Endpoint[] {
    const { locations, leastVersion } = this.parts
    const { adapter } = facts
    if (adapter === undefined) return []
    const engines = this.usableEngines(service, excluded, now)
    if (adapter.name === undefined) return engines.filter((endpoint) => endpoint.models.includes(adapter.model as ModelName))
    const least = leastVersion(adapter.key, now)
    const holders = locations.holders(adapter.key)
    return engines.filter((endpoint) => (holders.get(endpoint.id) ?? -1) >= least)
  }

  /**
   * @returns servable engines that are neither ejected nor excluded. Ejection is applied to all engines of the service: applied to the
   *   few holders of one adapter, its lower bound on the remaining engines would keep a failing holder in use.
   */
  private usableEngines (service: Service, excluded: ReadonlySet<EndpointId>, now: number): Endpoint[] {
    const engines = this.parts.directory.servable(service.name).map((endpoint) => ({ endpoint: endpoint.id, entry: endpoint }))
    return this.parts.ejection.usable(engines, now).map(({ entry }) => entry).filter((endpoint) => !excluded.has(endpoint.id))
  }

  /** @returns the engine with the forecast of the first event, penalties included */
  private estimate (endpoint: Endpoint, shape: EngineShape, facts: RequestFacts, now: number): EngineChoice {
    const { workTracker, forecast, prefixes, ejection, dataCentre } = this.parts
    const key = facts.adapter?.key
    const cachedTokens = key === undefined ? 0 : prefixes.cachedTokens(endpoint.id, key, facts.promptParts)
    const uncachedTokens = Math.max(0, facts.promptTokens - cachedTokens)
    const outstanding = workTracker.outstanding(endpoint.id, now)
    const memoryTokens = facts.promptTokens + facts.outputTokens
    const expected = forecast.milliseconds(endpoint.id, shape, outstanding, uncachedTokens, memoryTokens)
    const remote = endpoint.dataCentre === dataCentre ? 0 : REMOTE_MILLISECONDS
    const penalty = ejection.penalty(endpoint.id, now) * PENALTY_MILLISECONDS
    return { endpoint, forecastMilliseconds: expected + remote + penalty, uncachedTokens }
  }

  /** @returns the cost for the running streams of the engine when it reads a prompt of this length now, expressed as milliseconds of waiting */
  private pauseCost (endpoint: Endpoint, tokens: number, gapMilliseconds: number, now: number): number {
    const { speeds, workTracker } = this.parts
    const alone = speeds.prefillMilliseconds(endpoint.id, tokens) / gapMilliseconds
    if (alone < SHORT_PROMPT_SHARE) return 0
    const { requests, prefillTokens } = workTracker.outstanding(endpoint.id, now)
    if (alone >= PAUSE_SHARE) return requests * PAUSED_STREAM_MILLISECONDS
    const joint = Math.min(1, speeds.prefillMilliseconds(endpoint.id, prefillTokens + tokens) / gapMilliseconds)
    return requests * JOINT_PAUSE_MILLISECONDS * joint ** 2
  }

  /** @returns milliseconds until the adapter could be used on the engine, plus the cost of the load for other requests */
  private loadCost (endpoint: Endpoint, shape: EngineShape, key: AdapterKey, storeMilliseconds: number, now: number): number {
    const { workTracker, forecast, locations, dataCentre, ejection, leastVersion } = this.parts
    const reading = forecast.milliseconds(endpoint.id, shape, workTracker.outstanding(endpoint.id, now), 0, 0)
    const queue = locations.line(endpoint.id)
    // Joining a load that is already pending takes nothing more from the weight store.
    const joinsPendingLoad = queue?.waiting.has(key) === true
    const storeCost = joinsPendingLoad ? 0 : STORE_LOAD_COST_MILLISECONDS
    const loadMilliseconds = locations.isCached(endpoint.id, key, leastVersion(key, now)) ? CACHED_LOAD_MILLISECONDS : storeMilliseconds + storeCost
    const idleSlots = shape.adapterSlots - workTracker.adaptersInUse(endpoint.id, now) - locations.inFlight.countFor(endpoint.id)
    const slotWait = idleSlots > 0 ? 0 : RUN_MILLISECONDS / shape.adapterSlots * (1 - idleSlots)
    const queueWait = Math.max(slotWait, queue?.waitMilliseconds ?? 0)
    // Requests still run with the adapter although the engine does not offer it: it is being evicted or replaced there, which waits for these runs.
    const evictionWait = workTracker.running(endpoint.id, key, now) > 0 ? RUN_MILLISECONDS : 0
    const remote = endpoint.dataCentre === dataCentre ? 0 : REMOTE_MILLISECONDS
    const penalty = ejection.penalty(endpoint.id, now) * PENALTY_MILLISECONDS
    const home = HOME_MILLISECONDS * (1 - rendezvousWeight(key, endpoint.id))
    return reading + loadMilliseconds + queueWait + evictionWait + remote + penalty + home
  }
}

const NONE: ReadonlySet<EndpointId> = new Set()
const unbiased = (): number => 0
