/**
 * Stops an instance gracefully: the instance leaves the rotation of the load balancer, accepts no new connections, and then finishes
 * the requests in progress.
 */
import type { Clock, Logger } from '@limpetwinch/core'
import type { TunnelServer } from '../paths/tunnel-server.js'
import type { RoutedListener } from '../relay/routed-listener.js'

/**
 * Time for the load balancer to take the instance out of rotation: the load balancer checks readiness once a second and stops sending
 * connections after two failures. Requests accepted much later might not finish within the grace period.
 */
const ROTATION_MILLISECONDS = 2_600
/** Part of the grace period reserved for removing the member object, writing the last log lines and exiting. */
const EXIT_MILLISECONDS = 700
/** Interval between checks whether requests are still in progress. */
const POLL_MILLISECONDS = 25
/** Longest time for the last responses to leave this process. */
const LAST_RESPONSES_MILLISECONDS = 150

/** The listener to stop, and how long that may take. */
export interface GracefulStopOptions {
  readonly listener: RoutedListener
  /** Carries connections of other instances, which close them once they know that this instance stops. */
  readonly tunnels: Pick<TunnelServer, 'count' | 'startStopping' | 'destroy'>
  readonly clock: Clock
  readonly logger: Logger
  readonly graceMilliseconds: number
}

/** Resolves when no request is in progress, or shortly before the grace period ends; requests that are still open then are ended. */
export async function stopGracefully ({ listener, tunnels, clock, logger, graceMilliseconds }: GracefulStopOptions): Promise<void> {
  const startedAt = clock.now()
  const deadline = startedAt + graceMilliseconds - EXIT_MILLISECONDS
  logger.info('This instance is stopping.', { inProgress: listener.requestsInProgress, tunnels: tunnels.count, graceMilliseconds })
  listener.startStopping(deadline)
  tunnels.startStopping()
  await clock.sleep(Math.min(ROTATION_MILLISECONDS, graceMilliseconds / 2))
  listener.stopAccepting()
  while (listener.requestsInProgress + tunnels.count > 0 && clock.now() < deadline) {
    await clock.sleep(POLL_MILLISECONDS)
    listener.stopAccepting()
  }
  logger.info('No more requests are served.', { cutOff: listener.requestsInProgress, tunnels: tunnels.count, milliseconds: Math.round(clock.now() - startedAt) })
  listener.endRequests()
  while (listener.requestsInProgress > 0 && clock.now() < deadline + LAST_RESPONSES_MILLISECONDS) await clock.sleep(POLL_MILLISECONDS)
  listener.destroy()
  tunnels.destroy()
}
