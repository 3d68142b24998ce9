/** A plain service as limpetwinch sees it. */
import type { ResultAsync } from 'neverthrow'
import type { LimpetwinchError } from '../errors/limpetwinch-error.js'

/** A call to pass on. */
export interface ServiceCall {
  readonly method: string
  /** Path and query under the service's base URL, starting with a slash. */
  readonly target: string
  readonly headers: Readonly<Record<string, string>>
  readonly body: Uint8Array | undefined
}

/** A whole answer. */
export interface ServiceAnswer {
  readonly status: number
  readonly headers: Readonly<Record<string, string>>
  readonly body: Uint8Array
}

/**
 * A plain service endpoint.
 *
 * Errors: `endpoint-failed` with outcome `not_run` when no connection could be made, else `unknown`.
 */
export abstract class ServiceClient {
  /** Makes one call and repeats nothing; the answer is whole. */
  abstract call (call: ServiceCall, signal: AbortSignal): ResultAsync<ServiceAnswer, LimpetwinchError>
}
