/** Limits the loads of whole models. The weight store delivers only a few models per second to all engines; each instance uses an equal share. */
import type { Clock } from '@limpetwinch/core'

/** Loads that an instance may order at once after an idle period. */
const BURST = 1

/** Token bucket with this instance's share of the rate. */
export class ModelLoadRateLimiter {
  private readonly clock: Clock
  private readonly instances: () => number
  private tokens = BURST
  private refilledAt: number

  /**
   * @param clock - measures the time in which tokens are refilled
   * @param instances - returns the number of instances that share the rate
   */
  constructor (clock: Clock, instances: () => number) {
    this.clock = clock
    this.instances = instances
    this.refilledAt = clock.now()
  }

  /**
   * Takes a token if there is one.
   *
   * @param perSecond - rate of all instances together
   * @returns whether one load may be ordered now; the load is then counted
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
