/**
 * Sends no more requests to an endpoint than the rate limit that it names, over all instances together, and none to one that has asked this
 * instance to back off.
 */
import { LimpetwinchError } from '@limpetwinch/core'
import type { Clock, EndpointId, InstanceId } from '@limpetwinch/core'
import type { QuotaRate } from '@limpetwinch/decisions'
import type { NoticeFrame, PeerLinks } from '@limpetwinch/entry'
import type { PeerOverlay } from '../overlay/peer-overlay.js'
import { QuotaClient } from '../quotas/quota-client.js'
import { QuotaDivision } from '../quotas/quota-division.js'
import type { QuotaOwners } from '../quotas/quota-owners.js'
import type { ServiceName } from '../routes/configuration.js'
import type { BrittleEndpoints } from './brittle-endpoints.js'
import { answerOfFrame, askOfFrame, EndpointRateQuotas, partOfRate, rateOfEndpoint } from './endpoint-rate-quotas.js'
import type { EndpointBackoffs } from './endpoint-backoffs.js'
import type { NamedRateLimits } from './named-rate-limits.js'

/** Longest time that a request waits for the answer of the quota owner, in milliseconds. Then it is sent to another endpoint. */
const ANSWER_MILLISECONDS = 150
/** Least time for which an endpoint that had no room is passed over, in milliseconds. */
const LEAST_REFUSAL_MILLISECONDS = 50
/** Time for which a refusal counts in the question when a request may fit, in milliseconds: asking many endpoints in turn takes about as long. */
const RECENT_REFUSAL_MILLISECONDS = 250
/** The least urgent priority that is told from the more urgent ones. */
const LOWEST_PRIORITY = 4
/** Part of the burst that is left to more urgent requests, for each step of the priority. */
const FLOOR_STEP = 0.2
/** Nothing is held ahead, so the rate does not matter to the client. */
const NO_HOLDINGS = { ratePerSecond: 1 }
/**
 * Longest `retry-after` while all endpoints ask to back off, in milliseconds: the caller's next request may reach an instance that none of
 * them has refused.
 */
const LONGEST_RETRY_AFTER_MILLISECONDS = 1_500
const NONE: ReadonlySet<EndpointId> = new Set()

/** What the limiter needs of the instance. */
export interface EndpointRateLimiterDependencies {
  readonly self: InstanceId
  readonly clock: Clock
  readonly limits: NamedRateLimits
  readonly brittle: BrittleEndpoints
  readonly backoffs: EndpointBackoffs
  /** @returns number of requests that the endpoint runs at one time */
  readonly slotsOf: (endpoint: EndpointId) => number
  readonly owners: QuotaOwners
  /** @returns number of registered instances */
  readonly instances: () => number
  /** @returns the part of all registered instances that this one can reach; 0 while they are not known */
  readonly reachableShare: () => number
  readonly isReachable: (instance: InstanceId) => boolean
  readonly notify: (to: InstanceId, frame: NoticeFrame) => void
  /** @returns endpoints of the service that may get requests */
  readonly endpointsOf: (service: ServiceName) => readonly EndpointId[]
  /** Called with each decision on a request to an endpoint with a limit. */
  readonly onDecision?: (endpoint: EndpointId, decision: 'admitted' | 'passed-over') => void
}

/** An endpoint that had no room for a request. */
interface Refusal {
  /** Monotonic time until which the endpoint is passed over. */
  readonly until: number
  /** Lowest floor of the refused requests; a request with a lower floor may still find room. */
  readonly floor: number
  /** Monotonic time at which the request was expected to fit. */
  readonly fitsAt: number
}

/** Admits requests to endpoints with a rate limit. */
export class EndpointRateLimiter {
  /** The limits that endpoints name. */
  readonly limits: NamedRateLimits
  /** The endpoints that crash when they refuse too many requests. */
  readonly brittle: BrittleEndpoints
  /** The endpoints that have asked this instance to back off. */
  readonly backoffs: EndpointBackoffs
  private readonly parts: EndpointRateLimiterDependencies
  private readonly kind: EndpointRateQuotas
  private readonly client: QuotaClient<EndpointId>
  private readonly division: QuotaDivision<EndpointId>
  private readonly refusals = new Map<EndpointId, Refusal>()

