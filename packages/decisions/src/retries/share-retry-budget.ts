/** Retry budget that allows retries in proportion to recent first attempts. */
import { RetryBudget } from './retry-budget.js'

/** Size of the budget. */
export interface ShareRetryBudgetOptions {
  /** Number of retries allowed per first attempt in the window, for example 0.1. */
  readonly share?: number
  /** Number of retries allowed in a window in any case, so that a team with few requests can retry at all. */
  readonly minimumRetries?: number
  /** Length of the sliding window in which first attempts and retries are counted. */
  readonly windowMilliseconds?: number
}

/** First attempts that were made within a short time. */
interface AttemptCount {
  readonly since: number
  attempts: number
}

/** Number of parts of the window in which first attempts are counted. */
const COUNTS = 100

/** Budget over a sliding window: a retry is allowed only while the retries in the window stay within `minimumRetries + share × first attempts`. */
export class ShareRetryBudget extends RetryBudget {
  private readonly share: number
  private readonly minimumRetries: number
  private readonly windowMilliseconds: number
  private counts: AttemptCount[] = []
  /** Times of the retries in the window. A time for each, since retries that leave the window too soon would be allowed once more within it. */
  private retriedAt: number[] = []

  constructor (options: ShareRetryBudgetOptions = {}) {
    super()
    this.share = options.share ?? 0.1
    this.minimumRetries = options.minimumRetries ?? 3
    this.windowMilliseconds = options.windowMilliseconds ?? 10_000
  }

  deposit (now: number): void {
    const latest = this.counts.at(-1)
    if (latest !== undefined && now - latest.since < this.windowMilliseconds / COUNTS) {
      latest.attempts += 1
      return
    }
    this.forgetOld(now)
    this.counts.push({ since: now, attempts: 1 })
  }

  withdraw (now: number): boolean {
    this.forgetOld(now)
    const attempts = this.counts.reduce((sum, each) => sum + each.attempts, 0)
    // Only first attempts add to the budget. If retries did as well, each retry would pay for the next one.
    if (this.retriedAt.length + 1 > this.minimumRetries + this.share * attempts) return false
    this.retriedAt.push(now)
    return true
  }

  private forgetOld (now: number): void {
    const from = now - this.windowMilliseconds
    this.counts = this.counts.filter(({ since }) => since > from)
    this.retriedAt = this.retriedAt.filter((at) => at >= from)
  }
}
