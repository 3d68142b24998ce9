/** The rate limit of an endpoint as a quota that all instances share: each request takes one token. */
import { LimpetwinchError } from '@limpetwinch/core'
import type { EndpointId, FrameOf } from '@limpetwinch/core'
import type { QuotaRate } from '@limpetwinch/decisions'
import { QuotaKind } from '../quotas/quota-kind.js'
import type { NumberedAnswer, NumberedAsk } from '../quotas/quota-kind.js'

/** Seconds of the limit that may be available at one time beside {@link BURST_REQUESTS}: requests do not arrive evenly. */
const BURST_SECONDS = 0.25
/** Requests that may be available at one time whatever the limit; with less, the floors of less urgent requests would mean nothing at low limits. */
const BURST_REQUESTS = 0.5
/**
 * Lowest rate in requests a second. Only a response shows that a limit of 0 or near 0 has ended, so a request is sent now and then.
 */
const PROBE_RATE = 0.1
/**
 * Least part of all instances that an owner must reach to hand out requests. Instances that are cut off from each other have an owner each;
 * with at most four of them, the request that each may grant at once stays within what an endpoint bears beyond its rate.
 */
const LEAST_REACHABLE_SHARE = 0.24
/** Asks a second over all instances for one endpoint in a flood; it bounds the work of the quota owner. */
const ASKS_PER_SECOND = 100
/** Bounds of the time for which requests are refused without an ask after a refusal, in milliseconds. */
const SHORTEST_REFUSAL_MILLISECONDS = 100
const LONGEST_REFUSAL_MILLISECONDS = 1_000
/** Time after which a request for which no owner answered may fit, in milliseconds: another owner is chosen within this time. */
const UNAVAILABLE_MILLISECONDS = 500

/** Implements {@link QuotaKind} for endpoints. */
export class EndpointRateQuotas extends QuotaKind<EndpointId> {
  /** Instances that hold tokens for coming requests could all use them at once, and the limit may be as low as one request a second. */
  override readonly holdsAhead = false
  /** One request less than none: owners that change in quick succession must not grant a request each. */
  override readonly firstLevel = -1
  private readonly instances: () => number

  /** @param instances - returns the number of registered instances */
  constructor (instances: () => number) {
    super()
    this.instances = instances
  }

  override longestRefusalMilliseconds (): number {
    const even = this.instances() / ASKS_PER_SECOND * 1_000
    return Math.min(LONGEST_REFUSAL_MILLISECONDS, Math.max(SHORTEST_REFUSAL_MILLISECONDS, even))
  }

  override askFrame (endpoint: EndpointId, { number, needs, floors }: NumberedAsk): FrameOf<'rate-ask'> {
    return { kind: 'rate-ask', endpoint, number, floors: floors ?? needs.map(() => 0) }
  }

  override answerFrame (endpoint: EndpointId, { number, granted, milliseconds, notOwner }: NumberedAnswer): FrameOf<'rate-answer'> {
    return { kind: 'rate-answer', endpoint, number, granted, milliseconds, notOwner }
  }

  override exceeded (endpoint: EndpointId, milliseconds: number): LimpetwinchError {
    return rateLimited(endpoint, milliseconds)
  }

  override unavailable (endpoint: EndpointId): LimpetwinchError {
    return rateLimited(endpoint, UNAVAILABLE_MILLISECONDS)
  }
}

/** @returns the ask of a frame: one token for each request, and none held or returned */
export function askOfFrame ({ number, floors }: FrameOf<'rate-ask'>): NumberedAsk {
  return { number, held: 0, returned: 0, needs: floors.map(() => 1), floors, wanted: 0 }
}

/** @returns the answer of a frame */
export function answerOfFrame ({ number, granted, milliseconds, notOwner }: FrameOf<'rate-answer'>): NumberedAnswer {
  return { number, granted, extra: 0, milliseconds, notOwner }
}

/** @returns the quota of all instances together for a rate limit */
export function rateOfEndpoint (requestsPerSecond: number): QuotaRate {
  const rate = Math.max(PROBE_RATE, requestsPerSecond)
  return { tokensPerSecond: rate, capacity: BURST_REQUESTS + rate * BURST_SECONDS }
}

/** @returns the part of a quota that one owner may hand out when it reaches this part of all registered instances */
export function partOfRate ({ tokensPerSecond, capacity }: QuotaRate, reachableShare: number): QuotaRate {
  const share = reachableShare < LEAST_REACHABLE_SHARE ? 0 : reachableShare
  return { tokensPerSecond: tokensPerSecond * share, capacity: capacity * share }
}

function rateLimited (endpoint: EndpointId, milliseconds: number): LimpetwinchError {
  return new LimpetwinchError('endpoint-refused', { endpoint, reason: 'its rate limit is reached' }, { retryAfterSeconds: Math.ceil(milliseconds) / 1_000 })
}
