/** Limits the rate of calls to the platform. */

/** Allows a number of calls in each window of one second. */
export class CallRateLimiter {
  private readonly perSecond: number
  private windowStart = 0
  private used = 0

  /** @param perSecond - maximum number of calls per second */
  constructor (perSecond: number) {
    this.perSecond = perSecond
  }

  /**
   * Counts one call.
   *
   * @param now - monotonic time in milliseconds
   * @returns whether the call is within the limit
   */
  take (now: number): boolean {
    if (now - this.windowStart >= 1000) {
      this.windowStart = now
      this.used = 0
    }
    this.used += 1
    return this.used <= this.perSecond
  }
}
