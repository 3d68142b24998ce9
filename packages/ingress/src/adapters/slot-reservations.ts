/** The adapter slots of one engine and the memory that its adapters take, as known to its load owner. */
import type { AdapterKey, EngineShape, HeldAdapter, ModelName } from '../routes/configuration.js'
import type { EngineReport } from './engine-control.js'
import { adapterMegabytes, megabytesForAdapters } from './engine-memory.js'

/** Evicted adapters that an engine is assumed to cache per slot: the smallest known engines cache five, larger ones six. */
const CACHED_PER_SLOT = 5

/** @returns the number of evicted adapters that an engine with this many slots is assumed to cache */
export function mostCached (slots: number): number {
  return CACHED_PER_SLOT * slots
}

/** Slots and memory of an engine that no adapter occupies; negative where it holds more than the configuration says. */
export interface Room {
  readonly slots: number
  readonly megabytes: number
}

const NO_ADAPTERS: ReadonlySet<AdapterKey> = new Set()

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
 * Slots and memory of an engine, and the number of orders that it has accepted. Each order carries this number as a condition, so that an
 * order whose answer was lost, and which the engine carries out seconds later, cannot take effect once a newer order has been
 * accepted. Without the condition, a late load would take a slot that was reassigned in the meantime, and an engine that exceeds its
 * slots or its memory crashes.
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
  private shape: EngineShape

  /** @param shape - slots and memory of the engine */
  constructor (shape: EngineShape) {
    this.shape = shape
  }

  /** Bounds further loads by other resources; adapters that are held beyond them stay until they are evicted. */
  applyShape (shape: EngineShape): void {
    this.shape = shape
  }

  /**
   * @param leaving - adapters that are about to be evicted
   * @returns the room beside all other adapters that are held or being loaded
   */
  room (leaving: ReadonlySet<AdapterKey> = NO_ADAPTERS): Room {
    let slots = this.shape.adapterSlots
    let megabytes = megabytesForAdapters(this.shape, this.models)
    const occupy = (key: AdapterKey): void => {
      if (leaving.has(key)) return
      slots -= 1
      megabytes -= adapterMegabytes(this.shape, key)
    }
    for (const key of this.held.keys()) occupy(key)
    // A replacement takes the place of the old version.
    for (const key of this.inFlight.keys()) if (!this.held.has(key)) occupy(key)
    return { slots, megabytes }
  }

  /** @returns whether one more adapter fits into the room */
  fits (key: AdapterKey, { slots, megabytes }: Room): boolean {
    return slots >= 1 && megabytes >= adapterMegabytes(this.shape, key)
  }

  /** @returns whether the engine could hold the adapter if it held no other one */
  couldHold (key: AdapterKey): boolean {
    return this.fits(key, { slots: this.shape.adapterSlots, megabytes: megabytesForAdapters(this.shape, this.models) })
  }

  /**
   * @param keys - adapters to load, in this order; none of them is held or being loaded
   * @param leaving - adapters that are evicted before
   * @returns how many of them fit beside the adapters that are held or being loaded, from the first one on
   */
  countFitting (keys: readonly AdapterKey[], leaving: ReadonlySet<AdapterKey> = NO_ADAPTERS): number {
    let { slots, megabytes } = this.room(leaving)
    const count = keys.findIndex((key) => {
      if (!this.fits(key, { slots, megabytes })) return true
      slots -= 1
      megabytes -= adapterMegabytes(this.shape, key)
      return false
    })
    return count === -1 ? keys.length : count
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
    if (this.recentlyEvicted.size > mostCached(this.shape.adapterSlots) && oldest !== undefined) this.recentlyEvicted.delete(oldest)
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
