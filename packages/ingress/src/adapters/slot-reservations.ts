/** The adapter slots of one engine, as known to its load owner. */
import type { AdapterKey, HeldAdapter, ModelName } from '../routes/configuration.js'
import type { EngineReport } from './engine-control.js'

/** Evicted adapters that an engine is assumed to cache per slot: the smallest known engines cache five, larger ones six. */
const CACHED_PER_SLOT = 5

/** @returns the number of evicted adapters that an engine with this many slots is assumed to cache */
export function mostCached (slots: number): number {
  return CACHED_PER_SLOT * slots
}

/** An adapter that occupies a slot. */
export interface HeldSlot {
  version: number
  loadedAt: number
  lastUsedAt: number
  /** Time of the last load request for the adapter; the request behind it is about to use the adapter. */
  lastRequestedAt: number
}

/** A load that the engine accepted and has not completed. */
export interface InFlightLoad {
  readonly version: number
  readonly orderedAt: number
  /** Time at which the engine was last asked whether the load is complete. */
  lastCheckedAt: number
}

/**
 * Slots of an engine, and the number of orders that it has accepted. Each order carries this number as a condition, so that an
 * order whose answer was lost, and which the engine carries out seconds later, cannot take effect once a newer order has been
 * accepted. Without the condition, a late load would take a slot that was reassigned in the meantime, and an engine that exceeds its
 * slots crashes.
 */
export class SlotReservations {
  readonly held = new Map<AdapterKey, HeldSlot>()
  readonly inFlight = new Map<AdapterKey, InFlightLoad>()
  /** Adapters that are unloaded once the last request on them has ended; they keep their slots until then. */
  readonly unloading = new Set<AdapterKey>()
  /** Recently evicted adapters: engines cache them and load them in a tenth of the time. */
  readonly recentlyEvicted = new Set<AdapterKey>()
  models: readonly ModelName[] = []
  cachedModels: readonly ModelName[] = []
  /** Number of orders that the engine has accepted. */
  sequence = 0
  private readonly slots: number
  private readonly mostCached: number

  /**
   * @param slots - number of adapters that the engine can hold
   * @param mostCached - number of evicted adapters to remember
   */
  constructor (slots: number, mostCached: number) {
    this.slots = slots
    this.mostCached = mostCached
  }

  /** Number of slots occupied by adapters that are held or being loaded. A replacement does not occupy a second slot. */
  get occupied (): number {
    let sum = this.held.size
    for (const key of this.inFlight.keys()) if (!this.held.has(key)) sum += 1
    return sum
  }

  /** Number of unoccupied slots. */
  get free (): number {
    return Math.max(0, this.slots - this.occupied)
  }

  /** Whether one more adapter fits. */
  get hasFree (): boolean {
    return this.free > 0
  }

  /** @returns whether the adapter is held in this version or a newer one */
  holds (key: AdapterKey, version: number): boolean {
    return (this.held.get(key)?.version ?? -1) >= version
  }

  /** Records a load request for an adapter that is held. */
  markRequested (key: AdapterKey, now: number): void {
    const slot = this.held.get(key)
    if (slot !== undefined) slot.lastRequestedAt = now
  }

  /** Records a load order that the engine accepted. */
  ordered (key: AdapterKey, version: number, now: number): void {
    this.sequence += 1
    this.inFlight.set(key, { version, orderedAt: now, lastCheckedAt: now })
  }

  /** Records a completed load; the engine holds the adapter in this version or a newer one. */
  completed (key: AdapterKey, version: number, now: number): void {
    this.inFlight.delete(key)
    this.recentlyEvicted.delete(key)
    this.held.set(key, { version, loadedAt: now, lastUsedAt: now, lastRequestedAt: now })
  }

  /** Records an unload order that the engine accepted; the adapter is unloaded when the last request on it has ended. */
  unloadAccepted (key: AdapterKey): void {
    this.sequence += 1
    this.unloading.add(key)
  }

  /**
   * Records that an adapter was unloaded.
   *
   * @param counted - whether this unload order adds one to the engine's number of accepted orders; false if it was counted before,
   *   when the engine accepted it
   */
  unloaded (key: AdapterKey, counted: boolean): void {
    if (counted) this.sequence += 1
    this.held.delete(key)
    this.unloading.delete(key)
    this.recentlyEvicted.delete(key)
    this.recentlyEvicted.add(key)
    const oldest = this.recentlyEvicted.values().next().value
    if (this.recentlyEvicted.size > this.mostCached && oldest !== undefined) this.recentlyEvicted.delete(oldest)
  }

  /** Replaces the state by what the engine reports. */
  applyReport (report: EngineReport, now: number): void {
    this.sequence = report.sequence
    this.models = report.models
    this.cachedModels = report.cachedModels
    this.replaceHeld(report.held, now)
    for (const key of [...this.inFlight.keys()]) if (!report.inFlight.some((adapter) => adapter.key === key)) this.inFlight.delete(key)
    for (const { key, version } of report.inFlight) this.inFlight.set(key, this.inFlight.get(key) ?? { version, orderedAt: now, lastCheckedAt: now })
  }

  private replaceHeld (held: readonly HeldAdapter[], now: number): void {
    const before = new Map(this.held)
    this.held.clear()
    for (const key of [...this.unloading]) if (!held.some((adapter) => adapter.key === key)) this.unloading.delete(key)
    for (const { key, version } of held) {
      const known = before.get(key)
      this.held.set(key, { version, loadedAt: known?.loadedAt ?? now, lastUsedAt: known?.lastUsedAt ?? now, lastRequestedAt: known?.lastRequestedAt ?? now })
    }
  }
}
