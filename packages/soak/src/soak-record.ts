/** What a run saw: the faults it made, and the requests as callers saw them. Times are Unix milliseconds of this host. */
import type { SampleAnswer, SampleRequest } from '@limpetwinch/platform'

/** A fault from its start to its end. */
export interface FaultSpan {
  readonly kind: string
  /** The instance or endpoint; undefined for the store. */
  readonly target: string | undefined
  readonly from: number
  /** Infinity while it lasts. */
  to: number
}

/** A request and its answer. */
export interface ObservedRequest {
  readonly instance: string
  readonly request: SampleRequest
  readonly answer: SampleAnswer
  readonly sentAt: number
  readonly endedAt: number
}

/** An endpoint that began to leave. */
export interface ObservedLeaving {
  readonly endpoint: string
  readonly at: number
}

/** A path whose requests crash the servers that run them, where their bodies say so. */
export interface CrashingPath {
  /** Part of the path after the route's. */
  readonly path: string
  /** Into a run. */
  readonly crashesAfterMilliseconds: number
}

/** An instance that ended though nothing ended it, or not when it was ended. */
export interface LostInstance {
  readonly instance: string
  readonly reason: string
  readonly at: number
}

/** One run's record. */
export class SoakRecord {
  readonly faults: FaultSpan[] = []
  readonly requests: ObservedRequest[] = []
  readonly leavings: ObservedLeaving[] = []
  readonly crashingPaths: CrashingPath[] = []
  /** Instances that ended though nothing ended them, or not when they were ended. */
  readonly lost: LostInstance[] = []
  /** Answers to requests sent when all faults were long over. */
  readonly probes: ObservedRequest[] = []

  /** Notes the start of a fault. @returns the span, to be ended */
  beginFault (kind: string, target?: string): FaultSpan {
    const span: FaultSpan = { kind, target, from: Date.now(), to: Infinity }
    this.faults.push(span)
    return span
  }

  /** Notes an instance that was lost. */
  addLostInstance (instance: string, reason: string): void {
    this.lost.push({ instance, reason, at: Date.now() })
  }

  /** @returns faults that overlap a time, widened by a margin on both sides */
  faultsDuring (from: number, to: number, marginMilliseconds: number): FaultSpan[] {
    return this.faults.filter((fault) => fault.from <= to + marginMilliseconds && fault.to >= from - marginMilliseconds)
  }
}
