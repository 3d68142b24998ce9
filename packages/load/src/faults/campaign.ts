/** Many fault runs, some at a time, each checked against every promise. */
import { HistoryChecker, standInAnswer } from '../history/index.js'
import type { CheckBounds, HistoryEvent, Violation } from '../history/index.js'
import type { Fault } from './fault.js'
import { HistoryRun } from './history-run.js'
import { SeededRandom } from './random.js'
import { planRun } from './run-plan.js'

/** What is run. */
export interface CampaignOptions {
  /** Everything that is chosen follows from it. */
  readonly seed: number
  readonly runs: number
  /** Runs at a time. */
  readonly concurrency: number
  readonly mutant: string | undefined
  /** Kinds of faults to choose from. */
  readonly kinds: readonly Fault[]
  /** Ends after the first run with a violation. */
  readonly stopAtViolation: boolean
  /** Bounds of the promises that speak of time; where machines are slow, looser ones. */
  readonly bounds?: CheckBounds
  /** Called with each history. */
  readonly onHistory?: (run: FinishedRun) => void
}

/** One checked history. */
export interface FinishedRun {
  readonly seed: number
  readonly events: readonly HistoryEvent[]
  readonly violations: readonly Violation[]
}

/** A violation with the seed of its run. */
export interface SeededViolation extends Violation {
  readonly seed: number
}

/** What came out. */
export interface CampaignReport {
  readonly histories: number
  readonly requests: number
  /** Requests by what their callers were told. */
  readonly outcomes: Readonly<Record<string, number>>
  /** Faults that happened, by kind. */
  readonly faults: Readonly<Record<string, number>>
  readonly violations: readonly SeededViolation[]
  /** Runs that came to no history, with the reason: they prove nothing. */
  readonly failed: readonly { readonly seed: number, readonly reason: string }[]
  readonly seconds: number
}

const MAXIMUM_SEED = 2 ** 30
/** Tighter than the promises' own, since lists and heartbeats of fault runs are quicker. */
const FAULT_RUN_BOUNDS: CheckBounds = { leavingGrace: 1_500, settingsInForce: 4_000, fairness: 4_096 }

/** Runs and checks. */
export class Campaign {
  private readonly options: CampaignOptions
  private readonly checker: HistoryChecker
  private readonly outcomes: Record<string, number> = {}
  private readonly faults: Record<string, number> = {}
  private readonly violations: SeededViolation[] = []
  private readonly failed: { seed: number, reason: string }[] = []
  private histories = 0
  private requests = 0

  /** @param options - what is run */
  constructor (options: CampaignOptions) {
    this.options = options
    this.checker = new HistoryChecker(standInAnswer, options.bounds ?? FAULT_RUN_BOUNDS)
  }

  /** @returns the report over all runs */
  async run (): Promise<CampaignReport> {
    const began = performance.now()
    const seeds = runSeeds(this.options)
    const workers = Array.from({ length: this.options.concurrency }, async () => {
      for (let seed = seeds.shift(); seed !== undefined; seed = seeds.shift()) {
        await this.runOne(seed)
        if (this.options.stopAtViolation && this.violations.length > 0) return
      }
    })
    await Promise.all(workers)
    const { histories, requests, outcomes, faults, violations, failed } = this
    return { histories, requests, outcomes, faults, violations, failed, seconds: Math.round((performance.now() - began) / 100) / 10 }
  }

  private async runOne (seed: number): Promise<void> {
    const plan = planRun(seed, this.options.mutant, this.options.kinds)
    try {
      const events = await new HistoryRun(plan).run()
      const violations = this.checker.check(events)
      this.histories += 1
      for (const event of events) this.count(event)
      for (const { fault } of plan.faults) this.faults[fault.kind] = (this.faults[fault.kind] ?? 0) + 1
      for (const violation of violations) this.violations.push({ seed, ...violation })
      this.options.onHistory?.({ seed, events, violations })
    } catch (cause) {
      this.failed.push({ seed, reason: cause instanceof Error ? cause.message : String(cause) })
    }
  }

  private count (event: HistoryEvent): void {
    if (event.event === 'request-sent') this.requests += 1
    if (event.event === 'request-ended') this.outcomes[event.outcome] = (this.outcomes[event.outcome] ?? 0) + 1
  }
}

/** A single run keeps its seed, so that the seed of a violation can be run again by itself. */
function runSeeds ({ seed, runs }: CampaignOptions): number[] {
  if (runs === 1) return [seed]
  const random = new SeededRandom(seed)
  return Array.from({ length: runs }, () => random.between(1, MAXIMUM_SEED))
}
