/** Adapters on their way to engines, as those who order the loads tell it. */
import type { EndpointId } from '@limpetwinch/core'
import type { CompletedLoad } from './weight-store-limiter.js'

/** A load takes a quarter of a second, some times as long in a crowd. */
const LONGEST_LOAD_MILLISECONDS = 1_000

interface InFlight {
  readonly firstReportedAt: number
  /** Whether the engine loads it from its own cache; such loads say nothing about the weight store. */
  readonly cached: boolean
  /** Most loads on their way at any time since, itself left out. */
  mostOthersInFlight: number
}

/** Loads by engine and adapter. */
export class InFlightLoads {
  private readonly byEndpoint = new Map<EndpointId, ReadonlyMap<string, InFlight>>()
  private readonly listeners: ((load: CompletedLoad) => void)[] = []

  /** Calls the listener with each load from the weight store that is complete. */
  onCompleted (listener: (load: CompletedLoad) => void): void {
    this.listeners.push(listener)
  }

  /** @returns whether the adapter is on its way to the engine, and for no longer than a load takes */
  has (endpoint: EndpointId, key: string, now: number): boolean {
    const load = this.byEndpoint.get(endpoint)?.get(key)
    return load !== undefined && isStillInFlight(load, now)
  }

  /** @returns adapters on their way to the engine */
  countFor (endpoint: EndpointId): number {
    return this.byEndpoint.get(endpoint)?.size ?? 0
  }

  /**
   * Loads that an engine took with it when it ended stay among those on their way until it is known to be gone. Counted
   * for so long, the end of three engines would hold up all loads of the others for seconds.
   *
   * @returns adapters on their way to all engines, those left out that are on it for longer than any load takes
   */
  count (now: number): number {
    let sum = 0
    for (const loads of this.byEndpoint.values()) {
      for (const load of loads.values()) if (isStillInFlight(load, now)) sum += 1
    }
    return sum
  }

  /**
   * Takes up which loads are on their way to an engine now.
   *
   * @param keys - their adapters
   * @param arrived - whether the engine holds an adapter now
   * @param isCached - whether the engine has an adapter in its cache
   */
  replace (endpoint: EndpointId, keys: readonly string[], arrived: (key: string) => boolean, isCached: (key: string) => boolean, now: number): void {
    const before = this.byEndpoint.get(endpoint) ?? NO_LOADS
    const after = new Map(keys.map((key) => [key, before.get(key) ?? { firstReportedAt: now, cached: isCached(key), mostOthersInFlight: 0 }]))
    if (after.size === 0 && before.size === 0) return
    this.byEndpoint.set(endpoint, after)
    this.updatePeaks(now)
    for (const [key, load] of before) {
      if (after.has(key) || !arrived(key) || load.cached) continue
      for (const listener of this.listeners) listener({ milliseconds: now - load.firstReportedAt, mostOthersInFlight: load.mostOthersInFlight, now })
    }
  }

  /** The engine is gone, or nothing is known of its loads any more. */
  forget (endpoint: EndpointId): void {
    this.byEndpoint.delete(endpoint)
  }

  /** A crowd's loads start and end together: the first and the last of them would look as if they had been alone. */
  private updatePeaks (now: number): void {
    const beside = this.count(now) - 1
    for (const loads of this.byEndpoint.values()) {
      for (const load of loads.values()) load.mostOthersInFlight = Math.max(load.mostOthersInFlight, beside)
    }
  }
}

const NO_LOADS: ReadonlyMap<string, InFlight> = new Map()

function isStillInFlight (load: InFlight, now: number): boolean {
  return now - load.firstReportedAt < LONGEST_LOAD_MILLISECONDS
}
