/** The platform's rates, counted by call. */

/** Allows so many calls in each second. */
export class CallRateLimiter {
  private readonly perSecond: number
  private windowStart = 0
  private used = 0

  /** @param perSecond - calls allowed in one second */
  constructor (perSecond: number) {
    this.perSecond = perSecond
  }

  /**
   * @param now - monotonic milliseconds
   * @returns whether this call is within the rate
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
