/** Bounds one HTTP call in time and in interim responses, and recognises responses without an end by their errors. */
import { setMaxListeners } from 'node:events'
import { OversizedResponseError } from './bounded-text.js'

/** Most interim responses (status 1xx) before the response to one call. Servers send one or two, such as 100 or 103. */
const MAXIMUM_INTERIM_RESPONSES = 16
/** undici's error for headers or trailers beyond the size that it accepts. */
const HEADERS_OVERFLOW = 'UND_ERR_HEADERS_OVERFLOW'

/** The error of a call that was answered with interim responses only. */
export class InterimResponsesError extends Error {
  constructor () {
    super(`more than ${MAXIMUM_INTERIM_RESPONSES} interim responses`)
  }
}

/** Options of undici's `request` that bound a call. */
export interface BoundedCall {
  readonly signal: AbortSignal
  readonly onInfo: () => void
}

/**
 * The timer keeps its controller alive. `AbortSignal.any` holds its sources weakly, so that a timeout signal that is only a source of another signal
 * may be collected before it fires, and a call without an answer would never end.
 *
 * @param milliseconds - timeout of the whole call, with its body
 * @param cancel - cancels the call earlier
 * @returns the options of the call
 */
export function boundedCall (milliseconds: number, cancel?: AbortSignal): BoundedCall {
  const controller = new AbortController()
  const cancelled = (): void => controller.abort(cancel?.reason)
  // All calls of an instance may share the signal.
  if (cancel !== undefined) setMaxListeners(0, cancel)
  cancel?.addEventListener('abort', cancelled, { once: true })
  if (cancel?.aborted === true) cancelled()
  setTimeout(() => {
    cancel?.removeEventListener('abort', cancelled)
    controller.abort(new DOMException('The operation was aborted due to timeout', 'TimeoutError'))
  }, milliseconds).unref()
  let count = 0
  return {
    signal: controller.signal,
    onInfo: () => {
      count += 1
      if (count > MAXIMUM_INTERIM_RESPONSES) controller.abort(new InterimResponsesError())
    }
  }
}

/** @returns whether the error of a call says that its response had no end: a head, a body or interim responses beyond their bounds */
export function isUnboundedResponse (cause: unknown): boolean {
  if (cause instanceof OversizedResponseError || cause instanceof InterimResponsesError) return true
  return cause instanceof Error && ((cause as NodeJS.ErrnoException).code === HEADERS_OVERFLOW || isUnboundedResponse(cause.cause))
}
