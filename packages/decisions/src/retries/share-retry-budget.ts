/** Retries as a share of the first attempts in a sliding window. */
import { RetryBudget } from './retry-budget.js'

/** Size of the budget. */
export interface ShareRetryBudgetOptions {
  /** Retries for each first attempt. */
  readonly share?: number
  /** Retries allowed in a window whatever the number of first attempts, so that a quiet team can retry at all. */
  readonly minimumRetries?: number | (() => number)
  readonly windowMilliseconds?: number
}

interface Bucket {
  number: number
  attempts: number
  retries: number
}

const BUCKETS = 10

/** In any window, retries are at most `least + share × first attempts`. */
export class ShareRetryBudget extends RetryBudget {
  private readonly share: number
  private readonly least: () => number
  private readonly bucketMilliseconds: number
  private readonly buckets: Bucket[] = []

  constructor (options: ShareRetryBudgetOptions = {}) {
    super()
    this.share = options.share ?? 0.1
    const { minimumRetries: least = 3 } = options
    this.least = typeof least === 'number' ? () => least : least
    this.bucketMilliseconds = (options.windowMilliseconds ?? 10_000) / BUCKETS
  }

  deposit (now: number): void {
    this.bucketAt(now).attempts += 1
  }

  withdraw (now: number): boolean {
    const current = this.bucketAt(now)
    let attempts = 0
    let retries = 0
    for (const bucket of this.buckets) {
      attempts += bucket.attempts
      retries += bucket.retries
    }
    // A retry is paid by first attempts only: were retries counted as attempts, each would pay for the next.
    if (retries + 1 > this.least() + this.share * attempts) return false
    current.retries += 1
    return true
  }

  private bucketAt (now: number): Bucket {
    const number = Math.floor(now / this.bucketMilliseconds)
    while (this.buckets[0] !== undefined && this.buckets[0].number <= number - BUCKETS) this.buckets.shift()
    const newest = this.buckets.at(-1)
    if (newest !== undefined && newest.number >= number) return newest
    const bucket = { number, attempts: 0, retries: 0 }
    this.buckets.push(bucket)
    return bucket
  }
}
