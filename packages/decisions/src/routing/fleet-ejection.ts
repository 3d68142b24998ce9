/**
 * Decides when an endpoint that sends responses without an end is out of use at all instances, and how it returns. Every instance counts the
 * failures that all instances tell each other of, so all reach the same decision without asking anybody.
 */
import type { EndpointId } from '@limpetwinch/core'
import { rendezvousWeight } from './rendezvous.js'

/** Failures over all instances that put an endpoint out of use: one may be a fault of the way, and each costs a caller its answer. */
const FAILURES_TO_EJECT = 3
/** Time within which these failures must happen. */
const FAILURE_WINDOW_MILLISECONDS = 30_000
/** Time out of use before the first trial; doubled with each trial that fails, up to the longest. */
const FIRST_EJECTION_MILLISECONDS = 2_000
const LONGEST_EJECTION_MILLISECONDS = 60_000
/** Complete responses in a row after which the endpoint is in use again. */
const ANSWERS_TO_RESTORE = 3
/** Time for which one instance alone tries the endpoint; then it is the turn of another one, which may have more suitable requests. */
const TURN_MILLISECONDS = 2_000
/** Time over which a restored endpoint gets its share of requests back. */
const RECOVERY_MILLISECONDS = 4_000
/** Upper bound of the exponent of 2, so that the duration stays a finite number after any number of ejections. */
const MAXIMUM_DOUBLINGS = 16

/** Whether an endpoint is in use, gets no requests, or gets one request at a time from one instance. */
export type FleetPhase = 'in-use' | 'out' | 'trial'

/** An endpoint that is out of use, as instances tell it to an instance that joins. */
export interface FleetEjectionState {
  readonly endpoint: EndpointId
  /** How often the endpoint was put out of use in a row. */
  readonly ejections: number
  /** Time until it is tried, milliseconds; 0 when it is tried already. */
  readonly milliseconds: number
}

interface EndpointRecord {
  /** Monotonic times of the failures that count. */
  failures: number[]
  ejections: number
  /** Monotonic time from which the endpoint is tried; undefined while it is in use. */
  trialFrom: number | undefined
  answers: number
  restoredAt: number
}

/** The decisions of one instance on all endpoints. Only endpoints that failed use memory. */
export class FleetEjection {
  private readonly records = new Map<EndpointId, EndpointRecord>()

  /** @returns the phase of an endpoint */
  phase (endpoint: EndpointId, now: number): FleetPhase {
    const trialFrom = this.records.get(endpoint)?.trialFrom
    if (trialFrom === undefined) return 'in-use'
    return now < trialFrom ? 'out' : 'trial'
  }

  /**
   * Records a failure that this instance saw or was told of.
   *
   * @returns whether the endpoint is out of use by it; `ignored` for one that was sent before the endpoint was put out of use
   */
  failed (endpoint: EndpointId, now: number): 'counted' | 'ejected' | 'ignored' {
    const record = this.recordOf(endpoint)
    const phase = this.phase(endpoint, now)
    if (phase === 'out') return 'ignored'
    record.failures = [...record.failures.filter((at) => now - at < FAILURE_WINDOW_MILLISECONDS), now]
    if (phase === 'in-use' && record.failures.length < FAILURES_TO_EJECT) return 'counted'
    const doublings = Math.min(record.ejections, MAXIMUM_DOUBLINGS)
    this.eject(record, record.ejections + 1, Math.min(FIRST_EJECTION_MILLISECONDS * 2 ** doublings, LONGEST_EJECTION_MILLISECONDS), now)
    return 'ejected'
  }

  /** Takes over what another instance knows, unless this instance has put the endpoint out of use itself. @returns whether this is new */
  adopt ({ endpoint, ejections, milliseconds }: FleetEjectionState, now: number): boolean {
    if (this.phase(endpoint, now) !== 'in-use') return false
    this.eject(this.recordOf(endpoint), ejections, Math.min(milliseconds, LONGEST_EJECTION_MILLISECONDS), now)
    return true
  }

  /** Records a complete response of an endpoint that is tried. @returns whether the endpoint is in use again */
  answered (endpoint: EndpointId, now: number): boolean {
    const record = this.records.get(endpoint)
    if (record === undefined || this.phase(endpoint, now) !== 'trial') return false
    record.answers += 1
    return record.answers >= ANSWERS_TO_RESTORE && this.restore(endpoint, now)
  }

  /** Puts an endpoint in use again. @returns whether it was out of use */
  restore (endpoint: EndpointId, now: number): boolean {
    const record = this.records.get(endpoint)
    if (record?.trialFrom === undefined) return false
    record.trialFrom = undefined
    record.failures = []
    record.restoredAt = now
    return true
  }

  /** Forgets an endpoint, which has left or started again. */
  forget (endpoint: EndpointId): void {
    this.records.delete(endpoint)
  }

  /**
   * @param instances - the instances that may try the endpoint, by any name that is the same everywhere
   * @returns the instance whose turn it is; undefined when there is none
   */
  trialInstance (endpoint: EndpointId, instances: readonly string[], now: number): string | undefined {
    const turn = Math.floor((now - (this.records.get(endpoint)?.trialFrom ?? now)) / TURN_MILLISECONDS)
    const weight = (instance: string): number => rendezvousWeight(`${endpoint} ${turn}`, instance)
    return instances.reduce<string | undefined>((best, each) => best === undefined || weight(each) > weight(best) ? each : best, undefined)
  }

  /** @returns the penalty of an endpoint, 0 to 1: 1 when it is put in use again, falling to 0 over the recovery time */
  penalty (endpoint: EndpointId, now: number): number {
    const record = this.records.get(endpoint)
    if (record === undefined || record.trialFrom !== undefined) return 0
    return Math.max(0, 1 - (now - record.restoredAt) / RECOVERY_MILLISECONDS)
  }

  /** @returns monotonic time from which the endpoint is tried; -Infinity while it is in use */
  trialFrom (endpoint: EndpointId): number {
    return this.records.get(endpoint)?.trialFrom ?? -Infinity
  }

  /** @returns the endpoints that are out of use or tried */
  ejected (now: number): readonly FleetEjectionState[] {
    return [...this.records].flatMap(([endpoint, { ejections, trialFrom }]) => trialFrom === undefined ? [] : [{ endpoint, ejections, milliseconds: Math.max(0, trialFrom - now) }])
  }

  private eject (record: EndpointRecord, ejections: number, milliseconds: number, now: number): void {
    record.ejections = ejections
    record.trialFrom = now + milliseconds
    record.answers = 0
    record.failures = []
  }

  private recordOf (endpoint: EndpointId): EndpointRecord {
    const known = this.records.get(endpoint)
    if (known !== undefined) return known
    const record: EndpointRecord = { failures: [], ejections: 0, trialFrom: undefined, answers: 0, restoredAt: -Infinity }
    this.records.set(endpoint, record)
    return record
  }
}
