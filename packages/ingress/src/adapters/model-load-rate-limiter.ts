/** Whole models come from a store that hands out few a second to all engines together; each instance takes its share. */
import type { Clock } from '@limpetwinch/core'

/** Loads that an instance may order at once after a pause. */
const BURST = 1

/** This instance's share of the rate. */
export class ModelLoadRateLimiter {
  private readonly clock: Clock
  private readonly instances: () => number
  private tokens = BURST
  private refilledAt: number

  /**
   * @param clock - for the rate
   * @param instances - how many share the rate
   */
  constructor (clock: Clock, instances: () => number) {
    this.clock = clock
    this.instances = instances
    this.refilledAt = clock.now()
  }

  /**
   * @param perSecond - the rate of all instances together
   * @returns whether one load may be ordered now; it is then counted
   */
  tryTake (perSecond: number): boolean {
    const now = this.clock.now()
    const share = perSecond / this.instances()
    this.tokens = Math.min(BURST, this.tokens + (now - this.refilledAt) / 1_000 * share)
    this.refilledAt = now
    if (this.tokens < 1) return false
    this.tokens -= 1
    return true
  }
}
