/** Limits of one team on one instance: rate, tokens, in flight, queued. */

/** What a team may use; the deployment's limits are divided between the live instances before they come here. */
export interface TeamLimits {
  readonly requestsPerSecond: number
  readonly tokensPerSecond: number
  readonly inFlight: number
  readonly queued: number
}

/** The answer to one request. */
export type LimitDecision =
  | { readonly admitted: true }
  | { readonly admitted: false, readonly limit: 'requests per second' | 'tokens per second' | 'requests in flight' | 'requests queued', readonly retryAfterSeconds: number }

/** Refuses early what is over a team's limits. */
export abstract class TeamLimiter {
  /** Takes up the limits in force; what is in flight stays counted. */
  abstract configure (limits: TeamLimits): void

  /** @returns whether a request may enter; an admitted one counts until {@link TeamLimiter.finish} */
  abstract admit (promptTokens: number, maximumTokens: number, now: number): LimitDecision

  /** Moves a request from queued to running. */
  abstract start (): void

  /** Ends a request; unused tokens are given back. */
  abstract finish (wasRunning: boolean, unusedTokens: number, now: number): void
}
