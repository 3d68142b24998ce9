/** Ejects endpoints that fail and lets them return gently. */
import type { EndpointId } from '@limpetwinch/core'

/** How soon an endpoint is ejected and how it returns. */
export interface OutlierEjectionOptions {
  /** Failures in a row that eject. */
  readonly failuresToEject?: number
  /** First ejection, milliseconds; doubled with each ejection that follows soon. */
  readonly ejectionMilliseconds?: number
  readonly longestEjectionMilliseconds?: number
  /** Share of the endpoints that stays in use whatever fails, 0 to 1. */
  readonly minimumUsableShare?: number
  /** Time over which a returning endpoint's penalty falls to nothing, milliseconds. */
  readonly recoveryMilliseconds?: number
}

interface FailureRecord {
  consecutiveFailures: number
  ejections: number
  ejectedUntil: number
  lastFailureAt: number
}

const MAXIMUM_DOUBLINGS = 16

/** Follows failures of endpoints; keeps a record only for those that failed. */
export class OutlierEjection {
  private readonly records = new Map<EndpointId, FailureRecord>()
  private readonly failuresToEject: number
  private readonly ejectionMilliseconds: number
  private readonly longestEjectionMilliseconds: number
  private readonly minimumUsableShare: number
  private readonly recoveryMilliseconds: number

  constructor (options: OutlierEjectionOptions = {}) {
    this.failuresToEject = options.failuresToEject ?? 3
    this.ejectionMilliseconds = options.ejectionMilliseconds ?? 2_000
    this.longestEjectionMilliseconds = options.longestEjectionMilliseconds ?? 60_000
    this.minimumUsableShare = options.minimumUsableShare ?? 0.5
    this.recoveryMilliseconds = options.recoveryMilliseconds ?? 10_000
  }

  /** Tells how an attempt ended. */
  observe (endpoint: EndpointId, result: 'answered' | 'failed', now: number): void {
    const record = this.records.get(endpoint)
    if (result === 'answered') {
      if (record === undefined) return
      record.consecutiveFailures = 0
      const forgotten = now - record.lastFailureAt > this.recoveryMilliseconds && now >= record.ejectedUntil + this.recoveryMilliseconds
      if (forgotten) this.records.delete(endpoint)
      return
    }
    this.failed(endpoint, record, now)
  }

  private failed (endpoint: EndpointId, record: FailureRecord | undefined, now: number): void {
    const current = record ?? { consecutiveFailures: 0, ejections: 0, ejectedUntil: -Infinity, lastFailureAt: now }
    this.records.set(endpoint, current)
    current.consecutiveFailures += 1
    current.lastFailureAt = now
    // Attempts that were under way when it was ejected fail late; they must not lengthen the ejection.
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
   * Picks the endpoints that may be used.
   *
   * When a fault of the network makes most endpoints fail, ejecting them all would send everything to the few that are
   * left, which then fail as well. The floor keeps a share in use, those whose ejection ends first.
   *
   * @param endpoints - the candidates
   * @param now - monotonic milliseconds
   * @returns those not ejected, filled up to the floor
   */
  usable<Item extends { readonly endpoint: EndpointId }> (endpoints: readonly Item[], now: number): readonly Item[] {
    if (this.records.size === 0) return endpoints
    const kept = endpoints.filter((item) => !this.isEjected(item.endpoint, now))
    const least = Math.ceil(endpoints.length * this.minimumUsableShare)
    if (kept.length >= least) return kept
    const ejected = endpoints.filter((item) => this.isEjected(item.endpoint, now))
    ejected.sort((left, right) => this.ejectedUntil(left.endpoint) - this.ejectedUntil(right.endpoint))
    return [...kept, ...ejected.slice(0, least - kept.length)]
  }

  /** @returns whether the endpoint is ejected now */
  isEjected (endpoint: EndpointId, now: number): boolean {
    return this.ejectedUntil(endpoint) > now
  }

  /** @returns 1 for an endpoint that has just failed or returned, falling to 0 over the return time */
  penalty (endpoint: EndpointId, now: number): number {
    const record = this.records.get(endpoint)
    if (record === undefined) return 0
    const since = now - Math.max(record.lastFailureAt, record.ejectedUntil)
    return Math.max(0, Math.min(1, 1 - since / this.recoveryMilliseconds))
  }

  private ejectedUntil (endpoint: EndpointId): number {
    return this.records.get(endpoint)?.ejectedUntil ?? -Infinity
  }
}
