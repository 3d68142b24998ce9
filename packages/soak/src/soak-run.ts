/** One soak run: starts a deployment and callers, injects faults, which may overlap, and runs the checks. */
import { setTimeout as sleep } from 'node:timers/promises'
import { SeededRandom } from '@limpetwinch/load'
import { requestStream, SampleCaller } from '@limpetwinch/platform'
import type { SampleRequest, SampleRoute } from '@limpetwinch/platform'
import { SOAK_CHECKS } from './checks/index.js'
import type { SoakFault } from './faults/soak-fault.js'
import { RunMonitor } from './observation/run-monitor.js'
import type { ObservedRequest } from './soak-record.js'
import { SoakEnvironment } from './soak-environment.js'
import { usualPromptParts } from './usual-prompts.js'
import type { SoakSize } from './soak-environment.js'

/** Number of callers per instance; each caller keeps one connection open. */
const CALLERS_PER_INSTANCE = 4
/** Time after the start in which load owners are elected and instances discover each other. */
const SETTLE_MILLISECONDS = 3_000
/** Time after the last fault in which leases and entries expire and connections are re-established. */
const RECOVERY_MILLISECONDS = 9_000
/** Large enough to detect a lost instance although one request in ten may fail by chance. */
const PROBE_COUNT = 24
/** Several times the duration of the load of a cold adapter and a stream of maximum length. */
const PROBE_DEADLINE_MILLISECONDS = 6_000
/** Above 1, so that there are more adapters than slots and some must be evicted. */
const ADAPTERS_PER_SLOT = 1.3
const MINIMUM_EVENTS = 4
const MAXIMUM_EVENTS = 30
/** The deadlines pass during a stream, during an adapter load, or not at all. */
const DEADLINES_MILLISECONDS = [1_500, 4_000, 8_000] as const
/** Pause between two requests of a caller; gives about ten requests per second at each instance. */
const THINK_TIME_MILLISECONDS = { minimum: 20, maximum: 250 }

/** Parameters of a run. */
export interface SoakPlan {
  readonly seed: number
  /** Length of the period in which faults start. */
  readonly seconds: number
  readonly size: SoakSize
  /** Faults to choose from; empty for a run without faults. */
  readonly faults: readonly SoakFault[]
  /** Whether requests need keys of teams; false by default. */
  readonly hasTeams?: boolean
  /** Whether engines of two software versions serve, and callers drop some streams and take up streams that are cut off; false by default. */
  readonly hasVersions?: boolean
  /** Number of faults to inject. */
  readonly faultCount: number
  readonly onLog: (instance: string, line: string) => void
}

/** A violation of a guarantee. */
export interface SoakViolation {
  readonly promise: string
  readonly message: string
  /** Observations around the violation, in sentences. */
  readonly account: readonly string[]
}

/** Result of a run. */
export interface SoakOutcome {
  readonly seed: number
  readonly requests: number
  readonly served: number
  readonly faults: readonly string[]
  /** Maximum delay of the soak's own timers: the possible error of all times of this run. */
  readonly lateMilliseconds: number
  readonly violations: readonly SoakViolation[]
}

/** Executes one plan. */
export class SoakRun {
  private readonly plan: SoakPlan
  private readonly random: SeededRandom
  private readonly environment: SoakEnvironment
  private readonly monitor: RunMonitor
  private sent = 0
  private over = false

  constructor (plan: SoakPlan) {
    this.plan = plan
    this.random = new SeededRandom(plan.seed)
    this.environment = new SoakEnvironment(plan.size, plan.seed, new SeededRandom(plan.seed + 1), plan.hasTeams === true, plan.hasVersions === true, (instance, line) => {
      this.monitor.addLine(instance, line)
      plan.onLog(instance, line)
    })
    this.monitor = new RunMonitor(`s${plan.seed}-`, () => this.environment.instances.map(({ name, process }) => ({ name, processId: process.processId })))
  }

  /** @returns the result; all processes that the run started have ended by then */
  async run (): Promise<SoakOutcome> {
    const { record, deployment, teams } = this.environment
    this.monitor.start()
    try {
      await deployment.start()
      await sleep(SETTLE_MILLISECONDS)
      const callers = Array.from({ length: this.plan.size.instances * CALLERS_PER_INSTANCE }, async () => await this.call())
      await this.makeFaults()
      this.over = true
      await Promise.all(callers)
      await sleep(RECOVERY_MILLISECONDS)
      await this.probe()
    } finally {
      this.over = true
      for (const name of await this.environment.stop()) record.addLostInstance(name, 'it had to be killed at the end')
      this.monitor.stop()
    }
    const evidence = { record, deployment, teams, adapterSlots: this.plan.size.adapterSlots }
    return {
      seed: this.plan.seed,
      requests: record.requests.length,
      served: record.requests.filter(({ answer }) => answer.status === 200 && answer.whole).length,
      faults: record.faults.map(({ kind }) => kind),
      lateMilliseconds: this.monitor.maximumTimerDelayMilliseconds,
      violations: SOAK_CHECKS.flatMap((check) => check.violations(evidence).map((violation) => ({
        promise: check.promise, message: violation.message, account: this.monitor.describeViolation(violation, record)
      })))
    }
  }

