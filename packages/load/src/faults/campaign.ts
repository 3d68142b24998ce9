/** A series of fault runs, several at a time, whose histories are checked against every promise. */
import { HistoryChecker, standInAnswer } from '../history/index.js'
import type { CheckBounds, HistoryEvent, Violation } from '../history/index.js'
import type { Fault } from './fault.js'
import { HistoryRun } from './history-run.js'
import { SeededRandom } from './random.js'
import { planRun } from './run-plan.js'

/** Options of a campaign. */
export interface CampaignOptions {
  /** Seed of all random choices; with a single run it is the seed of that run. */
  readonly seed: number
  readonly runs: number
  /** Number of runs that are executed at the same time. */
  readonly concurrency: number
  /** Name of the mutant that all instances contain, or undefined for none. */
  readonly mutant: string | undefined
  /** Kinds of faults that a run plan chooses from; with none, nothing fails. */
  readonly kinds: readonly Fault[]
  /** Whether to start no further run after a run with a violation. */
  readonly stopAtViolation: boolean
  /** Bounds of the promises that have one, such as a time limit. Slow machines need looser bounds than the default. */
  readonly bounds?: CheckBounds
  /** Called with the history of each finished run. */
  readonly onHistory?: (run: FinishedRun) => void
}

/** The history of one run with the violations found in it. */
export interface FinishedRun {
  readonly seed: number
  readonly events: readonly HistoryEvent[]
  readonly violations: readonly Violation[]
}

/** A violation with the seed of the run in which it was found. */
export interface SeededViolation extends Violation {
  readonly seed: number
}

/** Results of a campaign over all its runs. */
export interface CampaignReport {
  readonly histories: number
  readonly requests: number
  /** Number of requests by the outcome that their callers received. */
  readonly outcomes: Readonly<Record<string, number>>
  /** Number of faults injected, by kind. */
  readonly faults: Readonly<Record<string, number>>
  readonly violations: readonly SeededViolation[]
  /** Runs that ended with an error and without a history, which therefore prove nothing; with the reason. */
  readonly failed: readonly { readonly seed: number, readonly reason: string }[]
  readonly seconds: number
}

const MAXIMUM_SEED = 2 ** 30
/** A tighter leaving grace than the default, since instance lists and heartbeats of fault runs have shorter intervals. */
const FAULT_RUN_BOUNDS: CheckBounds = { leavingGrace: 1_500, settingsInForce: 4_000, fairness: 4_096 }

/** Executes the runs of a campaign, checks their histories and collects the results. */
export class Campaign {
  private readonly options: CampaignOptions
  private readonly checker: HistoryChecker
  private readonly outcomes: Record<string, number> = {}
  private readonly faults: Record<string, number> = {}
  private readonly violations: SeededViolation[] = []
  private readonly failed: { seed: number, reason: string }[] = []
  private histories = 0
  private requests = 0

  /** @param options - options of the campaign */
  constructor (options: CampaignOptions) {
    this.options = options
    this.checker = new HistoryChecker(standInAnswer, options.bounds ?? FAULT_RUN_BOUNDS)
  }

  /** @returns the results over all runs */
  async run (): Promise<CampaignReport> {
    const startedAt = performance.now()
    const seeds = runSeeds(this.options)
    const workers = Array.from({ length: this.options.concurrency }, async () => {
      for (let seed = seeds.shift(); seed !== undefined; seed = seeds.shift()) {
        await this.runOne(seed)
        if (this.options.stopAtViolation && this.violations.length > 0) return
      }
    })
    await Promise.all(workers)
    const { histories, requests, outcomes, faults, violations, failed } = this
    return { histories, requests, outcomes, faults, violations, failed, seconds: Math.round((performance.now() - startedAt) / 100) / 10 }
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

/** A single run uses the campaign's seed itself, so that a run with a violation can be reproduced from the reported seed. */
function runSeeds ({ seed, runs }: CampaignOptions): number[] {
  if (runs === 1) return [seed]
  const random = new SeededRandom(seed)
  return Array.from({ length: runs }, () => random.between(1, MAXIMUM_SEED))
}
