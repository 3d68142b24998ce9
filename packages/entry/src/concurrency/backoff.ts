/** Waits between tries, growing and jittered, so that many instances do not try at the same moment. */

/** Bounds of the waits, milliseconds. */
export interface BackoffBounds {
  readonly first: number
  readonly largest: number
}

/** One run of tries. */
export class Backoff {
  private readonly bounds: BackoffBounds
  private readonly random: () => number
  private ceiling: number

  /**
   * @param bounds - smallest and largest ceiling
   * @param random - uniform in 0 to 1
   */
  constructor (bounds: BackoffBounds, random: () => number) {
    this.bounds = bounds
    this.random = random
    this.ceiling = bounds.first
  }

  /** @returns the next wait, milliseconds: between half the ceiling and all of it; the ceiling doubles */
  next (): number {
    const wait = this.ceiling * (1 + this.random()) / 2
    this.ceiling = Math.min(this.ceiling * 2, this.bounds.largest)
    return wait
  }

  /** Starts over after a success. */
  reset (): void {
    this.ceiling = this.bounds.first
  }
}
