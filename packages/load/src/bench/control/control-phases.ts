/** The figures of the control bench. */
import { setTimeout as sleep } from 'node:timers/promises'
import { sendSignal } from './control-deployment.js'
import type { ControlDeployment, InstanceStatus, RunningEntry } from './control-deployment.js'

const POLL_INTERVAL_MILLISECONDS = 20
const MAXIMUM_WAIT_MILLISECONDS = 60_000

/** Control traffic and calls at rest, for each instance and second unless said otherwise. */
export interface IdleFigures {
  readonly bytesPerSecond: number
  readonly bytesPerSecondByKind: Readonly<Record<string, number>>
  /** Share of one core, reports of engines included. */
  readonly processorShare: number
  /** Of the whole data centre. */
  readonly storeReadsPerSecond: number
  readonly storeWritesPerSecond: number
  readonly storeWatchesPerSecond: number
}

/**
 * Measures at rest: no requests, nothing fails.
 *
 * @param seconds - how long
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

/** @returns milliseconds until every other instance holds a silent one for suspect; it is let go on afterwards */
export async function measureUnresponsiveInstance (deployment: ControlDeployment): Promise<number | undefined> {
  const [silent, ...others] = deployment.entries
  if (silent === undefined) return undefined
  sendSignal(silent.launched, 'SIGSTOP')
  const taken = await timeUntil(async () => await everyStatus(deployment, others, (status) =>
    status.members.some((member) => member.instance === silent.instance && member.state === 'suspect')))
  sendSignal(silent.launched, 'SIGCONT')
  await timeUntil(async () => await everyStatus(deployment, others, (status) =>
    status.members.some((member) => member.instance === silent.instance && member.state === 'alive')))
  return taken
}

/** @returns milliseconds from the end of an owner until a new owner says of each of its endpoints that it serves it */
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

/** @returns how long it took, or undefined when it did not come to pass */
async function timeUntil (holds: () => Promise<boolean>): Promise<number | undefined> {
  const began = performance.now()
  while (performance.now() - began < MAXIMUM_WAIT_MILLISECONDS) {
    if (await holds()) return performance.now() - began
    await sleep(POLL_INTERVAL_MILLISECONDS)
  }
  return undefined
}
