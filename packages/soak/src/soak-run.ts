/** One run: a deployment, callers, faults in series and overlapping, and the checks. */
import { setTimeout as sleep } from 'node:timers/promises'
import { SeededRandom } from '@limpetwinch/load'
import { SampleCaller } from '@limpetwinch/platform'
import type { SampleRequest, SampleRoute } from '@limpetwinch/platform'
import { SOAK_CHECKS } from './checks/index.js'
import type { SoakFault } from './faults/soak-fault.js'
import { RunMonitor } from './observation/run-monitor.js'
import type { ObservedRequest } from './soak-record.js'
import { SoakEnvironment } from './soak-environment.js'
import type { SoakSize } from './soak-environment.js'

/** Callers, each with a connection that it keeps. */
const CALLERS_PER_INSTANCE = 4
/** Engines have somebody to order them, and instances have found each other. */
const SETTLE_MILLISECONDS = 3_000
/** After the last fault: leases pass, entries lapse, connections are made anew. */
const RECOVERY_MILLISECONDS = 9_000
/** Enough that one in ten may fail by chance and a lost instance still shows. */
const PROBE_COUNT = 24
/** A cold adapter's load and a stream of the most events fit in several times. */
const PROBE_DEADLINE_MILLISECONDS = 6_000
/** More adapters than slots, so that some must make way. */
const ADAPTERS_PER_SLOT = 1.3
const MINIMUM_EVENTS = 4
const MAXIMUM_EVENTS = 30
/** Some end while their stream still runs, some while their adapter is loaded, some never; milliseconds. */
const DEADLINES_MILLISECONDS = [1_500, 4_000, 8_000] as const
/** Between two requests of a caller, milliseconds: about ten a second reach each instance. */
const THINK_TIME_MILLISECONDS = { minimum: 20, maximum: 250 }

/** What is run. */
export interface SoakPlan {
  readonly seed: number
  readonly seconds: number
  readonly size: SoakSize
  /** Faults to choose from; none for a run in which nothing goes wrong. */
  readonly faults: readonly SoakFault[]
  /** How many happen. */
  readonly faultCount: number
  readonly onLog: (instance: string, line: string) => void
}

/** A broken promise. */
export interface SoakViolation {
  readonly promise: string
  readonly message: string
  /** What was seen around it, in sentences. */
  readonly account: readonly string[]
}

/** What a run came to. */
export interface SoakOutcome {
  readonly seed: number
  readonly requests: number
  readonly served: number
  readonly faults: readonly string[]
  /** How late the soak's own timers were at most, milliseconds: how far times of this run can be off. */
  readonly lateMilliseconds: number
  readonly violations: readonly SoakViolation[]
}

/** Runs one plan. */
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
    this.environment = new SoakEnvironment(plan.size, plan.seed, new SeededRandom(plan.seed + 1), (instance, line) => {
      this.monitor.addLine(instance, line)
      plan.onLog(instance, line)
    })
    this.monitor = new RunMonitor(`s${plan.seed}-`, () => this.environment.instances.map(({ name, process }) => ({ name, processId: process.processId })))
  }

  /** @returns what it came to; everything that it started has ended then */
  async run (): Promise<SoakOutcome> {
    const { record, deployment } = this.environment
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
    const evidence = { record, deployment, adapterSlots: this.plan.size.adapterSlots }
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
    const length = seconds * 1_000
    const planned = faults.length === 0 ? [] : Array.from({ length: faultCount }, () => ({ after: this.random.between(0, length), fault: this.random.pick(faults) }))
    await Promise.all([sleep(length), ...planned.map(async ({ after, fault }) => {
      await sleep(after)
      await fault.run(this.environment)
    })])
  }

  /** One caller: keeps its connection as long as it holds, then goes to some other instance. */
  private async call (): Promise<void> {
    const random = new SeededRandom(this.random.between(1, 2 ** 30))
    while (!this.over) {
      const instance = random.pick(this.environment.instances)
      const caller = new SampleCaller(instance.url)
      let usable = true
      while (usable && !this.over) {
        const seen = await this.send(caller, instance.name, this.request(random))
        this.environment.record.requests.push(seen)
        usable = seen.answer.failure === undefined
        await sleep(random.between(THINK_TIME_MILLISECONDS.minimum, THINK_TIME_MILLISECONDS.maximum))
      }
      await caller.close()
    }
  }

  private async probe (): Promise<void> {
    const callers = this.environment.instances.map((instance) => ({ instance, caller: new SampleCaller(instance.url) }))
    for (let probe = 0; probe < PROBE_COUNT; probe += 1) {
      const { instance, caller } = this.random.pick(callers)
      const request = { ...this.request(this.random), deadlineMilliseconds: PROBE_DEADLINE_MILLISECONDS }
      this.environment.record.probes.push(await this.send(caller, instance.name, request))
    }
    await Promise.all(callers.map(async ({ caller }) => await caller.close()))
  }

  private async send (caller: SampleCaller, instance: string, request: SampleRequest): Promise<ObservedRequest> {
    const sentAt = Date.now()
    const answer = await caller.send(request)
    return { instance, request, answer, sentAt, endedAt: Date.now() }
  }

  private request (random: SeededRandom): SampleRequest {
    const { engines, adapterSlots } = this.plan.size
    const route = random.pick<SampleRoute>(['draft', 'draft', 'once', 'list', 'enter'])
    const id = `s${this.plan.seed}-${this.sent++}`
    const deadlineMilliseconds = random.pick(DEADLINES_MILLISECONDS)
    if (route === 'list' || route === 'enter') return { id, route, deadlineMilliseconds }
    const adapters = Math.ceil(engines * adapterSlots * ADAPTERS_PER_SLOT)
    // The smaller of two choices: low numbers are asked for more often.
    const adapter = `a${Math.min(random.between(1, adapters), random.between(1, adapters))}`
    return { id, route, adapter, events: random.between(MINIMUM_EVENTS, MAXIMUM_EVENTS), deadlineMilliseconds }
  }
}
