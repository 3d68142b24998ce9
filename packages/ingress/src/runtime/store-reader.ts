/** Reads the platform's store for one instance, while no hub does it for it. */
import type { Clock, Logger } from '@limpetwinch/core'
import type { Supervisor } from '@limpetwinch/entry'
import { makeFollowers } from './platform-followers.js'
import type { FollowerDependencies, PlatformFollowers } from './platform-followers.js'
import { StoreGate } from './store-gate.js'

/** The listing of the members comes within some milliseconds; without it the rest is read all the same. */
const FIRST_LISTING_MILLISECONDS = 100

/** Who decides whether the store is read. */
export interface StoreReaderConditions {
  /** @returns whether nobody reads the store for this instance */
  readonly isNeeded: () => boolean
  /** @returns whether the members are known */
  readonly areMembersKnown: () => boolean
}

/** The followers of one instance and what starts and stops them. */
export class StoreReader {
  private readonly followers: PlatformFollowers
  private readonly clusterGate: StoreGate
  private readonly gate: StoreGate

  constructor (parts: FollowerDependencies, { isNeeded, areMembersKnown: knowsMembers }: StoreReaderConditions, clock: Clock, logger: Logger) {
    this.followers = makeFollowers(parts)
    this.clusterGate = new StoreGate(isNeeded, clock, logger)
    const startedAt = clock.now()
    // Who the others are says whether a hub reads the rest for this instance.
    this.gate = new StoreGate(() => isNeeded() && (knowsMembers() || clock.now() - startedAt > FIRST_LISTING_MILLISECONDS), clock, logger)
  }

  /** Starts the tasks that read. */
  start (supervisor: Supervisor): void {
    const { clusterGate, gate, followers } = this
    void supervisor.start('cluster gate', async (signal) => { await clusterGate.run(signal) })
    void supervisor.start('store gate', async (signal) => { await gate.run(signal) })
    void supervisor.start('cluster follower', async (signal) => { await clusterGate.runWhileOpen(followers.cluster, signal) })
    for (const [index, follower] of followers.others.entries()) void supervisor.start(`follower ${index}`, async (signal) => { await gate.runWhileOpen(follower, signal) })
  }

  /** Something has changed that may decide whether the store is read. */
  reevaluate (): void {
    this.clusterGate.reevaluate()
    this.gate.reevaluate()
  }

  /** Lists everything again, after a pause in which anything may have been missed. */
  refresh (): void {
    for (const follower of [this.followers.cluster, ...this.followers.others]) follower.refresh()
  }
}
