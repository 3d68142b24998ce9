/** Measures how fast the load queue of one engine advances, to forecast the wait for a load. */

/**
 * Interval between the starts of two loads that is assumed before any was measured: the time that the orders for one load take on
 * an engine that responds at once.
 */
const INITIAL_INTERVAL_MILLISECONDS = 40
/**
 * Weight of the latest interval in the moving average of the intervals between loads. The last three loads make up half of the
 * average, which evens out slots that become free in bursts.
 */
const SMOOTHING_FACTOR = 0.2
/** Weight of the latest load in the moving average of how many loads are for requests of each priority; the last seven make up half of it. */
const SHARE_SMOOTHING = 0.1
/** Least part of the loads that is assumed to be left for a priority, so that its forecast stays a finite number while nearly all loads are for more urgent requests. */
const LEAST_OWN_SHARE = 0.05
/** Time without pending loads after which the measured interval counts 1/e: about the duration of a stream. */
const IDLE_MEMORY_MILLISECONDS = 2_000
/** Upper bound of one measured interval between loads, since an engine that was unresponsive for seconds resumes loading at its usual pace. */
const MAXIMUM_INTERVAL_MILLISECONDS = 1_000

/**
 * Average interval between the starts of consecutive loads on one engine, measured while its load queue is not empty. Used to forecast
 * the wait of requests that may join the queue.
 */
export class QueuePace {
  /** Part of the recent loads that were for requests of each priority. */
  private readonly sharesByPriority: number[] = []
  private lastLoadAt = -Infinity
  private interval = INITIAL_INTERVAL_MILLISECONDS
  /** Monotonic time since which the queue waits for its next load to start; undefined while the queue is empty. */
  private waitingSince: number | undefined

  /** Records the current length of the queue. */
  recordLength (length: number, now: number): void {
    if (length === 0) this.waitingSince = undefined
    else this.waitingSince ??= now
  }

  /**
   * Records the start of a load.
   *
   * @param remaining - number of adapters that still wait to be loaded
   * @param priority - priority of the most urgent request that waited for the load; undefined if none did
   */
  recordLoadStart (remaining: number, now: number, priority?: number): void {
    if (priority !== undefined) this.recordPriority(priority)
    this.lastLoadAt = now
    if (this.waitingSince !== undefined) {
      const sample = Math.min(MAXIMUM_INTERVAL_MILLISECONDS, now - this.waitingSince)
      this.interval += SMOOTHING_FACTOR * (sample - this.interval)
    }
    this.waitingSince = remaining > 0 ? now : undefined
  }

  /** @returns expected wait of one more load behind `length` others, milliseconds */
  waitMilliseconds (length: number, now: number): number {
    return this.waitBehind(length, length, now)
  }

  /**
   * @param lengths - number of pending loads by priority, the most urgent first; loads for which no request is about to come are left out
   * @param length - number of all pending loads
   * @returns expected wait of one more load of each priority while no slot is free, milliseconds: it goes behind those that are at least as urgent, and
   *   waits for a slot itself. Less urgent ones than those listed wait as long as the last one
   */
  waitsByPriority (lengths: readonly number[], length: number, now: number): readonly number[] {
    let ahead = 0
    let moreUrgentShare = 0
    return (lengths.length === 0 ? [0] : lengths).map((atPriority, priority) => {
      ahead += atPriority
      // Loads for more urgent requests that arrive meanwhile go before this one as well.
      const wait = (this.waitBehind(ahead, length, now) + this.recentInterval(now)) / Math.max(LEAST_OWN_SHARE, 1 - moreUrgentShare)
      moreUrgentShare += this.sharesByPriority[priority] ?? 0
      return wait
    })
  }

  /** @returns the interval between loads, which falls back to the initial one while the queue is empty: runs end meanwhile */
  private recentInterval (now: number): number {
    if (this.waitingSince !== undefined) return this.interval
    const idle = now - this.lastLoadAt
    return INITIAL_INTERVAL_MILLISECONDS + (this.interval - INITIAL_INTERVAL_MILLISECONDS) * Math.exp(-idle / IDLE_MEMORY_MILLISECONDS)
  }

  private recordPriority (priority: number): void {
    while (this.sharesByPriority.length <= priority) this.sharesByPriority.push(0)
    for (const [index, share] of this.sharesByPriority.entries()) this.sharesByPriority[index] = share + SHARE_SMOOTHING * ((index === priority ? 1 : 0) - share)
  }

  private waitBehind (ahead: number, length: number, now: number): number {
    if (length === 0) return 0
    const elapsed = this.waitingSince === undefined ? 0 : now - this.waitingSince
    return ahead * this.interval + Math.max(0, elapsed - this.interval)
  }
}
