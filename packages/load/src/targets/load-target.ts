/** Where load is sent. */

/** One request of the load. */
export interface LoadRequest {
  readonly id: string
  readonly team: string
  readonly adapter: string
  /** Undefined for the version current at admission. */
  readonly version: string | undefined
  readonly priorityClass: string
  readonly prompt: string
  readonly maximumTokens: number
  /** Always given, so that the checker can compute the answer anew. */
  readonly seed: number
  readonly idempotent: boolean
  /** The caller's own key of a request that may run once. */
  readonly key: string | undefined
}

/** What is known of a request in the end. */
export type LoadOutcome = 'answered' | 'not_run' | 'unknown'

/** How a request ended. */
export interface LoadEnd {
  readonly outcome: LoadOutcome
  readonly code?: string
  /** What the answer says it was made with: `team/adapter`, and the version. */
  readonly adapter?: string
  readonly version?: string
}

/** Code of a connection that ended without an outcome. */
export const CONNECTION_LOST = 'connection-lost'

/** A target that answers with a stream of texts. */
export abstract class LoadTarget {
  /** The name in histories. */
  abstract readonly name: string

  /**
   * Sends a request once; it is never repeated.
   *
   * @param request - what to send
   * @param onText - gets each text as it comes
   * @returns how it ended
   */
  abstract send (request: LoadRequest, onText: (text: string) => void): Promise<LoadEnd>

  /** Closes the connections. */
  abstract close (): Promise<void>
}
