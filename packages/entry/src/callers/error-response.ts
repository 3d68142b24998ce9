/**
 * Error responses in the OpenAI format, with a stable code, the known outcome of the request, a remedy, and the time after
 * which the caller may retry.
 */
import type { LimpetwinchError, RequestId } from '@limpetwinch/core'

/** Header with the request id, which every response carries. */
export const REQUEST_ID_HEADER = 'x-request-id'
/** Header of error responses with the known outcome of the request: `not_run` or `unknown`. */
export const OUTCOME_HEADER = 'x-limpetwinch-outcome'

/** Body of an error response. */
export interface ErrorBody {
  readonly error: {
    readonly message: string
    readonly type: string
    readonly code: string
    readonly param: string | null
    readonly outcome: 'not_run' | 'unknown'
    readonly request_id: string
    readonly retry_after_seconds?: number
  }
}

/** @returns the response body for an error */
export function errorBody (error: LimpetwinchError, requestId: RequestId): ErrorBody {
  return {
    error: {
      message: error.message,
      type: typeOf(error.status),
      code: error.code,
      param: typeof error.details.where === 'string' ? error.details.where : null,
      outcome: error.outcome,
      request_id: requestId,
      ...(error.retryAfterSeconds === undefined ? {} : { retry_after_seconds: error.retryAfterSeconds })
    }
  }
}

/** @returns the response headers for an error */
export function errorHeaders (error: LimpetwinchError, requestId: RequestId): Record<string, string> {
  return {
    'content-type': 'application/json',
    [REQUEST_ID_HEADER]: requestId,
    [OUTCOME_HEADER]: error.outcome,
    ...(error.retryAfterSeconds === undefined ? {} : { 'retry-after': String(error.retryAfterSeconds) })
  }
}

function typeOf (status: number): string {
  if (status === 401) return 'authentication_error'
  if (status === 403) return 'permission_error'
  if (status === 429) return 'rate_limit_error'
  return status < 500 ? 'invalid_request_error' : 'server_error'
}
