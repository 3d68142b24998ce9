/** When a load that failed may be tried again. */

/** Bounds of the wait. */
export interface LoadBackoffOptions {
  readonly firstMilliseconds?: number
  readonly longestMilliseconds?: number
}

const MAXIMUM_DOUBLINGS = 20

/**
 * A load that fails holds the only full-speed place; tried again at once it would block all others.
 *
 * @param failures - failed tries in a row, 1 or more
 * @param now - monotonic milliseconds
 * @param options - bounds of the wait
 * @returns the time before which it is not to be tried, monotonic milliseconds
 */
export function notBeforeAfterFailure (failures: number, now: number, options: LoadBackoffOptions = {}): number {
  const first = options.firstMilliseconds ?? 500
  const longest = options.longestMilliseconds ?? 30_000
  const doublings = Math.min(MAXIMUM_DOUBLINGS, Math.max(0, failures - 1))
  return now + Math.min(longest, first * 2 ** doublings)
}
