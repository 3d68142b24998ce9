/** Waits that grow with each failure and differ between instances. */

const FIRST_MILLISECONDS = 100
const LONGEST_MILLISECONDS = 5_000

/**
 * Full jitter: after an outage that all instances saw at once, waits of equal length would bring them all back in the
 * same moment, again and again. A wait drawn from the whole span spreads them over it.
 */
export class BackOff {
  private failures = 0
  private readonly random: () => number

  /** @param random - from 0 to below 1 */
  constructor (random: () => number) {
    this.random = random
  }

  /** @returns milliseconds to wait after one more failure */
  next (): number {
    const span = Math.min(LONGEST_MILLISECONDS, FIRST_MILLISECONDS * 2 ** this.failures)
    this.failures += 1
    return span * (0.1 + 0.9 * this.random())
  }

  /** Starts from the shortest wait again. */
  reset (): void {
    this.failures = 0
  }
}
