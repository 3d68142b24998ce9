/** How fast an engine's line moves, for the forecast of those who might join it. */

/** Between two loads before anything is learnt: the orders that one load takes, on an engine that answers at once. */
const INITIAL_INTERVAL_MILLISECONDS = 40
/** Weight of the newest interval: half of the memory is the last three loads, since slots come free in bursts. */
const SMOOTHING_FACTOR = 0.2
/** One interval counts as no longer than this: an engine that was silent for seconds takes loads again at its usual pace. */
const MAXIMUM_INTERVAL_MILLISECONDS = 1_000

/** The pace of one line. */
export class QueuePace {
  private interval = INITIAL_INTERVAL_MILLISECONDS
  /** Since when the line waits for its next load; undefined while it is empty. */
  private waitingSince: number | undefined

  /** The line is as long as this now. */
  recordLength (length: number, now: number): void {
    if (length === 0) this.waitingSince = undefined
    else this.waitingSince ??= now
  }

  /** A load began; so many adapters still wait. */
  recordLoadStart (left: number, now: number): void {
    if (this.waitingSince !== undefined) {
      const sample = Math.min(MAXIMUM_INTERVAL_MILLISECONDS, now - this.waitingSince)
      this.interval += SMOOTHING_FACTOR * (sample - this.interval)
    }
    this.waitingSince = left > 0 ? now : undefined
  }

  /** @returns how long one more load waits for its turn behind so many, milliseconds */
  waitMilliseconds (length: number, now: number): number {
    if (length === 0) return 0
    const standing = this.waitingSince === undefined ? 0 : now - this.waitingSince
    return length * this.interval + Math.max(0, standing - this.interval)
  }
}
