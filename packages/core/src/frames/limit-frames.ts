/** Frames on the quotas of teams and the rate limits of endpoints. */

/** Asks the quota owner of a team, the instance that divides the team's quota, for tokens. */
export interface QuotaAskFrame {
  readonly kind: 'quota-ask'
  readonly team: string
  /** Number of this ask among those of the sender for the team. The sender ignores answers to earlier asks. */
  readonly number: number
  /** Tokens that the sender holds for the team and has not used. */
  readonly held: number
  /** Tokens that the sender gives back, no longer included in `held`. */
  readonly returned: number
  /** Costs of the requests that wait for this ask, in tokens, in the order of their arrival. */
  readonly needs: readonly number[]
  /** Tokens that the sender wants to hold for coming requests. */
  readonly wanted: number
}

/** Answers a `quota-ask`. */
export interface QuotaAnswerFrame {
  readonly kind: 'quota-answer'
  readonly team: string
  readonly number: number
  /** For each of the `needs` whether its tokens are granted. */
  readonly granted: readonly boolean[]
  /** Tokens granted for coming requests. */
  readonly extra: number
  /** Expected time until a refused need can be granted, in milliseconds; 0 if none was refused. */
  readonly milliseconds: number
  /** Whether the answering instance is not the quota owner of the team; it granted nothing then. */
  readonly notOwner: boolean
  /** Tokens that the team used in the last seconds over all instances, divided by those of its quota; absent in frames of an older release. */
  readonly usedShare?: number | undefined
}

/** What an endpoint said of its rate limit in a response, passed on to all instances. */
export interface RateLimitFrame {
  readonly kind: 'rate-limit'
  readonly endpoint: string
  /** Start time of the endpoint's process, which tells one incarnation from the next. */
  readonly born: number
  /** Requests a second from all instances together; undefined when the endpoint named no limit. */
  readonly limit?: number | undefined
  /** Time in milliseconds from the sending of the request until this frame was sent. A duration does not depend on synchronised clocks. */
  readonly sentMillisecondsAgo: number
  /** Time in milliseconds from the reading of the response until this frame was sent. */
  readonly readMillisecondsAgo: number
}

/** What an endpoint said in a response of the refusals that it bears, with what the sender has seen of the endpoint since its last such frame. */
export interface BrittleEndpointFrame extends Omit<RateLimitFrame, 'kind'> {
  readonly kind: 'brittle-endpoint'
  /** Number of requests of the sender that the endpoint refused for want of room. */
  readonly refusals: number
  /** Mean duration of the sender's requests there; undefined when none has ended. */
  readonly meanMilliseconds?: number | undefined
}

/** Asks the quota owner of an endpoint, the instance that divides the endpoint's rate limit, whether requests may be sent. */
export interface RateAskFrame {
  readonly kind: 'rate-ask'
  readonly endpoint: string
  /** Number of this ask among those of the sender for the endpoint. The sender ignores answers to earlier asks. */
  readonly number: number
  /** For each request that waits for this ask the part of the capacity that must be available, in the order of their arrival. */
  readonly floors: readonly number[]
}

/** Answers a `rate-ask`. */
export interface RateAnswerFrame {
  readonly kind: 'rate-answer'
  readonly endpoint: string
  readonly number: number
  /** For each of the requests whether it may be sent. */
  readonly granted: readonly boolean[]
  /** Expected time until a refused request may be sent, in milliseconds; 0 if none was refused. */
  readonly milliseconds: number
  /** Whether the answering instance is not the quota owner of the endpoint; it granted nothing then. */
  readonly notOwner: boolean
}

/**
 * Says that an endpoint asks the instance that is told to back off for some time. The endpoint asked for it in a response that came through
 * that instance, which opens a tunnel for another one and sees only bytes, or at the end of whose tunnel the receiver is.
 */
export interface EndpointBackoffFrame {
  readonly kind: 'endpoint-backoff'
  readonly endpoint: string
  /** Start time of the endpoint's process, which tells one incarnation from the next. */
  readonly born: number
  readonly milliseconds: number
}
