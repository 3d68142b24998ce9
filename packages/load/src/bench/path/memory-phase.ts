/** Measures the memory of an instance by the number of configured adapters. */
import { setTimeout as sleep } from 'node:timers/promises'
import type { LimpetwinchError } from '@limpetwinch/core'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { BenchDeployment } from './bench-deployment.js'
import { slopeOf } from './path-report.js'
import type { MemorySlope } from './path-report.js'

const ADAPTER_COUNTS = [3_000, 70_000, 140_000]
const SETTLE_MILLISECONDS = 4_000
const READINGS = 5
const READING_INTERVAL_MILLISECONDS = 500

/** @returns the resident memory of a new instance for each number of adapters, and the bytes per adapter */
export async function measureMemory (): Promise<Result<MemorySlope, LimpetwinchError>> {
  const points: { adapters: number, residentBytes: number }[] = []
  for (const adapters of ADAPTER_COUNTS) {
    const residentBytes = await residentAt(adapters)
    if (residentBytes.isErr()) return err(residentBytes.error)
    points.push({ adapters, residentBytes: residentBytes.value })
  }
  return ok({ points, bytesPerAdapter: slopeOf(points.map((point) => ({ x: point.adapters, y: point.residentBytes }))) })
}

async function residentAt (adapters: number): Promise<Result<number, LimpetwinchError>> {
  const deployment = new BenchDeployment()
  try {
    const started = await deployment.start({ engines: 0, adapters })
    if (started.isErr()) return err(started.error)
    await sleep(SETTLE_MILLISECONDS)
    const readings: number[] = []
    for (let reading = 0; reading < READINGS; reading += 1) {
      readings.push((await deployment.usage()).residentBytes)
      await sleep(READING_INTERVAL_MILLISECONDS)
    }
    return ok(readings.sort((one, other) => one - other)[Math.floor(READINGS / 2)] ?? 0)
  } finally {
    await deployment.stop()
  }
}