  constructor (parts: EndpointRateLimiterDependencies) {
    this.parts = parts
    this.limits = parts.limits
    this.brittle = parts.brittle
    this.backoffs = parts.backoffs
    const { self, clock, owners, reachableShare, isReachable, notify } = parts
    const kind = new EndpointRateQuotas(parts.instances)
    this.kind = kind
    this.client = new QuotaClient({ clock, kind, owners, notify })
    const rateOf = (endpoint: EndpointId): QuotaRate | undefined => {
      const rate = this.rateOf(endpoint)
      return rate === undefined ? undefined : partOfRate(rate, reachableShare())
    }
    this.division = new QuotaDivision({ self, clock, kind, owners, rateOf, isReachable, notify })
  }

  /** Registers the handlers of the notices, and tells instances that connect later of the limits known by then. */
  connect (network: PeerLinks, overlay: Pick<PeerOverlay, 'onNeighbour' | 'replay'>): void {
    overlay.onNeighbour((neighbour) => overlay.replay(neighbour, [...this.limits.frames(), ...this.brittle.frames()].map((frame) => [this.parts.self, frame])))
    network.onNotice('brittle-endpoint', (_from, frame) => this.brittle.handleNotice(frame))
    network.onNotice('endpoint-backoff', (_from, frame) => this.backoffs.handleNotice(frame))
    network.onNotice('rate-limit', (_from, frame) => this.limits.handleNotice(frame))
    network.onNotice('rate-ask', (from, frame) => this.division.handleAsk(from, frame.endpoint as EndpointId, askOfFrame(frame)))
    network.onNotice('rate-answer', (_from, frame) => this.client.handleAnswer(frame.endpoint as EndpointId, answerOfFrame(frame)))
  }

  /** @returns whether requests to the endpoint need a place */
  isLimited (endpoint: EndpointId): boolean {
    return !this.isEmpty && this.rateOf(endpoint) !== undefined
  }

  /** Endpoints with a limit: no adapter should be loaded there only because requests find no room elsewhere. */
  get limited (): ReadonlySet<EndpointId> {
    return this.limits.isEmpty ? NONE : new Set(this.limits.limited())
  }

  /**
   * @param priority - priority of a request, 0 being the most urgent
   * @param milliseconds - how long ago the endpoint may have been passed over
   * @returns endpoints that have no room for such a request, as far as this instance knows
   */
  withoutRoom (priority: number, milliseconds = 0): ReadonlySet<EndpointId> {
    if (this.refusals.size === 0) return this.backoffs.backingOff()
    const now = this.parts.clock.now() - milliseconds
    const floor = floorOf(priority)
    const full = [...this.refusals].filter(([, refusal]) => refusal.until > now && floor >= refusal.floor).map(([endpoint]) => endpoint)
    return new Set([...full, ...this.backoffs.backingOff()])
  }

  /**
   * Takes one request from the limit of an endpoint, if it has a limit. The request must be sent at once.
   *
   * @param priority - priority of the request, 0 being the most urgent
   * @returns whether the request may be sent to the endpoint
   */
  async admit (endpoint: EndpointId, priority: number): Promise<boolean> {
    const { clock } = this.parts
    if (!this.isLimited(endpoint)) return true
    const floor = floorOf(priority)
    const taken = await this.client.take(endpoint, NO_HOLDINGS, { cost: 1, floor }, ANSWER_MILLISECONDS)
    this.parts.onDecision?.(endpoint, taken.isOk() ? 'admitted' : 'passed-over')
    if (taken.isOk()) {
      this.refusals.delete(endpoint)
      return true
    }
    const milliseconds = (taken.error.retryAfterSeconds ?? 0) * 1_000
    const now = clock.now()
    const earlier = this.refusals.get(endpoint)
    const until = now + Math.max(LEAST_REFUSAL_MILLISECONDS, Math.min(milliseconds, this.kind.longestRefusalMilliseconds()))
    const lowest = earlier !== undefined && earlier.until > now ? Math.min(earlier.floor, floor) : floor
    this.refusals.set(endpoint, { until, floor: lowest, fitsAt: now + milliseconds })
    return false
  }

