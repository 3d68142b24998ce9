/** Retry budget whose first attempts pay for retries within a short time only, so that the budgets of many instances add up. */
import { RetryBudget } from './retry-budget.js'

/** Size of the budget. */
export interface ExpiringRetryBudgetOptions {
  /** Number of retries that each first attempt pays for, for example 0.1. */
  readonly share: number
  /** Time after a first attempt in which it pays for retries. */
  readonly lifetimeMilliseconds: number
  /** @returns number of retries allowed in a window in addition, whatever the number of first attempts */
  readonly slack: (now: number) => number
  /** Length of the sliding window for which the slack is given. */
  readonly windowMilliseconds: number
}

/** How much of a budget is left. */
export interface ExpiringRetryBudgetUse {
  /** Retries that recent first attempts still pay for. */
  readonly tokens: number
  /** Retries of the slack that are used in the window. */
  readonly slackUsed: number
  readonly slack: number
}

/** Retries, or parts of one, that were deposited or used at a time. */
interface Amount {
  readonly at: number
  retries: number
}

/** First attempts within this time are counted together, in milliseconds. */
const COUNTED_TOGETHER_MILLISECONDS = 50
/** Tokens that do not expire. An instance with few requests would otherwise never hold the token of a whole retry. */
const LASTING_TOKENS = 1
/** Amounts below this are errors of rounding. */
const NEGLIGIBLE = 1e-9

/**
 * Each first attempt deposits a part of a token, which expires. A retry takes one token; what is missing is taken from the slack of the
 * window. Since no first attempt pays twice or much later, the retries of many budgets together stay within their share of the first
 * attempts of about one window, even when callers move from one instance to another or processes start again.
 */
export class ExpiringRetryBudget extends RetryBudget {
  private readonly options: ExpiringRetryBudgetOptions
  /** Deposited tokens that were not taken, the oldest first. */
  private deposits: Amount[] = []
  /** Slack that was used in the window. */
  private slackUses: Amount[] = []

  constructor (options: ExpiringRetryBudgetOptions) {
    super()
    this.options = options
  }

  deposit (now: number): void {
    const { share } = this.options
    const latest = this.deposits.at(-1)
    if (latest !== undefined && now - latest.at < COUNTED_TOGETHER_MILLISECONDS) {
      latest.retries += share
      return
    }
    this.expire(now)
    this.deposits.push({ at: now, retries: share })
  }

  withdraw (now: number): boolean {
    const { tokens, slackUsed, slack } = this.use(now)
    const missing = Math.max(0, 1 - tokens)
    if (missing > 0 && slackUsed + missing > slack) return false
    this.takeTokens(Math.min(1, tokens))
    if (missing > 0) this.slackUses.push({ at: now, retries: missing })
    return true
  }

  /** @returns what is left of the budget */
  use (now: number): ExpiringRetryBudgetUse {
    this.expire(now)
    return { tokens: sum(this.deposits), slackUsed: sum(this.slackUses), slack: this.options.slack(now) }
  }

  private expire (now: number): void {
    const { lifetimeMilliseconds, windowMilliseconds } = this.options
    this.slackUses = this.slackUses.filter(({ at }) => at >= now - windowMilliseconds)
    let left = sum(this.deposits)
    this.deposits = this.deposits.filter(({ at, retries }) => {
      if (at >= now - lifetimeMilliseconds || left - retries < LASTING_TOKENS) return true
      left -= retries
      return false
    })
  }

  private takeTokens (tokens: number): void {
    let missing = tokens
    for (const deposit of this.deposits) {
      const taken = Math.min(missing, deposit.retries)
      deposit.retries -= taken
      missing -= taken
    }
    this.deposits = this.deposits.filter(({ retries }) => retries > NEGLIGIBLE)
  }
}

function sum (amounts: readonly Amount[]): number {
  return amounts.reduce((total, { retries }) => total + retries, 0)
}
