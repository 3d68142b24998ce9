/** Targets of the load: the request, its result and the base class. */

/** One request of the load. */
export interface LoadRequest {
  readonly id: string
  readonly team: string
  readonly adapter: string
  /** Version of the adapter; undefined for the version that is current at admission. */
  readonly version: string | undefined
  readonly priorityClass: string
  readonly prompt: string
  readonly maximumTokens: number
  /** Seed of the generation, always set so that the history checker can compute the expected answer. */
  readonly seed: number
  readonly idempotent: boolean
  /** Idempotency key of a request that may run at most once. */
  readonly key: string | undefined
}

/** Outcome of a request as the caller knows it. */
export type LoadOutcome = 'answered' | 'not_run' | 'unknown'

/** End of a request. */
export interface LoadEnd {
  readonly outcome: LoadOutcome
  readonly code?: string
  /** Adapter that the response names, as `team/adapter`. */
  readonly adapter?: string
  /** Version of the adapter that the response names. */
  readonly version?: string
}

/** Code of a request whose connection ended before its outcome was known. */
export const CONNECTION_LOST = 'connection-lost'

/** A target that responds with a stream of texts. */
export abstract class LoadTarget {
  /** Name of the target in histories. */
  abstract readonly name: string

  /**
   * Sends a request once, without retries.
   *
   * @param request - the request to send
   * @param onText - called with each text when it arrives
   * @returns how the request ended
   */
  abstract send (request: LoadRequest, onText: (text: string) => void): Promise<LoadEnd>

  /** Closes all connections of the target. */
  abstract close (): Promise<void>
}
