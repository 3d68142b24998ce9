/** Types exchanged between the instance that serves a client's request and the endpoint's owner, which admits it. */
import type { AdapterReference, FencingToken, InstanceId, LoadedName, RequestId } from '@limpetwinch/core'
import type { QueuedRequest } from '@limpetwinch/decisions'

/** A request for admission, as the endpoint's owner receives it from an instance. */
export interface IncomingAdmissionRequest {
  readonly requestId: RequestId
  readonly from: InstanceId
  readonly adapter: AdapterReference | undefined
  readonly team: string
  readonly priority: number
  readonly promptTokens: number
  readonly maximumTokens: number
  /** How much longer the caller will wait, milliseconds. */
  readonly patience: number
}

/** An admission. The owner keeps the adapter loaded until the request has ended. */
export interface Grant {
  readonly token: FencingToken
  readonly loadedName: LoadedName | undefined
  /** Milliseconds that the request waited for its adapter to be loaded. */
  readonly loadStall: number
  /** Total milliseconds that the request waited in the queue. */
  readonly queueWait: number
}

/** How an admitted request ended. */
export type AdmissionOutcome = 'answered' | 'not-run' | 'failed' | 'withdrawn'

/** A request that waits for admission in the owner's queue. */
export interface WaitingRequest extends QueuedRequest {
  readonly request: IncomingAdmissionRequest
  /** When the adapter was first found loaded while the request waited, monotonic milliseconds. */
  loadedSince: number | undefined
}

/** Weight of an output token when service is counted; a prompt token counts 1. Each output token costs the engine a step. */
export const OUTPUT_TOKEN_COST = 2

/** @returns the service that a request is expected to use, in weighted tokens */
export function expectedCost (promptTokens: number, outputTokens: number): number {
  return promptTokens + OUTPUT_TOKEN_COST * outputTokens
}
