/**
 * Lends the places of a service's endpoints to the requests of all instances. A request gets the place at which its answer is expected first.
 * While none is free, the most urgent request that can still be on time waits, and one that cannot is refused at once.
 */
import type { EndpointId } from '@limpetwinch/core'
import { ErrorRates } from '../routing/error-rates.js'
import { OutlierEjection } from '../routing/outlier-ejection.js'
import { PlaceEndpoint } from './place-endpoint.js'

/** Duration of a request that is assumed before any has ended, in milliseconds. */
const ASSUMED_DURATION_MILLISECONDS = 50
/** Time by which an answer from another data centre must be expected sooner, in milliseconds. */
const REMOTE_MILLISECONDS = 2
/** Time by which an answer of an endpoint with failures or unusually many errors must be expected sooner, in milliseconds. */
const FAILURE_MILLISECONDS = 500
/** Interval at which an endpoint that nothing is sent to gets a request, which shows whether it has become faster, in milliseconds. */
const TRY_MILLISECONDS = 1_000
/** Number of requests of the service between two such tries, so that they stay a small share while requests are few. */
const REQUESTS_BETWEEN_TRIES = 20
/** Deviations from the mean that an answer may take longer and still be expected on time. */
const ALLOWED_DEVIATIONS = 2
/** Interval at which the error rates decay, in milliseconds, and the factor of the decay. */
const DECAY_MILLISECONDS = 250
const DECAY_FACTOR = 0.97
/** Least time after which a refused caller may retry, in milliseconds. */
const MINIMUM_RETRY_MILLISECONDS = 50

/** An endpoint as its entry describes it. */
export interface PlaceEntry {
  readonly endpoint: EndpointId
  /** Requests that the endpoint runs at one time. */
  readonly slots: number
  readonly dataCentre: string
  /** Start time of the endpoint's process. */
  readonly born: number
}

/** A request that needs a place. */
export interface PlaceAsk {
  /** Identifies the request among those of all instances. */
  readonly key: string
  /** Priority, 0 being the most urgent. */
  readonly priority: number
  /** Endpoints that the request must not be sent to. */
  readonly excluded: ReadonlySet<EndpointId>
  /** Data centre of the instance that sends the request. */
  readonly dataCentre: string
  /** Monotonic time until which the answer is on time. */
  readonly onTimeAt: number
  /** Monotonic time at which the request times out. */
  readonly endsAt: number
}

/** What is decided on a request: a place, a turn in the queue or a refusal, with the milliseconds until a place is expected. */
export type PlaceDecision =
  | { readonly kind: 'granted', readonly endpoint: EndpointId }
  | { readonly kind: 'queued', readonly milliseconds: number }
  | { readonly kind: 'refused', readonly milliseconds: number }

/**
 * How the use of a place ended. `error`: the endpoint answered with an error of its own. `full`: it refused the request for want of room.
 * `abandoned`: the request was given up before its answer, or never sent.
 */
export type PlaceEnd = 'answered' | 'error' | 'full' | 'failed' | 'abandoned'

/** One endpoint as operators see it. */
export interface PlaceView {
  readonly endpoint: EndpointId
  readonly places: number
  readonly held: number
  /** Expected time from a grant to the end of the answer, in milliseconds; undefined while unknown. */
  readonly expectedMilliseconds: number | undefined
}

interface Candidate {
  readonly at: PlaceEndpoint
  readonly hasRoom: boolean
  /** Expected milliseconds until the answer, with what counts against the endpoint. */
  readonly cost: number
}

/** The places of one service. */
export class PlaceLedger {
  private endpoints: PlaceEndpoint[] = []
  private readonly born = new Map<EndpointId, number>()
  private waiting: PlaceAsk[] = []
  private readonly errors = new ErrorRates()
  private readonly ejection = new OutlierEjection()
  private decayedAt = -Infinity
  private grants = 0
  private triedAt = 0

  /** Number of requests that wait for a place. */
  get waitingCount (): number {
    return this.waiting.length
  }

  /** Number of places that are lent. */
  get heldCount (): number {
    return this.endpoints.reduce((sum, { heldCount }) => sum + heldCount, 0)
  }

  /** Applies the endpoints that may get requests. One that has started again is unknown. */
  configure (entries: readonly PlaceEntry[], now: number): void {
    this.endpoints = entries.map(({ endpoint, slots, dataCentre, born }) => {
      const known = this.born.get(endpoint) === born ? this.endpoints.find((each) => each.endpoint === endpoint) : undefined
      known?.setSlots(slots)
      return known ?? new PlaceEndpoint(endpoint, slots, dataCentre, now)
    })
    this.born.clear()
    for (const { endpoint, born } of entries) this.born.set(endpoint, born)
  }

  /** Decides on a new request. */
  ask (ask: PlaceAsk, now: number): PlaceDecision {
    const ahead = this.waiting.filter((other) => goesBefore(other, ask)).length
    const decision = this.decide(ask, ahead, now, ALLOWED_DEVIATIONS)
    if (decision.kind === 'queued') this.waiting.splice(ahead, 0, ask)
    return decision
  }

  /**
   * Takes back the place of a request, or its turn in the queue.
   *
   * @param milliseconds - time from the sending of the request to the end of its answer
   */
  giveBack (key: string, end: PlaceEnd, milliseconds: number, now: number): void {
    this.waiting = this.waiting.filter((ask) => ask.key !== key)
    const at = this.endpoints.find((each) => each.holds(key))
    if (at === undefined) return
    if (end === 'answered' || end === 'error') {
      at.answered(key, milliseconds, now)
      this.errors.observe(at.endpoint, end === 'error')
      this.ejection.observe(at.endpoint, 'answered', now)
      return
    }
    if (end === 'full') return at.refused(key, now)
    at.release(key, milliseconds, now)
    if (end === 'failed') this.ejection.observe(at.endpoint, 'failed', now)
  }

