/** What passes between the instance that took a request and the owner that admits it. */
import type { AdapterReference, FencingToken, InstanceId, LoadedName, RequestId } from '@limpetwinch/core'
import type { QueuedRequest } from '@limpetwinch/decisions'

/** A request for admission. */
export interface IncomingAdmissionRequest {
  readonly requestId: RequestId
  readonly from: InstanceId
  readonly adapter: AdapterReference | undefined
  readonly team: string
  readonly priority: number
  readonly promptTokens: number
  readonly maximumTokens: number
  /** How long the caller still waits, milliseconds. */
  readonly patience: number
}

/** An admission: until it is done the adapter stays loaded. */
export interface Grant {
  readonly token: FencingToken
  readonly loadedName: LoadedName | undefined
  /** Milliseconds for which the request waited for its adapter. */
  readonly loadStall: number
  /** Milliseconds for which it waited in all. */
  readonly queueWait: number
}

/** How an admitted request ended. */
export type AdmissionOutcome = 'answered' | 'not-run' | 'failed' | 'withdrawn'

/** A request that waits at the owner. */
export interface WaitingRequest extends QueuedRequest {
  readonly request: IncomingAdmissionRequest
  /** When its adapter was last seen loaded while it waited, monotonic milliseconds. */
  loadedSince: number | undefined
}

/** Service is counted as prompt tokens plus twice the output tokens, which cost a step each. */
export const OUTPUT_TOKEN_COST = 2

/** @returns the service that a request is expected to take */
export function expectedCost (promptTokens: number, outputTokens: number): number {
  return promptTokens + OUTPUT_TOKEN_COST * outputTokens
}
