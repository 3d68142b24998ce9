/** How fast a queue is served, from what was served of late. */

const MINIMUM_BUSY_MILLISECONDS = 250

/** Decayed rate of service, tokens in a millisecond. */
export class ServiceRate {
  private tokens = 0
  private milliseconds = 0
  private updatedAt: number | undefined

  /**
   * @param initialRate - tokens in a millisecond, believed until something was served
   * @param memoryMilliseconds - busy time after which what was seen counts 1/e
   */
  constructor (private readonly initialRate: number, private readonly memoryMilliseconds: number) {}

  /**
   * Tells of tokens served since the last call. Time in which the engine had room (`busy` false) does not count: a batch
   * that is half empty because adapters are missing says nothing of how fast a full one is.
   */
  served (tokens: number, busy: boolean, now: number): void {
    const elapsed = this.updatedAt === undefined ? 0 : Math.max(0, now - this.updatedAt)
    this.updatedAt = now
    const factor = Math.exp(-elapsed / this.memoryMilliseconds)
    this.tokens = this.tokens * factor + (busy ? tokens : 0)
    this.milliseconds = this.milliseconds * factor + (busy ? elapsed : 0)
  }

  /** @returns tokens in a millisecond */
  get rate (): number {
    if (this.milliseconds < MINIMUM_BUSY_MILLISECONDS || this.tokens <= 0) return this.initialRate
    return this.tokens / this.milliseconds
  }
}
