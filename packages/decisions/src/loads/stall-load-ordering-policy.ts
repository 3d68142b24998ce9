/** Orders adapter loads by how long and how many requests wait for each of them. */
import { LoadOrderingPolicy } from './load-ordering-policy.js'
import type { LoadCandidate } from './load-ordering-policy.js'

/** How much each factor counts in the urgency of a load. The load with the highest urgency runs first. */
export interface StallLoadOrderingOptions {
  /**
   * Exponent of the number of waiting requests in the urgency. With 0 the number is ignored: first come, first served. With 1 the
   * urgency is proportional to the number.
   */
  readonly waitingRequestsExponent?: number
  /**
   * Milliseconds added to the age of every load. The urgency is the age multiplied by the other factors, so with a large value a
   * new load with many waiting requests is urgent at once; with 0 every new load begins with almost no urgency.
   */
  readonly baseAgeMilliseconds?: number
  /** Factor by which the urgency grows with each level of the highest priority among the waiting requests. */
  readonly priorityFactor?: number
  /**
   * Exponent that reduces the urgency of loads for a team that got more than its fair share of the service: the urgency is divided by
   * {@link LoadCandidate.shareUsed}, if above 1, to the power of this exponent. With 0, shares are ignored.
   */
  readonly shareExponent?: number
}

/**
 * Urgency grows with the age of the load, the number of waiting requests and their priority, and falls if the team got more
 * service than its fair share.
 */
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
    const requests = Math.max(1, load.waitingRequests) ** this.waitingRequestsExponent
    const priority = this.priorityFactor ** load.highestPriority
    const share = Math.max(1, load.shareUsed) ** this.shareExponent
    // A load that failed before is less likely to succeed, so a load that is likely to end a stall goes first.
    return age * requests * priority / share / (1 + load.failures)
  }
}
