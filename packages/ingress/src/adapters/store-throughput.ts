/** How many loads the weight store hands out to all engines together, by what was seen of late. */

/** Loads in a time, the older ones counting ever less. */
export class StoreThroughput {
  private loadsPerMillisecond = 0
  private lastAt = -Infinity

  /**
   * A load has come.
   *
   * @param memory - milliseconds after which what came before counts a third
   */
  record (now: number, memory: number): void {
    this.loadsPerMillisecond = this.loadsPerMillisecond * Math.exp(-Math.max(0, now - this.lastAt) / memory) + 1 / memory
    this.lastAt = now
  }

  /** @returns loads that come within the time, as of the last one */
  expectedWithin (milliseconds: number): number {
    return this.loadsPerMillisecond * milliseconds
  }
}
