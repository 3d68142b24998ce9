const MINIMUM_BUSY_MILLISECONDS = 250

/** Recent service rate of a queue in tokens per millisecond, from exponentially decayed sums. */
export class ServiceRate {
  private tokens = 0
  private milliseconds = 0
  private updatedAt: number | undefined

  /**
   * @param initialRate - tokens per millisecond, used until enough busy time was recorded
   * @param memoryMilliseconds - time after which a sample has 1/e of its weight
   */
  constructor (private readonly initialRate: number, private readonly memoryMilliseconds: number) {}

  /**
   * Records tokens served since the last call.
   *
   * @param tokens - number of tokens
   * @param busy - whether the batch was full; otherwise neither tokens nor time count, since a batch that is half empty because
   *   adapters are missing says nothing about the rate of a full one
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
