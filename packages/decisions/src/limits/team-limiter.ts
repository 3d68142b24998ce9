/** Contract of the admission check that enforces a team's limits. */

/** Limits of one team on one instance. The caller divides the deployment's limits between the live instances. */
export interface TeamLimits {
  readonly requestsPerSecond: number
  /** Prompt tokens and the most output tokens that a request may produce, added up. */
  readonly tokensPerSecond: number
  /** Maximum number of requests that are queued or running. */
  readonly inFlight: number
  /** Maximum number of requests that are queued. */
  readonly queued: number
}

/** Result of an admission check for one request. */
export type LimitDecision =
  | { readonly admitted: true }
  | { readonly admitted: false, readonly limit: 'requests per second' | 'tokens per second' | 'requests in flight' | 'requests queued', readonly retryAfterSeconds: number }

/** Refuses requests that exceed a team's limits when they arrive, before they are queued. */
export abstract class TeamLimiter {
  /** Replaces the limits. Requests that are queued or running stay counted. */
  abstract configure (limits: TeamLimits): void

  /**
   * Decides whether a request may enter the queue. An admitted request counts against the limits until {@link TeamLimiter.finish}.
   *
   * @param promptTokens - tokens of the prompt
   * @param maximumTokens - the most output tokens that the request may produce
   * @param now - monotonic milliseconds
   */
  abstract admit (promptTokens: number, maximumTokens: number, now: number): LimitDecision

  /** Moves a request from queued to running. */
  abstract start (): void

  /**
   * Removes a request from the counts and refunds its unused tokens.
   *
   * @param wasRunning - whether the request had left the queue, see {@link TeamLimiter.start}
   * @param unusedTokens - tokens charged at admission that the request did not use
   * @param now - monotonic milliseconds
   */
  abstract finish (wasRunning: boolean, unusedTokens: number, now: number): void
}
