/** Estimates how often each adapter is used, for eviction and for loading adapters ahead of demand. */
import { LRUCache } from 'lru-cache'

interface UseRecord {
  /** Number of uses, where each use loses half its weight with every half-life. */
  decayedUses: number
  /** Tokens of these uses, decayed in the same way. */
  decayedTokens: number
  /** Monotonic time to which both sums are decayed, milliseconds. */
  updatedAt: number
}

/**
 * Upper bound of the number of uses that were expected since the last use of an adapter but did not come. This number is the exponent
 * in {@link UseRates.alive}; without the bound, the exponential would become infinite.
 */
const MAXIMUM_MISSED_USES = 500

/** Options of {@link UseRates}. */
export interface UseRatesOptions {
  /** Age at which a use counts half as much as a new one, milliseconds. */
  readonly halfLifeMilliseconds?: number
  /** Maximum number of tracked adapters; the least recently used is dropped first. */
  readonly maximumAdapters?: number
}

/** Recent use rate of each adapter, from exponentially decayed counts. Recording a use takes constant time for any number of adapters. */
export class UseRates {
  private readonly halfLife: number
  private readonly records: LRUCache<string, UseRecord>

  constructor (options: UseRatesOptions = {}) {
    this.halfLife = options.halfLifeMilliseconds ?? 30_000
    this.records = new LRUCache({ max: options.maximumAdapters ?? 20_000 })
  }

  /** Records one use of the adapter by a request of `tokens` tokens. */
  recordUse (adapter: string, tokens: number, now: number): void {
    const record = this.records.get(adapter)
    if (record === undefined) {
      this.records.set(adapter, { decayedUses: 1, decayedTokens: tokens, updatedAt: now })
      return
    }
    const factor = this.decay(record, now)
    record.decayedUses = record.decayedUses * factor + 1
    record.decayedTokens = record.decayedTokens * factor + tokens
    record.updatedAt = Math.max(now, record.updatedAt)
  }

  /** @returns expected uses per millisecond, from the decayed count */
  rate (adapter: string, now: number): number {
    const record = this.records.peek(adapter)
    if (record === undefined) return 0
    return record.decayedUses * this.decay(record, now) * Math.LN2 / this.halfLife
  }

  /**
   * Estimates the probability that the adapter is still in use. An adapter that was used every second and then not for ten
   * seconds is most likely out of use, while its decayed count alone would keep it in a slot for minutes.
   *
   * @param adapter - `team/adapter@version`
   * @param inactiveOdds - prior odds that the adapter is out of use, before the time since its last use is taken into account
   * @param now - monotonic milliseconds
   * @returns a probability from 0 to 1, which falls with the number of uses that were expected since the last use
   */
  alive (adapter: string, inactiveOdds: number, now: number): number {
    const record = this.records.peek(adapter)
    if (record === undefined) return 0
    const missedUses = record.decayedUses * Math.LN2 / this.halfLife * Math.max(0, now - record.updatedAt)
    return 1 / (1 + inactiveOdds * Math.exp(Math.min(MAXIMUM_MISSED_USES, missedUses)))
  }

  /** @returns expected tokens per millisecond, from the decayed count */
  tokenRate (adapter: string, now: number): number {
    const record = this.records.peek(adapter)
    if (record === undefined) return 0
    return record.decayedTokens * this.decay(record, now) * Math.LN2 / this.halfLife
  }

  /** @returns the tracked adapters, most recently used first */
  recent (): Iterable<string> {
    return this.records.keys()
  }

  private decay (record: UseRecord, now: number): number {
    return 2 ** (-Math.max(0, now - record.updatedAt) / this.halfLife)
  }
}
