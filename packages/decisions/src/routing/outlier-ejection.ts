/** Outlier ejection: keeps requests away from endpoints that fail repeatedly. */
import type { EndpointId } from '@limpetwinch/core'
import type { EndpointHold } from './endpoint-hold.js'

/** Thresholds and durations of {@link OutlierEjection}. */
export interface OutlierEjectionOptions {
  /** Consecutive failures after which an endpoint is ejected. */
  readonly failuresToEject?: number
  /** Duration of the first ejection, milliseconds; doubled with each further ejection until the endpoint has recovered. */
  readonly ejectionMilliseconds?: number
  /** Upper bound of the duration of an ejection. */
  readonly longestEjectionMilliseconds?: number
  /** Fraction of the endpoints that stays usable however many fail, 0 to 1. */
  readonly minimumUsableShare?: number
  /** Time after an ejection during which one failure ejects the endpoint again and its penalty falls to 0, milliseconds. */
  readonly recoveryMilliseconds?: number
}

interface FailureRecord {
  consecutiveFailures: number
  ejections: number
  ejectedUntil: number
  lastFailureAt: number
}

/** Upper bound of the exponent of 2, so that the duration stays a finite number after any number of ejections. */
const MAXIMUM_DOUBLINGS = 16

/** Ejects endpoints that fail several times in a row and penalises them after their return. Only endpoints that failed use memory. */
export class OutlierEjection {
  private readonly records = new Map<EndpointId, FailureRecord>()
  private readonly failuresToEject: number
  private readonly ejectionMilliseconds: number
  private readonly longestEjectionMilliseconds: number
  private readonly minimumUsableShare: number
  private readonly recoveryMilliseconds: number
  private hold: EndpointHold | undefined

  constructor (options: OutlierEjectionOptions = {}) {
    this.failuresToEject = options.failuresToEject ?? 3
    this.ejectionMilliseconds = options.ejectionMilliseconds ?? 2_000
    this.longestEjectionMilliseconds = options.longestEjectionMilliseconds ?? 60_000
    this.minimumUsableShare = options.minimumUsableShare ?? 0.5
    this.recoveryMilliseconds = options.recoveryMilliseconds ?? 10_000
  }

  /** Ejects endpoints also while a hold keeps them from requests. */
  holdWith (hold: EndpointHold): void {
    this.hold = hold
  }

  /** Records the result of an attempt. */
  observe (endpoint: EndpointId, result: 'answered' | 'failed', now: number): void {
    const record = this.records.get(endpoint)
    if (result === 'answered') {
      if (record === undefined) return
      record.consecutiveFailures = 0
      const recovered = now - record.lastFailureAt > this.recoveryMilliseconds && now >= record.ejectedUntil + this.recoveryMilliseconds
      if (recovered) this.records.delete(endpoint)
      return
    }
    this.failed(endpoint, record, now)
  }

  private failed (endpoint: EndpointId, record: FailureRecord | undefined, now: number): void {
    const current = record ?? { consecutiveFailures: 0, ejections: 0, ejectedUntil: -Infinity, lastFailureAt: now }
    this.records.set(endpoint, current)
    current.consecutiveFailures += 1
    current.lastFailureAt = now
    // Attempts that were in flight when the endpoint was ejected may fail during the ejection. Such failures must not extend the ejection.
    if (now < current.ejectedUntil) return
    const onProbation = current.ejections > 0 && now < current.ejectedUntil + this.recoveryMilliseconds
    if (current.consecutiveFailures < this.failuresToEject && !onProbation) return
    const doublings = Math.min(current.ejections, MAXIMUM_DOUBLINGS)
    const length = Math.min(this.ejectionMilliseconds * 2 ** doublings, this.longestEjectionMilliseconds)
    current.ejections += 1
    current.consecutiveFailures = 0
    current.ejectedUntil = now + length
  }

  /**
   * Selects the endpoints that may be used.
   *
   * If a network fault makes most endpoints fail, ejecting all of them would send all requests to the few that are left and
   * overload them. A minimum fraction of the endpoints therefore stays usable. If too few are left, the ejected endpoints whose
   * ejection ends first are added.
   *
   * @param endpoints - the candidates
   * @param now - monotonic milliseconds
   * @returns the candidates that are not ejected, plus ejected ones up to the minimum fraction
   */
  usable<Item extends { readonly endpoint: EndpointId }> (endpoints: readonly Item[], now: number): readonly Item[] {
    if (this.records.size === 0 && this.hold?.isEmpty !== false) return endpoints
    const available = endpoints.filter((item) => !this.isEjected(item.endpoint, now))
    const minimum = Math.ceil(endpoints.length * this.minimumUsableShare)
    if (available.length >= minimum) return available
    const ejected = endpoints.filter((item) => this.isEjected(item.endpoint, now))
    ejected.sort((left, right) => this.ejectedUntil(left.endpoint) - this.ejectedUntil(right.endpoint))
    return [...available, ...ejected.slice(0, minimum - available.length)]
  }

  /** Forgets the failures of an endpoint that turned out to be no failures of its own. */
  forget (endpoint: EndpointId): void {
    this.records.delete(endpoint)
  }

  /** @returns whether the endpoint is ejected at this time */
  isEjected (endpoint: EndpointId, now: number): boolean {
    return (this.records.get(endpoint)?.ejectedUntil ?? -Infinity) > now || this.hold?.isHeld(endpoint, now) === true
  }

  /**
   * @returns the penalty of an endpoint, 0 to 1: 1 for an endpoint that just failed or returned from ejection, falling to 0 over
   *   the recovery time
   */
  penalty (endpoint: EndpointId, now: number): number {
    const held = this.hold?.penalty(endpoint, now) ?? 0
    const record = this.records.get(endpoint)
    if (record === undefined) return held
    const since = now - Math.max(record.lastFailureAt, record.ejectedUntil)
    return Math.max(held, Math.min(1, 1 - since / this.recoveryMilliseconds))
  }

  private ejectedUntil (endpoint: EndpointId): number {
    return Math.max(this.records.get(endpoint)?.ejectedUntil ?? -Infinity, this.hold?.heldUntil(endpoint) ?? -Infinity)
  }
}
