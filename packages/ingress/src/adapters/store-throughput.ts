/** Estimates the rate of completed loads from the weight store, over all engines. */

/** Exponentially decaying rate of completed loads. */
export class StoreThroughput {
  private loadsPerMillisecond = 0
  private lastAt = -Infinity

  /**
   * Counts a completed load.
   *
   * @param memory - time constant in milliseconds, after which earlier loads count about a third
   */
  record (now: number, memory: number): void {
    this.loadsPerMillisecond = this.loadsPerMillisecond * Math.exp(-Math.max(0, now - this.lastAt) / memory) + 1 / memory
    this.lastAt = now
  }

  /** @returns the number of loads expected to complete within this time, at the rate as of the last load */
  expectedWithin (milliseconds: number): number {
    return this.loadsPerMillisecond * milliseconds
  }
}
