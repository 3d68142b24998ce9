/** Runs the load of one worker. */
import { runClosedLoop } from '../../driving/closed-loop.js'
import { LoadMetrics } from '../../driving/load-metrics.js'
import { runOpenLoop } from '../../driving/open-loop.js'
import { RequestDriver } from '../../driving/request-driver.js'
import { EngineTarget } from '../../targets/engine-target.js'
import { EntryTarget } from '../../targets/entry-target.js'
import { drawTrace } from '../../trace/trace.js'
import type { TraceLine } from '../../trace/trace.js'
import type { WorkerResult, WorkerSpec } from './worker-spec.js'

/** Requests drawn for a closed loop, which sends them repeatedly. */
const CLOSED_LOOP_LINES = 1000

/** @returns the measurements of the worker */
export async function runWorker (spec: WorkerSpec): Promise<WorkerResult> {
  const through = new LoadMetrics()
  const straight = new LoadMetrics()
  const entry = new EntryTarget(spec.entry, () => spec.key)
  const engines = spec.engines.map((url) => new EngineTarget(url))
  const throughDriver = new RequestDriver(through, undefined)
  if (spec.load.mode === 'closed') {
    const { callers } = spec.load
    const lines = drawWorkerTrace(spec, CLOSED_LOOP_LINES, 1, spec.seed)
    await runClosedLoop({ callers, seconds: spec.seconds, lines }, entry, throughDriver)
  } else {
    const { throughRate, straightRate } = spec.load
    await Promise.all([
      throughRate === 0
        ? undefined
        : runOpenLoop(drawWorkerTrace(spec, throughRate, spec.seconds, spec.seed), [entry], throughDriver),
      straightRate === 0
        ? undefined
        : runOpenLoop(drawWorkerTrace(spec, straightRate, spec.seconds, spec.seed + 1), engines, new RequestDriver(straight, undefined))
    ])
  }
  await Promise.all([entry, ...engines].map((target) => target.close()))
  return { through: through.summary(), straight: straight.summary() }
}

function drawWorkerTrace (spec: WorkerSpec, requestsPerSecond: number, seconds: number, seed: number): TraceLine[] {
  const { models, promptTokens, outputTokens } = spec
  return drawTrace({ seed, requestsPerSecond, seconds, models, skew: 0, promptTokens, outputTokens, onceShare: 0, priorityClass: 'normal' })
}
