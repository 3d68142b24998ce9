/** Tracks the loads in progress on all engines, as reported by the load owners. */
import type { EndpointId } from '@limpetwinch/core'
import type { CompletedLoad } from './weight-store-limiter.js'

/** A load reported longer ago counts as overdue. A load takes a quarter of a second, and several times as long when many engines load at once. */
const LONGEST_LOAD_MILLISECONDS = 1_000

interface InFlight {
  readonly firstReportedAt: number
  /** Whether the engine loads the adapter from its own cache; the duration of such a load says nothing about the weight store. */
  readonly cached: boolean
  /** Highest number of other loads in progress on all engines at any time since this load was first reported. */
  mostOthersInFlight: number
}

/** Loads in progress, by engine and adapter. */
export class InFlightLoads {
  private readonly byEndpoint = new Map<EndpointId, ReadonlyMap<string, InFlight>>()
  private readonly listeners: ((load: CompletedLoad) => void)[] = []

  /** Registers a listener that is called with each completed load from the weight store. */
  onCompleted (listener: (load: CompletedLoad) => void): void {
    this.listeners.push(listener)
  }

  /** @returns whether the engine is loading the adapter, and has been for no longer than a load can take */
  has (endpoint: EndpointId, key: string, now: number): boolean {
    const load = this.byEndpoint.get(endpoint)?.get(key)
    return load !== undefined && isStillInFlight(load, now)
  }

  /** @returns the number of loads in progress on the engine, overdue ones included */
  countFor (endpoint: EndpointId): number {
    return this.byEndpoint.get(endpoint)?.size ?? 0
  }

  /**
   * Counts the loads in progress, without those that are overdue. The loads of an engine that has crashed stay listed until the
   * engine is known to have left. If these loads were counted until then, the crash of three engines would block all loads of the other
   * engines for seconds.
   *
   * @returns the number of loads in progress on all engines that have not taken longer than a load can
   */
  count (now: number): number {
    let sum = 0
    for (const loads of this.byEndpoint.values()) {
      for (const load of loads.values()) if (isStillInFlight(load, now)) sum += 1
    }
    return sum
  }

  /**
   * Replaces the loads in progress on an engine, and reports the loads that have completed to the listeners.
   *
   * @param keys - adapters being loaded
   * @param isHeld - tells whether the engine holds an adapter now
   * @param isCached - tells whether the engine has an adapter in its cache
   */
  replace (endpoint: EndpointId, keys: readonly string[], isHeld: (key: string) => boolean, isCached: (key: string) => boolean, now: number): void {
    const before = this.byEndpoint.get(endpoint) ?? NO_LOADS
    const after = new Map(keys.map((key) => [key, before.get(key) ?? { firstReportedAt: now, cached: isCached(key), mostOthersInFlight: 0 }]))
    if (after.size === 0 && before.size === 0) return
    this.byEndpoint.set(endpoint, after)
    this.updatePeaks(now)
    for (const [key, load] of before) {
      if (after.has(key) || !isHeld(key) || load.cached) continue
      for (const listener of this.listeners) listener({ milliseconds: now - load.firstReportedAt, mostOthersInFlight: load.mostOthersInFlight, now })
    }
  }

  /** Drops the loads of an engine that has left, or whose loads are unknown. */
  forget (endpoint: EndpointId): void {
    this.byEndpoint.delete(endpoint)
  }

  /**
   * Updates the highest number of concurrent loads for each load. The current number is not enough: loads of a burst start and
   * end together, so the first and the last of them would look as if they had run alone.
   */
  private updatePeaks (now: number): void {
    const others = this.count(now) - 1
    for (const loads of this.byEndpoint.values()) {
      for (const load of loads.values()) load.mostOthersInFlight = Math.max(load.mostOthersInFlight, others)
    }
  }
}

const NO_LOADS: ReadonlyMap<string, InFlight> = new Map()

function isStillInFlight (load: InFlight, now: number): boolean {
  return now - load.firstReportedAt < LONGEST_LOAD_MILLISECONDS
}
