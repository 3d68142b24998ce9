/** Bounds how long a request waits for its adapter, so that its caller is refused while a retry can still succeed. */

/** Part of the time until its deadline that a request may wait for an engine. A later refusal leaves the caller less time to retry. */
const SHARE_OF_TIME = 0.25
/**
 * The patience of a caller is the time without an event after which the caller abandons a stream, also before the first event. It is
 * estimated as the longest of this time and the two multiples below: of the caller's latency objective and of the longest gap
 * between two events that the caller accepts.
 */
const MINIMUM_PATIENCE_MILLISECONDS = 2_000
const PATIENCE_PER_OBJECTIVE = 4
const PATIENCE_PER_GAP = 8
/** Part of the caller's patience that a request may wait for its adapter. The rest is for prefilling the prompt, or for a retry after a refusal. */
const SHARE_OF_PATIENCE = 0.6

/** Delays of a response that its caller accepts. */
export interface CallerExpectations {
  /** Time from the arrival of the request to its deadline, milliseconds. */
  readonly timeToDeadline: number
  /** Latency objective: longest time from the request to the first event of the response stream, milliseconds. A later response is late. */
  readonly objective: number
  /** Longest time between two consecutive events of the response stream, milliseconds. With a longer gap, the response is late. */
  readonly gap: number
}

/** @returns milliseconds without an event after which the caller abandons a stream, also before the first event */
export function callerPatience ({ objective, gap }: Pick<CallerExpectations, 'objective' | 'gap'>): number {
  return Math.max(MINIMUM_PATIENCE_MILLISECONDS, PATIENCE_PER_OBJECTIVE * objective, PATIENCE_PER_GAP * gap)
}

/**
 * Computes how long a request may wait for its adapter. When many requests need rarely used adapters, the wait in load queues
 * is longer than the time until the deadline. A caller that is refused early can still retry in time; a caller that is refused late
 * cannot. The caller of a stream does not wait until its deadline but leaves after some multiple of the gap between events that the
 * caller accepts. So a request with a distant deadline would be abandoned without a response or an error if its wait were bounded
 * by its deadline alone.
 *
 * @returns milliseconds after which a request that found no engine is refused; never before a response can no longer be on time,
 *   unless the deadline is earlier
 */
export function longestAdapterWait ({ timeToDeadline, objective, gap }: CallerExpectations): number {
  const patience = callerPatience({ objective, gap })
  return Math.min(timeToDeadline, Math.max(objective, Math.min(timeToDeadline * SHARE_OF_TIME, patience * SHARE_OF_PATIENCE)))
}
