/** Ends a run at an engine when no caller waits for its response any more. */
import type { Clock, EngineClient, RequestId } from '@limpetwinch/core'

/** Pause after the first cancellation whose end was not confirmed; doubled after each further one. */
const FIRST_PAUSE_MILLISECONDS = 50
/** Upper bound of that pause, so that the adapter's pin is removed soon after the run has ended. */
const LONGEST_PAUSE_MILLISECONDS = 5_000
/** Longest time for which one connection waits for the end of a cancelled run. */
const END_WITHIN_MILLISECONDS = 5_000

/**
 * Cancels a run and waits until the engine confirms that it ended.
 *
 * A response to the cancellation does not mean that the run has ended. An engine that ends a sequence only in one of its
 * next steps, or that missed the cancellation, still uses the adapter. If the pin were removed at that response, the
 * adapter could be evicted while the run uses it. The end is therefore read from the stream of the run, on a new
 * connection because the old one may be unresponsive.
 *
 * @param client - the client of the engine
 * @param requestId - the id of the run
 * @param position - number of tokens already received; the stream is resumed after them
 * @param clock - the clock to use
 * @param giveUpAt - when to stop waiting for the confirmation, because no run lasts longer; monotonic milliseconds
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

/** @returns whether the run's stream reports that the run ended, or that the engine does not know the run */
async function hasEnded (client: EngineClient, requestId: RequestId, position: number): Promise<boolean> {
  for await (const result of client.resume(requestId, position, AbortSignal.timeout(END_WITHIN_MILLISECONDS))) {
    if (!result.ok) return result.error.details.code === 'unknown-request'
    if (result.event.kind === 'end') return true
  }
  return false
}
