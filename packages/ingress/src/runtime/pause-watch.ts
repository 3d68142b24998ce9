/** Detects that the process was paused, such as by a suspended host, or that the wall clock was set. */
import type { Clock, Logger } from '@limpetwinch/core'

/** Interval between comparisons of the clocks. */
const CHECK_MILLISECONDS = 100
/**
 * A pause is assumed when more time than this passes between two comparisons, or when the times that passed on the two clocks differ
 * by more than this: longer than the usual delays of a busy event loop, shorter than any lease.
 */
const PAUSE_MILLISECONDS = 700

/**
 * Compares the monotonic clock with the wall clock. While the host is suspended the monotonic clock stops and the wall clock
 * does not, but the wall clock also jumps when it is set. Neither clock alone tells a pause from a jump, and treating a jump as
 * a pause costs only one read of the store, so each difference between the clocks above the limit is treated
 * as a pause.
 *
 * @param clock - provides both clocks
 * @param logger - receives a line for each pause
 * @param onPause - called after each pause, when the known state is out of date, with the time that passed, milliseconds
 * @param signal - ends the watch when it aborts
 */
export async function watchForProcessPauses (clock: Clock, logger: Logger, onPause: (milliseconds: number) => void, signal: AbortSignal): Promise<void> {
  let wall = clock.wallTime()
  let monotonic = clock.now()
  while (!signal.aborted) {
    await clock.sleep(CHECK_MILLISECONDS, signal)
    const wallPassed = clock.wallTime() - wall
    const monotonicPassed = clock.now() - monotonic
    wall += wallPassed
    monotonic += monotonicPassed
    const isPause = monotonicPassed > PAUSE_MILLISECONDS || Math.abs(wallPassed - monotonicPassed) > PAUSE_MILLISECONDS
    if (!isPause) continue
    logger.warn('This process was paused or its clock was set.', {
      wallMilliseconds: Math.round(wallPassed), monotonicMilliseconds: Math.round(monotonicPassed)
    })
    onPause(Math.max(monotonicPassed, wallPassed))
  }
}
