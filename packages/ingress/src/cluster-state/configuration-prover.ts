/** Reads the store when the proof that the configuration is the newest one gets too old. */
import type { Clock } from '@limpetwinch/core'
import type { ConfigurationProof } from './configuration-proof.js'

/** Interval between checks of the age of the proof. */
const CHECK_MILLISECONDS = 100
/**
 * Age at which a hub reads the store, as a part of the time limit. A proof passes from a hub to a leaf, or over another hub when the
 * store rejects a hub, with two more heartbeat intervals each time; the rest of the limit is left for that.
 */
const HUB_SHARE = 0.3
/** Age at which a leaf reads the store itself: no hub has sent it a newer proof for several heartbeat intervals. */
const LEAF_SHARE = 0.7
/** Shortest and longest time between two reads. The time grows while reads bring no proof, so that a failing store gets fewer calls. */
const SHORTEST_PAUSE_MILLISECONDS = 250
const LONGEST_PAUSE_MILLISECONDS = 2_000

/** What the prover needs of the instance. */
export interface ConfigurationProverDependencies {
  readonly clock: Clock
  readonly proof: ConfigurationProof
  /** Time for which a proof is valid, in milliseconds; undefined while no proof is needed. */
  readonly limitMilliseconds: () => number | undefined
  /** @returns whether this instance reads the store for others */
  readonly isReader: () => boolean
  /** Asks the store for the newest configuration; the answer is recorded as a proof. */
  readonly readStore: () => Promise<void>
}

/** Keeps the proof young while the store answers. */
export class ConfigurationProver {
  private readonly parts: ConfigurationProverDependencies

  constructor (parts: ConfigurationProverDependencies) {
    this.parts = parts
  }

  /** Runs until the signal aborts. */
  async run (signal: AbortSignal): Promise<void> {
    const { clock, readStore } = this.parts
    let pause = SHORTEST_PAUSE_MILLISECONDS
    while (!signal.aborted) {
      await clock.sleep(CHECK_MILLISECONDS, signal)
      if (!this.isDue() || signal.aborted) continue
      await readStore()
      pause = this.isDue() ? Math.min(LONGEST_PAUSE_MILLISECONDS, 2 * pause) : SHORTEST_PAUSE_MILLISECONDS
      await clock.sleep(pause, signal)
    }
  }

  private isDue (): boolean {
    const { proof, limitMilliseconds, isReader } = this.parts
    const limit = limitMilliseconds()
    return limit !== undefined && proof.ageMilliseconds() > limit * (isReader() ? HUB_SHARE : LEAF_SHARE)
  }
}
