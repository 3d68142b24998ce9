/** Eviction policies for comparison with the product's policy. */
import { EvictionPolicy, UseRates } from '@limpetwinch/decisions'
import type { SlotView } from '@limpetwinch/decisions'

/** Evicts the unpinned slot with the lowest value; subclasses define the value. */
abstract class LeastValueEviction extends EvictionPolicy {
  recordUse (_adapter: string, _team: string, _tokens: number, _now: number): void {}

  victim (slots: readonly SlotView[], _incoming: string, now: number): string | undefined {
    let victim: SlotView | undefined
    let lowestValue = Infinity
    for (const slot of slots) {
      if (slot.pins > 0) continue
      const value = this.value(slot, now)
      if (value >= lowestValue) continue
      victim = slot
      lowestValue = value
    }
    if (victim !== undefined) this.evicted(victim)
    return victim?.adapter
  }

  protected abstract value (slot: SlotView, now: number): number

  protected evicted (_slot: SlotView): void {}
}

/** Evicts the least recently used adapter. */
export class LeastRecentlyUsedEviction extends LeastValueEviction {
  protected value (slot: SlotView): number {
    return slot.lastUsedAt
  }
}

/** Evicts the least frequently used adapter, counted since the start of the run. */
export class LeastFrequentlyUsedEviction extends LeastValueEviction {
  private readonly uses = new Map<string, number>()

  override recordUse (adapter: string): void {
    this.uses.set(adapter, (this.uses.get(adapter) ?? 0) + 1)
  }

  protected value (slot: SlotView): number {
    return this.uses.get(slot.adapter) ?? 0
  }
}

/** Greedy-dual with frequency: the value is the number of uses times cost over size (both 1 here) plus a level that each eviction raises. */
export class GreedyDualEviction extends LeastValueEviction {
  private level = 0
  private readonly values = new Map<string, number>()
  private readonly uses = new Map<string, number>()

  override recordUse (adapter: string): void {
    const uses = (this.uses.get(adapter) ?? 0) + 1
    this.uses.set(adapter, uses)
    this.values.set(adapter, this.level + uses)
  }

  protected value (slot: SlotView): number {
    return this.values.get(slot.adapter) ?? this.level
  }

  protected override evicted (slot: SlotView): void {
    this.level = Math.max(this.level, this.value(slot))
    this.uses.delete(slot.adapter)
  }
}

const PRODUCTIVITY_HALF_LIFE_MILLISECONDS = 30_000

/** Evicts the adapter with the lowest recent token rate per unit of memory; all slots have the same size. */
export class ProductivityEviction extends LeastValueEviction {
  private readonly rates = new UseRates({ halfLifeMilliseconds: PRODUCTIVITY_HALF_LIFE_MILLISECONDS })

  override recordUse (adapter: string, _team: string, tokens: number, now: number): void {
    this.rates.recordUse(adapter, tokens, now)
  }

  /** @returns recent tokens per millisecond of an adapter */
  productivity (adapter: string, now: number): number {
    return this.rates.tokenRate(adapter, now)
  }

  protected value (slot: SlotView, now: number): number {
    return this.rates.tokenRate(slot.adapter, now)
  }
}

/** Tokens of a typical request, which convert a token rate to requests. */
const TYPICAL_REQUEST_TOKENS = 360
/** Period for which the requests of an evicted adapter are estimated. */
const EVICTION_COST_HORIZON_MILLISECONDS = 10_000

/** Also reports the cost of an eviction to the router, so that the least productive adapter of all engines is evicted. */
export class GlobalProductivityEviction extends ProductivityEviction {
  override cost (slots: readonly SlotView[], wanted: number, now: number): number {
    const values = slots.map((slot) => this.value(slot, now) * EVICTION_COST_HORIZON_MILLISECONDS / TYPICAL_REQUEST_TOKENS + (slot.pins > 0 ? 1 : 0))
    values.sort((left, right) => left - right)
    return values[wanted] ?? Infinity
  }
}
