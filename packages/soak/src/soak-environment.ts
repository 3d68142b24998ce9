/** The deployment under test and what a fault may do to it, from outside only: signals, links, the stand-ins' own faults. */
import { setTimeout as sleep } from 'node:timers/promises'
import { CuttableLink } from '@limpetwinch/load'
import type { SeededRandom } from '@limpetwinch/load'
import { PlatformDeployment, SampleCaller } from '@limpetwinch/platform'
import type { LaunchedInstance, SampleRequest } from '@limpetwinch/platform'
import { SoakRecord } from './soak-record.js'

/** Signals sent to an instance. */
export type InstanceSignal = 'SIGTERM' | 'SIGKILL' | 'SIGSTOP' | 'SIGCONT'

const HANGUP_REASON = 'signal SIGHUP'

/** How large a run is. */
export interface SoakSize {
  readonly instances: number
  readonly engines: number
  readonly webServers: number
  readonly adapterSlots: number
}

/** One deployment in one run. */
export class SoakEnvironment {
  readonly record = new SoakRecord()
  readonly deployment: PlatformDeployment
  readonly random: SeededRandom
  private readonly links = new Map<number, CuttableLink>()
  private readonly intentionallyEnded = new Set<string>()
  /** Instances that have written a line in their present life. */
  private readonly instancesWithOutput = new Set<string>()
  private readonly relaunches = new Map<number, Promise<void>>()
  private readonly seed: number
  private version = 1
  private asked = 0

  /**
   * @param size - how large
   * @param seed - of the run
   * @param random - of the faults
   * @param onLog - gets each line of each instance
   */
  constructor (size: SoakSize, seed: number, random: SeededRandom, onLog: (instance: string, line: string) => void) {
    this.seed = seed
    this.random = random
    this.deployment = new PlatformDeployment({
      ...size,
      keepsIds: seed % 2 === 0,
      onLog: (name, line) => {
        this.instancesWithOutput.add(name)
        onLog(name, line)
      },
      onUnexpectedEnd: (name, reason) => this.lost(name, reason),
      storeUrlFor: async (index, url) => {
        const link = this.links.get(index) ?? new CuttableLink(url)
        if (this.links.has(index)) return link.listening
        this.links.set(index, link)
        return await link.listen()
      }
    })
  }

  /** @returns instances that callers are sent to now */
  get instances (): readonly LaunchedInstance[] {
    return this.deployment.instances
  }

  /** @returns the link between an instance and the store */
  linkOf (index: number): CuttableLink | undefined {
    return this.links.get(index)
  }

  /** Sends a signal to an instance that this run started. */
  signal (instance: LaunchedInstance, signal: InstanceSignal): void {
    const { processId } = instance.process
    if (signal === 'SIGTERM' || signal === 'SIGKILL') this.intentionallyEnded.add(instance.name)
    if (processId !== undefined && !instance.process.hasEnded) process.kill(processId, signal)
  }

  /**
   * Starts an instance again under its name and waits until it is ready. Faults overlap: one that finds the instance
   * replaced already has nothing to start.
   */
  async relaunch (index: number, ended: LaunchedInstance): Promise<void> {
    const before = this.relaunches.get(index) ?? Promise.resolve()
    const relaunched = before.then(async () => {
      if (this.instances[index] !== ended) return
      // Every way here has sent SIGKILL, or the process has ended: the wait is the kernel's own.
      await ended.process.untilEnded()
      this.intentionallyEnded.delete(ended.name)
      this.instancesWithOutput.delete(ended.name)
      const launched = await this.deployment.launch(index)
      this.deployment.instances[index] = launched
      // The next fault may end it before it is ready, and starts it again.
      await this.deployment.untilReady(launched).catch((cause: unknown) => { if (!this.intentionallyEnded.has(ended.name)) this.record.addLostInstance(ended.name, String(cause)) })
    })
    this.relaunches.set(index, relaunched)
    await relaunched
  }

  /** Sends a request to some instance on a connection of its own, and notes what came of it. */
  async sendRequest (request: Omit<SampleRequest, 'id'>): Promise<void> {
    const instance = this.random.pick(this.instances)
    const caller = new SampleCaller(instance.url)
    const identified = { ...request, id: `s${this.seed}-f${this.asked++}` }
    const sentAt = Date.now()
    const answer = await caller.send(identified)
    this.record.requests.push({ instance: instance.name, request: identified, answer, sentAt, endedAt: Date.now() })
    await caller.close()
  }

  /** Writes a newer configuration. */
  changeConfiguration (): void {
    this.version += this.random.between(1, 3)
    this.deployment.configure(this.version)
  }

  /** Ends all that this run started. @returns names of instances that had to be killed */
  async stop (): Promise<string[]> {
    for (const instance of this.instances) this.signal(instance, 'SIGCONT')
    for (const { name } of this.instances) this.intentionallyEnded.add(name)
    const killed = await this.deployment.stop()
    await Promise.all([...this.links.values()].map(async (link) => await link.close()))
    return killed
  }

  /**
   * SIGHUP ends a process that has not run a line of the program yet; no program can help that, and the platform starts it
   * again, as it does here. From the program's first line on it is a loss.
   */
  private lost (name: string, reason: string): void {
    if (this.intentionallyEnded.has(name)) return
    const index = this.instances.findIndex((instance) => instance.name === name)
    const ended = this.instances[index]
    if (reason !== HANGUP_REASON || this.instancesWithOutput.has(name) || ended === undefined) {
      this.record.addLostInstance(name, reason)
      return
    }
    this.intentionallyEnded.add(name)
    void this.relaunch(index, ended)
  }

  /** Waits for a time between the two, milliseconds. */
  async wait (least: number, most: number): Promise<void> {
    await sleep(this.random.between(least, most))
  }
}
