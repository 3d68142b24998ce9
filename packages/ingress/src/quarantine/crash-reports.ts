/** Collects what this instance had in flight at a crash, and waits for the reports of all instances before the cause is decided on. */
import type { Clock } from '@limpetwinch/core'
import type { AccusedRun, EndpointCrash, InFlightRequest } from '@limpetwinch/decisions'

/** Wait between a crash and the decision on its cause: within this time, all instances have reported the requests that they had in flight at the crash. */
const REPORT_WINDOW_MILLISECONDS = 300

/** What this instance had in flight at a crash. */
export interface CrashReport {
  readonly crash: EndpointCrash
  readonly aboard: InFlightRequest[]
  readonly accusedRuns: AccusedRun[]
}

/** A report that is still collected. */
interface PendingCrashReport extends CrashReport {
  /** Resolves when the crash was recorded and the decision on its cause was made. */
  readonly recorded: Promise<void>
}

/** The reports of one instance. */
export class CrashReports {
  private readonly clock: Clock
  private readonly record: (report: CrashReport) => void
  private readonly decide: (life: string, isOwn: boolean) => void
  private readonly pendingReports = new Map<string, PendingCrashReport>()
  /** Incarnations that crashed under requests of this instance and for which no decision was made yet. */
  private readonly undecidedOwnCrashes = new Set<string>()
  private readonly pendingDecisions = new Map<string, Promise<void>>()

  /**
   * @param clock - monotonic time
   * @param record - records and announces a report
   * @param decide - looks for the cause of a crash, once all instances have reported; `isOwn` says whether this instance saw the crash
   */
  constructor (clock: Clock, record: (report: CrashReport) => void, decide: (life: string, isOwn: boolean) => void) {
    this.clock = clock
    this.record = record
    this.decide = decide
  }

  /**
   * Returns the report on a crash, to which the caller adds what was in flight. Responses of one endpoint are truncated at the same time, so
   * they are recorded and announced together, in the next turn of the event loop.
   *
   * @returns the report that is being collected; a new one if there is none
   */
  of ({ life, service }: Pick<EndpointCrash, 'life' | 'service'>): PendingCrashReport {
    return this.pendingReports.get(life) ?? this.collect({ life, service, at: this.clock.now() })
  }

  /** Waits until all instances have reported what they had in flight at a crash, and has its cause decided on. */
  async awaitDecision (life: string): Promise<void> {
    const decision = this.pendingDecisions.get(life) ?? this.decideLater(life)
    this.pendingDecisions.set(life, decision)
    await decision
  }

  private collect (crash: EndpointCrash): PendingCrashReport {
    const collected: CrashReport = { crash, aboard: [], accusedRuns: [] }
    const recorded = new Promise<void>((resolve) => setImmediate(() => {
      this.pendingReports.delete(crash.life)
      this.undecidedOwnCrashes.add(crash.life)
      this.record(collected)
      resolve(this.awaitDecision(crash.life))
    }))
    const report = { ...collected, recorded }
    this.pendingReports.set(crash.life, report)
    return report
  }

  private async decideLater (life: string): Promise<void> {
    await this.clock.sleep(REPORT_WINDOW_MILLISECONDS)
    this.pendingDecisions.delete(life)
    this.decide(life, this.undecidedOwnCrashes.delete(life))
  }
}
