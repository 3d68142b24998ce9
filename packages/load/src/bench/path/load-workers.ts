/** Load from separate worker processes, so that the load does not use processor time of the measured process. */
import { fileURLToPath } from 'node:url'
import { LaunchedProcess } from '@limpetwinch/stand-ins'
import { err, ok, Result } from 'neverthrow'
import type { LimpetwinchError } from '@limpetwinch/core'
import type { WorkerResult, WorkerSpec } from './worker-spec.js'

const BINARY = fileURLToPath(new URL('../../bin/limpetwinch-load.js', import.meta.url))
/** Time beyond the duration of the load in which a worker must print its result. */
const START_AND_STOP_ALLOWANCE_MILLISECONDS = 60_000

/**
 * Runs workers concurrently.
 *
 * @param specs - specification of each worker
 * @returns the result of each worker, or the first failure
 */
export async function runWorkers (specs: readonly WorkerSpec[]): Promise<Result<WorkerResult[], LimpetwinchError>> {
  const results = await Promise.all(specs.map((spec, index) => runOne(spec, `load worker ${index + 1}`)))
  return Result.combine(results)
}

async function runOne (spec: WorkerSpec, name: string): Promise<Result<WorkerResult, LimpetwinchError>> {
  const launch = { name, script: BINARY, scriptArguments: ['bench', 'worker', '--spec', JSON.stringify(spec)] }
  const worker = new LaunchedProcess(launch, () => undefined, (line) => process.stderr.write(`[${name}] ${line}\n`))
  const line = await worker.untilReady(spec.seconds * 1000 + START_AND_STOP_ALLOWANCE_MILLISECONDS)
  await worker.stop()
  return line.isErr() ? err(line.error) : ok(line.value as WorkerResult)
}
