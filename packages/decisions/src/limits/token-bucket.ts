/** A token bucket that may go into debt for one large request. */

/** Refills at a rate up to a burst. */
export class TokenBucket {
  private level: number
  private updatedAt: number | undefined

  /**
   * @param rate - refill for each second
   * @param burst - the most it holds
   */
  constructor (private rate: number, private burst: number) {
    this.level = burst
  }

  /** Takes up another rate; what was spent stays spent. */
  configure (rate: number, burst: number): void {
    this.level = Math.min(burst, this.level + burst - this.burst)
    this.rate = rate
    this.burst = burst
  }

  /** @returns seconds until `amount` could be taken, 0 when it could be now; an amount above the burst waits for a full bucket */
  secondsUntil (amount: number, now: number): number {
    this.refill(now)
    const missing = Math.min(amount, this.burst) - this.level
    return missing <= 0 ? 0 : missing / this.rate
  }

  /** Takes an amount, if need be into debt. */
  take (amount: number): void {
    this.level -= amount
  }

  /** Gives back what was taken and not used. */
  refund (amount: number, now: number): void {
    this.refill(now)
    this.level = Math.min(this.burst, this.level + amount)
  }

  private refill (now: number): void {
    const elapsed = this.updatedAt === undefined ? 0 : Math.max(0, now - this.updatedAt)
    this.level = Math.min(this.burst, this.level + elapsed * this.rate / 1_000)
    this.updatedAt = Math.max(now, this.updatedAt ?? now)
  }
}