  private async makeFaults (): Promise<void> {
    const { faults, faultCount, seconds } = this.plan
    const periodMilliseconds = seconds * 1_000
    const planned = faults.length === 0 ? [] : Array.from({ length: faultCount }, () => ({ after: this.random.between(0, periodMilliseconds), fault: this.random.pick(faults) }))
    await Promise.all([sleep(periodMilliseconds), ...planned.map(async ({ after, fault }) => {
      await sleep(after)
      await fault.run(this.environment)
    })])
  }

  /** Runs one caller: it keeps its connection until the connection fails, then picks a random instance. */
  private async call (): Promise<void> {
    const random = new SeededRandom(this.random.between(1, 2 ** 30))
    while (!this.over) {
      const instance = this.environment.instanceForConnection(random)
      const caller = new SampleCaller(instance.url)
      let usable = true
      while (usable && !this.over && !this.opensAnotherConnection(random, instance.name)) {
        usable = await this.serveCaller(random, caller, instance.name)
        await sleep(random.between(THINK_TIME_MILLISECONDS.minimum, THINK_TIME_MILLISECONDS.maximum))
      }
      await caller.close()
    }
  }

  /** @returns whether a caller leaves its connection, as callers do more often while the load balancer favours an instance */
  private opensAnotherConnection (random: SeededRandom, instance: string): boolean {
    const { favoured } = this.environment
    return favoured !== undefined && instance !== favoured && random.between(0, 1) === 0
  }

  /** Sends the next request of a caller. @returns whether the caller keeps its connection */
  private async serveCaller (random: SeededRandom, caller: SampleCaller, instance: string): Promise<boolean> {
    const request = this.request(random)
    if (this.plan.hasVersions === true && request.route === 'draft') {
      await this.takeUpStream(random, request)
      return true
    }
    const observed = await this.send(caller, instance, request)
    this.environment.record.requests.push(observed)
    return observed.answer.failure === undefined
  }

  /** Asks for a stream, drops it in some cases, and takes it up at other instances until it is whole or its time is over. */
  private async takeUpStream (random: SeededRandom, request: SampleRequest): Promise<void> {
    const { record, instances } = this.environment
    const drops = random.pick([true, false, false])
    const streamed = drops ? { ...request, dropAfterEvents: random.between(1, request.events ?? 1) } : request
    const stream = await requestStream(streamed, () => random.pick(instances).url)
    record.streams.push(stream)
    const nameOf = (url: string): string => instances.find((instance) => instance.url === url)?.name ?? 'an instance that has ended'
    record.requests.push(...stream.requests.map(({ url, ...observed }) => ({ instance: nameOf(url), ...observed })))
  }

  private async probe (): Promise<void> {
    const callers = this.environment.instances.map((instance) => ({ instance, caller: new SampleCaller(instance.url) }))
    for (let probe = 0; probe < PROBE_COUNT; probe += 1) {
      const { instance, caller } = this.random.pick(callers)
      const request = { ...this.request(this.random, false), deadlineMilliseconds: PROBE_DEADLINE_MILLISECONDS }
      this.environment.record.probes.push(await this.send(caller, instance.name, request))
    }
    await Promise.all(callers.map(async ({ caller }) => await caller.close()))
  }

  private async send (caller: SampleCaller, instance: string, request: SampleRequest): Promise<ObservedRequest> {
    const sentAt = Date.now()
    const answer = await caller.send(request)
    return { instance, request, answer, sentAt, endedAt: Date.now() }
  }

  /** @param mayLackKey - whether the key may be one that was taken away */
  private request (random: SeededRandom, mayLackKey = true): SampleRequest {
    const { teams } = this.environment
    const unkeyed = this.unkeyedRequest(random)
    if (teams === undefined) return unkeyed
    return { ...unkeyed, key: mayLackKey ? teams.keyOf(random) : teams.steadyKey }
  }

  private unkeyedRequest (random: SeededRandom): SampleRequest {
    const { engines, adapterSlots } = this.plan.size
    const route = random.pick<SampleRoute>(['draft', 'draft', 'once', 'list', 'enter'])
    const id = `s${this.plan.seed}-${this.sent++}`
    const deadlineMilliseconds = random.pick(DEADLINES_MILLISECONDS)
    if (route === 'list' || route === 'enter') return { id, route, deadlineMilliseconds }
    const adapterCount = Math.ceil(engines * adapterSlots * ADAPTERS_PER_SLOT)
    // The smaller of two random numbers, so that adapters with low numbers are requested more often.
    const adapter = `a${Math.min(random.between(1, adapterCount), random.between(1, adapterCount))}`
    const promptParts = [...usualPromptParts(this.sent), id]
    return { id, route, adapter, events: random.between(MINIMUM_EVENTS, MAXIMUM_EVENTS), deadlineMilliseconds, promptParts }
  }
}
