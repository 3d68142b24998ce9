/** The places of one endpoint: how many it has, who holds them, and how long a request takes there. */
import type { EndpointId } from '@limpetwinch/core'

/** Most places beyond the slots. They keep an endpoint busy while a place is on its way from one holder to the next. */
const MOST_PLACES_BEYOND_SLOTS = 4
/** Time constant of the mean duration, in milliseconds; a change of speed is known after it, and a lone sample after a pause counts almost in full. */
const DURATION_MILLISECONDS = 500
/** Least weight of a sample, so that the mean follows no single request while there are many. */
const LEAST_WEIGHT = 0.1
/** Part of the slots by which a lowered bound rises in a second. */
const RECOVERY_PER_SECOND = 0.1
/** Part of the held places that stays after a refusal by the endpoint. */
const KEPT_AFTER_REFUSAL = 0.75
/** Part of the slots of an endpoint that is used before any request has ended there; requests that are not known here may still run on it. */
const SHARE_OF_UNKNOWN = 0.5
/** Part of the duration that is added when all slots are in use: many servers slow down before they are full. */
const CONTENTION_SHARE = 0.5
/** Least time after which a place that was not given back is lent again, in milliseconds. */
const SHORTEST_EXPIRY_MILLISECONDS = 3_000
const LONGEST_EXPIRY_MILLISECONDS = 30_000
/** A place expires after this number of mean durations, if that is longer than the least time. */
const EXPIRY_DURATIONS = 4

/** How long requests take at an endpoint, in milliseconds. */
export interface PlaceDuration {
  readonly mean: number
  /** Mean absolute difference from the mean. */
  readonly deviation: number
}

/** Counts the places of one endpoint and measures its requests. */
export class PlaceEndpoint {
  readonly endpoint: EndpointId
  readonly dataCentre: string
  private slots: number
  private readonly held = new Map<string, number>()
  private duration: PlaceDuration | undefined
  private measuredAt = -Infinity
  /** Mean time for which a place is lent beyond the duration of its request: the frames under way. */
  private transitMilliseconds = 0
  /** Places that are lent at most, without those beyond the slots. */
  private bound: number
  private boundAt: number
  /** Whether the endpoint has shown that it queues no requests beyond its slots. */
  private hasNoQueue = false
  /** Whether no request has ended at this incarnation yet. */
  private isUnknown = true
  /** Monotonic time of the last grant. */
  grantedAt: number

  constructor (endpoint: EndpointId, slots: number, dataCentre: string, now: number) {
    this.endpoint = endpoint
    this.slots = slots
    this.dataCentre = dataCentre
    this.bound = slots
    this.boundAt = now
    this.grantedAt = now
  }

  /** Number of places that are lent. */
  get heldCount (): number {
    return this.held.size
  }

  /** Changes the number of slots that the endpoint says it has. */
  setSlots (slots: number): void {
    if (slots === this.slots) return
    this.bound = Math.max(1, this.bound * slots / this.slots)
    this.slots = slots
  }

  /** @returns number of places that may be lent at one time */
  places (now: number): number {
    this.recover(now)
    if (this.isUnknown) return Math.max(1, Math.ceil(this.bound * SHARE_OF_UNKNOWN))
    if (this.bound < this.slots) return Math.max(1, Math.floor(this.bound))
    const beyond = this.duration === undefined || this.hasNoQueue ? 0 : Math.ceil(this.slots * this.transitMilliseconds / Math.max(1, this.duration.mean))
    return this.slots + Math.min(MOST_PLACES_BEYOND_SLOTS, beyond)
  }

  /** @returns whether a place can be lent now */
  hasRoom (now: number): boolean {
    return this.held.size < this.places(now)
  }

  /** Lends a place. */
  grant (key: string, now: number): void {
    this.held.set(key, now)
    this.grantedAt = now
  }

  /** @returns whether the key holds a place here */
  holds (key: string): boolean {
    return this.held.has(key)
  }

  /**
   * Takes a place back whose request got no answer.
   *
   * @param milliseconds - time from the sending of the request until it was given up; 0 when it was not sent
   */
  release (key: string, milliseconds: number, now: number): void {
    this.held.delete(key)
    if (this.duration !== undefined && milliseconds > this.duration.mean) this.recordDuration(milliseconds, now)
  }

  /**
   * Takes a place back after an answer.
   *
   * @param milliseconds - time from the sending of the request to the end of its answer
   */
  answered (key: string, milliseconds: number, now: number): void {
    const grantedAt = this.held.get(key)
    this.held.delete(key)
    this.isUnknown = false
    this.recordDuration(milliseconds, now)
    if (grantedAt === undefined) return
    this.transitMilliseconds += LEAST_WEIGHT * (Math.max(0, now - grantedAt - milliseconds) - this.transitMilliseconds)
  }

  /** Takes a place back after the endpoint refused the request: it has room for fewer requests than it says, or none beyond its slots. */
  refused (key: string, now: number): void {
    this.recover(now)
    if (this.held.delete(key) && this.held.size >= this.slots) {
      this.hasNoQueue = true
      return
    }
    this.bound = Math.max(1, Math.min(this.bound, (this.held.size + 1) * KEPT_AFTER_REFUSAL))
  }

  /** @returns duration of a request as far as it is known: that of requests in progress counts once half of them take longer than usual */
  durationNow (now: number): PlaceDuration | undefined {
    const ages = [...this.held.values()].map((grantedAt) => now - grantedAt).sort((one, other) => one - other)
    const age = ages.length < 2 ? 0 : ages[Math.floor(ages.length / 2)] ?? 0
    if (this.duration === undefined) return undefined
    return age > this.duration.mean ? { mean: age, deviation: this.duration.deviation } : this.duration
  }

  /** @returns expected time from a grant to the end of the answer, in milliseconds; undefined while no request has ended here */
  expectedMilliseconds (now: number): number | undefined {
    const duration = this.durationNow(now)
    if (duration === undefined) return undefined
    const load = (this.held.size + 1) / this.slots
    return duration.mean * (Math.max(1, load) + CONTENTION_SHARE * Math.min(1, load))
  }

  /** Takes back the places that should have been given back long ago. */
  expire (now: number): void {
    const mean = this.duration?.mean ?? 0
    const milliseconds = Math.min(LONGEST_EXPIRY_MILLISECONDS, Math.max(SHORTEST_EXPIRY_MILLISECONDS, EXPIRY_DURATIONS * mean))
    for (const [key, grantedAt] of this.held) {
      if (now - grantedAt >= milliseconds) this.held.delete(key)
    }
  }

  /** Takes back the places of holders that cannot be reached. */
  releaseIf (isGone: (key: string) => boolean): void {
    for (const key of [...this.held.keys()]) if (isGone(key)) this.held.delete(key)
  }

  private recordDuration (milliseconds: number, now: number): void {
    const weight = Math.max(LEAST_WEIGHT, 1 - Math.exp(-(now - this.measuredAt) / DURATION_MILLISECONDS))
    this.measuredAt = now
    const { mean, deviation } = this.duration ?? { mean: milliseconds, deviation: milliseconds / 2 }
    this.duration = {
      mean: mean + weight * (milliseconds - mean),
      deviation: deviation + Math.min(weight, 2 * LEAST_WEIGHT) * (Math.abs(milliseconds - mean) - deviation)
    }
  }

  private recover (now: number): void {
    this.bound = Math.min(this.slots, this.bound + this.slots * RECOVERY_PER_SECOND * Math.max(0, now - this.boundAt) / 1_000)
    this.boundAt = Math.max(this.boundAt, now)
  }
}