  /** @returns decisions on the waiting requests, the most urgent first; called after places were given back, and now and then */
  settle (now: number): readonly (readonly [key: string, decision: PlaceDecision])[] {
    for (const at of this.endpoints) at.expire(now)
    const decided: [string, PlaceDecision][] = []
    const waiting: PlaceAsk[] = []
    for (const ask of this.waiting) {
      const decision = this.decide(ask, waiting.length, now, 0)
      if (decision.kind === 'queued') waiting.push(ask)
      else decided.push([ask.key, decision])
    }
    this.waiting = waiting
    return decided
  }

  /** Takes back the places and turns of requests whose instance cannot be reached. */
  forgetIf (isGone: (key: string) => boolean): void {
    for (const at of this.endpoints) at.releaseIf(isGone)
    this.waiting = this.waiting.filter(({ key }) => !isGone(key))
  }

  /** @returns the endpoints as operators see them */
  view (now: number): readonly PlaceView[] {
    return this.endpoints.map((at) => ({ endpoint: at.endpoint, places: at.places(now), held: at.heldCount, expectedMilliseconds: at.expectedMilliseconds(now) }))
  }

  private decide (ask: PlaceAsk, ahead: number, now: number, deviations: number): PlaceDecision {
    const candidates = this.candidates(ask, now)
    const free = candidates.filter(({ hasRoom }) => hasRoom)
    const toTry = free.find(({ at }) => this.isDueForTry(at, now))
    if (toTry !== undefined) this.triedAt = this.grants
    const best = toTry ?? leastCost(free)
    const wait = this.expectedWait(candidates, best?.cost ?? Infinity, ahead, now)
    const isWaitBetter = toTry === undefined && wait.milliseconds + wait.cost < (best?.cost ?? Infinity)
    const milliseconds = wait.milliseconds + wait.duration + deviations * wait.deviation - this.timeLeft(ask, wait.duration, now)
    if (isWaitBetter && milliseconds <= 0) return { kind: 'queued', milliseconds: wait.milliseconds }
    if (best === undefined) return { kind: 'refused', milliseconds: Math.max(MINIMUM_RETRY_MILLISECONDS, Math.min(milliseconds, wait.milliseconds)) }
    this.grants += 1
    best.at.grant(ask.key, now)
    return { kind: 'granted', endpoint: best.at.endpoint }
  }

  /** @returns milliseconds for the answer: until it is late, or until the request times out if it will be late anyway */
  private timeLeft (ask: PlaceAsk, duration: number, now: number): number {
    return ask.onTimeAt - now >= duration ? ask.onTimeAt - now : ask.endsAt - now
  }

  /** @returns the expected wait for a place at the endpoints without room that would answer sooner than the best one with room, and the answer there */
  private expectedWait (candidates: readonly Candidate[], cost: number, ahead: number, now: number): { milliseconds: number, cost: number, duration: number, deviation: number } {
    const sooner = candidates.filter((candidate) => !candidate.hasRoom && candidate.cost < cost)
    const first = leastCost(sooner)
    if (first === undefined) return { milliseconds: 0, cost: Infinity, duration: 0, deviation: 0 }
    const perMillisecond = sooner.reduce((sum, { at }) => sum + at.places(now) / this.durationOf(at, now).mean, 0)
    const { mean, deviation } = this.durationOf(first.at, now)
    return { milliseconds: (ahead + 1) / perMillisecond, cost: first.cost, duration: mean, deviation }
  }

  private candidates (ask: PlaceAsk, now: number): readonly Candidate[] {
    this.decay(now)
    const allowed = this.endpoints.filter(({ endpoint }) => !ask.excluded.has(endpoint))
    const usable = this.ejection.usable(allowed, now)
    const all = this.endpoints.map(({ endpoint }) => endpoint)
    return usable.map((at) => {
      const remote = at.dataCentre === ask.dataCentre ? 0 : REMOTE_MILLISECONDS
      const failures = this.errors.isOutlier(at.endpoint, all) ? 1 : this.ejection.penalty(at.endpoint, now)
      const expected = at.expectedMilliseconds(now) ?? this.usualMilliseconds(now)
      return { at, hasRoom: at.hasRoom(now), cost: expected + remote + failures * FAILURE_MILLISECONDS }
    })
  }

  private durationOf (at: PlaceEndpoint, now: number): { mean: number, deviation: number } {
    return at.durationNow(now) ?? { mean: this.usualMilliseconds(now), deviation: 0 }
  }

  /** @returns the least mean duration of any endpoint, which is expected of one that nothing is known of */
  private usualMilliseconds (now: number): number {
    const known = this.endpoints.flatMap((at) => at.durationNow(now)?.mean ?? [])
    return known.length === 0 ? ASSUMED_DURATION_MILLISECONDS : Math.min(...known)
  }

  private isDueForTry (at: PlaceEndpoint, now: number): boolean {
    return at.heldCount === 0 && now - at.grantedAt >= TRY_MILLISECONDS && this.grants - this.triedAt >= REQUESTS_BETWEEN_TRIES
  }

  private decay (now: number): void {
    if (now - this.decayedAt < DECAY_MILLISECONDS) return
    this.decayedAt = now
    this.errors.decay(DECAY_FACTOR)
  }
}

function goesBefore (one: PlaceAsk, other: PlaceAsk): boolean {
  return one.priority === other.priority ? one.onTimeAt <= other.onTimeAt : one.priority < other.priority
}

function leastCost (candidates: readonly Candidate[]): Candidate | undefined {
  return candidates.reduce<Candidate | undefined>((best, each) => best === undefined || each.cost < best.cost ? each : best, undefined)
}
