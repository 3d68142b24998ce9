/** The abstract client of a plain service, that is, an endpoint without a model engine. */
import type { ResultAsync } from 'neverthrow'
import type { LimpetwinchError } from '../errors/limpetwinch-error.js'

/** A call to forward to a service. */
export interface ServiceCall {
  readonly method: string
  /** Path and query under the service's base URL, starting with a slash. */
  readonly target: string
  readonly headers: Readonly<Record<string, string>>
  readonly body: Uint8Array | undefined
}

/** A complete response of a service. */
export interface ServiceAnswer {
  readonly status: number
  readonly headers: Readonly<Record<string, string>>
  readonly body: Uint8Array
}

/**
 * The client of one endpoint of a plain service.
 *
 * Errors: `endpoint-failed` with outcome `not_run` when no connection could be made, else `unknown`.
 */
export abstract class ServiceClient {
  /** Makes one call without retries and returns the complete response. */
  abstract call (call: ServiceCall, signal: AbortSignal): ResultAsync<ServiceAnswer, LimpetwinchError>
}
