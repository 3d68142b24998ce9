/** Measures how fast a queue is served, to forecast the wait of its requests. */

/** Decayed time with a full batch that must be measured before the measured rate replaces the initial one. */
const MINIMUM_BUSY_MILLISECONDS = 250

/** Rate at which a queue was recently served while the batch was full, in tokens per millisecond, from exponentially decayed sums. */
export class ServiceRate {
  private tokens = 0
  private milliseconds = 0
  private updatedAt: number | undefined

  /**
   * @param initialRate - tokens per millisecond, used until enough time with a full batch was recorded
   * @param memoryMilliseconds - age at which a sample counts 1/e as much as a new one
   */
  constructor (private readonly initialRate: number, private readonly memoryMilliseconds: number) {}

  /**
   * Records tokens served since the last call.
   *
   * @param tokens - number of tokens
   * @param busy - whether the batch was full; otherwise neither the tokens nor the time since the last call count, since a batch
   *   that is half empty because adapters are missing says nothing about the rate of a full one
   * @param now - monotonic milliseconds
   */
  served (tokens: number, busy: boolean, now: number): void {
    const elapsed = this.updatedAt === undefined ? 0 : Math.max(0, now - this.updatedAt)
    this.updatedAt = now
    const factor = Math.exp(-elapsed / this.memoryMilliseconds)
    this.tokens = this.tokens * factor + (busy ? tokens : 0)
    this.milliseconds = this.milliseconds * factor + (busy ? elapsed : 0)
  }

  /** Service rate, tokens per millisecond. */
  get rate (): number {
    if (this.milliseconds < MINIMUM_BUSY_MILLISECONDS || this.tokens <= 0) return this.initialRate
    return this.tokens / this.milliseconds
  }
}
