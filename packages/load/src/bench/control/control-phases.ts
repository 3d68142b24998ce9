/** The measurements of the control bench. */
import { setTimeout as sleep } from 'node:timers/promises'
import { sendSignal } from './control-deployment.js'
import type { ControlDeployment, InstanceStatus, RunningEntry } from './control-deployment.js'

const POLL_INTERVAL_MILLISECONDS = 20
const MAXIMUM_WAIT_MILLISECONDS = 60_000

/** Control traffic and store calls without requests, per instance and second unless stated otherwise. */
export interface IdleFigures {
  readonly bytesPerSecond: number
  readonly bytesPerSecondByKind: Readonly<Record<string, number>>
  /** Processor time as a share of one core, including the handling of engine reports. */
  readonly processorShare: number
  /** Store calls per second of the whole data centre. */
  readonly storeReadsPerSecond: number
  readonly storeWritesPerSecond: number
  readonly storeWatchesPerSecond: number
}

/**
 * Measures an idle deployment: no requests and no failures.
 *
 * @param deployment - a started deployment
 * @param seconds - duration of the measurement, seconds
 * @returns the measured figures
 */
export async function measureIdle (deployment: ControlDeployment, seconds: number): Promise<IdleFigures> {
  const before = await sample(deployment)
  await sleep(1_000 * seconds)
  const after = await sample(deployment)
  const elapsed = (after.at - before.at) / 1_000
  const perInstance = elapsed * deployment.entries.length
  const bytesPerSecondByKind: Record<string, number> = {}
  for (const [kind, bytes] of Object.entries(after.bytesByKind)) {
    bytesPerSecondByKind[kind] = (bytes - (before.bytesByKind[kind] ?? 0)) / perInstance
  }
  return {
    bytesPerSecond: Object.values(bytesPerSecondByKind).reduce((sum, bytes) => sum + bytes, 0),
    bytesPerSecondByKind,
    processorShare: (after.processorMicroseconds - before.processorMicroseconds) / 1e6 / perInstance,
    storeReadsPerSecond: (after.calls.reads - before.calls.reads) / elapsed,
    storeWritesPerSecond: (after.calls.writes - before.calls.writes) / elapsed,
    storeWatchesPerSecond: (after.calls.watches - before.calls.watches) / elapsed
  }
}

/** @returns milliseconds until every other instance reports a paused instance as suspect; the paused instance is resumed afterwards */
export async function measureUnresponsiveInstance (deployment: ControlDeployment): Promise<number | undefined> {
  const [paused, ...others] = deployment.entries
  if (paused === undefined) return undefined
  sendSignal(paused.launched, 'SIGSTOP')
  const taken = await timeUntil(async () => await everyStatus(deployment, others, (status) =>
    status.members.some((member) => member.instance === paused.instance && member.state === 'suspect')))
  sendSignal(paused.launched, 'SIGCONT')
  await timeUntil(async () => await everyStatus(deployment, others, (status) =>
    status.members.some((member) => member.instance === paused.instance && member.state === 'alive')))
  return taken
}

/** @returns milliseconds from the kill of an owner until each endpoint is healthy and has another owner */
export async function measureKilledOwner (deployment: ControlDeployment): Promise<number | undefined> {
  const [first, ...rest] = deployment.entries
  if (first === undefined || rest.length === 0) return undefined
  const owned = (await deployment.status(first)).endpoints.filter((endpoint) => endpoint.healthy)
  const killed = deployment.entries.find((entry) => owned.some((endpoint) => endpoint.owner === entry.instance))
  const watcher = deployment.entries.find((entry) => entry !== killed)
  if (killed === undefined || watcher === undefined) return undefined
  sendSignal(killed.launched, 'SIGKILL')
  return await timeUntil(async () => {
    const { endpoints } = await deployment.status(watcher)
    return endpoints.every((endpoint) => endpoint.owner !== undefined && endpoint.owner !== killed.instance && endpoint.healthy)
  })
}

async function sample (deployment: ControlDeployment): Promise<{ at: number, bytesByKind: Record<string, number>, processorMicroseconds: number, calls: Awaited<ReturnType<ControlDeployment['calls']>> }> {
  const statuses = await Promise.all(deployment.entries.map(async (entry) => await deployment.status(entry)))
  const bytesByKind: Record<string, number> = {}
  for (const { frames } of statuses) {
    for (const [kind, { bytesSent, bytesReceived }] of Object.entries(frames)) {
      bytesByKind[kind] = (bytesByKind[kind] ?? 0) + bytesSent + bytesReceived
    }
  }
  const used = statuses.map(({ process }) => process.cpuUserMicroseconds + process.cpuSystemMicroseconds)
  return { at: performance.now(), bytesByKind, processorMicroseconds: used.reduce((sum, one) => sum + one, 0), calls: await deployment.calls() }
}

async function everyStatus (deployment: ControlDeployment, entries: readonly RunningEntry[], holds: (status: InstanceStatus) => boolean): Promise<boolean> {
  const statuses = await Promise.all(entries.map(async (entry) => await deployment.status(entry)))
  return statuses.every(holds)
}

/** @returns the milliseconds until the condition held, or undefined when it did not hold within the maximum wait */
async function timeUntil (holds: () => Promise<boolean>): Promise<number | undefined> {
  const began = performance.now()
  while (performance.now() - began < MAXIMUM_WAIT_MILLISECONDS) {
    if (await holds()) return performance.now() - began
    await sleep(POLL_INTERVAL_MILLISECONDS)
  }
  return undefined
}
