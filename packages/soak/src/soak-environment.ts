/** The deployment under test, and the operations of faults on it. All act from outside: signals, network links and faults of the stand-ins. */
import { setTimeout as sleep } from 'node:timers/promises'
import { CuttableLink } from '@limpetwinch/load'
import type { SeededRandom } from '@limpetwinch/load'
import { PlatformDeployment, SAMPLE_MODEL, SampleCaller } from '@limpetwinch/platform'
import type { LaunchedInstance, SampleRequest, SampleRoute } from '@limpetwinch/platform'
import { SoakRecord } from './soak-record.js'
import { SoakTeams, TEAM_BOUNDS } from './soak-teams.js'

/** Signals sent to an instance. */
export type InstanceSignal = 'SIGTERM' | 'SIGKILL' | 'SIGSTOP' | 'SIGCONT'

/** Share of new connections that the favoured instance gets, in percent. */
const FAVOURED_PERCENT = 85
const HANGUP_REASON = 'signal SIGHUP'

/** Size of the deployment of a run. */
export interface SoakSize {
  readonly instances: number
  readonly engines: number
  readonly webServers: number
  readonly adapterSlots: number
}

/** The deployment of one run. */
export class SoakEnvironment {
  readonly record = new SoakRecord()
  readonly deployment: PlatformDeployment
  readonly random: SeededRandom
  /** Parts of prompts that crash the model servers that answer on them, with the time to the crash. */
  readonly crashingParts = new Map<string, number>()
  /** The instance to which the load balancer hands most new connections; undefined when all instances get the same share. */
  favoured: LaunchedInstance['name'] | undefined
  /** Undefined when requests need no key. */
  readonly teams: SoakTeams | undefined
  private readonly links = new Map<number, CuttableLink>()
  private readonly intentionallyEnded = new Set<string>()
  /** Instances that have written a line in their current incarnation. */
  private readonly instancesWithOutput = new Set<string>()
  private readonly relaunches = new Map<number, Promise<void>>()
  private readonly seed: number
  private version = 1
  private adapterVersion = 1
  private asked = 0

