/** A promise, checked over one run. */
import type { PlatformDeployment } from '@limpetwinch/platform'
import type { ObservedRequest, SoakRecord } from '../soak-record.js'

/** What a check looks at: what callers saw, and what the stand-ins ran and were ordered. */
export interface SoakEvidence {
  readonly record: SoakRecord
  readonly deployment: PlatformDeployment
  readonly adapterSlots: number
}

/** One time that a promise was broken. Times are Unix milliseconds. */
export interface Violation {
  readonly message: string
  readonly from: number
  readonly to: number
  readonly instance?: string
  /** Its id. */
  readonly request?: string
}

/** One promise. */
export abstract class SoakCheck {
  /** Its name in reports. */
  abstract readonly promise: string

  /** @returns each time that it was broken */
  abstract violations (evidence: SoakEvidence): Violation[]

  /** @returns the violation that a request saw */
  protected violationOf ({ request, instance, sentAt, endedAt }: ObservedRequest, message: string): Violation {
    return { message, from: sentAt, to: endedAt, instance, request: request.id }
  }
}
