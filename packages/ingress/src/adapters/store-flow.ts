/** How many loads the weight store hands out to all engines together, by what was seen of late. */

/** Loads in a time, the older ones counting ever less. */
export class StoreFlow {
  private inMillisecond = 0
  private lastAt = -Infinity

  /**
   * A load has come.
   *
   * @param memory - milliseconds after which what came before counts a third
   */
  take (now: number, memory: number): void {
    this.inMillisecond = this.inMillisecond * Math.exp(-Math.max(0, now - this.lastAt) / memory) + 1 / memory
    this.lastAt = now
  }

  /** @returns loads that come within the time, as of the last one */
  within (milliseconds: number): number {
    return this.inMillisecond * milliseconds
  }
}
