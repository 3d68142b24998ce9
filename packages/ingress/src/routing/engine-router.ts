/** Picks the engine for a request: one that holds the adapter and reaches its first event soonest; else one to load it. */
import { rendezvousWeight } from '@limpetwinch/decisions'
import type { OutlierEjection } from '@limpetwinch/decisions'
import type { EndpointId } from '@limpetwinch/core'
import type { AdapterLocations } from '../adapters/adapter-locations.js'
import type { EndpointDirectory } from '../endpoints/endpoint-directory.js'
import type { RequestFacts } from '../relay/request-codec.js'
import type { AdapterKey, Endpoint, EngineShape, ModelName, Service } from '../routes/configuration.js'
import type { FirstEventForecast } from './first-event-forecast.js'
import type { LoadBoard } from './load-board.js'
import type { PrefixMemory } from './prefix-memory.js'

/** Bytes between data centres are priced and slower; two equal engines are told apart by this. */
const REMOTE_MILLISECONDS = 12
/** An engine that has just failed is taken up again slowly. */
const PENALTY_MILLISECONDS = 300
/** A load from the weight store, and one from the copy that an engine caches. */
const LOAD_MILLISECONDS = 270
const CACHED_LOAD_MILLISECONDS = 40
/**
 * What a load from the weight store costs beyond its time: the store hands out some thirty adapters a second to all
 * engines, and each is priced at about half a request. An engine that caches the adapter is worth waiting for.
 */
const STORE_LOAD_WORTH_MILLISECONDS = 400
/** An engine whose slots are all in use frees one in about this time. */
const BUSY_SLOTS_MILLISECONDS = 600
/** Loads that are on their way to an engine already. */
const IN_FLIGHT_MILLISECONDS = 60
/** Spreads adapters that lie nowhere yet, the same way on all instances. */
const HOME_MILLISECONDS = 150
/** A further copy takes a slot and a load: it is asked for only when it saves a request this much. */
const COPY_GAIN_MILLISECONDS = 400
/** Further copies of one adapter are asked for at most so often: the last one shows its effect before. */
const COPY_PAUSE_MILLISECONDS = 500
/** Adapters with a copy asked for that are remembered. */
const MOST_COPY_TIMES = 5_000

/** An engine for a request. */
export interface EngineChoice {
  readonly endpoint: Endpoint
  readonly forecastMilliseconds: number
  readonly uncachedTokens: number
}

/** An engine that should load an adapter. */
export interface LoadChoice {
  readonly endpoint: Endpoint
  readonly costMilliseconds: number
}

/** What the router looks at. */
export interface EngineRouterParts {
  readonly directory: EndpointDirectory
  readonly locations: AdapterLocations
  readonly board: LoadBoard
  readonly forecast: FirstEventForecast
  readonly prefixes: PrefixMemory
  readonly ejection: OutlierEjection
  readonly dataCentre: string
  /** @returns the least adapter version that a new request may begin on */
  readonly leastVersion: (key: AdapterKey, now: number) => number
  /** @returns whether somebody is there to order the engine's loads */
  readonly isOrdered: (endpoint: EndpointId) => boolean
}

/** Chooses engines. */
export class EngineRouter {
  private readonly parts: EngineRouterParts
  private readonly copiesAsked = new Map<AdapterKey, number>()

  constructor (parts: EngineRouterParts) {
    this.parts = parts
  }

  /**
   * @param service - whose engines
   * @param facts - the request
   * @param excluded - engines tried before
   * @returns the engine that holds the adapter and is fastest; undefined when none holds it
   */
  choose (service: Service, facts: RequestFacts, excluded: ReadonlySet<EndpointId>, now: number): EngineChoice | undefined {
    const shape = service.engine
    if (shape === undefined || facts.adapter === undefined) return undefined
    let best: EngineChoice | undefined
    for (const endpoint of this.holders(service, facts, excluded, now)) {
      const choice = this.weigh(endpoint, shape, facts, now)
      if (best === undefined || choice.forecastMilliseconds < best.forecastMilliseconds) best = choice
    }
    return best
  }

  /**
   * Picks the engine that should load the adapter. All instances pick the same one while they believe the same, so
   * that requests that come to several instances share one load.
   *
   * @param bias - milliseconds by which an engine seems slower or faster to the asker than to all others
   */
  chooseForLoad (service: Service, key: AdapterKey, model: string, excluded: ReadonlySet<EndpointId>, bias: (endpoint: EndpointId) => number, now: number): LoadChoice | undefined {
    const { locations, isOrdered } = this.parts
    const shape = service.engine
    if (shape === undefined) return undefined
    const usable = this.usableEngines(service, excluded, now)
      .filter((endpoint) => isOrdered(endpoint.id) && endpoint.models.includes(model as ModelName) && !locations.holders(key).has(endpoint.id))
    let best: LoadChoice | undefined
    for (const endpoint of usable) {
      if (locations.inFlight.has(endpoint.id, key, now)) return { endpoint, costMilliseconds: 0 }
      const costMilliseconds = this.loadCost(endpoint, shape, key, now) + bias(endpoint.id)
      if (best === undefined || costMilliseconds < best.costMilliseconds) best = { endpoint, costMilliseconds }
    }
    return best
  }

