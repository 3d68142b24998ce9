/** Base class of the checks: each one checks a guarantee over one run. */
import type { PlatformDeployment } from '@limpetwinch/platform'
import type { ObservedRequest, SoakRecord } from '../soak-record.js'
import type { SoakTeams } from '../soak-teams.js'

/** Input of a check: requests as callers observed them, and the runs and load orders that the stand-ins recorded. */
export interface SoakEvidence {
  readonly record: SoakRecord
  readonly deployment: PlatformDeployment
  readonly adapterSlots: number
  /** Undefined when the run has no teams. */
  readonly teams: SoakTeams | undefined
}

/** One violation of a guarantee. Times are Unix milliseconds. */
export interface Violation {
  readonly message: string
  readonly from: number
  readonly to: number
  readonly instance?: string
  /** Id of the request concerned. */
  readonly request?: string
}

/** Check of one guarantee. */
export abstract class SoakCheck {
  /** Name of the guarantee in reports. */
  abstract readonly promise: string

  /** @returns each violation of the guarantee */
  abstract violations (evidence: SoakEvidence): Violation[]

  /** @returns a violation that concerns the request, over the time from its sending to its end */
  protected violationOf ({ request, instance, sentAt, endedAt }: ObservedRequest, message: string): Violation {
    return { message, from: sentAt, to: endedAt, instance, request: request.id }
  }
}
