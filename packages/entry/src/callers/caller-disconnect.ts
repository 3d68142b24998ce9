/** Tells that a caller has closed its connection before its answer was whole. */
import type { ServerResponse } from 'node:http'

/**
 * @param response - the caller's connection, which may have closed already: that is told once, and not to whoever listens
 *   after a wait
 * @returns aborted by the caller's leaving, or by whoever else gives the request up
 */
export function abortOnDisconnect (response: ServerResponse): AbortController {
  const gone = new AbortController()
  if (response.destroyed) gone.abort()
  response.on('close', () => { if (!response.writableFinished) gone.abort() })
  return gone
}
