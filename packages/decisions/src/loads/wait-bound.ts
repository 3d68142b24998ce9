/**
 * How long a request may wait for an adapter before it is refused.
 *
 * The load it answers: a crowd asks for rare adapters, and lines are longer than the time that is left. Refused early, a caller
 * can come back while there is time; refused late, it has none. And a caller of a stream does not wait for its deadline at
 * all: it gives up when nothing comes for some multiples of what it bears. A request with a distant deadline that waited for
 * its share of that time would be left by its caller, having been served nowhere and told nothing.
 */

/** Part of a request's time for which it waits for an engine; what is refused later helps its caller less. */
const SHARE_OF_TIME = 0.25
/** Callers give a stream up, also before its first event, after the longest of these. */
const MINIMUM_PATIENCE_MILLISECONDS = 2_000
const PATIENCE_PER_OBJECTIVE = 4
const PATIENCE_PER_GAP = 8
/** Part of the caller's patience; in the rest an engine reads the prompt, and a refused caller comes back. */
const SHARE_OF_PATIENCE = 0.6

/** What a caller expects, all in milliseconds. */
export interface CallerExpectations {
  /** From its request to its deadline. */
  readonly timeToDeadline: number
  /** From its request to the first event of an answer that is on time. */
  readonly objective: number
  /** The longest gap between two events of an answer that is on time. */
  readonly gap: number
}

/** @returns milliseconds without an event after which the caller of a stream leaves, also before the first event */
export function callerPatience ({ objective, gap }: Pick<CallerExpectations, 'objective' | 'gap'>): number {
  return Math.max(MINIMUM_PATIENCE_MILLISECONDS, PATIENCE_PER_OBJECTIVE * objective, PATIENCE_PER_GAP * gap)
}

/** @returns milliseconds after which a request that found no engine is refused; an answer may still be on time until then */
export function longestAdapterWait ({ timeToDeadline: time, objective, gap }: CallerExpectations): number {
  const patience = callerPatience({ objective, gap })
  return Math.min(time, Math.max(objective, Math.min(time * SHARE_OF_TIME, patience * SHARE_OF_PATIENCE)))
}
