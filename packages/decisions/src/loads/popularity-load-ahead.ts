/** Suggests popular adapters to load before any request waits for them. */
import { UseRates } from '../eviction/use-rates.js'
import { LoadAhead } from './load-ahead.js'

/** Options of {@link PopularityLoadAhead}. */
export interface PopularityLoadAheadOptions {
  /** Age at which a use of an adapter counts half as much as a new one in its use rate, milliseconds. */
  readonly halfLifeMilliseconds?: number
  /** Number of adapters considered, most recently used first. */
  readonly candidates?: number
  /** Expected uses per minute below which an adapter is not loaded ahead of demand. */
  readonly minimumUsesPerMinute?: number
}

const MINUTE_MILLISECONDS = 60_000

/**
 * Suggests the adapter with the highest recent use rate among those that no engine holds, as after a cold restart or when an
 * adapter becomes popular. Considers only the most recently used adapters, so the cost does not depend on the number of all adapters.
 */
export class PopularityLoadAhead extends LoadAhead {
  private readonly rates: UseRates
  private readonly candidates: number
  private readonly minimumRate: number

  constructor (options: PopularityLoadAheadOptions = {}) {
    super()
    this.candidates = options.candidates ?? 256
    this.rates = new UseRates({ halfLifeMilliseconds: options.halfLifeMilliseconds ?? 30_000, maximumAdapters: this.candidates * 4 })
    this.minimumRate = (options.minimumUsesPerMinute ?? 1) / MINUTE_MILLISECONDS
  }

  recordUse (adapter: string, now: number): void {
    this.rates.recordUse(adapter, 0, now)
  }

  suggest (isHeld: (adapter: string) => boolean, now: number): string | undefined {
    let best: string | undefined
    let bestRate = this.minimumRate
    let considered = 0
    for (const adapter of this.rates.recent()) {
      considered += 1
      if (considered > this.candidates) break
      const rate = this.rates.rate(adapter, now)
      if (rate <= bestRate || isHeld(adapter)) continue
      best = adapter
      bestRate = rate
    }
    return best
  }
}