  /** @returns an engine for a further copy when the best holder is slow and another would be faster; undefined mostly */
  chooseForCopy (service: Service, facts: RequestFacts, best: EngineChoice, now: number): LoadChoice | undefined {
    const { adapter } = facts
    const shape = service.engine
    if (adapter === undefined || adapter.name === undefined || shape === undefined) return undefined
    if (best.forecastMilliseconds < COPY_GAIN_MILLISECONDS + LOAD_MILLISECONDS) return undefined
    if (now - (this.copiesAsked.get(adapter.key) ?? -Infinity) < COPY_PAUSE_MILLISECONDS) return undefined
    const load = this.chooseForLoad(service, adapter.key, adapter.model, NONE, unbiased, now)
    if (load === undefined) return undefined
    const there = this.weigh(load.endpoint, shape, facts, now).forecastMilliseconds + LOAD_MILLISECONDS
    if (there + COPY_GAIN_MILLISECONDS > best.forecastMilliseconds) return undefined
    if (this.copiesAsked.size > MOST_COPY_TIMES) this.copiesAsked.clear()
    this.copiesAsked.set(adapter.key, now)
    return load
  }

  private holders (service: Service, facts: RequestFacts, excluded: ReadonlySet<EndpointId>, now: number): Endpoint[] {
    const { locations, leastVersion } = this.parts
    const { adapter } = facts
    if (adapter === undefined) return []
    const engines = this.usableEngines(service, excluded, now)
    if (adapter.name === undefined) return engines.filter((endpoint) => endpoint.models.includes(adapter.model as ModelName))
    const least = leastVersion(adapter.key, now)
    const holders = locations.holders(adapter.key)
    return engines.filter((endpoint) => (holders.get(endpoint.id) ?? -1) >= least)
  }

  /** Ejection looks at all engines of the service: among the holders of one adapter its floor would keep a failing one. */
  private usableEngines (service: Service, excluded: ReadonlySet<EndpointId>, now: number): Endpoint[] {
    const engines = this.parts.directory.servable(service.name).map((endpoint) => ({ endpoint: endpoint.id, entry: endpoint }))
    return this.parts.ejection.usable(engines, now).map(({ entry }) => entry).filter((endpoint) => !excluded.has(endpoint.id))
  }

  private weigh (endpoint: Endpoint, shape: EngineShape, facts: RequestFacts, now: number): EngineChoice {
    const { board, forecast, prefixes, ejection, dataCentre } = this.parts
    const key = facts.adapter?.key
    const kept = key === undefined ? 0 : prefixes.keptTokens(endpoint.id, key, facts.promptParts)
    const uncachedTokens = Math.max(0, facts.promptTokens - kept)
    const inHand = board.inHand(endpoint.id, now)
    const memoryTokens = facts.promptTokens + facts.outputTokens
    const expected = forecast.milliseconds(endpoint.id, shape, inHand, uncachedTokens, memoryTokens)
    const remote = endpoint.dataCentre === dataCentre ? 0 : REMOTE_MILLISECONDS
    const penalty = ejection.penalty(endpoint.id, now) * PENALTY_MILLISECONDS
    return { endpoint, forecastMilliseconds: expected + remote + penalty, uncachedTokens }
  }

  /** @returns milliseconds until the adapter could be used there, with what the load takes from others on top */
  private loadCost (endpoint: Endpoint, shape: EngineShape, key: AdapterKey, now: number): number {
    const { board, forecast, locations, dataCentre, ejection, leastVersion } = this.parts
    const reading = forecast.milliseconds(endpoint.id, shape, board.inHand(endpoint.id, now), 0, 0)
    const travel = locations.isCached(endpoint.id, key, leastVersion(key, now)) ? CACHED_LOAD_MILLISECONDS : LOAD_MILLISECONDS + STORE_LOAD_WORTH_MILLISECONDS
    const inFlight = locations.inFlight.countTo(endpoint.id)
    const idleSlots = shape.adapterSlots - board.adaptersInUse(endpoint.id, now) - inFlight
    const slots = idleSlots > 0 ? 0 : BUSY_SLOTS_MILLISECONDS * (1 - idleSlots)
    // It runs there and is not offered there: it is on its way out or being replaced, which waits for those runs.
    const leaving = board.running(endpoint.id, key, now) > 0 ? BUSY_SLOTS_MILLISECONDS : 0
    const remote = endpoint.dataCentre === dataCentre ? 0 : REMOTE_MILLISECONDS
    const penalty = ejection.penalty(endpoint.id, now) * PENALTY_MILLISECONDS
    const home = HOME_MILLISECONDS * (1 - rendezvousWeight(key, endpoint.id))
    return reading + travel + slots + leaving + inFlight * IN_FLIGHT_MILLISECONDS + remote + penalty + home
  }
}

const NONE: ReadonlySet<EndpointId> = new Set()
const unbiased = (): number => 0
