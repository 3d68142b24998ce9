import { LoadOrderingPolicy } from './load-ordering-policy.js'
import type { LoadCandidate } from './load-ordering-policy.js'

/** Weights of the factors of the urgency. */
export interface StallLoadOrderingOptions {
  /** Exponent of the number of waiting requests: 0 is first come, first served; with 1 the urgency is proportional to the number. */
  readonly waitingRequestsExponent?: number
  /** Added to the age of every load, so that a new load with many waiting requests becomes urgent at once, milliseconds. */
  readonly baseAgeMilliseconds?: number
  /** Factor on the urgency per priority level. */
  readonly priorityFactor?: number
  /** Exponent of the share used by a team that is over its share, by which the urgency is divided; 0 ignores shares. */
  readonly shareExponent?: number
}

/** Urgency grows with the age of the load, the number of waiting requests and their priority, and falls with the share that the team used. */
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
