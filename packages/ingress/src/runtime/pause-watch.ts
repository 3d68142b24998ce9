/** Notices that the process stood still, or that the time of day jumped. */
import type { Clock, Logger } from '@limpetwinch/core'

const LOOK_MILLISECONDS = 100
/** Longer than any delay of a busy event loop that is worth acting upon, shorter than any lease. */
const PAUSE_MILLISECONDS = 700

/**
 * Compares two clocks. The monotonic one stands still while the host is suspended and the wall clock does not, but
 * the wall clock also jumps when it is set. Neither alone tells a pause from a step, and acting on a step costs a
 * reading of the store, so each difference is taken for a pause.
 *
 * @param clock - both clocks
 * @param logger - hears of each pause
 * @param onPause - what is believed is old now
 * @param signal - ends the watch
 */
export async function watchForProcessPauses (clock: Clock, logger: Logger, onPause: () => void, signal: AbortSignal): Promise<void> {
  let wall = clock.wallTime()
  let monotonic = clock.now()
  while (!signal.aborted) {
    await clock.sleep(LOOK_MILLISECONDS, signal)
    const wallPassed = clock.wallTime() - wall
    const monotonicPassed = clock.now() - monotonic
    wall += wallPassed
    monotonic += monotonicPassed
    const paused = monotonicPassed > PAUSE_MILLISECONDS || Math.abs(wallPassed - monotonicPassed) > PAUSE_MILLISECONDS
    if (!paused) continue
    logger.warn('This process stood still or its clock was set.', { wallMilliseconds: Math.round(wallPassed), monotonicMilliseconds: Math.round(monotonicPassed) })
    onPause()
  }
}
