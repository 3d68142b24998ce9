/** Loads ahead what was used most of late and is held nowhere, as after a cold restart or when its popularity rises. */
import { UseRates } from '../eviction/use-rates.js'
import { LoadAhead } from './load-ahead.js'

/** When a load ahead is worth it. */
export interface PopularityLoadAheadOptions {
  readonly halfLifeMilliseconds?: number
  /** Adapters looked at, those used last first. */
  readonly candidates?: number
  /** Expected uses in a minute below which nothing is loaded ahead. */
  readonly minimumUsesPerMinute?: number
}

const MINUTE_MILLISECONDS = 60_000

/** Looks only at the adapters used last, whatever the number of all. */
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
    let looked = 0
    for (const adapter of this.rates.recent()) {
      looked += 1
      if (looked > this.candidates) break
      const rate = this.rates.rate(adapter, now)
      if (rate <= bestRate || isHeld(adapter)) continue
      best = adapter
      bestRate = rate
    }
    return best
  }
}
