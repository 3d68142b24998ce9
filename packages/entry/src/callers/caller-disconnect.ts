/** Detects that a caller closed its connection before the response was complete. */
import type { ServerResponse } from 'node:http'

/**
 * Creates a controller that is aborted when the caller disconnects before the response is complete.
 *
 * @param response - the response to the caller. Its connection may have closed already; the `close` event is emitted only
 *   once, so a listener that is added later would miss it
 * @returns the controller, which the calling code may also abort itself, for example on a timeout
 */
export function abortOnDisconnect (response: ServerResponse): AbortController {
  const cancellation = new AbortController()
  if (response.destroyed) cancellation.abort()
  response.on('close', () => { if (!response.writableFinished) cancellation.abort() })
  return cancellation
}
