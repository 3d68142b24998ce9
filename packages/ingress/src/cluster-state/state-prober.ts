/**
 * Asks the store at once for each kind of state that has not been proved to be current for a part of its limit.
 *
 * A watch that waits on a connection that has fallen silent looks like a store in which nothing changes, for as long as the watch may
 * wait. A probe is a short call, so its silence is noticed at once; it is then repeated on new connections.
 */
import type { Clock, Logger } from '@limpetwinch/core'
import type { FollowerActivity, ProbeOutcome } from './store-follower.js'
import { STATE_KINDS } from './state-freshness.js'
import type { StateFreshness, StateKind } from './state-freshness.js'

/**
 * Age at which an instance that reads the store asks it, as a part of the limit. The rest is left for a probe that gets no answer, for
 * its repetition and for passing the state on to instances that do not read the store.
 */
const READER_SHARE = 0.35
/** Age at which another instance asks the store itself: the statements of its hub have not come for a while. */
const OTHER_SHARE = 0.7
/** Part of the limit over which the probes of instances are spread at random: the first one tells the others what it has learnt. */
const SPREAD_SHARE = 0.15
/**
 * An instance that reads the store asks for a kind that would be due soon together with one that is due: from this part of the age at which it
 * would be. Another instance lists what it asks for, so it asks for no more than it has to.
 */
const TOGETHER_SHARE = 0.7
/** Time without an answer after which a probe is repeated on new connections; the store answers within some tens of milliseconds when it is well. */
const SILENT_AFTER_MILLISECONDS = 300
/** Shortest and longest time between two checks. */
const SHORTEST_CHECK_MILLISECONDS = 20
const LONGEST_CHECK_MILLISECONDS = 500
/** Shortest and longest pause after probes of which none was answered; it doubles each time, so that a failing store gets fewer calls. */
const SHORTEST_PAUSE_MILLISECONDS = 250
const LONGEST_PAUSE_MILLISECONDS = 2_000

/** A kind of state as the store has it. */
export interface ProbedSource {
  readonly activity: FollowerActivity
  /** Asks the store for all changes that are not known yet. */
  readonly probe: () => Promise<ProbeOutcome>
  /** Ends the watch that waits and asks again. */
  readonly restartWatch: () => void
}

/** What the prober needs of the instance. */
export interface StateProberDependencies {
  readonly clock: Clock
  readonly logger: Logger
  readonly freshness: StateFreshness
  readonly sources: Readonly<Record<StateKind, ProbedSource>>
  /** @returns whether this instance reads the store for itself and others */
  readonly isReader: () => boolean
  /** Sends further calls to the store on new connections. */
  readonly renewConnections: () => void
  /** Time after the start of this instance in which its hub is expected to state each kind for the first time. */
  readonly firstStateMilliseconds: number
  /** Called after probes that the store answered. */
  readonly onAnswered: () => void
  /** @returns a random number from 0 to 1 */
  readonly random: () => number
}

/** Keeps what this instance knows of the store current. */
export class StateProber {
  private readonly parts: StateProberDependencies
  private spread: number
  private startedAt = 0

  constructor (parts: StateProberDependencies) {
    this.parts = parts
    this.spread = parts.random()
  }

  /** Runs until the signal aborts. */
  async run (signal: AbortSignal): Promise<void> {
    const { clock, random, onAnswered } = this.parts
    let pause = SHORTEST_PAUSE_MILLISECONDS
    this.startedAt = clock.now()
    while (!signal.aborted) {
      await clock.sleep(this.millisecondsUntilDue(), signal)
      const kinds = this.dueKinds()
      if (kinds.length === 0 || signal.aborted) continue
      this.spread = random()
      if (await this.probe(kinds)) {
        pause = SHORTEST_PAUSE_MILLISECONDS
        onAnswered()
        continue
      }
      await clock.sleep(pause, signal)
      pause = Math.min(LONGEST_PAUSE_MILLISECONDS, 2 * pause)
    }
  }

  private millisecondsUntilDue (): number {
    const left = this.probedKinds().map((kind) => this.dueAge(kind) - this.ageMilliseconds(kind))
    return Math.max(SHORTEST_CHECK_MILLISECONDS, Math.min(LONGEST_CHECK_MILLISECONDS, ...left))
  }

  /** @returns the kinds to ask for now: none, or all that are due or almost due */
  private dueKinds (): readonly StateKind[] {
    const probed = this.probedKinds()
    if (!probed.some((kind) => this.ageMilliseconds(kind) >= this.dueAge(kind))) return []
    const share = this.parts.isReader() ? TOGETHER_SHARE : 1
    return probed.filter((kind) => this.ageMilliseconds(kind) >= share * this.dueAge(kind))
  }

  /** @returns all kinds except those that are being listed, or are about to be by an instance that reads the store */
  private probedKinds (): readonly StateKind[] {
    const { sources, isReader } = this.parts
    return STATE_KINDS.filter((kind) => isReader() ? sources[kind].activity === 'watching' : sources[kind].activity !== 'listing')
  }

  /**
   * At an instance that does not read the store counted from {@link StateProberDependencies.firstStateMilliseconds} after its start at the
   * earliest: when a large fleet starts, each leaf would ask the store for all kinds that its hub is about to state.
   */
  private ageMilliseconds (kind: StateKind): number {
    const { clock, freshness, isReader, firstStateMilliseconds } = this.parts
    const waited = clock.now() - this.startedAt - (isReader() ? 0 : firstStateMilliseconds)
    return Math.min(freshness.ageMilliseconds(kind), waited)
  }

  private dueAge (kind: StateKind): number {
    const share = this.parts.isReader() ? READER_SHARE : OTHER_SHARE
    return (share + SPREAD_SHARE * this.spread) * this.parts.freshness.limits[kind]
  }

  /** Asks for some kinds, and again on new connections for those that get no answer. @returns whether the store answered */
  private async probe (kinds: readonly StateKind[]): Promise<boolean> {
    const { clock, sources, renewConnections } = this.parts
    const unanswered = new Set(kinds)
    const first = Promise.all(kinds.map(async (kind) => {
      const outcome = await sources[kind].probe()
      unanswered.delete(kind)
      return outcome === 'answered'
    }))
    const ending = new AbortController()
    const answers = await Promise.race([first, clock.sleep(SILENT_AFTER_MILLISECONDS, ending.signal)])
    ending.abort()
    if (answers !== undefined) return answers.includes(true)
    const repeated = [...unanswered]
    renewConnections()
    const outcomes = await Promise.all(repeated.map(async (kind) => await sources[kind].probe()))
    const isAnswered = outcomes.includes('answered')
    if (isAnswered && repeated.some((kind) => unanswered.has(kind))) this.replaceSilentConnections(repeated)
    return isAnswered
  }

  /** Ends all watches that wait: their connections may have fallen silent like those of the probes. */
  private replaceSilentConnections (kinds: readonly StateKind[]): void {
    const { logger, sources } = this.parts
    logger.warn('Connections to the store went silent and are replaced.', { kinds: kinds.join() })
    for (const kind of STATE_KINDS) sources[kind].restartWatch()
  }
}
