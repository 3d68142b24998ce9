/** Load from processes of their own, so that the load does not share a processor with what is measured. */
import { fileURLToPath } from 'node:url'
import { LaunchedProcess } from '@limpetwinch/stand-ins'
import { err, ok, Result } from 'neverthrow'
import type { LimpetwinchError } from '@limpetwinch/core'
import type { WorkerResult, WorkerSpec } from './worker-spec.js'

const BINARY = fileURLToPath(new URL('../../bin/limpetwinch-load.js', import.meta.url))
const START_AND_STOP_ALLOWANCE_MILLISECONDS = 60_000

/**
 * Runs workers side by side.
 *
 * @param specs - the work of each
 * @returns what each measured, or the first failure
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
