/**
 * Keeps the latest moment at which the configuration of this instance was provably the newest one.
 *
 * A key that is taken away must open nothing after a time limit, also on an instance that is cut off and cannot learn of it. If the
 * configuration was the newest at a moment, each key that it lacks was taken away after that moment. A request that was read within
 * the time limit after that moment was therefore sent in time, and it is enough to check this once, after the request was read: its
 * retries and the rest of its stream need no further check.
 */
import type { Clock } from '@limpetwinch/core'

/** One moment on both clocks of this process, in milliseconds. */
export interface Moment {
  readonly monotonic: number
  readonly wall: number
}

/** @returns the present moment */
export function momentOf (clock: Clock): Moment {
  return { monotonic: clock.now(), wall: clock.wallTime() }
}

/** What is known of one moment: no configuration newer than `version` had been accepted by then. */
interface Proof {
  version: number
  at: Moment
}

/** The latest proofs that this instance has received from the store or from peers. */
export class ConfigurationProof {
  private readonly clock: Clock
  private readonly ownVersion: () => number
  private usable: Proof | undefined
  /** A proof for a version that this instance has not received yet. */
  private pending: Proof | undefined

  /**
   * @param clock - both of its clocks are used, because the monotonic clock stands still while the host is suspended, and the wall
   *   clock may be set
   * @param ownVersion - returns the version of the configuration that this instance applies
   */
  constructor (clock: Clock, ownVersion: () => number) {
    this.clock = clock
    this.ownVersion = ownVersion
  }

  /**
   * Records that a configuration was the newest at some moment. The moment must be the one at which the question was sent, not the one
   * at which the answer was read: the configuration may have changed while the answer was on its way.
   *
   * @param version - the newest accepted version at that moment
   * @param at - the moment, on the clocks of this process
   */
  record (version: number, at: Moment): void {
    if (version <= this.ownVersion()) this.usable = newer(this.usable, { version, at })
    else this.pending = newer(this.pending, { version, at })
  }

  /** Uses a proof that arrived before the configuration that it proves. */
  configurationApplied (): void {
    const { pending } = this
    if (pending === undefined || pending.version > this.ownVersion()) return
    this.pending = undefined
    this.usable = newer(this.usable, pending)
  }

  /**
   * Returns the time since the configuration was last known to be the newest, in milliseconds; Infinity if it never was.
   *
   * The time is the longer one of those on the two clocks, so that a suspended host or a clock set forward makes the proof too old
   * rather than too young. The time is kept, so that a clock that is set back later does not make it shorter again. A clock set back
   * by the length of a suspension, before any code runs after it, remains undetected.
   */
  ageMilliseconds (): number {
    if (this.usable === undefined) return Infinity
    const now = momentOf(this.clock)
    const { at } = this.usable
    const age = Math.max(now.monotonic - at.monotonic, now.wall - at.wall)
    this.usable = { version: this.usable.version, at: momentBefore(now, age) }
    return age
  }

  /** @returns the proof in the form in which it is passed on to peers, or nothing if there is none */
  statement (): { readonly provedConfiguration?: number, readonly provedMillisecondsAgo?: number } {
    const age = this.ageMilliseconds()
    return this.usable === undefined ? {} : { provedConfiguration: this.usable.version, provedMillisecondsAgo: age }
  }

  /**
   * Records the statement of a peer.
   *
   * @param version - the newest version at the proved moment
   * @param millisecondsAgo - age of the proof when the peer made the statement
   * @param statedAfter - a moment before the peer made the statement, on the clocks of this process. The time for which the statement
   *   was on its way is not known, so the age is counted from this moment.
   */
  recordStatement (version: number, millisecondsAgo: number, statedAfter: Moment): void {
    this.record(version, momentBefore(statedAfter, millisecondsAgo))
  }
}

function momentBefore (moment: Moment, milliseconds: number): Moment {
  return { monotonic: moment.monotonic - milliseconds, wall: moment.wall - milliseconds }
}

/** Compares by the monotonic clock: the wall clock may have been set between the two moments. */
function newer (one: Proof | undefined, other: Proof): Proof {
  return one !== undefined && one.at.monotonic >= other.at.monotonic ? one : other
}
