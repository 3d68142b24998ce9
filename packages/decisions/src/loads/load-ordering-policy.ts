/** Contract of the policies that choose which pending adapter load runs next. */

/** Pending load of an adapter on one engine, shared by all requests that wait for it. */
export interface LoadCandidate {
  readonly adapter: string
  readonly team: string
  readonly endpoint: string
  /** Time at which the first request began to wait, monotonic milliseconds. */
  readonly waitingSince: number
  /** Number of requests that wait for the load. */
  readonly waitingRequests: number
  readonly highestPriority: number
  /** Recent service of the adapter's team, in tokens, divided by the team's fair share of it; above 1 the team had more than its share. */
  readonly shareUsed: number
  /** Number of consecutive failed attempts of this load. */
  readonly failures: number
  /** Time before which the load must not be attempted, monotonic milliseconds. */
  readonly notBefore: number
}

/** Ranks pending loads. The deployment runs about four loads per second, one at a time at full speed, so their order matters. */
export abstract class LoadOrderingPolicy {
  /**
   * @param load - a pending load
   * @param now - monotonic milliseconds
   * @returns the urgency of the load; the load with the highest urgency runs first
   */
  abstract urgency (load: LoadCandidate, now: number): number

  /** @returns the most urgent load that may run now, or undefined */
  next (loads: readonly LoadCandidate[], now: number): LoadCandidate | undefined {
    let best: LoadCandidate | undefined
    let bestUrgency = -Infinity
    for (const load of loads) {
      if (load.notBefore > now) continue
      const urgency = this.urgency(load, now)
      if (urgency > bestUrgency) {
        best = load
        bestUrgency = urgency
      }
    }
    return best
  }
}
