/** The adapter slots of one engine, as the instance that orders its loads knows them. */
import type { AdapterKey, HeldAdapter, ModelName } from '../routes/configuration.js'
import type { EngineReport } from './engine-control.js'

/** An adapter in its slot. */
export interface HeldSlot {
  version: number
  loadedAt: number
  lastUsedAt: number
}

/** A load that was accepted and is not complete. */
export interface ComingSlot {
  readonly version: number
  readonly orderedAt: number
  /** When the engine was last asked whether it has come. */
  askedAt: number
}

/**
 * Slots and the count of orders. The count goes into each order as its condition, so that an order whose answer was
 * lost and which the engine carries out seconds later cannot take effect once a newer one has been accepted. Without
 * that, a late load would take a slot that was given away meanwhile, and an engine with too many adapters ends.
 */
export class SlotLedger {
  readonly held = new Map<AdapterKey, HeldSlot>()
  readonly coming = new Map<AdapterKey, ComingSlot>()
  /** Adapters that leave once their last run has ended; they keep their slots until then. */
  readonly departing = new Set<AdapterKey>()
  /** Adapters evicted of late: engines keep them at hand and load them in a tenth of the time. */
  readonly atHand = new Set<AdapterKey>()
  models: readonly ModelName[] = []
  modelsAtHand: readonly ModelName[] = []
  /** Orders that the engine has accepted. */
  sequence = 0
  private readonly slots: number
  private readonly mostAtHand: number

  /**
   * @param slots - adapters that the engine takes
   * @param mostAtHand - evicted adapters remembered
   */
  constructor (slots: number, mostAtHand: number) {
    this.slots = slots
    this.mostAtHand = mostAtHand
  }

  /** Slots taken by adapters held or on their way. A replacement takes no second one. */
  get occupied (): number {
    let sum = this.held.size
    for (const key of this.coming.keys()) if (!this.held.has(key)) sum += 1
    return sum
  }

  /** Whether one more adapter fits. */
  get hasFree (): boolean {
    return this.occupied < this.slots
  }

  /** @returns whether the adapter is held in this version or a newer one */
  holds (key: AdapterKey, version: number): boolean {
    return (this.held.get(key)?.version ?? -1) >= version
  }

  /** An order to load was accepted. */
  ordered (key: AdapterKey, version: number, now: number): void {
    this.sequence += 1
    this.coming.set(key, { version, orderedAt: now, askedAt: now })
  }

  /** The engine holds the adapter, in this version or a newer one. */
  completed (key: AdapterKey, version: number, now: number): void {
    this.coming.delete(key)
    this.atHand.delete(key)
    this.held.set(key, { version, loadedAt: now, lastUsedAt: now })
  }

  /** An order to unload was accepted; the adapter leaves when its runs have ended. */
  willUnload (key: AdapterKey): void {
    this.sequence += 1
    this.departing.add(key)
  }

  /** An adapter left. @param counted - whether the engine counted the order that said so */
  unloaded (key: AdapterKey, counted: boolean): void {
    if (counted) this.sequence += 1
    this.held.delete(key)
    this.departing.delete(key)
    this.atHand.delete(key)
    this.atHand.add(key)
    const oldest = this.atHand.values().next().value
    if (this.atHand.size > this.mostAtHand && oldest !== undefined) this.atHand.delete(oldest)
  }

  /** Takes over what the engine reports. */
  adopt (report: EngineReport, now: number): void {
    this.sequence = report.sequence
    this.models = report.models
    this.modelsAtHand = report.modelsAtHand
    this.replaceHeld(report.held, now)
    for (const key of [...this.coming.keys()]) if (!report.coming.some((adapter) => adapter.key === key)) this.coming.delete(key)
    for (const { key, version } of report.coming) this.coming.set(key, this.coming.get(key) ?? { version, orderedAt: now, askedAt: now })
  }

  private replaceHeld (held: readonly HeldAdapter[], now: number): void {
    const before = new Map(this.held)
    this.held.clear()
    for (const key of [...this.departing]) if (!held.some((adapter) => adapter.key === key)) this.departing.delete(key)
    for (const { key, version } of held) {
      const known = before.get(key)
      this.held.set(key, { version, loadedAt: known?.loadedAt ?? now, lastUsedAt: known?.lastUsedAt ?? now })
    }
  }
}
