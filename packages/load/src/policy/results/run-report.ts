/** The figures of one run in the form of the JSON document. */
import type { SimulationResult } from '../simulation/simulation.js'
import type { StepCounts } from '../simulation/simulated-engine.js'
import type { SimulatedRequest } from '../simulation/simulated-request.js'
import type { Trace } from '../traces/trace.js'
import { BATCH_CAPACITY } from '../simulation/engine-timing.js'
import { percentilesOf, round } from './percentiles.js'
import type { Percentiles, PercentilesAndMaximum } from './percentiles.js'

/** Figures of one team. */
export interface TeamReport {
  readonly tokens: number
  /** Tokens served while the team was backlogged, divided by its weighted share of the tokens of all backlogged teams; null without a backlog. */
  readonly share_ratio: number | null
  readonly first_token_p95_ms: number
  readonly completed: number
  readonly refused: number
}

/** Fairness between teams. */
export interface FairnessReport {
  /** The share ratio farthest from 1 among teams that were backlogged long enough; null without such a team. */
  readonly worst_share_ratio: number | null
  /** For a trace with a flood: largest ratio, over the other teams, of the p95 time to the first token with the flood to that without. */
  readonly worst_first_token_ratio?: number
  readonly per_team: Readonly<Record<string, TeamReport>>
}

/** Figures of one policy on one trace. */
export interface RunReport {
  readonly trace: string
  readonly policy: string
  readonly load_stall_ms: PercentilesAndMaximum
  readonly first_token_ms: Percentiles
  /** Sequences in all steps, divided by the capacity of these steps. */
  readonly batch_efficiency: number
  /** The same ratio for steps taken while requests waited in the queue of the engine; null without such steps. */
  readonly batch_efficiency_while_waiting: number | null
  readonly loads: number
  readonly evictions: number
  readonly refused: number
  readonly completed: number
  readonly waiting_at_end: number
  readonly lost: number
  readonly fairness: FairnessReport
}

/** Minimum fair tokens for a share ratio to count as the worst; a short backlog has too few tokens for a meaningful ratio. */
const MINIMUM_FAIR_TOKENS = 5_000

/**
 * @param trace - the trace that was replayed
 * @param policy - name of the policy
 * @param result - result of the run
 * @param control - result of the run without the flood, if the trace has one
 * @returns the figures of the run
 */
export function reportOf (trace: Trace, policy: string, result: SimulationResult, control?: SimulationResult): RunReport {
  const { requests, endedAt } = result
  const count = (state: string) => requests.filter((request) => request.state === state).length
  const { p50, p95, p99 } = percentilesOf(firstTokens(trace, result))
  return {
    trace: trace.name,
    policy,
    // A request whose adapter was never loaded counts with its wait up to the end of the run.
    load_stall_ms: percentilesOf(measured(trace, result).map((request) => request.totalStallAt(endedAt))),
    first_token_ms: { p50, p95, p99 },
    batch_efficiency: efficiency(result.steps, (counts) => counts.sequences, (counts) => counts.steps) ?? 0,
    batch_efficiency_while_waiting: efficiency(result.steps, (counts) => counts.sequencesWhileWaiting, (counts) => counts.stepsWhileWaiting),
    loads: result.loads.loads,
    evictions: result.loads.evictions,
    refused: count('refused'),
    completed: count('completed'),
    waiting_at_end: count('waiting') + count('running'),
    lost: count('lost'),
    fairness: fairnessOf(trace, result, control)
  }
}

function measured (trace: Trace, result: SimulationResult): SimulatedRequest[] {
  return result.requests.filter((request) => request.enqueuedAt >= trace.measuredFromMilliseconds)
}

/** Times to the first token; a request without a first token counts with its wait until its end or the end of the run. */
function firstTokens (trace: Trace, result: SimulationResult, team?: string): number[] {
  const requests = measured(trace, result)
  const chosen = team === undefined ? requests : requests.filter((request) => request.team === team)
  return chosen.map((request) => {
    if (request.firstTokenAt >= 0) return request.firstTokenAt - request.enqueuedAt
    return (request.endedAt >= 0 ? request.endedAt : result.endedAt) - request.enqueuedAt
  })
}

function efficiency (steps: readonly StepCounts[], sequences: (counts: StepCounts) => number, taken: (counts: StepCounts) => number): number | null {
  const all = steps.reduce((sum, counts) => sum + taken(counts), 0)
  if (all === 0) return null
  return round(steps.reduce((sum, counts) => sum + sequences(counts), 0) / (all * BATCH_CAPACITY), 4)
}

function fairnessOf (trace: Trace, result: SimulationResult, control?: SimulationResult): FairnessReport {
  const teams = [...new Set(result.requests.map((request) => request.team))].sort()
  const backlogged = result.service.backlogged()
  const perTeam: Record<string, TeamReport> = {}
  let worst: number | null = null
  for (const team of teams) {
    const share = backlogged.get(team)
    const ratio = share === undefined ? null : round(share.tokens / share.fairTokens, 4)
    const longBacklog = share !== undefined && share.fairTokens >= MINIMUM_FAIR_TOKENS
    if (longBacklog && ratio !== null && (worst === null || Math.abs(ratio - 1) > Math.abs(worst - 1))) worst = ratio
    const own = result.requests.filter((request) => request.team === team)
    perTeam[team] = {
      tokens: Math.round(result.service.tokensOf(team)),
      share_ratio: ratio,
      first_token_p95_ms: percentilesOf(firstTokens(trace, result, team)).p95,
      completed: own.filter((request) => request.state === 'completed').length,
      refused: own.filter((request) => request.state === 'refused').length
    }
  }
  const flood = control === undefined ? {} : { worst_first_token_ratio: floodRatio(trace, result, control, teams) }
  return { worst_share_ratio: worst, ...flood, per_team: perTeam }
}

function floodRatio (trace: Trace, result: SimulationResult, control: SimulationResult, teams: readonly string[]): number {
  const ratios = teams.filter((team) => team !== trace.floodTeam).map((team) =>
    percentilesOf(firstTokens(trace, result, team)).p95 / percentilesOf(firstTokens(trace, control, team)).p95)
  return round(Math.max(...ratios), 3)
}
