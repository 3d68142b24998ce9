/**
 * Decides whether a request whose adapter no engine holds may wait for a load, or is refused at once with the time at which it fits.
 *
 * Workload it is designed for: more adapters are asked for at once than engines have slots or the weight store delivers. Requests that are refused
 * only when their time has passed have waited for nothing, and have made others wait.
 */
import { MOST_URGENT_PRIORITY } from '../loads/load-claim.js'

/** Shortest `retry-after` of a refusal, so that no caller returns at once. */
const SHORTEST_RETURN_MILLISECONDS = 100
/** Longest `retry-after`: a forecast further ahead is of little use, and callers of streams have left by then. */
const LONGEST_RETURN_MILLISECONDS = 10_000

/** What a forecast says of a request whose adapter no engine holds, and what the request needs. All times are counted from now. */
export interface LoadAdmissionFacts {
  /** Time until the adapter could be used on the engine that would have it first, milliseconds; Infinity if none can load it. */
  readonly readyMilliseconds: number
  /** Time until the first event of the response could arrive, milliseconds. */
  readonly firstEventMilliseconds: number
  /** Whether a load could begin on some engine now, so that the request takes no room from others. */
  readonly isRoomFree: boolean
  /** Whether the load that the request needs is pending or in progress already, so that the request needs no room of its own. */
  readonly joinsLoad: boolean
  /** Time until the response is late by its latency objective, milliseconds. */
  readonly onTimeMilliseconds: number
  /** Time until the search for an engine ends without success, milliseconds. */
  readonly longestWaitMilliseconds: number
  /** Priority of the request, 0 being the most urgent. */
  readonly priority: number
  /** Time until the last caller of a more urgent refused request was told to return, milliseconds; undefined if none is expected. */
  readonly moreUrgentReturnMilliseconds: number | undefined
}

/** Why a request is refused. */
export type AdmissionRefusalReason =
  /** The adapter could be used only after the search has ended. */
  | 'no room before its search ends'
  /** More urgent requests were refused, and their callers have not returned yet. */
  | 'more urgent callers return first'
  /** The response would be late, and the room that it needs is needed by others as well. */
  | 'late while others wait'

/** The decision on one request. */
export type LoadAdmissionDecision =
  | { readonly admitted: true }
  | { readonly admitted: false, readonly reason: AdmissionRefusalReason, readonly returnMilliseconds: number }

const ADMITTED: LoadAdmissionDecision = { admitted: true }

/**
 * Decides on a request when it arrives; a request that was admitted is not judged again.
 *
 * A less urgent request may wait longer than a more urgent one, so it could be admitted while the more urgent one is refused. It is therefore also
 * refused while refused callers of more urgent requests have not returned.
 */
export function decideLoadAdmission (facts: LoadAdmissionFacts): LoadAdmissionDecision {
  const { readyMilliseconds, firstEventMilliseconds, isRoomFree, joinsLoad, onTimeMilliseconds, longestWaitMilliseconds, priority, moreUrgentReturnMilliseconds } = facts
  // Without any engine that can load the adapter, one may join at any time, and no time is known at which the request fits.
  if (isRoomFree || joinsLoad || !Number.isFinite(readyMilliseconds)) return ADMITTED
  if (readyMilliseconds > longestWaitMilliseconds) return refuse('no room before its search ends', readyMilliseconds)
  if (moreUrgentReturnMilliseconds !== undefined) return refuse('more urgent callers return first', Math.max(readyMilliseconds, moreUrgentReturnMilliseconds))
  if (priority > MOST_URGENT_PRIORITY && firstEventMilliseconds > onTimeMilliseconds) return refuse('late while others wait', readyMilliseconds)
  return ADMITTED
}

function refuse (reason: AdmissionRefusalReason, returnMilliseconds: number): LoadAdmissionDecision {
  return { admitted: false, reason, returnMilliseconds: Math.min(LONGEST_RETURN_MILLISECONDS, Math.max(SHORTEST_RETURN_MILLISECONDS, returnMilliseconds)) }
}
