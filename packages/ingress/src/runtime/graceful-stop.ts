/** The end of an instance: out of rotation first, then no new connections, then every request to its end. */
import type { Clock, Logger } from '@limpetwinch/core'
import type { RoutedListener } from '../relay/routed-listener.js'

/**
 * The balancer asks once a second and takes an instance out after two refusals; connections come until then. What is
 * taken much later may not end within the grace.
 */
const ROTATION_MILLISECONDS = 2_600
/** Left of the grace for the last words: the member object, log lines, the exit itself. */
const LAST_WORDS_MILLISECONDS = 700
const LOOK_MILLISECONDS = 25

/** What is stopped, and how long it may take. */
export interface GracefulStopOptions {
  readonly listener: RoutedListener
  readonly clock: Clock
  readonly logger: Logger
  readonly graceMilliseconds: number
}

/** Resolves when nothing runs any more, or when the grace is almost over. */
export async function stopGracefully ({ listener, clock, logger, graceMilliseconds }: GracefulStopOptions): Promise<void> {
  const startedAt = clock.now()
  const lastMoment = startedAt + graceMilliseconds - LAST_WORDS_MILLISECONDS
  logger.info('This instance stops.', { inProgress: listener.requestsInProgress, graceMilliseconds })
  listener.startStopping()
  await clock.sleep(Math.min(ROTATION_MILLISECONDS, graceMilliseconds / 2))
  listener.stopAccepting()
  while (listener.requestsInProgress > 0 && clock.now() < lastMoment) {
    await clock.sleep(LOOK_MILLISECONDS)
    listener.stopAccepting()
  }
  logger.info('No more requests are served.', { cutOff: listener.requestsInProgress, milliseconds: Math.round(clock.now() - startedAt) })
  listener.destroy()
}
