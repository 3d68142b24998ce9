/**
 * Forecasts when a request whose adapter no engine holds could have its first event, over all engines. Reads what the instance knows and changes
 * nothing, so that it may also be used to explain where a request would go.
 */
import type { OutlierEjection } from '@limpetwinch/decisions'
import type { EndpointId } from '@limpetwinch/core'
import type { AdapterLocations, ReportedQueue } from '../adapters/adapter-locations.js'
import type { EndpointDirectory } from '../endpoints/endpoint-directory.js'
import { adapterCapacity, canLoadAdapters } from '../adapters/engine-memory.js'
import { modelOf } from '../routes/configuration.js'
import type { AdapterKey, Endpoint, EngineShape, ModelName } from '../routes/configuration.js'
import type { EndpointWorkTracker } from '../routing/endpoint-work-tracker.js'
import type { EngineQuery } from '../routing/engine-router.js'
import type { FirstEventForecast } from '../routing/first-event-forecast.js'

/** Expected duration of an adapter load from the copy that the engine has cached. */
const CACHED_LOAD_MILLISECONDS = 40
/** Expected time after which one of the adapter slots in use becomes free, divided by the number of slots: about the duration of a short response. */
const RUN_MILLISECONDS = 600

/** When a request could have its first event. Times are counted from now, in milliseconds. */
export interface EngineForecast {
  /** The engine that could use the adapter first. */
  readonly endpoint: EndpointId
  /** Wait until the load begins. */
  readonly waitMilliseconds: number
  /** Time until the adapter can be used. */
  readonly readyMilliseconds: number
  /** Time until the first event of the response. */
  readonly firstEventMilliseconds: number
  /** Whether a load of the adapter is pending or in progress on the engine. */
  readonly joinsLoad: boolean
  /** Whether the load could begin at once. */
  readonly isRoomFree: boolean
}

/** Dependencies of the forecast. */
export interface LoadForecastDependencies {
  readonly directory: Pick<EndpointDirectory, 'find' | 'servable'>
  readonly locations: AdapterLocations
  readonly workTracker: EndpointWorkTracker
  readonly firstEvent: FirstEventForecast
  readonly ejection: Pick<OutlierEjection, 'usable'>
  /** @returns the lowest version of the adapter with which a new request may start */
  readonly leastVersion: (key: AdapterKey, now: number) => number
  /** @returns current duration of an adapter load from the weight store, milliseconds */
  readonly loadMilliseconds: () => number
  /** @returns whether one more load from the weight store may begin now, as far as this instance knows */
  readonly hasStoreCapacity: (now: number) => boolean
  /** @returns whether the engine has a load owner, without which it loads nothing */
  readonly hasLoadOwner: (endpoint: EndpointId) => boolean
}

/** A request for which a load would be needed. */
export interface LoadForecastQuery extends EngineQuery {
  /** Priority of the request, 0 being the most urgent. */
  readonly priority: number
}

/** Forecasts the loads of adapters. */
export class LoadForecast {
  private readonly parts: LoadForecastDependencies

  constructor (parts: LoadForecastDependencies) {
    this.parts = parts
  }

  /** @returns the forecast for the engine that could use the adapter first; undefined when no engine can load it */
  earliest (query: LoadForecastQuery, now: number): EngineForecast | undefined {
    const { adapter } = query.facts
    const shape = query.service.engine
    if (adapter?.name === undefined || shape === undefined) return undefined
    // The duration of a load and the capacity of the store go over all engines, so they are computed once.
    const store = { milliseconds: this.parts.loadMilliseconds(), hasCapacity: this.parts.hasStoreCapacity(now) }
    let best: EngineForecast | undefined
    for (const endpoint of this.candidates(query, shape, adapter.model as ModelName, now)) {
      const forecast = this.forEngine(endpoint, shape, query, store, now)
      if (best === undefined || goesBefore(forecast, best)) best = forecast
    }
    return best
  }

