/**
 * Order of requests that compete for the same room, such as a load or a place in a queue: the more urgent one first, then the team that is
 * furthest below its share of the service.
 */

/** Priority of the most urgent requests, and of requests that state none. */
export const MOST_URGENT_PRIORITY = 0
/** Share assumed for a request whose team is not known to use more or less than its share. */
export const UNKNOWN_SHARE = 1
/**
 * Factor between two steps of the used share. Teams within one step count as equal, since the shares are measured and some hundred
 * milliseconds old; without steps, the order between two nearly equal teams would disregard how many requests a load serves.
 */
const SHARE_STEP = 2
/** Bounds of the used share; beyond them, all teams count alike. */
const LOWEST_SHARE = 0.25
const HIGHEST_SHARE = 16

/** What a request's claim to room rests on. */
export interface LoadClaim {
  /** Priority of the request, 0 being the most urgent. */
  readonly priority: number
  /** Recent service of the request's team divided by its share; 1 is fair, above 1 the team had more than its share. */
  readonly shareUsed: number
}

/** @returns a negative number if the first claim goes before the second, a positive one if it goes after, and 0 if they are equal */
export function compareClaims (one: LoadClaim, other: LoadClaim): number {
  if (one.priority !== other.priority) return one.priority < other.priority ? -1 : 1
  return shareStep(one.shareUsed) - shareStep(other.shareUsed)
}

/** @returns the claim that goes first */
export function strongerClaim (one: LoadClaim, other: LoadClaim): LoadClaim {
  return compareClaims(other, one) < 0 ? other : one
}

function shareStep (shareUsed: number): number {
  const bounded = Math.min(HIGHEST_SHARE, Math.max(LOWEST_SHARE, shareUsed))
  return Math.round(Math.log(bounded) / Math.log(SHARE_STEP))
}
