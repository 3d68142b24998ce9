/** Loads in the order of the stall they end. */
import { LoadOrderingPolicy } from './load-ordering-policy.js'
import type { LoadCandidate } from './load-ordering-policy.js'

/** How the parts of the urgency weigh. */
export interface StallLoadOrderingOptions {
  /** Waiters count by this power: 0 is first come first served, 1 counts each waiter whole. */
  readonly waitingRequestsExponent?: number
  /** Age that every load is given, so that a new load with many waiters need not wait, milliseconds. */
  readonly baseAgeMilliseconds?: number
  /** Factor for each level of priority. */
  readonly priorityFactor?: number
  /** How strongly a team over its share is put back; 0 not at all. */
  readonly shareExponent?: number
}

/** Urgency: waiters × (age + head start), more for a higher priority, less for a team over its share. */
export class StallLoadOrderingPolicy extends LoadOrderingPolicy {
  private readonly waitingRequestsExponent: number
  private readonly baseAge: number
  private readonly priorityFactor: number
  private readonly shareExponent: number

  constructor (options: StallLoadOrderingOptions = {}) {
    super()
    this.waitingRequestsExponent = options.waitingRequestsExponent ?? 0.25
    this.baseAge = options.baseAgeMilliseconds ?? 0
    this.priorityFactor = options.priorityFactor ?? 1.1
    this.shareExponent = options.shareExponent ?? 0.25
  }

  urgency (load: LoadCandidate, now: number): number {
    const age = Math.max(0, now - load.waitingSince) + this.baseAge + 1
    const waiters = Math.max(1, load.waitingRequests) ** this.waitingRequestsExponent
    const priority = this.priorityFactor ** load.highestPriority
    const share = Math.max(1, load.shareUsed) ** this.shareExponent
    // A load that failed before has a poorer chance; its time goes to one that will end a stall.
    return age * waiters * priority / share / (1 + load.failures)
  }
}