  /**
   * @returns milliseconds by which a load of this priority waits longer on the engine than the router assumes, which counts all pending loads
   *   alike and knows no pace of the engine's slots; negative if the load goes before others
   */
  extraWait ({ service, facts, priority }: Pick<LoadForecastQuery, 'service' | 'facts' | 'priority'>, id: EndpointId, now: number): number {
    const endpoint = this.parts.directory.find(id)
    const { adapter } = facts
    if (endpoint === undefined || adapter === undefined || service.engine === undefined) return 0
    const model = adapter.model as ModelName
    if (!canLoadAdapters(service.engine, endpoint.models, model)) return 0
    const { slotWait, idleSlots } = this.slots(endpoint, service.engine, model, now)
    const queue = this.parts.locations.line(id)
    return this.waitAt(queue, priority, slotWait, idleSlots) - Math.max(slotWait, queue?.waitMilliseconds ?? 0)
  }

  private slots ({ id, models }: Endpoint, shape: EngineShape, model: ModelName, now: number): { readonly idleSlots: number, readonly slotWait: number } {
    const { locations, workTracker } = this.parts
    const capacity = adapterCapacity(shape, models, model)
    const idleSlots = capacity - workTracker.adaptersInUse(id, now) - locations.inFlight.countFor(id)
    return { idleSlots, slotWait: idleSlots > 0 ? 0 : RUN_MILLISECONDS / capacity * (1 - idleSlots) }
  }

  private waitAt (queue: ReportedQueue | undefined, priority: number, slotWait: number, idleSlots: number): number {
    return idleSlots > (queue?.waiting.size ?? 0) ? 0 : Math.max(slotWait, waitOf(queue, priority))
  }

  private candidates ({ service, excluded, softwareVersion }: EngineQuery, shape: EngineShape, model: ModelName, now: number): Endpoint[] {
    const { directory, ejection, hasLoadOwner } = this.parts
    const engines = directory.servable(service.name).filter((engine) => softwareVersion === undefined || engine.softwareVersion === softwareVersion)
    return ejection.usable(engines.map((entry) => ({ endpoint: entry.id, entry })), now)
      .map(({ entry }) => entry)
      .filter(({ id, models }) => !excluded.has(id) && canLoadAdapters(shape, models, model) && hasLoadOwner(id))
  }

  private forEngine (
    endpoint: Endpoint, shape: EngineShape, { facts, priority }: LoadForecastQuery, store: { readonly milliseconds: number, readonly hasCapacity: boolean }, now: number
  ): EngineForecast {
    const { locations, workTracker, firstEvent, leastVersion } = this.parts
    const { id } = endpoint
    const key = facts.adapter?.key as AdapterKey
    const queue = locations.line(id)
    const isInFlight = locations.inFlight.has(id, key, now)
    const isCached = locations.isCached(id, key, leastVersion(key, now))
    const { idleSlots, slotWait } = this.slots(endpoint, shape, modelOf(key), now)
    const waitMilliseconds = isInFlight ? 0 : this.waitAt(queue, priority, slotWait, idleSlots)
    const readyMilliseconds = waitMilliseconds + (isCached ? CACHED_LOAD_MILLISECONDS : store.milliseconds)
    const reading = firstEvent.milliseconds(id, shape, workTracker.outstanding(id, now), facts.promptTokens, facts.promptTokens + facts.outputTokens)
    return {
      endpoint: id,
      waitMilliseconds,
      readyMilliseconds,
      firstEventMilliseconds: readyMilliseconds + reading,
      joinsLoad: isInFlight || queue?.waiting.has(key) === true,
      isRoomFree: idleSlots > 0 && (queue?.waiting.size ?? 0) === 0 && (isCached || store.hasCapacity)
    }
  }
}

/** @returns expected wait of one more load of this priority in the load queue of an engine, milliseconds */
export function waitOf (queue: ReportedQueue | undefined, priority: number): number {
  if (queue === undefined) return 0
  return queue.waits[Math.min(priority, queue.waits.length - 1)] ?? queue.waitMilliseconds
}

/** An engine that has begun or queued the load goes first, then one with room, then the one that could use the adapter first. */
function goesBefore (one: EngineForecast, other: EngineForecast): boolean {
  if (one.joinsLoad !== other.joinsLoad) return one.joinsLoad
  if (one.isRoomFree !== other.isRoomFree) return one.isRoomFree
  return one.firstEventMilliseconds < other.firstEventMilliseconds
}
