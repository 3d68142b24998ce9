/** Finds out from log lines how and why requests ended. */
import type { LogLine } from '../logs/log-line.js'

/**
 * How a request ended, according to the instance that handled the request. `answered`: the response was complete. `refused`: the instance
 * refused the request. `cut`: a response had begun and was truncated. `left`: the caller disconnected before the response was complete.
 */
export type Ending = 'answered' | 'refused' | 'cut' | 'left'

const ENDINGS: ReadonlyMap<string, Ending> = new Map([
  ['A request was answered.', 'answered'],
  ['A request was refused.', 'refused'],
  ['An answer was cut.', 'cut'],
  ['A caller left before its answer was whole.', 'left']
])

/** @returns how the request of this log line ended; undefined when the line does not report an end */
export function endingOf ({ message }: LogLine): Ending | undefined {
  return ENDINGS.get(message)
}

/** @returns why a request ended without a complete response */
export function reasonOf ({ fields }: LogLine): string {
  const { reason, error, status } = fields
  // When an endpoint's error response was passed on to the caller, the log line has neither `reason` nor `error`.
  return String(reason ?? error ?? (status === undefined ? 'the caller left' : `status ${String(status)}`))
}
