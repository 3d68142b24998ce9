/** Eviction by expected stall: the chance that an adapter is wanted again soon, times what its return would cost. */
import { EvictionPolicy } from './eviction-policy.js'
import type { SlotView } from './eviction-policy.js'
import { UseRates } from './use-rates.js'

/** Times that the expected stall is made of. */
export interface StallEvictionOptions {
  readonly halfLifeMilliseconds?: number
  /** How far ahead a use counts as soon, milliseconds. */
  readonly horizonMilliseconds?: number
  /** Adapters remembered at most. */
  readonly rememberedAdapters?: number
  /** Time after its load in which an adapter that requests wait for stays, milliseconds. */
  readonly leastResidenceMilliseconds?: number
}

/** Victim: the unpinned adapter whose absence is expected to stall least; one that requests wait for only after a while. */
export class StallEvictionPolicy extends EvictionPolicy {
  private readonly rates: UseRates
  private readonly horizon: number
  private readonly leastResidence: number

  constructor (options: StallEvictionOptions = {}) {
    super()
    this.horizon = options.horizonMilliseconds ?? 10_000
    this.leastResidence = options.leastResidenceMilliseconds ?? 10_000
    this.rates = new UseRates({ halfLifeMilliseconds: options.halfLifeMilliseconds ?? 60_000, most: options.rememberedAdapters ?? 20_000 })
  }

  used (adapter: string, _team: string, tokens: number, now: number): void {
    this.rates.used(adapter, tokens, now)
  }

  victim (slots: readonly SlotView[], incoming: string, now: number): string | undefined {
    let victim: string | undefined
    let least = Infinity
    for (const slot of slots) {
      // A pinned adapter is read by a running request: without it, that request's answer would come from another adapter.
      if (slot.pins > 0 || slot.adapter === incoming) continue
      // With a working set larger than all slots, evicting what requests wait for loads the same adapters for ever
      // and serves none: each load first serves its waiters for a while. Not for ever, since in an overload every
      // loaded adapter has waiters, and those of an absent one would never be served.
      if (slot.waiting > 0 && now < slot.loadedAt + this.leastResidence) continue
      const stall = this.expectedStall(slot, now) + slot.waiting
      if (stall < least) {
        least = stall
        victim = slot.adapter
      }
    }
    return victim
  }

  /** @returns the chance of a use within the horizon, less where another engine could serve it */
  protected expectedStall (slot: SlotView, now: number): number {
    const uses = this.rates.rate(slot.adapter, now) * this.horizon
    const chance = 1 - Math.exp(-uses)
    // The chance is near 1 for all popular ones; the small linear part keeps their order.
    return (chance + uses * TIE_BREAK) / (1 + slot.otherCopies)
  }
}

const TIE_BREAK = 1e-3
