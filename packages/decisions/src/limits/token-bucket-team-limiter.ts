/** Enforces a team's limits on one instance with token buckets and counters. */
import { TeamLimiter } from './team-limiter.js'
import type { LimitDecision, TeamLimits } from './team-limiter.js'
import { TokenBucket } from './token-bucket.js'

/** Initial limits and burst size. */
export interface TokenBucketTeamLimiterOptions {
  readonly limits: TeamLimits
  /** Capacity of the token buckets for requests and for tokens: each holds what its rate adds in this many seconds. */
  readonly burstSeconds?: number
}

type LimitName = Extract<LimitDecision, { admitted: false }>['limit']

/** Lower bound of the time after which a refused caller should retry, also when the time is unknown, so that no caller retries at once. */
const MINIMUM_RETRY_AFTER_SECONDS = 1

/**
 * Enforces the limits per second with token buckets and the limits on requests in flight and queued with counters. A refused
 * request takes nothing from the buckets and is not counted.
 */
export class TokenBucketTeamLimiter extends TeamLimiter {
  private limits: TeamLimits
  private readonly burstSeconds: number
  private readonly requests: TokenBucket
  private readonly tokens: TokenBucket
  private queued = 0
  private running = 0

  constructor (options: TokenBucketTeamLimiterOptions) {
    super()
    this.limits = options.limits
    this.burstSeconds = options.burstSeconds ?? 2
    this.requests = new TokenBucket(options.limits.requestsPerSecond, this.requestBurst())
    this.tokens = new TokenBucket(options.limits.tokensPerSecond, this.tokenBurst())
  }

  configure (limits: TeamLimits): void {
    this.limits = limits
    this.requests.configure(limits.requestsPerSecond, this.requestBurst())
    this.tokens.configure(limits.tokensPerSecond, this.tokenBurst())
  }

  admit (promptTokens: number, maximumTokens: number, now: number): LimitDecision {
    const cost = promptTokens + maximumTokens
    const requestDelay = this.requests.secondsUntil(1, now)
    if (requestDelay > 0) return refuse('requests per second', requestDelay)
    const tokenDelay = this.tokens.secondsUntil(cost, now)
    if (tokenDelay > 0) return refuse('tokens per second', tokenDelay)
    if (this.queued + this.running >= this.limits.inFlight) return refuse('requests in flight', 0)
    if (this.queued >= this.limits.queued) return refuse('requests queued', 0)
    this.requests.take(1)
    this.tokens.take(cost)
    this.queued += 1
    return { admitted: true }
  }

  start (): void {
    this.queued = Math.max(0, this.queued - 1)
    this.running += 1
  }

  finish (wasRunning: boolean, unusedTokens: number, now: number): void {
    if (wasRunning) this.running = Math.max(0, this.running - 1)
    else this.queued = Math.max(0, this.queued - 1)
    this.tokens.refund(unusedTokens, now)
  }

  /** Numbers of the team's requests that are queued and running on this instance. */
  get counts (): { readonly queued: number, readonly running: number } {
    return { queued: this.queued, running: this.running }
  }

  /**
   * Burst of the request rate, in requests. The limit of a team on one instance can be less than one request per second. The
   * bucket must still hold one request, or none would ever be admitted.
   */
  private requestBurst (): number {
    return Math.max(1, this.limits.requestsPerSecond * this.burstSeconds)
  }

  private tokenBurst (): number {
    return this.limits.tokensPerSecond * this.burstSeconds
  }
}

function refuse (limit: LimitName, seconds: number): LimitDecision {
  return { admitted: false, limit, retryAfterSeconds: Math.max(MINIMUM_RETRY_AFTER_SECONDS, Math.ceil(seconds)) }
}
