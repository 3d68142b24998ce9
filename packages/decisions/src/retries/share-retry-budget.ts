/** Retry budget that allows retries in proportion to recent first attempts. */
import { RetryBudget } from './retry-budget.js'

/** Size of the budget. */
export interface ShareRetryBudgetOptions {
  /** Number of retries allowed per first attempt in the window, for example 0.1. */
  readonly share?: number
  /** Number of retries allowed in a window in any case, so that a team with few requests can retry at all. */
  readonly minimumRetries?: number | (() => number)
  /** Length of the sliding window in which first attempts and retries are counted. */
  readonly windowMilliseconds?: number
}

/** How much of a budget is used. */
export interface RetryBudgetUse {
  readonly retries: number
  readonly allowed: number
}

interface Bucket {
  number: number
  attempts: number
  retries: number
}

/** Number of parts of the window that are counted separately; the oldest part is dropped as the window moves on. */
const BUCKETS = 10

/** Budget over a sliding window: a retry is allowed only while the retries in the window stay within `minimumRetries + share × first attempts`. */
export class ShareRetryBudget extends RetryBudget {
  private readonly share: number
  private readonly minimumRetries: () => number
  private readonly bucketMilliseconds: number
  private readonly buckets: Bucket[] = []

  constructor (options: ShareRetryBudgetOptions = {}) {
    super()
    this.share = options.share ?? 0.1
    const { minimumRetries = 3 } = options
    this.minimumRetries = typeof minimumRetries === 'number' ? () => minimumRetries : minimumRetries
    this.bucketMilliseconds = (options.windowMilliseconds ?? 10_000) / BUCKETS
  }

  deposit (now: number): void {
    this.bucketAt(now).attempts += 1
  }

  withdraw (now: number): boolean {
    const current = this.bucketAt(now)
    const { retries, allowed } = this.use(now)
    if (retries + 1 > allowed) return false
    current.retries += 1
    return true
  }

  /** @returns the retries in the window, and how many are allowed there */
  use (now: number): RetryBudgetUse {
    this.bucketAt(now)
    let attempts = 0
    let retries = 0
    for (const bucket of this.buckets) {
      attempts += bucket.attempts
      retries += bucket.retries
    }
    // Only first attempts add to the budget. If retries did as well, each retry would pay for the next one.
    return { retries, allowed: this.minimumRetries() + this.share * attempts }
  }

  private bucketAt (now: number): Bucket {
    const number = Math.floor(now / this.bucketMilliseconds)
    while (this.buckets[0] !== undefined && this.buckets[0].number <= number - BUCKETS) this.buckets.shift()
    const latest = this.buckets.at(-1)
    if (latest !== undefined && latest.number >= number) return latest
    const bucket = { number, attempts: 0, retries: 0 }
    this.buckets.push(bucket)
    return bucket
  }
}
