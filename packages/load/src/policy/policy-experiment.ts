/** Replays traces with the policies under test. */
import { reportOf } from './results/run-report.js'
import type { RunReport } from './results/run-report.js'
import type { PolicyUnderTest } from './simulation/policy-bundle.js'
import { Simulation } from './simulation/simulation.js'
import { TRACE_GENERATORS } from './traces/generated-traces.js'
import type { DeploymentSize, Trace } from './traces/trace.js'

/** Size of the simulated deployment by default. */
export const DEFAULT_DEPLOYMENT_SIZE: DeploymentSize = { engines: 13, slots: 8, loadsPerSecond: 4 }

/** Default length of the generated traces, seconds. */
export const DEFAULT_TRACE_SECONDS = 300

/**
 * @param seed - seed of all random numbers
 * @param size - size of the simulated deployment
 * @param seconds - length of each trace, seconds
 * @returns the seven generated traces
 */
export function generateTraces (seed: number, size: DeploymentSize = DEFAULT_DEPLOYMENT_SIZE, seconds = DEFAULT_TRACE_SECONDS): Trace[] {
  return TRACE_GENERATORS.map((make) => make({ seed, size, seconds }))
}

/** @returns the figures of one policy on one trace */
export function runPolicy (trace: Trace, policy: PolicyUnderTest): RunReport {
  const result = new Simulation(trace, policy.make(trace.size)).run()
  if (trace.control === undefined) return reportOf(trace, policy.name, result)
  const control = new Simulation(trace, policy.make(trace.size), { requests: trace.control }).run()
  return reportOf(trace, policy.name, result, control)
}
