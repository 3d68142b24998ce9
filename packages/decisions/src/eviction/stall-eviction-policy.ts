/** Eviction by expected stall: the chance that an adapter is wanted again soon, times what its return would cost. */
import { EvictionPolicy } from './eviction-policy.js'
import type { SlotView } from './eviction-policy.js'
import { UseRates } from './use-rates.js'

/** Times that the expected stall is made of. */
export interface StallEvictionOptions {
  /** Half-life of the rate that sees a burst, milliseconds. */
  readonly burstHalfLifeMilliseconds?: number
  /** Half-life of the rate that sees lasting popularity, milliseconds. */
  readonly halfLifeMilliseconds?: number
  /** How much the burst counts, 0 to 1. */
  readonly burstWeight?: number
  /** Odds that a lasting popularity has ended, before the silence since its last use is weighed. */
  readonly inactiveOdds?: number
  /** How far ahead a use counts as soon, milliseconds. */
  readonly horizonMilliseconds?: number
  /** Adapters remembered at most. */
  readonly rememberedAdapters?: number
  /** Time after its load in which an adapter that requests wait for stays, milliseconds. */
  readonly minimumResidenceMilliseconds?: number
  /** Loads a second of the whole deployment. */
  readonly loadsPerSecond?: number
}

/** A pinned adapter may leave once its request has ended; until then the load waits, as if a request stalled. */
const PINNED_STALL = 1

/** Victim: the unpinned adapter whose absence is expected to stall least; one that requests wait for only after a while. */
export class StallEvictionPolicy extends EvictionPolicy {
  private readonly bursts: UseRates
  private readonly rates: UseRates
  private readonly burstWeight: number
  private readonly inactiveOdds: number
  private readonly horizon: number
  private readonly minimumResidence: number
  private readonly loadMilliseconds: number

  constructor (options: StallEvictionOptions = {}) {
    super()
    this.horizon = options.horizonMilliseconds ?? 10_000
    this.minimumResidence = options.minimumResidenceMilliseconds ?? 10_000
    this.loadMilliseconds = 1_000 / (options.loadsPerSecond ?? 4)
    this.burstWeight = options.burstWeight ?? 0.1
    this.inactiveOdds = options.inactiveOdds ?? 0.06
    const most = options.rememberedAdapters ?? 20_000
    this.bursts = new UseRates({ halfLifeMilliseconds: options.burstHalfLifeMilliseconds ?? 5_000, maximumAdapters: most })
    this.rates = new UseRates({ halfLifeMilliseconds: options.halfLifeMilliseconds ?? 120_000, maximumAdapters: most })
  }

  recordUse (adapter: string, _team: string, tokens: number, now: number): void {
    this.bursts.recordUse(adapter, tokens, now)
    this.rates.recordUse(adapter, tokens, now)
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
      if (slot.waiting > 0 && now < slot.loadedAt + this.minimumResidence) continue
      const stall = this.expectedStall(slot, now)
      if (stall >= least) continue
      least = stall
      victim = slot.adapter
    }
    return victim
  }

  override cost (slots: readonly SlotView[], wanted: number, now: number): number {
    const stalls = slots.map((slot) => this.expectedStall(slot, now) + (slot.pins > 0 ? PINNED_STALL : 0))
    stalls.sort((left, right) => left - right)
    // Each load that waits takes the cheapest slot that is left, so that one engine does not seem cheap to all.
    return stalls[wanted] ?? Infinity
  }

  /**
   * With one half-life, either what was used a moment ago leaves before its second use (a long one), or what is used
   * steadily but seldom leaves for what came once (a short one).
   */
  private rate (adapter: string, now: number): number {
    const lasting = this.rates.rate(adapter, now) * this.rates.alive(adapter, this.inactiveOdds, now)
    return this.burstWeight * this.bursts.rate(adapter, now) + (1 - this.burstWeight) * lasting
  }

  /** @returns requests expected to stall: the first use within the horizon, those during its load, and those that wait */
  private expectedStall (slot: SlotView, now: number): number {
    const rate = this.rate(slot.adapter, now)
    const first = 1 - Math.exp(-rate * this.horizon)
    return (first + rate * this.loadMilliseconds + slot.waiting) / (1 + slot.otherCopies)
  }
}
