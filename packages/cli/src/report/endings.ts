/** How requests ended, as the lines of their instances say. */
import type { LogLine } from '../logs/log-line.js'

/** How a request ended, as its instance says. */
export type Ending = 'answered' | 'refused' | 'cut' | 'left'

const ENDINGS: ReadonlyMap<string, Ending> = new Map([
  ['A request was answered.', 'answered'],
  ['A request was refused.', 'refused'],
  ['An answer was cut.', 'cut'],
  ['A caller left before its answer was whole.', 'left']
])

/** @returns how a request ended by this line; undefined when the line tells of no end */
export function endingOf ({ message }: LogLine): Ending | undefined {
  return ENDINGS.get(message)
}

/** @returns why a request ended without a whole answer */
export function reasonOf ({ fields }: LogLine): string {
  const { reason, error, status } = fields
  // An error of the endpoint that was passed on has neither a reason nor an error of ours.
  return String(reason ?? error ?? (status === undefined ? 'the caller left' : `status ${String(status)}`))
}
