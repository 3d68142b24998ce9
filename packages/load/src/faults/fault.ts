/** Base class and helpers of the faults that a fault run injects. */
import { setTimeout as sleep } from 'node:timers/promises'
import type { Deployment, RunningEntry } from './deployment.js'
import type { SeededRandom } from './random.js'

/** The deployment in which a fault is injected, and the source of its random choices. */
export interface FaultContext {
  readonly deployment: Deployment
  readonly random: SeededRandom
}

/** One kind of fault. Its method `run` begins the fault, waits and ends the fault. */
export abstract class Fault {
  /** Name of the kind in reports, in kebab case. */
  abstract readonly kind: string
  /** Whether this fault requires that each instance runs in its own process. */
  readonly needsProcesses: boolean = false

  /** Injects the fault once; resolves when the fault has ended. */
  abstract run (context: FaultContext): Promise<void>
}

/**
 * Runs a fault that keeps some instances from the latest settings, and records the start and the end of the fault.
 *
 * @param context - the deployment in which the fault is injected
 * @param kind - kind of the fault
 * @param entries - the instances that may not receive the latest settings while the fault lasts
 * @param inject - injects the fault; resolves when the fault has ended
 */
export async function runRecorded (context: FaultContext, kind: string, entries: readonly RunningEntry[], inject: () => Promise<void>): Promise<void> {
  const { callerLog } = context.deployment
  const fault = `${kind} ${callerLog.events.length}`
  const instances = entries.map((entry) => entry.instance)
  callerLog.record({ event: 'fault-started', fault, kind, instances })
  await inject()
  callerLog.record({ event: 'fault-ended', fault, kind, instances })
}

/**
 * Waits for a random time.
 *
 * @param context - source of the random choice
 * @param minimum - shortest time, milliseconds
 * @param maximum - longest time, milliseconds
 */
export async function sleepBetween (context: FaultContext, minimum: number, maximum: number): Promise<void> {
  await sleep(context.random.between(minimum, maximum))
}

/** @returns a random instance that receives requests, or undefined when there is none */
export function pickEntry (context: FaultContext): RunningEntry | undefined {
  const entries = context.deployment.entries.filter((entry) => entry.receivesRequests)
  return entries.length === 0 ? undefined : context.random.pick(entries)
}
