/** The rate limit that one endpoint names in its responses, merged from what several instances have read. */

/** What one response said. */
export interface RateLimitStatement {
  /** Requests a second that the endpoint accepts from all instances together; undefined when it named no limit. */
  readonly limit: number | undefined
  /** Monotonic time at which the request was sent: the endpoint made the statement later. */
  readonly sentAt: number
  /** Monotonic time at which the response was read: the endpoint made the statement earlier. */
  readonly readAt: number
}

/** What a statement changed: the limit, only how recently it is known, or nothing, since a later statement is known. */
export type StatementEffect = 'changed' | 'confirmed' | 'outdated'

/** Duration of each step in which the rate returns after the limit has ended, in milliseconds. */
const RETURN_STEP_MILLISECONDS = 500
/** Number of steps; the rate doubles with each, and then there is no limit any more. */
const RETURN_STEPS = 8
/** Lowest rate of the first step, in requests a second, so that a limit near 0 is left as fast as any other one. */
const RETURN_RATE = 1
/** Time for which the end of a limit is remembered, in milliseconds. An older statement that arrives within this time does not bring the limit back. */
const MEMORY_MILLISECONDS = 30_000

/**
 * The limit holds until the endpoint responds without one: an instance that forgot it after some time would send a flood to an endpoint
 * that is still under stress.
 *
 * Responses arrive in another order than they were made, and some seconds late after a pause of the process. A statement replaces an earlier one only if its
 * request was sent after the other response was read. Where the order is not known, the lower limit is kept.
 */
export class NamedRateLimit {
  private latest: RateLimitStatement
  /** The limit that has ended and when; undefined while a limit holds. */
  private ended: { readonly limit: number, readonly at: number } | undefined

  /** @param first - a statement with a limit */
  constructor (first: RateLimitStatement & { readonly limit: number }) {
    this.latest = first
  }

  /** The limit as last stated; undefined when it has ended. */
  get limit (): number | undefined {
    return this.latest.limit
  }

  /** The statement that is in force. */
  get statement (): RateLimitStatement {
    return this.latest
  }

  /** Merges a statement. */
  apply (statement: RateLimitStatement): StatementEffect {
    const { latest } = this
    const isOlder = statement.readAt <= latest.sentAt
    const isNewer = statement.sentAt >= latest.readAt
    if (isOlder || (!isNewer && (statement.limit ?? Infinity) > (latest.limit ?? Infinity))) return 'outdated'
    this.latest = { limit: statement.limit, sentAt: Math.max(latest.sentAt, statement.sentAt), readAt: Math.max(latest.readAt, statement.readAt) }
    if (statement.limit === latest.limit) return 'confirmed'
    this.ended = statement.limit === undefined ? { limit: latest.limit ?? 0, at: statement.readAt } : undefined
    return 'changed'
  }

  /**
   * @param now - monotonic time
   * @returns requests a second that all instances together may send now; undefined for no limit
   */
  ratePerSecond (now: number): number | undefined {
    if (this.ended === undefined) return this.latest.limit
    const step = Math.floor(Math.max(0, now - this.ended.at) / RETURN_STEP_MILLISECONDS)
    return step >= RETURN_STEPS ? undefined : Math.max(RETURN_RATE, this.ended.limit) * 2 ** (step + 1)
  }

  /** Whether the limit ended so long ago that it need not be remembered. */
  isForgotten (now: number): boolean {
    return this.ended !== undefined && now - this.ended.at > MEMORY_MILLISECONDS
  }
}
