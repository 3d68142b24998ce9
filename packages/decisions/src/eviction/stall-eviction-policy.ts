/** Eviction policy that evicts the adapter whose absence would make the fewest requests wait. */
import { EvictionPolicy } from './eviction-policy.js'
import type { SlotView } from './eviction-policy.js'
import { UseRates } from './use-rates.js'

/** Parameters of the expected stall, the number of requests that would wait for an adapter if it were evicted. */
export interface StallEvictionOptions {
  /** Half-life of the short-term use rate, which reflects bursts, milliseconds. */
  readonly burstHalfLifeMilliseconds?: number
  /** Half-life of the long-term use rate, which reflects lasting popularity, milliseconds. */
  readonly halfLifeMilliseconds?: number
  /** Weight of the short-term use rate in the combined use rate, 0 to 1; the weight of the long-term rate is 1 minus this value. */
  readonly burstWeight?: number
  /** Prior odds that an adapter is out of use, before the time since its last use is taken into account. */
  readonly inactiveOdds?: number
  /** Period after an eviction, milliseconds. If the evicted adapter is next used within it, that use counts as a stalled request. */
  readonly horizonMilliseconds?: number
  /** Maximum number of adapters whose use is tracked. */
  readonly rememberedAdapters?: number
  /** Time after the load of an adapter during which the adapter is not evicted while requests wait for it, milliseconds. */
  readonly minimumResidenceMilliseconds?: number
  /** Adapter loads per second of the whole deployment. */
  readonly loadsPerSecond?: number
}

/**
 * Added to the expected stall of a pinned adapter, in requests. A pinned adapter can be evicted only after the running requests that
 * use it have ended. The request whose adapter is to be loaded into the slot waits for that as well, so it counts as one more
 * stalled request.
 */
const PINNED_STALL = 1

/**
 * Evicts the unpinned adapter with the smallest expected stall. The expected stall is the number of requests that would wait for the
 * evicted adapter to be loaded again: the probability of a next request soon, plus the requests expected during the reload, plus
 * those that wait already. For a minimum time after a load, the loaded adapter is not evicted while requests wait for it; these
 * requests may still wait for a place in the batch.
 */
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
    const maximumAdapters = options.rememberedAdapters ?? 20_000
    this.bursts = new UseRates({ halfLifeMilliseconds: options.burstHalfLifeMilliseconds ?? 5_000, maximumAdapters })
    this.rates = new UseRates({ halfLifeMilliseconds: options.halfLifeMilliseconds ?? 120_000, maximumAdapters })
  }

  recordUse (adapter: string, _team: string, tokens: number, now: number): void {
    this.bursts.recordUse(adapter, tokens, now)
    this.rates.recordUse(adapter, tokens, now)
  }

  victim (slots: readonly SlotView[], incoming: string, now: number): string | undefined {
    let victim: string | undefined
    let smallestStall = Infinity
    for (const slot of slots) {
      // A running request reads a pinned adapter. If it were evicted, the rest of the response would come from another adapter.
      if (slot.pins > 0 || slot.adapter === incoming) continue
      // If the working set is larger than all slots, evicting adapters that requests wait for would reload the same adapters
      // again and again and serve nobody. So a loaded adapter stays until its waiting requests are served, but only for a
      // limited time: in an overload every loaded adapter has waiting requests, and requests for other adapters would never be served.
      if (slot.waiting > 0 && now < slot.loadedAt + this.minimumResidence) continue
      const stall = this.expectedStall(slot, now)
      if (stall >= smallestStall) continue
      smallestStall = stall
      victim = slot.adapter
    }
    return victim
  }

  override cost (slots: readonly SlotView[], pendingLoads: number, now: number): number {
    const stalls = slots.map((slot) => this.expectedStall(slot, now) + (slot.pins > 0 ? PINNED_STALL : 0))
    stalls.sort((left, right) => left - right)
    // Each pending load is assumed to take the cheapest slot left. Otherwise an engine with one cheap slot would attract all loads.
    return stalls[pendingLoads] ?? Infinity
  }

  /**
   * Computes the use rate of an adapter, in uses per millisecond, as the weighted mean of a rate with a short half-life and one with
   * a long half-life. One half-life does not fit both cases: with a long half-life, an adapter used a moment ago is evicted
   * before its second use; with a short one, an adapter used steadily but rarely is evicted for one that was used once.
   */
  private rate (adapter: string, now: number): number {
    const longTerm = this.rates.rate(adapter, now) * this.rates.alive(adapter, this.inactiveOdds, now)
    return this.burstWeight * this.bursts.rate(adapter, now) + (1 - this.burstWeight) * longTerm
  }

  /**
   * @returns number of requests expected to stall if the adapter is evicted: the probability of a use within the horizon, the uses
   *   expected during the reload, and the requests that wait now; the sum is divided by the number
   *   of copies in the data centre, including this one
   */
  private expectedStall (slot: SlotView, now: number): number {
    const rate = this.rate(slot.adapter, now)
    const firstUse = 1 - Math.exp(-rate * this.horizon)
    return (firstUse + rate * this.loadMilliseconds + slot.waiting) / (1 + slot.otherCopies)
  }
}
