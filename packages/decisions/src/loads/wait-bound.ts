/** Part of the time to its deadline that a request may wait for an engine. A later refusal leaves its caller less time to retry. */
const SHARE_OF_TIME = 0.25
/**
 * A caller abandons a stream, also before its first event, after the longest of this time and the two multiples below of its
 * latency objective and of its longest accepted gap.
 */
const MINIMUM_PATIENCE_MILLISECONDS = 2_000
const PATIENCE_PER_OBJECTIVE = 4
const PATIENCE_PER_GAP = 8
/** Part of the caller's patience that a request may wait. The rest is for prefilling the prompt, or for a retry after a refusal. */
const SHARE_OF_PATIENCE = 0.6

/** What a caller accepts, all in milliseconds. */
export interface CallerExpectations {
  /** Time from the request to its deadline. */
  readonly timeToDeadline: number
  /** Latency objective: time from the request to the first event of a response that is on time. */
  readonly objective: number
  /** Longest gap between two events of a response that is on time. */
  readonly gap: number
}

/** @returns milliseconds without an event after which the caller abandons a stream, also before the first event */
export function callerPatience ({ objective, gap }: Pick<CallerExpectations, 'objective' | 'gap'>): number {
  return Math.max(MINIMUM_PATIENCE_MILLISECONDS, PATIENCE_PER_OBJECTIVE * objective, PATIENCE_PER_GAP * gap)
}

/**
 * Computes how long a request may wait for its adapter. When many requests need rarely used adapters, load queues are longer than
 * the time left. A caller that is refused early can still retry in time; a caller that is refused late cannot. The caller of a stream
 * does not wait until its deadline but leaves after some multiple of the gap that it accepts. So a request with a distant deadline
 * would be abandoned without a response or an error if its wait were bounded by its deadline alone.
 *
 * @returns milliseconds after which a request that found no engine is refused; never before a response can no longer be on time,
 *   unless the deadline is earlier
 */
export function longestAdapterWait ({ timeToDeadline, objective, gap }: CallerExpectations): number {
  const patience = callerPatience({ objective, gap })
  return Math.min(timeToDeadline, Math.max(objective, Math.min(timeToDeadline * SHARE_OF_TIME, patience * SHARE_OF_PATIENCE)))
}
