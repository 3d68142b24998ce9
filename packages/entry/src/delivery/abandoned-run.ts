/** Ends a run at an engine that nobody waits for any more. */
import type { Clock, EngineClient, RequestId } from '@limpetwinch/core'

const FIRST_PAUSE_MILLISECONDS = 50
const LONGEST_PAUSE_MILLISECONDS = 5_000
/** How long one connection may wait for the end of a cancelled run. */
const END_WITHIN_MILLISECONDS = 5_000

/**
 * Cancels a run and waits until the engine has said that it ended.
 *
 * An answered cancellation is not the end: an engine that ends a sequence with its next steps, or that missed the
 * cancellation, still uses the adapter, which would be evicted under the run if its pin went with that answer. The
 * stream of the run tells its end, on a new connection since the old one may be silent.
 *
 * @param client - the engine
 * @param requestId - the run
 * @param position - tokens that are known, which are not asked for again
 * @param clock - time
 * @param giveUpAt - when no run can last any longer, monotonic milliseconds
 */
export async function endAbandonedRun (client: EngineClient, requestId: RequestId, position: number, clock: Clock, giveUpAt: number): Promise<void> {
  let pause = FIRST_PAUSE_MILLISECONDS
  while (clock.now() < giveUpAt) {
    const cancelled = await client.cancel(requestId)
    if (cancelled.isOk() && await hasEnded(client, requestId, position)) return
    await clock.sleep(pause)
    pause = Math.min(LONGEST_PAUSE_MILLISECONDS, 2 * pause)
  }
}

/** Reads the run's stream until it says that the run ended, or that the engine does not know it. */
async function hasEnded (client: EngineClient, requestId: RequestId, position: number): Promise<boolean> {
  for await (const result of client.resume(requestId, position, AbortSignal.timeout(END_WITHIN_MILLISECONDS))) {
    if (!result.ok) return result.error.details.code === 'unknown-request'
    if (result.event.kind === 'end') return true
  }
  return false
}
