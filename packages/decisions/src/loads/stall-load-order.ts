/** Loads in the order of the stall they end. */
import { LoadOrder } from './load-order.js'
import type { WantedLoad } from './load-order.js'

/** How the parts of the urgency weigh. */
export interface StallLoadOrderOptions {
  /** Waiters count by this power: 0 is first come first served, 1 counts each waiter whole. */
  readonly waitersPower?: number
  /** Age that every load is given, so that a new load with many waiters need not wait, milliseconds. */
  readonly headStartMilliseconds?: number
  /** Factor for each level of priority. */
  readonly priorityFactor?: number
  /** How strongly a team over its share is put back; 0 not at all. */
  readonly sharePower?: number
}

/** Urgency: waiters × (age + head start), more for a higher priority, less for a team over its share. */
export class StallLoadOrder extends LoadOrder {
  private readonly waitersPower: number
  private readonly headStart: number
  private readonly priorityFactor: number
  private readonly sharePower: number

  constructor (options: StallLoadOrderOptions = {}) {
    super()
    this.waitersPower = options.waitersPower ?? 0.25
    this.headStart = options.headStartMilliseconds ?? 0
    this.priorityFactor = options.priorityFactor ?? 1.1
    this.sharePower = options.sharePower ?? 0.25
  }

  urgency (load: WantedLoad, now: number): number {
    const age = Math.max(0, now - load.waitingSince) + this.headStart + 1
    const waiters = Math.max(1, load.waiters) ** this.waitersPower
    const priority = this.priorityFactor ** load.highestPriority
    const share = Math.max(1, load.shareUsed) ** this.sharePower
    // A load that failed before has a poorer chance; its time goes to one that will end a stall.
    return age * waiters * priority / share / (1 + load.failures)
  }
}
