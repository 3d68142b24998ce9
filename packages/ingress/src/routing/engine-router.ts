/** Picks the engine for a request: one that holds the adapter and reaches its first event soonest; else one to load it. */
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

/** Bytes between data centres are priced and slower; two equal engines are told apart by this. */
const REMOTE_MILLISECONDS = 12
/** An engine that has just failed is taken up again slowly. */
const PENALTY_MILLISECONDS = 300
/** A load from the copy that an engine caches. */
const CACHED_LOAD_MILLISECONDS = 40
/**
 * What a load from the weight store costs beyond its time: the store hands out a limited number of adapters a second to all
 * engines, so each fetch takes one from another request. An engine that caches the adapter is worth waiting for.
 */
const STORE_LOAD_COST_MILLISECONDS = 400
/** A slot in use is free again in about this time: the run of a short answer. */
const RUN_MILLISECONDS = 600
/** Spreads adapters that lie nowhere yet, the same way on all instances. */
const HOME_MILLISECONDS = 150
/** A further copy takes a slot and a load: it is asked for only when it saves a request this much. */
const COPY_GAIN_MILLISECONDS = 400
/** Further copies of one adapter are asked for at most so often: the last one shows its effect before. */
const COPY_INTERVAL_MILLISECONDS = 500
/**
 * While an engine reads a long prompt its streams stand still; above their longest pause each of them is late, which costs
 * its caller as much as half a second or more of waiting would. Not all of them see the pause: some end before it.
 */
const PAUSED_STREAM_MILLISECONDS = 200
/** Part of the longest pause that a prompt may take alone; what is read besides it comes on top. */
const PAUSE_SHARE = 0.9
/**
 * A prompt that does no harm alone does so with another one right before or behind it. The fuller the pause is by what is to be
 * read there already, the likelier that is: the share of the pause counts squared, and for half, since it may also go well.
 */
const JOINT_PAUSE_MILLISECONDS = PAUSED_STREAM_MILLISECONDS / 2
/** Prompts that take less than this part of the longest pause are read between two events. */
const SHORT_PROMPT_SHARE = 0.1
/**
 * A few popular adapters gather a crowd on the engine that came first to hold them, while others have room: streams there
 * take half as long again, and hold their slots for as long. An engine is crowded above this multiple of the mean of its
 * service, and from this part of its batch on; below, steps are as short as elsewhere. What it buys: answers and slots of the
 * crowd end sooner, and the engines that had room are used.
 */
const CROWDED_SHARE_OF_MEAN = 1.4
const CROWDED_SHARE_OF_BATCH = 0.3
/** An adapter with fewer runs there than this is no part of the crowd. */
const CROWDED_RUNS = 4
/** Each request that runs on an engine makes another one's answer that much longer; it tells holders of one adapter apart. */
const RUNNING_MILLISECONDS = 3
/** A run that a crash of the engine would end costs its caller a whole answer. */
const CRASH_RISK_MILLISECONDS = 1_000
/** Adapters with a copy asked for that are remembered. */
const MAXIMUM_COPY_TIMES = 5_000

/** What an engine is looked for. */
export interface EngineQuery {
  readonly service: Service
  readonly facts: RequestFacts
  /** The longest pause that streams bear. */
  readonly gapMilliseconds: number
  /** Engines that are not asked: tried before, or refusing. */
  readonly excluded: ReadonlySet<EndpointId>
  /** Whether the request may end the runs beside it, so that an engine with few is best. */
  readonly isolated?: boolean
}

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
export interface EngineRouterDependencies {
  readonly directory: EndpointDirectory
  readonly locations: AdapterLocations
  readonly workTracker: EndpointWorkTracker
  readonly forecast: FirstEventForecast
  readonly speeds: EngineSpeeds
  readonly prefixes: PrefixCacheEstimate
  readonly ejection: OutlierEjection
  readonly dataCentre: string
  /** @returns the least adapter version that a new request may begin on */
  readonly leastVersion: (key: AdapterKey, now: number) => number
  /** @returns milliseconds that a load from the weight store takes now */
  readonly loadMilliseconds: () => number
  /** @returns whether somebody is there to order the engine's loads */
  readonly hasLoadOwner: (endpoint: EndpointId) => boolean
}

