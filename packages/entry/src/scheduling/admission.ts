/**
 * Types of admission, without the admission logic: what the instance that serves a caller's request and the owner of an
 * endpoint exchange, and how much service a request is expected to use. `EndpointScheduler` admits requests by these types.
 */
import type { AdapterReference, FencingToken, InstanceId, LoadedName, RequestId } from '@limpetwinch/core'
import type { QueuedRequest } from '@limpetwinch/decisions'

/** A request for admission to an endpoint, as the endpoint's owner receives it from an instance. */
export interface IncomingAdmissionRequest {
  readonly requestId: RequestId
  readonly from: InstanceId
  readonly adapter: AdapterReference | undefined
  readonly team: string
  readonly priority: number
  readonly promptTokens: number
  readonly maximumTokens: number
  /** How much longer the caller will wait for the complete response, milliseconds. */
  readonly patience: number
}

/** An admission of one request. The owner keeps the request's adapter loaded until the request has ended. */
export interface Grant {
  readonly token: FencingToken
  readonly loadedName: LoadedName | undefined
  /** Time from the start of the wait until the request's adapter was found loaded, milliseconds; 0 for a request without an adapter. */
  readonly loadStall: number
  /** Total milliseconds that the request waited in the queue. */
  readonly queueWait: number
}

/**
 * How an admitted request ended. `answered`: with a complete response. `not-run`: the engine certainly did not run the request.
 * `failed`: the engine may have run the request. `withdrawn`: the request was never sent to the engine.
 */
export type AdmissionOutcome = 'answered' | 'not-run' | 'failed' | 'withdrawn'

/** A request that waits for admission in the owner's queue. */
export interface WaitingRequest extends QueuedRequest {
  readonly request: IncomingAdmissionRequest
  /** When the adapter was first found loaded while the request waited, monotonic milliseconds. */
  loadedSince: number | undefined
}

/**
 * Weight of one output token. Service is the use of engines, counted in weighted tokens: a prompt token counts 1. An output
 * token counts more, because the engine needs one step for each of them.
 */
export const OUTPUT_TOKEN_COST = 2

/** @returns the service that a request is expected to use, in weighted tokens */
export function expectedCost (promptTokens: number, outputTokens: number): number {
  return promptTokens + OUTPUT_TOKEN_COST * outputTokens
}
