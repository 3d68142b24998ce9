/** Compares the figures of the policies with the committed bounds. */
import { BASELINE_POLICIES, POLICIES_UNDER_TEST } from '../policies/policies-under-test.js'
import { DEFAULT_DEPLOYMENT_SIZE, generateTraces, runPolicy } from '../policy-experiment.js'
import type { PolicyUnderTest } from '../simulation/policy-bundle.js'
import { CHECKED_SECONDS } from './policy-bounds.js'
import type { CheckedFigure, PolicyBound } from './policy-bounds.js'
import { round } from './percentiles.js'
import type { RunReport } from './run-report.js'

/** One bound with the measured figure. */
export interface CheckedBound extends PolicyBound {
  readonly measured: number
  readonly holds: boolean
}

/** Seed of all checked traces. */
const CHECKED_SEED = 1

/**
 * @param bounds - the bounds to check
 * @returns each bound with the figure of a new run
 */
export function checkPolicy (bounds: readonly PolicyBound[]): CheckedBound[] {
  const runs = new RunCache()
  return bounds.map((bound) => {
    const measured = round(measure(bound, runs), 4)
    const holds = bound.kind === 'at most' ? measured <= bound.bound : measured >= bound.bound
    return { ...bound, measured, holds }
  })
}

/** Runs each pair of trace and policy once and keeps the report; runs it again when the control run is needed and missing. */
class RunCache {
  private readonly reports = new Map<string, RunReport>()

  /** @param withControl - whether the run without the flood is needed too */
  run (traceName: string, policy: PolicyUnderTest, withControl: boolean): RunReport {
    const key = `${traceName}: ${policy.name}`
    const known = this.reports.get(key)
    const reusable = known !== undefined && (!withControl || known.fairness.worst_first_token_ratio !== undefined)
    if (reusable) return known
    const trace = generateTraces(CHECKED_SEED, DEFAULT_DEPLOYMENT_SIZE, CHECKED_SECONDS[traceName]).find(({ name }) => name === traceName)
    if (trace === undefined) throw new Error(`A bound names the trace '${traceName}', which does not exist.`)
    const { control, ...plain } = trace
    const report = runPolicy(withControl ? trace : plain, policy)
    this.reports.set(key, report)
    return report
  }
}

function measure (bound: PolicyBound, runs: RunCache): number {
  const policy = POLICIES_UNDER_TEST.find(({ name }) => name === bound.policy)
  if (policy === undefined) throw new Error(`A bound names the policy '${bound.policy}', which does not exist.`)
  const withControl = bound.figure === 'first token in a flood'
  const own = figureOf(runs.run(bound.trace, policy, withControl), bound.figure)
  if (bound.against === 'nothing') return own
  const others = BASELINE_POLICIES.map((baseline) => figureOf(runs.run(bound.trace, baseline, withControl), bound.figure))
  const better = bound.kind === 'at most' ? Math.min(...others) : Math.max(...others)
  return own / better
}

function figureOf (report: RunReport, figure: CheckedFigure): number {
  switch (figure) {
    case 'stall p95': return report.load_stall_ms.p95
    case 'stall p99': return report.load_stall_ms.p99
    case 'batch efficiency': return report.batch_efficiency
    case 'batch efficiency while waiting': return report.batch_efficiency_while_waiting ?? 0
    case 'completed': return report.completed
    case 'first token in a flood': return report.fairness.worst_first_token_ratio ?? Infinity
    case 'worst share': return Math.abs((report.fairness.worst_share_ratio ?? Infinity) - 1)
  }
}