  /** @returns whether each endpoint of the service has a limit or asks to back off */
  areAllLimited (service: ServiceName): boolean {
    if (this.isEmpty && this.backoffs.isEmpty) return false
    return this.parts.endpointsOf(service).every((endpoint) => this.isLimited(endpoint) || this.backoffs.isBackingOff(endpoint))
  }

  /** @returns milliseconds until a request to the service may fit, if none of its endpoints had room a moment ago or all ask to back off; else undefined */
  millisecondsUntilRoom (service: ServiceName, priority: number): number | undefined {
    if (this.refusals.size === 0 && this.backoffs.isEmpty) return undefined
    return this.millisecondsUntilRoomAt(this.parts.endpointsOf(service), priority)
  }

  /** @returns milliseconds until a request may fit at one of the endpoints, if none of them had room lately; else undefined */
  millisecondsUntilRoomAt (endpoints: readonly EndpointId[], priority: number): number | undefined {
    const full = this.withoutRoom(priority, RECENT_REFUSAL_MILLISECONDS)
    if (endpoints.length === 0 || endpoints.some((endpoint) => !full.has(endpoint))) return undefined
    const now = this.parts.clock.now()
    const fitting = endpoints.map((endpoint) => Math.max(this.backoffs.millisecondsLeft(endpoint), (this.refusals.get(endpoint)?.fitsAt ?? now) - now))
    return Math.max(LEAST_REFUSAL_MILLISECONDS, Math.min(...fitting))
  }

  /** @returns the error of a request that found room at no endpoint of its service; undefined if one of them may have room */
  refusal (service: ServiceName, priority: number): LimpetwinchError | undefined {
    const milliseconds = this.areAllLimited(service) ? this.millisecondsUntilRoom(service, priority) : undefined
    if (milliseconds === undefined) return undefined
    if (this.parts.endpointsOf(service).every((endpoint) => this.backoffs.isBackingOff(endpoint))) {
      return new LimpetwinchError('endpoints-backing-off', { service }, { retryAfterSeconds: Math.ceil(Math.min(milliseconds, LONGEST_RETRY_AFTER_MILLISECONDS)) / 1_000 })
    }
    return new LimpetwinchError('endpoints-rate-limited', { service }, { retryAfterSeconds: Math.ceil(milliseconds) / 1_000 })
  }

  /** Forgets what is not needed any more; called periodically. */
  maintain (): void {
    const now = this.parts.clock.now()
    for (const [endpoint, { until }] of this.refusals) if (until + RECENT_REFUSAL_MILLISECONDS <= now) this.refusals.delete(endpoint)
    this.limits.maintain()
    this.brittle.maintain()
    this.backoffs.maintain()
    this.client.releaseIdle()
    this.division.maintain()
  }

  /** Forgets an endpoint that has left or restarted. */
  forget (endpoint: EndpointId): void {
    this.limits.forget(endpoint)
    this.brittle.forget(endpoint)
    this.backoffs.forget(endpoint)
    this.refusals.delete(endpoint)
  }

  private get isEmpty (): boolean {
    return this.limits.isEmpty && this.brittle.isEmpty
  }

  /** @returns the rate of all instances together, by whichever limit is lower; undefined for no limit */
  private rateOf (endpoint: EndpointId): QuotaRate | undefined {
    const { limits, brittle, slotsOf } = this.parts
    const named = limits.limit(endpoint)
    const byName = named === undefined ? undefined : rateOfEndpoint(named)
    const byRefusals = brittle.rateOf(endpoint, slotsOf(endpoint))
    if (byName === undefined || byRefusals === undefined) return byName ?? byRefusals
    return { tokensPerSecond: Math.min(byName.tokensPerSecond, byRefusals.tokensPerSecond), capacity: Math.min(byName.capacity, byRefusals.capacity) }
  }
}

function floorOf (priority: number): number {
  return Math.max(0, Math.min(LOWEST_PRIORITY, priority)) * FLOOR_STEP
}