  /**
   * @param size - size of the deployment
   * @param seed - seed of the run
   * @param random - random numbers of the faults
   * @param hasTeams - whether requests need keys
   * @param hasVersions - whether engines of two software versions serve
   * @param onLog - receives each log line of each instance
   */
  constructor (size: SoakSize, seed: number, random: SeededRandom, hasTeams: boolean, hasVersions: boolean, onLog: (instance: string, line: string) => void) {
    this.seed = seed
    this.random = random
    this.teams = hasTeams ? new SoakTeams() : undefined
    this.deployment = new PlatformDeployment({
      ...size,
      ...(this.teams === undefined ? {} : { teams: this.teams.current(), bounds: TEAM_BOUNDS }),
      ...(hasVersions ? { softwareVersions: ['v1', 'v1.1'] } : {}),
      keepsIds: seed % 2 === 0,
      crashingParts: this.crashingParts,
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

  /** @returns the current instances, by index */
  get instances (): readonly LaunchedInstance[] {
    return this.deployment.instances
  }

  /** @returns the link between an instance and the store */
  linkOf (index: number): CuttableLink | undefined {
    return this.links.get(index)
  }

  /** Sends a signal to an instance that this run started. */
  signal (instance: LaunchedInstance, signal: InstanceSignal): void {
    const { processId, hasEnded } = instance.process
    // Another fault may have ended and replaced this process: its successor, which has the same name, is not ended by this signal.
    if (hasEnded || processId === undefined) return
    if (signal === 'SIGTERM' || signal === 'SIGKILL') this.intentionallyEnded.add(instance.name)
    process.kill(processId, signal)
  }

  /**
   * Starts an instance again under its name and waits until the instance is ready. Does nothing if the instance has already been
   * replaced, because faults can overlap.
   */
  async relaunch (index: number, ended: LaunchedInstance): Promise<void> {
    const previous = this.relaunches.get(index) ?? Promise.resolve()
    const relaunched = previous.then(async () => {
      if (this.instances[index] !== ended) return
      // Every caller has sent SIGKILL or seen the process end, so this waits for the kernel only.
      await ended.process.untilEnded()
      this.intentionallyEnded.delete(ended.name)
      this.instancesWithOutput.delete(ended.name)
      const launched = await this.deployment.launch(index)
      this.deployment.instances[index] = launched
      // Not a lost instance if another fault kills the process before it is ready: that fault starts it again.
      await this.deployment.untilReady(launched).catch((cause: unknown) => { if (!this.intentionallyEnded.has(ended.name)) this.record.addLostInstance(ended.name, String(cause)) })
    })
    this.relaunches.set(index, relaunched)
    await relaunched
  }

  /** @returns the instance to which the load balancer hands a new connection */
  instanceForConnection (random: SeededRandom): LaunchedInstance {
    const favoured = this.instances.find(({ name, process }) => name === this.favoured && !process.hasEnded)
    const chosen = random.pick(this.instances)
    return favoured !== undefined && random.between(0, 99) < FAVOURED_PERCENT ? favoured : chosen
  }

  /** Sends a request to a random instance on a new connection and records the response. */
  async sendRequest (request: Omit<SampleRequest, 'id'>): Promise<void> {
    await this.sendTo(this.instanceForConnection(this.random), request)
  }

  private async sendTo (instance: LaunchedInstance, request: Omit<SampleRequest, 'id'>): Promise<void> {
    const caller = new SampleCaller(instance.url)
    const identified = { ...request, id: `s${this.seed}-f${this.asked++}` }
    const sentAt = Date.now()
    const answer = await caller.send(identified)
    this.record.requests.push({ instance: instance.name, request: identified, answer, sentAt, endedAt: Date.now() })
    await caller.close()
  }

  /** Writes a new configuration version. */
  changeConfiguration (): void {
    this.version += this.random.between(1, 3)
    this.record.addedRoutes.push({ route: `added-${this.version}`, at: Date.now() })
    const addedRoutes = this.record.addedRoutes.map(({ route }) => route)
    this.deployment.configure(this.version, { addedRoutes, ...(this.teams === undefined ? {} : { teams: this.teams.current() }) })
  }

  /** Sends a request on a route to each instance, each on a new connection. */
  async sendToAll (route: SampleRoute, deadlineMilliseconds: number): Promise<void> {
    const key = this.teams === undefined ? {} : { key: this.teams.steadyKey }
    await Promise.all(this.instances.map(async (instance) => { await this.sendTo(instance, { route, deadlineMilliseconds, ...key }) }))
  }

  /** Announces a new version of an adapter. */
  announceVersion (adapter: string): void {
    this.adapterVersion += 1
    const path = `${SAMPLE_MODEL}.${adapter}`
    const Spec = { Model: SAMPLE_MODEL, Adapter: adapter, Version: this.adapterVersion }
    const { objects } = this.deployment.store
    if (objects.create('versions', path, Spec).kind === 'conflict') objects.replace('versions', path, { Spec }, undefined)
    this.record.announcedVersions.push({ adapter, version: this.adapterVersion, at: Date.now() })
  }

  /** Writes a new configuration version without one of the keys. */
  revokeKey (): void {
    const key = this.teams?.revoke(this.random)
    if (key === undefined) return
    this.changeConfiguration()
    this.record.revocations.push({ key, at: Date.now() })
  }

  /** Stops all processes and links of this run. @returns names of instances that had to be killed */
  async stop (): Promise<string[]> {
    for (const instance of this.instances) this.signal(instance, 'SIGCONT')
    for (const { name } of this.instances) this.intentionallyEnded.add(name)
    const killed = await this.deployment.stop()
    await Promise.all([...this.links.values()].map(async (link) => await link.close()))
    return killed
  }

  /**
   * Handles an unexpected end of an instance. SIGHUP ends a process that has not yet installed its signal handler, which no program
   * can prevent; such an instance is started again, as the platform does. After the first output of the program, the end is recorded as a loss.
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

  /** Waits for a random time between two limits, in milliseconds. */
  async wait (minimum: number, maximum: number): Promise<void> {
    await sleep(this.random.between(minimum, maximum))
  }
}
