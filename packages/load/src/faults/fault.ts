/** What goes wrong in a fault run. */
import { setTimeout as sleep } from 'node:timers/promises'
import type { Deployment, RunningEntry } from './deployment.js'
import type { SeededRandom } from './random.js'

/** Where a fault happens. */
export interface FaultContext {
  readonly deployment: Deployment
  readonly random: SeededRandom
}

/** One kind of fault. Its run begins it, lets it last and ends it. */
export abstract class Fault {
  /** Name in reports, in kebab case. */
  abstract readonly kind: string
  /** Whether instances have to be processes for it. */
  readonly needsProcesses: boolean = false

  /** Lets the fault happen once; resolves when it is over. */
  abstract run (site: FaultContext): Promise<void>
}

/**
 * Notes a fault that keeps some instances from the newest settings, for its whole time.
 *
 * @param site - where it happens
 * @param kind - its kind
 * @param entries - the instances
 * @param happen - lets it happen
 */
export async function runRecorded (site: FaultContext, kind: string, entries: readonly RunningEntry[], happen: () => Promise<void>): Promise<void> {
  const { callerLog: log } = site.deployment
  const fault = `${kind} ${log.events.length}`
  const instances = entries.map((entry) => entry.instance)
  log.record({ event: 'fault-started', fault, kind, instances })
  await happen()
  log.record({ event: 'fault-ended', fault, kind, instances })
}

/** Waits for a time within limits, milliseconds. */
export async function sleepBetween (site: FaultContext, least: number, most: number): Promise<void> {
  await sleep(site.random.between(least, most))
}

/** @returns an instance that callers are sent to, or undefined when there is none */
export function pickEntry (site: FaultContext): RunningEntry | undefined {
  const entries = site.deployment.entries.filter((entry) => entry.receivesRequests)
  return entries.length === 0 ? undefined : site.random.pick(entries)
}