/** Chooses engines. */
export class EngineRouter {
  private readonly parts: EngineRouterDependencies
  private readonly copyRequestTimes = new Map<AdapterKey, number>()

  constructor (parts: EngineRouterDependencies) {
    this.parts = parts
  }

  /** @returns the engine that holds the adapter and is fastest; undefined when none holds it */
  choose (question: EngineQuery, now: number): EngineChoice | undefined {
    const shape = question.service.engine
    if (shape === undefined || question.facts.adapter === undefined) return undefined
    let best: EngineChoice | undefined
    let least = Infinity
    for (const endpoint of this.holders(question, now)) {
      const choice = this.estimate(endpoint, shape, question.facts, now)
      const running = this.parts.workTracker.outstanding(endpoint.id, now).requests * (question.isolated === true ? CRASH_RISK_MILLISECONDS : RUNNING_MILLISECONDS)
      const cost = choice.forecastMilliseconds + running + this.pauseCost(endpoint, choice.uncachedTokens, question.gapMilliseconds, now)
      if (cost >= least) continue
      best = choice
      least = cost
    }
    return best
  }

  /**
   * Picks the engine that should load the adapter. All instances pick the same one while they believe the same, so
   * that requests that come to several instances share one load.
   *
   * @param bias - milliseconds by which an engine seems slower or faster to the asker than to all others
   */
  chooseForLoad (question: EngineQuery, bias: (endpoint: EndpointId) => number, now: number): LoadChoice | undefined {
    const { locations, hasLoadOwner: isOrdered } = this.parts
    const { service, facts, excluded, gapMilliseconds } = question
    const shape = service.engine
    if (shape === undefined || facts.adapter === undefined) return undefined
    const { key, model } = facts.adapter
    const usable = this.usableEngines(service, excluded, now)
      .filter((endpoint) => isOrdered(endpoint.id) && endpoint.models.includes(model as ModelName) && !locations.holders(key).has(endpoint.id))
    // Counted over all engines, so it is asked once and not for each of them.
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

  /** @returns an engine for a further copy when the best holder is slow and another would be faster; undefined mostly */
  chooseForCopy (question: EngineQuery, best: EngineChoice, now: number): LoadChoice | undefined {
    const { facts } = question
    const { adapter } = facts
    const shape = question.service.engine
    if (adapter === undefined || adapter.name === undefined || shape === undefined) return undefined
    const crowded = this.isCrowded(question, best.endpoint, shape, now)
    if (!crowded && best.forecastMilliseconds < COPY_GAIN_MILLISECONDS + this.parts.loadMilliseconds()) return undefined
    if (now - (this.copyRequestTimes.get(adapter.key) ?? -Infinity) < COPY_INTERVAL_MILLISECONDS) return undefined
    const load = this.chooseForLoad({ ...question, excluded: NONE }, unbiased, now)
    if (load === undefined) return undefined
    const there = this.estimate(load.endpoint, shape, facts, now).forecastMilliseconds + this.parts.loadMilliseconds()
    const relieves = crowded && !this.isAboveMean(question.service, load.endpoint, now)
    if (!relieves && there + COPY_GAIN_MILLISECONDS > best.forecastMilliseconds) return undefined
    if (this.copyRequestTimes.size > MAXIMUM_COPY_TIMES) this.copyRequestTimes.clear()
    this.copyRequestTimes.set(adapter.key, now)
    return load
  }

  /** @returns milliseconds until a load that is asked for now could be there, on the engine with the shortest line */
  shortestWait (service: Service, now: number): number {
    let least = Infinity
    for (const { id } of this.usableEngines(service, NONE, now)) {
      if (this.parts.hasLoadOwner(id)) least = Math.min(least, this.parts.locations.line(id)?.waitMilliseconds ?? 0)
    }
    return least + this.parts.loadMilliseconds()
  }

  private isCrowded ({ service, facts }: EngineQuery, endpoint: Endpoint, shape: EngineShape, now: number): boolean {
    const { workTracker: board } = this.parts
    const { requests } = board.outstanding(endpoint.id, now)
    if (facts.adapter === undefined || requests < shape.batchSlots * CROWDED_SHARE_OF_BATCH) return false
    if (requests < this.meanRequests(service, now) * CROWDED_SHARE_OF_MEAN) return false
    return board.running(endpoint.id, facts.adapter.key, now) >= CROWDED_RUNS
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

  /** Ejection looks at all engines of the service: among the holders of one adapter its floor would keep a failing one. */
  private usableEngines (service: Service, excluded: ReadonlySet<EndpointId>, now: number): Endpoint[] {
    const engines = this.parts.directory.servable(service.name).map((endpoint) => ({ endpoint: endpoint.id, entry: endpoint }))
    return this.parts.ejection.usable(engines, now).map(({ entry }) => entry).filter((endpoint) => !excluded.has(endpoint.id))
  }

  private estimate (endpoint: Endpoint, shape: EngineShape, facts: RequestFacts, now: number): EngineChoice {
    const { workTracker: board, forecast, prefixes, ejection, dataCentre } = this.parts
    const key = facts.adapter?.key
    const kept = key === undefined ? 0 : prefixes.cachedTokens(endpoint.id, key, facts.promptParts)
    const uncachedTokens = Math.max(0, facts.promptTokens - kept)
    const inHand = board.outstanding(endpoint.id, now)
    const memoryTokens = facts.promptTokens + facts.outputTokens
    const expected = forecast.milliseconds(endpoint.id, shape, inHand, uncachedTokens, memoryTokens)
    const remote = endpoint.dataCentre === dataCentre ? 0 : REMOTE_MILLISECONDS
    const penalty = ejection.penalty(endpoint.id, now) * PENALTY_MILLISECONDS
    return { endpoint, forecastMilliseconds: expected + remote + penalty, uncachedTokens }
  }

  /** @returns what it costs others on the engine that a prompt of so many tokens is read there now, in milliseconds of waiting */
  private pauseCost (endpoint: Endpoint, tokens: number, gapMilliseconds: number, now: number): number {
    const { speeds, workTracker: board } = this.parts
    const alone = speeds.prefillMilliseconds(endpoint.id, tokens) / gapMilliseconds
    if (alone < SHORT_PROMPT_SHARE) return 0
    const { requests, prefillTokens } = board.outstanding(endpoint.id, now)
    if (alone >= PAUSE_SHARE) return requests * PAUSED_STREAM_MILLISECONDS
    const joint = Math.min(1, speeds.prefillMilliseconds(endpoint.id, prefillTokens + tokens) / gapMilliseconds)
    return requests * JOINT_PAUSE_MILLISECONDS * joint ** 2
  }

  /** @returns milliseconds until the adapter could be used there, with what the load takes from others on top */
  private loadCost (endpoint: Endpoint, shape: EngineShape, key: AdapterKey, storeMilliseconds: number, now: number): number {
    const { workTracker: board, forecast, locations, dataCentre, ejection, leastVersion } = this.parts
    const reading = forecast.milliseconds(endpoint.id, shape, board.outstanding(endpoint.id, now), 0, 0)
    const line = locations.line(endpoint.id)
    // Joining a load that others wait for takes nothing more from the weight store.
    const joins = line?.waiting.has(key) === true
    const storeWorth = joins ? 0 : STORE_LOAD_COST_MILLISECONDS
    const travel = locations.isCached(endpoint.id, key, leastVersion(key, now)) ? CACHED_LOAD_MILLISECONDS : storeMilliseconds + storeWorth
    const idleSlots = shape.adapterSlots - board.adaptersInUse(endpoint.id, now) - locations.inFlight.countFor(endpoint.id)
    const slots = idleSlots > 0 ? 0 : RUN_MILLISECONDS / shape.adapterSlots * (1 - idleSlots)
    const turn = Math.max(slots, line?.waitMilliseconds ?? 0)
    // It runs there and is not offered there: it is on its way out or being replaced, which waits for those runs.
    const leaving = board.running(endpoint.id, key, now) > 0 ? RUN_MILLISECONDS : 0
    const remote = endpoint.dataCentre === dataCentre ? 0 : REMOTE_MILLISECONDS
    const penalty = ejection.penalty(endpoint.id, now) * PENALTY_MILLISECONDS
    const home = HOME_MILLISECONDS * (1 - rendezvousWeight(key, endpoint.id))
    return reading + travel + turn + leaving + remote + penalty + home
  }
}

const NONE: ReadonlySet<EndpointId> = new Set()
const unbiased = (): number => 0
