/** Which load goes next: for the deployment about four a second run, one at a time at full speed. */

/** A load that is wanted; all requests for one adapter on one engine share it. */
export interface LoadCandidate {
  readonly adapter: string
  readonly team: string
  readonly endpoint: string
  /** When its first request began to wait, monotonic milliseconds. */
  readonly waitingSince: number
  readonly waitingRequests: number
  readonly highestPriority: number
  /** The team's service so far over its share: above 1 it had more than its share. */
  readonly shareUsed: number
  /** Failed tries in a row. */
  readonly failures: number
  /** Not to be tried before, monotonic milliseconds. */
  readonly notBefore: number
}

/** Ranks wanted loads. */
export abstract class LoadOrderingPolicy {
  /**
   * @param load - a wanted load
   * @param now - monotonic milliseconds
   * @returns its urgency; higher goes first
   */
  abstract urgency (load: LoadCandidate, now: number): number

  /** @returns the load to run next, or undefined when none may run yet */
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
