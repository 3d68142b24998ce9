/** How often each adapter was used of late; memory is bounded, idle adapters fall out. */
import { LRUCache } from 'lru-cache'

interface UseRecord {
  /** Uses, each halved with every half-life that has passed since. */
  decayedUses: number
  decayedTokens: number
  updatedAt: number
}

/** Keeps the exponential finite. */
const MAXIMUM_MISSED_USES = 500

/** Bounds and memory of {@link UseRates}. */
export interface UseRatesOptions {
  /** Time after which a use counts half, milliseconds. */
  readonly halfLifeMilliseconds?: number
  /** Adapters remembered at most. */
  readonly maximumAdapters?: number
}

/** Decayed counts of uses; each use costs the same time whatever the number of adapters. */
export class UseRates {
  private readonly halfLife: number
  private readonly records: LRUCache<string, UseRecord>

  constructor (options: UseRatesOptions = {}) {
    this.halfLife = options.halfLifeMilliseconds ?? 30_000
    this.records = new LRUCache({ max: options.maximumAdapters ?? 20_000 })
  }

  /** Counts one use. */
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

  /** @returns expected uses in a millisecond, from the decayed count */
  rate (adapter: string, now: number): number {
    const record = this.records.peek(adapter)
    if (record === undefined) return 0
    return record.decayedUses * this.decay(record, now) * Math.LN2 / this.halfLife
  }

  /**
   * The chance that the adapter is still in use. One that was used every second and then not for ten has most likely
   * lost its popularity, while its decayed count would hold its slot for minutes.
   *
   * @param adapter - the adapter
   * @param retired - odds against its being in use, before its silence is weighed
   * @param now - monotonic milliseconds
   * @returns 0 to 1; the more uses were to be expected since the last one, the less
   */
  alive (adapter: string, retired: number, now: number): number {
    const record = this.records.peek(adapter)
    if (record === undefined) return 0
    const missed = record.decayedUses * Math.LN2 / this.halfLife * Math.max(0, now - record.updatedAt)
    return 1 / (1 + retired * Math.exp(Math.min(MAXIMUM_MISSED_USES, missed)))
  }

  /** @returns expected tokens in a millisecond */
  tokenRate (adapter: string, now: number): number {
    const record = this.records.peek(adapter)
    if (record === undefined) return 0
    return record.decayedTokens * this.decay(record, now) * Math.LN2 / this.halfLife
  }

  /** @returns the adapters remembered, those used last first */
  recent (): Iterable<string> {
    return this.records.keys()
  }

  private decay (record: UseRecord, now: number): number {
    return 2 ** (-Math.max(0, now - record.updatedAt) / this.halfLife)
  }
}
