/**
 * Runs the followers of all kinds of store objects, but only while the instance must read the platform's store itself. Each kind is
 * read by one follower of `cluster-state/store-follower.ts`. A prober asks beside them, also while a hub reads the store.
 */
import type { Clock, Logger } from '@limpetwinch/core'
import type { Supervisor } from '@limpetwinch/entry'
import { StateProber } from '../cluster-state/state-prober.js'
import { createFollowers, REGISTRATION_MILLISECONDS } from './platform-followers.js'
import type { FollowerDependencies, PlatformFollowers } from './platform-followers.js'
import { StoreGate } from './store-gate.js'

/** Longest wait at the start for the listing of members, which takes some milliseconds. Afterwards the other objects are read anyway. */
const FIRST_LISTING_MILLISECONDS = 100
/** Time after the first listing in which a hub is expected to have stated all kinds of state. */
const FIRST_STATE_MILLISECONDS = 1_000

/** Conditions that decide whether the store is read. */
export interface StoreReaderConditions {
  /** @returns whether this instance must read the store itself */
  readonly isNeeded: () => boolean
  /** @returns whether the members are known */
  readonly areMembersKnown: () => boolean
  /** Called after probes that the store answered. */
  readonly onProbed: () => void
}

/** Starts the followers of one instance and decides when they read. */
export class StoreReader {
  private readonly followers: PlatformFollowers
  private readonly clusterGate: StoreGate
  private readonly gate: StoreGate
  private readonly prober: StateProber

  constructor (dependencies: FollowerDependencies, { isNeeded, areMembersKnown, onProbed }: StoreReaderConditions, clock: Clock, logger: Logger) {
    const { platform, freshness, isFirstStart } = dependencies
    this.followers = createFollowers(dependencies)
    this.clusterGate = new StoreGate(isNeeded, clock, logger)
    const startedAt = clock.now()
    // The members decide whether a hub reads the other objects for this instance, so the members are read first.
    const isDue = (): boolean => {
      const milliseconds = clock.now() - startedAt
      return isFirstStart ? milliseconds > REGISTRATION_MILLISECONDS : areMembersKnown() || milliseconds > FIRST_LISTING_MILLISECONDS
    }
    this.gate = new StoreGate(() => isNeeded() && isDue(), clock, logger)
    this.prober = new StateProber({
      clock,
      logger,
      freshness,
      sources: this.followers.byKind,
      isReader: isNeeded,
      renewConnections: () => platform.store.renewConnections(),
      firstStateMilliseconds: (isFirstStart ? REGISTRATION_MILLISECONDS : FIRST_LISTING_MILLISECONDS) + FIRST_STATE_MILLISECONDS,
      onAnswered: onProbed,
      random: Math.random
    })
  }

  /** Starts the tasks that read the store. */
  start (supervisor: Supervisor): void {
    const { clusterGate, gate, followers } = this
    void supervisor.start('cluster gate', async (signal) => { await clusterGate.run(signal) })
    void supervisor.start('store gate', async (signal) => { await gate.run(signal) })
    void supervisor.start('cluster follower', async (signal) => { await clusterGate.runWhileOpen(followers.byKind.cluster, signal) })
    for (const [index, follower] of followers.others.entries()) void supervisor.start(`follower ${index}`, async (signal) => { await gate.runWhileOpen(follower, signal) })
    void supervisor.start('state prober', async (signal) => { await this.prober.run(signal) })
  }

  /** Checks again whether the store must be read, after a change that may affect this. */
  reevaluate (): void {
    this.clusterGate.reevaluate()
    this.gate.reevaluate()
  }

  /** Asks the store for the newest configuration at once, also while a hub reads the store for this instance. */
  async confirmConfiguration (): Promise<void> {
    await this.followers.byKind.configuration.confirm()
  }

  /** Lists all objects again, after a process pause in which any change may have been missed. */
  refresh (): void {
    for (const follower of Object.values(this.followers.byKind)) follower.refresh()
  }
}
