/** Exponential backoff: increasing waits between attempts, with random jitter so that many instances do not retry at the same moment. */

/** Bounds of the ceiling in milliseconds. The ceiling is the longest that the next wait can be. */
export interface BackoffBounds {
  /** The ceiling of the first wait. */
  readonly first: number
  /** The highest value to which the ceiling grows. */
  readonly largest: number
}

/** Computes the waits of one series of attempts. */
export class Backoff {
  private readonly bounds: BackoffBounds
  private readonly random: () => number
  private ceiling: number

  /**
   * @param bounds - first and largest ceiling of the waits
   * @param random - returns uniformly distributed numbers from 0 to 1
   */
  constructor (bounds: BackoffBounds, random: () => number) {
    this.bounds = bounds
    this.random = random
    this.ceiling = bounds.first
  }

  /** @returns the next wait in milliseconds, between half the ceiling and the ceiling; the ceiling then doubles, up to the largest ceiling */
  next (): number {
    const wait = this.ceiling * (1 + this.random()) / 2
    this.ceiling = Math.min(this.ceiling * 2, this.bounds.largest)
    return wait
  }

  /** Resets the ceiling after a successful attempt. */
  reset (): void {
    this.ceiling = this.bounds.first
  }
}
