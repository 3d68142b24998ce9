/** Evictions to compare with. */
import { EvictionPolicy, UseRates } from '@limpetwinch/decisions'
import type { SlotView } from '@limpetwinch/decisions'

/** Picks the unpinned slot with the least value. */
abstract class LeastValueEviction extends EvictionPolicy {
  recordUse (_adapter: string, _team: string, _tokens: number, _now: number): void {}

  victim (slots: readonly SlotView[], _incoming: string, now: number): string | undefined {
    let victim: SlotView | undefined
    let least = Infinity
    for (const slot of slots) {
      if (slot.pins > 0) continue
      const value = this.value(slot, now)
      if (value >= least) continue
      victim = slot
      least = value
    }
    if (victim !== undefined) this.evicted(victim)
    return victim?.adapter
  }

  protected abstract value (slot: SlotView, now: number): number

  protected evicted (_slot: SlotView): void {}
}

/** Least recently used. */
export class LeastRecentlyUsedEviction extends LeastValueEviction {
  protected value (slot: SlotView): number {
    return slot.lastUsedAt
  }
}

/** Least frequently used, counted since the run began. */
export class LeastFrequentlyUsedEviction extends LeastValueEviction {
  private readonly uses = new Map<string, number>()

  override recordUse (adapter: string): void {
    this.uses.set(adapter, (this.uses.get(adapter) ?? 0) + 1)
  }

  protected value (slot: SlotView): number {
    return this.uses.get(slot.adapter) ?? 0
  }
}

/** Greedy-dual with frequency: uses times cost over size (both 1 here), above a level that rises with each eviction. */
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

/** Output for each unit of memory: tokens served of late for a slot, all slots being of one size. */
export class ProductivityEviction extends LeastValueEviction {
  private readonly rates = new UseRates({ halfLifeMilliseconds: PRODUCTIVITY_HALF_LIFE_MILLISECONDS })

  override recordUse (adapter: string, _team: string, tokens: number, now: number): void {
    this.rates.recordUse(adapter, tokens, now)
  }

  /** @returns tokens in a millisecond of an adapter */
  productivity (adapter: string, now: number): number {
    return this.rates.tokenRate(adapter, now)
  }

  protected value (slot: SlotView, now: number): number {
    return this.rates.tokenRate(slot.adapter, now)
  }
}

/** Tokens of a usual request, so that a productivity can be told as requests. */
const TYPICAL_REQUEST_TOKENS = 360
const EVICTION_COST_HORIZON_MILLISECONDS = 10_000

/** The router is told what leaves an engine, and so takes the least productive adapter of the whole data centre. */
export class GlobalProductivityEviction extends ProductivityEviction {
  override cost (slots: readonly SlotView[], wanted: number, now: number): number {
    const values = slots.map((slot) => this.value(slot, now) * EVICTION_COST_HORIZON_MILLISECONDS / TYPICAL_REQUEST_TOKENS + (slot.pins > 0 ? 1 : 0))
    values.sort((left, right) => left - right)
    return values[wanted] ?? Infinity
  }
}
