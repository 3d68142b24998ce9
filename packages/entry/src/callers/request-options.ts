/** What callers say beside the body: class, deadline, whether the request may be repeated. */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { LimpetwinchError } from '@limpetwinch/core'
import type { IdempotencyKey, PriorityClass } from '@limpetwinch/core'

/** Header that picks a priority class. */
export const CLASS_HEADER = 'x-limpetwinch-class'
/** Header with the time that the caller waits, milliseconds. */
export const DEADLINE_HEADER = 'x-limpetwinch-deadline-ms'
/** Header that says `false` when the request may run at most once. */
export const IDEMPOTENT_HEADER = 'x-limpetwinch-idempotent'
/** Header with the caller's own key for such a request. */
export const IDEMPOTENCY_KEY_HEADER = 'idempotency-key'

const MAXIMUM_KEY_LENGTH = 255
const DEFAULT_CLASS = 'normal'

/** The options of one request. */
export interface RequestOptions {
  readonly priorityClass: PriorityClass
  readonly patience: number
  readonly idempotent: boolean
  readonly key: IdempotencyKey | undefined
}

/**
 * @param header - reads a header by name
 * @param longestPatience - the most that any request may wait, milliseconds
 * @param idempotentByDefault - whether requests of this kind may be repeated unless marked
 * @returns the options, or `invalid-request`
 */
export function parseRequestOptions (header: (name: string) => string | undefined, longestPatience: number, idempotentByDefault: boolean): Result<RequestOptions, LimpetwinchError> {
  const deadline = header(DEADLINE_HEADER)
  const patience = deadline === undefined ? longestPatience : Number(deadline)
  if (!Number.isFinite(patience) || patience <= 0) return refuse(DEADLINE_HEADER, 'give a positive number of milliseconds')
  const idempotent = header(IDEMPOTENT_HEADER)
  if (idempotent !== undefined && idempotent !== 'true' && idempotent !== 'false') return refuse(IDEMPOTENT_HEADER, "write 'true' or 'false'")
  const key = header(IDEMPOTENCY_KEY_HEADER)
  if (key !== undefined && (key.length === 0 || key.length > MAXIMUM_KEY_LENGTH)) return refuse(IDEMPOTENCY_KEY_HEADER, `give 1 to ${MAXIMUM_KEY_LENGTH} characters`)
  return ok({
    priorityClass: (header(CLASS_HEADER) ?? DEFAULT_CLASS) as PriorityClass,
    patience: Math.min(patience, longestPatience),
    idempotent: idempotent === undefined ? idempotentByDefault : idempotent === 'true',
    key: key as IdempotencyKey | undefined
  })
}

function refuse (where: string, reason: string): Result<never, LimpetwinchError> {
  return err(new LimpetwinchError('invalid-request', { where, reason }))
}
