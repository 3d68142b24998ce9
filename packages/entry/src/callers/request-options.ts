/** Parses the request headers that select the priority class, the deadline and the idempotency of a request. */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { LimpetwinchError } from '@limpetwinch/core'
import type { IdempotencyKey, PriorityClass } from '@limpetwinch/core'

/** Header that selects the priority class. */
export const CLASS_HEADER = 'x-limpetwinch-class'
/** Header with the maximum time that the caller waits for the response, in milliseconds. */
export const DEADLINE_HEADER = 'x-limpetwinch-deadline-ms'
/** Header that is `false` when the request may run at most once. */
export const IDEMPOTENT_HEADER = 'x-limpetwinch-idempotent'
/** Header with the caller's idempotency key for a request that may run at most once. */
export const IDEMPOTENCY_KEY_HEADER = 'idempotency-key'

const MAXIMUM_KEY_LENGTH = 255
const DEFAULT_CLASS = 'normal'

/** Options that the headers of a request select. */
export interface RequestOptions {
  readonly priorityClass: PriorityClass
  /** Patience of the caller: the maximum time that it waits for the response, in milliseconds. */
  readonly patience: number
  /** Whether the request may be retried. */
  readonly idempotent: boolean
  /** The caller's idempotency key, if it sent one. */
  readonly key: IdempotencyKey | undefined
}

/**
 * @param header - reads a header by name
 * @param maximumPatience - the maximum time that a caller may wait for the response, in milliseconds
 * @param idempotentByDefault - whether a request without the idempotency header may be retried
 * @returns the options, or the error `invalid-request`
 */
export function parseRequestOptions (
  header: (name: string) => string | undefined,
  maximumPatience: number,
  idempotentByDefault: boolean
): Result<RequestOptions, LimpetwinchError> {
  const deadline = header(DEADLINE_HEADER)
  const patience = deadline === undefined ? maximumPatience : Number(deadline)
  if (!Number.isFinite(patience) || patience <= 0) return invalidRequest(DEADLINE_HEADER, 'give a positive number of milliseconds')
  const idempotent = header(IDEMPOTENT_HEADER)
  if (idempotent !== undefined && idempotent !== 'true' && idempotent !== 'false') return invalidRequest(IDEMPOTENT_HEADER, "write 'true' or 'false'")
  const key = header(IDEMPOTENCY_KEY_HEADER)
  if (key !== undefined && (key.length === 0 || key.length > MAXIMUM_KEY_LENGTH)) return invalidRequest(IDEMPOTENCY_KEY_HEADER, `give 1 to ${MAXIMUM_KEY_LENGTH} characters`)
  return ok({
    priorityClass: (header(CLASS_HEADER) ?? DEFAULT_CLASS) as PriorityClass,
    patience: Math.min(patience, maximumPatience),
    idempotent: idempotent === undefined ? idempotentByDefault : idempotent === 'true',
    key: key as IdempotencyKey | undefined
  })
}

function invalidRequest (where: string, reason: string): Result<never, LimpetwinchError> {
  return err(new LimpetwinchError('invalid-request', { where, reason }))
}
