/** A promise, checked over one run. */
import type { PlatformDeployment } from '@limpetwinch/platform'
import type { SoakRecord } from '../soak-record.js'

/** What a check looks at: what callers saw, and what the stand-ins ran and were ordered. */
export interface SoakEvidence {
  readonly record: SoakRecord
  readonly deployment: PlatformDeployment
  readonly adapterSlots: number
}

/** One promise. */
export abstract class SoakCheck {
  /** Its name in reports. */
  abstract readonly promise: string

  /** @returns a line for each time that it was broken */
  abstract violations (evidence: SoakEvidence): string[]
}
