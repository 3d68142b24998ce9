/** The two plots that accompany the table of figures. */
import { BASELINE_POLICIES, PRODUCT_POLICIES } from '../policies/policies-under-test.js'
import { Simulation } from '../simulation/simulation.js'
import type { PolicyUnderTest } from '../simulation/policy-bundle.js'
import type { SimulationResult } from '../simulation/simulation.js'
import type { Trace } from '../traces/trace.js'
import { distributionOf, svgOf } from './plots.js'
import type { PlotLine } from './plots.js'

/** Time span of one point of the plot of tokens by team, seconds. */
const POINT_SECONDS = 10

/** @returns an SVG plot of the distribution of load stalls under the product's policies and the baselines */
export function stallPlot (trace: Trace): string {
  const lines = [...PRODUCT_POLICIES, ...BASELINE_POLICIES].map((policy) => {
    const result = run(trace, policy)
    const measured = result.requests.filter((request) => request.enqueuedAt >= trace.measuredFromMilliseconds)
    return { name: policy.name, points: distributionOf(measured.map((request) => request.totalStallAt(result.endedAt))) }
  })
  return svgOf({ title: `Load stalls: ${trace.name}`, horizontal: 'share of requests with at most this stall, %', vertical: 'stall, s', lines })
}

/** @returns an SVG plot of the tokens of each team over time under the product's policy */
export function sharePlot (trace: Trace): string {
  const [policy] = PRODUCT_POLICIES
  if (policy === undefined) throw new Error('The list of product policies is empty, so there is nothing to plot.')
  const lines = linesByTeam(run(trace, policy))
  return svgOf({ title: `Tokens by team: ${trace.name}, ${policy.name}`, horizontal: 'time, s', vertical: 'weighed tokens a second', lines })
}

function linesByTeam (result: SimulationResult): PlotLine[] {
  const teams = new Map<string, Map<number, number>>()
  for (const window of result.service.windows) {
    const point = Math.ceil(window.at / 1_000 / POINT_SECONDS) * POINT_SECONDS
    for (const [team, tokens] of window.tokens) {
      const points = teams.get(team) ?? new Map<number, number>()
      teams.set(team, points.set(point, (points.get(point) ?? 0) + tokens / POINT_SECONDS))
    }
  }
  return [...teams].sort(([left], [right]) => left.localeCompare(right, 'en', { numeric: true }))
    .map(([name, points]) => ({ name, points: [...points].map(([at, rate]) => [at, Math.round(rate)] as const) }))
}

function run (trace: Trace, policy: PolicyUnderTest): SimulationResult {
  return new Simulation(trace, policy.make(trace.size)).run()
}
