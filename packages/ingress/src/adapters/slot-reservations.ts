/** The adapter slots of one engine, as the instance that orders its loads knows them. */
import type { AdapterKey, HeldAdapter, ModelName } from '../routes/configuration.js'
import type { EngineReport } from './engine-control.js'

/** Evicted adapters that an engine caches, for each of its slots: five on the smallest engines known, six on larger ones. */
const CACHED_PER_SLOT = 5

/** @returns evicted adapters that an engine with so many slots is taken to cache */
export function mostCached (slots: number): number {
  return CACHED_PER_SLOT * slots
}

/** An adapter in its slot. */
export interface HeldSlot {
  version: number
  loadedAt: number
  lastUsedAt: number
  /** When somebody last asked for it, who is about to use it. */
  lastRequestedAt: number
}

/** A load that was accepted and is not complete. */
export interface InFlightLoad {
  readonly version: number
  readonly orderedAt: number
  /** When the engine was last asked whether it has come. */
  lastCheckedAt: number
}

/**
 * Slots and the count of orders. The count goes into each order as its condition, so that an order whose answer was
 * lost and which the engine carries out seconds later cannot take effect once a newer one has been accepted. Without
 * that, a late load would take a slot that was given away meanwhile, and an engine with too many adapters ends.
 */
export class SlotReservations {
  readonly held = new Map<AdapterKey, HeldSlot>()
  readonly inFlight = new Map<AdapterKey, InFlightLoad>()
  /** Adapters that leave once their last run has ended; they keep their slots until then. */
  readonly unloading = new Set<AdapterKey>()
  /** Adapters evicted of late: engines cache them and load them in a tenth of the time. */
  readonly recentlyEvicted = new Set<AdapterKey>()
  models: readonly ModelName[] = []
  cachedModels: readonly ModelName[] = []
  /** Orders that the engine has accepted. */
  sequence = 0
  private readonly slots: number
  private readonly mostCached: number

  /**
   * @param slots - adapters that the engine takes
   * @param mostCached - evicted adapters remembered
   */
  constructor (slots: number, mostCached: number) {
    this.slots = slots
    this.mostCached = mostCached
  }

  /** Slots taken by adapters held or on their way. A replacement takes no second one. */
  get occupied (): number {
    let sum = this.held.size
    for (const key of this.inFlight.keys()) if (!this.held.has(key)) sum += 1
    return sum
  }

  /** Slots that nothing takes. */
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

  /** Somebody asks for an adapter that is held. */
  wanted (key: AdapterKey, now: number): void {
    const slot = this.held.get(key)
    if (slot !== undefined) slot.lastRequestedAt = now
  }

  /** An order to load was accepted. */
  ordered (key: AdapterKey, version: number, now: number): void {
    this.sequence += 1
    this.inFlight.set(key, { version, orderedAt: now, lastCheckedAt: now })
  }

  /** The engine holds the adapter, in this version or a newer one. */
  completed (key: AdapterKey, version: number, now: number): void {
    this.inFlight.delete(key)
    this.recentlyEvicted.delete(key)
    this.held.set(key, { version, loadedAt: now, lastUsedAt: now, lastRequestedAt: now })
  }

  /** An order to unload was accepted; the adapter leaves when its runs have ended. */
  unloadAccepted (key: AdapterKey): void {
    this.sequence += 1
    this.unloading.add(key)
  }

  /** An adapter left. @param counted - whether the engine counted the order that said so */
  unloaded (key: AdapterKey, counted: boolean): void {
    if (counted) this.sequence += 1
    this.held.delete(key)
    this.unloading.delete(key)
    this.recentlyEvicted.delete(key)
    this.recentlyEvicted.add(key)
    const oldest = this.recentlyEvicted.values().next().value
    if (this.recentlyEvicted.size > this.mostCached && oldest !== undefined) this.recentlyEvicted.delete(oldest)
  }

  /** Takes over what the engine reports. */
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
