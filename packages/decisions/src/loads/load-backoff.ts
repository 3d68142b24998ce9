/** Delays the retry of an adapter load that failed. */

/** Bounds of the delay before a failed load is retried. */
export interface LoadBackoffOptions {
  /** Delay after the first failure; doubled with each further consecutive failure. */
  readonly firstMilliseconds?: number
  /** Upper bound of the delay. */
  readonly longestMilliseconds?: number
}

/** Upper bound of the exponent of 2, so that the delay stays a finite number after any number of failures. */
const MAXIMUM_DOUBLINGS = 20

/**
 * Computes the exponential backoff of a failed load. Loads run one at a time at full speed, so a load that is retried at once and
 * fails again would block all others.
 *
 * @param failures - number of consecutive failed attempts, at least 1
 * @param now - monotonic milliseconds
 * @param options - bounds of the delay
 * @returns the time before which the load must not be retried, monotonic milliseconds
 */
export function notBeforeAfterFailure (failures: number, now: number, options: LoadBackoffOptions = {}): number {
  const first = options.firstMilliseconds ?? 500
  const longest = options.longestMilliseconds ?? 30_000
  const doublings = Math.min(MAXIMUM_DOUBLINGS, Math.max(0, failures - 1))
  return now + Math.min(longest, first * 2 ** doublings)
}
