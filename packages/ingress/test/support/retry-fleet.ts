/** A fleet of instances before one service that refuses requests, under simulated time and without a network: counts the retries that arrive there. */
import { silentLogger } from '@limpetwinch/core'
import { RetryBudgets } from '../../src/retries/retry-budgets.js'
import { SlackPart } from '../../src/retries/slack-part.js'
import type { ServiceName } from '../../src/routes/configuration.js'

export const SERVICE = 'guide' as ServiceName
export const SETTINGS = { share: 0.2, slack: 52, windowMilliseconds: 10_000 }

const STEP_MILLISECONDS = 10
const MOST_ATTEMPTS = 4
/** Time from an attempt to the next one of the same request. */
const RETRY_MILLISECONDS = 20
/** Longest time from the decision on a retry until it arrives, most of which is a connection that takes long to open. */
const MOST_DELAY_MILLISECONDS = 150

/** What an instance knows of the members of the fleet. */
export interface FleetMembership {
  /** @returns names of the listed members; undefined before the first listing */
  readonly names: () => ReadonlySet<string> | undefined
  readonly self: string
  /** Whether the process is one of those with which the fleet starts for the first time. */
  readonly isFirstStart: boolean
}

/** One process of the fleet. */
interface FleetInstance {
  readonly name: string
  readonly budgets: Pick<RetryBudgets, 'request' | 'tryRetry'>
}

/** Creates the retry budgets of a process; tests replace it to show that the check catches what goes wrong otherwise. */
export type CreateBudgets = (membership: FleetMembership) => FleetInstance['budgets']

/** The traffic of a fleet. */
export interface FleetTraffic {
  readonly requestsPerSecond: number
  /** @returns the part of the arrivals that the service refuses at a time, 0 to 1 */
  readonly refusedShare: (now: number) => number
}

/** @returns the budgets that an instance of the product has */
export const createBudgets: CreateBudgets = ({ names, self, isFirstStart }) => new RetryBudgets({
  settings: SETTINGS,
  slackPart: new SlackPart({ self, listedNames: names, windowMilliseconds: SETTINGS.windowMilliseconds, isFirstStart }),
  logger: silentLogger(),
  metrics: { retryDecided: () => {} }
})

/** The fleet, its callers and the arrivals at the service. */
export class RetryFleet {
  now = 0
  served = 0
  readonly requests: number[] = []
  /** Times of the arrivals beyond the first of each request. */
  readonly retries: number[] = []
  /** Whether the listing of the members can be read; a process that starts meanwhile knows no members. */
  isStoreAvailable = true
  private readonly instances = new Map<string, FleetInstance>()
  private readonly listed = new Set<string>()
  private readonly random: () => number
  private readonly create: CreateBudgets
  private readonly planned: { readonly at: number, readonly act: () => void }[] = []
  private due = 0

  constructor (size: number, random: () => number, create: CreateBudgets = createBudgets) {
    this.random = random
    this.create = create
    for (let number = 0; number < size; number += 1) this.start(`instance-${number}`)
  }

  get names (): string[] {
    return [...this.instances.keys()]
  }

  /** Starts a process; the store lists it under its name unless the store is away. */
  start (name: string): void {
    if (this.isStoreAvailable) this.listed.add(name)
    let known = this.isStoreAvailable ? this.listed : undefined
    const names = (): ReadonlySet<string> | undefined => {
      if (this.isStoreAvailable) {
        this.listed.add(name)
        known = this.listed
      }
      return known
    }
    this.instances.set(name, { name, budgets: this.create({ names, self: name, isFirstStart: this.now === 0 }) })
  }

  /** Kills a process; its name stays listed. */
  kill (name: string): void {
    this.instances.delete(name)
  }

  /** Stops a process in order; it leaves the listing. */
  stop (name: string): void {
    this.kill(name)
    this.listed.delete(name)
  }

  /** Plans something for a time. */
  at (milliseconds: number, act: () => void): void {
    this.planned.push({ at: milliseconds, act })
    this.planned.sort((one, other) => one.at - other.at)
  }

  /**
   * Lets callers send requests until a time.
   *
   * @param chooses - returns the names of the instances that get new requests; all that run by default
   */
  run (until: number, { requestsPerSecond, refusedShare }: FleetTraffic, chooses: () => readonly string[] = () => this.names): void {
    for (; this.now < until; this.now += STEP_MILLISECONDS) {
      while (this.planned[0] !== undefined && this.planned[0].at <= this.now) this.planned.shift()?.act()
      this.due += requestsPerSecond * STEP_MILLISECONDS / 1_000
      for (; this.due >= 1; this.due--) this.request(chooses(), refusedShare)
    }
  }

  /** Largest number of retries in any window, as a share of what is allowed there. */
  get mostUsed (): number {
    const { windowMilliseconds, share, slack } = SETTINGS
    const arrivals = [...this.retries].sort((one, other) => one - other)
    return Math.max(0, ...arrivals.map((end) => {
      const from = end - windowMilliseconds
      const requests = Math.max(this.requestsIn(from, end), this.requestsIn(from - windowMilliseconds, from), this.requestsIn(from - windowMilliseconds / 2, end - windowMilliseconds / 2))
      return arrivals.filter((at) => at > from && at <= end).length / (share * requests + slack)
    }))
  }

  private requestsIn (from: number, to: number): number {
    return this.requests.filter((at) => at > from && at <= to).length
  }

  private request (names: readonly string[], refusedShare: FleetTraffic['refusedShare']): void {
    this.requests.push(this.now)
    const instance = this.instances.get(names[Math.floor(this.random() * names.length)] ?? '')
    if (instance === undefined) return
    instance.budgets.request(SERVICE, this.now)
    this.attempt(instance, refusedShare, 1)
  }

  private attempt (instance: FleetInstance, refusedShare: FleetTraffic['refusedShare'], tries: number): void {
    if (this.random() >= refusedShare(this.now)) {
      this.served += 1
      return
    }
    if (tries >= MOST_ATTEMPTS) return
    this.at(this.now + RETRY_MILLISECONDS, () => {
      if (this.instances.get(instance.name) !== instance) return
      if (!instance.budgets.tryRetry({ service: SERVICE, requestId: undefined, tries }, this.now)) return
      this.retries.push(this.now + this.random() * MOST_DELAY_MILLISECONDS)
      this.attempt(instance, refusedShare, tries + 1)
    })
  }
}
