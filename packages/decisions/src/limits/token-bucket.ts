/** Token bucket whose level may become negative, so that a request larger than the burst can be admitted once the bucket is full. */
export class TokenBucket {
  private level: number
  private updatedAt: number | undefined

  /**
   * @param rate - tokens added per second
   * @param burst - capacity in tokens; the bucket starts full
   */
  constructor (private rate: number, private burst: number) {
    this.level = burst
  }

  /** Changes rate and capacity. The difference between capacity and level stays the same. */
  configure (rate: number, burst: number): void {
    this.level = Math.min(burst, this.level + burst - this.burst)
    this.rate = rate
    this.burst = burst
  }

  /** @returns seconds until `amount` tokens can be taken, 0 if they can be taken now; an amount above the capacity needs a full bucket */
  secondsUntil (amount: number, now: number): number {
    this.refill(now)
    const missing = Math.min(amount, this.burst) - this.level
    return missing <= 0 ? 0 : missing / this.rate
  }

  /** Removes tokens, even if the level becomes negative. */
  take (amount: number): void {
    this.level -= amount
  }

  /** Returns tokens that were taken but not used. */
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
