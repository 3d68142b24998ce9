/** Keeps quarantine decisions in the platform's store. Instances that start later read them there, even after all instances were restarted. */
import type { Clock, DeletingObjectStore, Logger } from '@limpetwinch/core'
import { isPartFingerprint } from '@limpetwinch/decisions'
import type { PartFingerprint, QuarantineDecision, Suspect } from '@limpetwinch/decisions'
import { quarantineDecisionPath } from '../members/cluster-objects.js'
import type { StoredQuarantineDecision } from '../members/cluster-objects.js'

/** Interval between checks for decisions that are due to be written to the store or to be removed there. */
const CHECK_MILLISECONDS = 250
/** Delay before a failed write is retried. */
const RETRY_MILLISECONDS = 1_000
/**
 * Delay of the write on instances that did not see the deciding crash, which is the crash that led to the decision. All instances may reach
 * the same decision. The instance that saw the crash writes the decision first, and the other instances find it in the store.
 */
const NON_DECIDER_DELAY_MILLISECONDS = 3_000
/**
 * Time after the end of a quarantine at which its decision is removed from the store, if the request has not arrived again. A run of the
 * request before then either clears the request or, by a crash, extends the quarantine.
 */
const RETENTION_MILLISECONDS = 3_600_000
/** Most isolated runs of requests with a part whose decision no running process remembers; the first that crashes its endpoint confirms the decision. */
const FORGOTTEN_TRIALS = 3

/** Until when isolated runs are allowed again. */
export interface TrialLimit {
  /** Number of crashes beyond which the decision stands. */
  readonly crashes: number
  /** Number of quarantines in a row, each of which follows a run, from which on the decision stands. */
  readonly strikes: number
}

/** Receives changes of the decisions in the store. */
export interface QuarantineListener {
  readonly applyDecision: (decision: QuarantineDecision, source: 'store') => void
  readonly release: (fingerprint: Suspect, by: 'store') => void
  /** Allows an isolated run, unless a crash has confirmed the decision since or as many were sent as the limit says. */
  readonly reconsider: (part: PartFingerprint, limit: TrialLimit) => void
}

interface PendingWrite {
  readonly decision: QuarantineDecision
  /** Monotonic time from which the decision is to be written. */
  readonly dueAt: number
}

/** Reads and writes the quarantine decisions in the store. */
export class QuarantineRecords {
  private readonly store: DeletingObjectStore
  private readonly listener: QuarantineListener
  private readonly clock: Clock
  private readonly logger: Logger
  private readonly isRemembered: (revision: number) => boolean
  private listed = new Map<Suspect, StoredQuarantineDecision>()
  /** Monotonic time from which an expired record is removed again: after a failure only, since the next listing lacks a removed one. */
  private readonly removalDueAt = new Map<Suspect, number>()
  private readonly pendingWrites = new Map<Suspect, PendingWrite>()

  /** @param isRemembered - returns whether a process that runs was registered at this revision of the store already, and so knows of what led to a decision */
  constructor (store: DeletingObjectStore, listener: QuarantineListener, clock: Clock, logger: Logger, isRemembered: (revision: number) => boolean = () => true) {
    this.store = store
    this.listener = listener
    this.clock = clock
    this.logger = logger
    this.isRemembered = isRemembered
  }

  /** Applies the decisions that the store lists. A decision that was listed the last time and is missing now was revoked. */
  apply (decisions: readonly StoredQuarantineDecision[]): void {
    const { clock } = this
    const previous = this.listed
    this.listed = new Map(decisions.map((decision) => [decision.fingerprint, decision]))
    for (const fingerprint of previous.keys()) {
      if (this.listed.has(fingerprint)) continue
      this.pendingWrites.delete(fingerprint)
      this.removalDueAt.delete(fingerprint)
      this.listener.release(fingerprint, 'store')
    }
    for (const { untilWallTime, version: _version, ...decision } of decisions) {
      this.listener.applyDecision({ ...decision, until: clock.now() + untilWallTime - clock.wallTime() }, 'store')
    }
  }

  /**
   * Schedules the write of a decision.
   *
   * @param isOwn - whether this instance saw the deciding crash
   */
  keep (decision: QuarantineDecision, isOwn: boolean): void {
    this.pendingWrites.set(decision.fingerprint, { decision, dueAt: this.clock.now() + (isOwn ? 0 : NON_DECIDER_DELAY_MILLISECONDS) })
  }

  /** Revokes a decision: removes its record from the store. @returns whether the store has no such record any more */
  async removeRecord (fingerprint: Suspect): Promise<boolean> {
    this.pendingWrites.delete(fingerprint)
    const listed = this.listed.get(fingerprint)
    if (listed === undefined) return true
    const removed = await this.store.remove(quarantineDecisionPath(fingerprint), listed.version)
    if (removed.isErr()) this.logger.warn('A quarantine decision could not be removed from the store.', { fingerprint, reason: removed.error.message })
    return removed.isOk()
  }

  /** Writes due decisions to the store and removes expired records, until the signal is aborted. */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.clock.sleep(CHECK_MILLISECONDS, signal)
      for (const { decision, dueAt } of [...this.pendingWrites.values()]) if (dueAt <= this.clock.now()) await this.write(decision)
      this.reconsiderForgotten()
      await this.removeExpired()
    }
  }

  /**
   * Allows a few isolated runs where all processes that knew what led to a decision have ended. A decision on a part that many prompts share would otherwise
   * outlast the fleet that made it: nothing that could clear it is sent.
   */
  private reconsiderForgotten (): void {
    for (const { fingerprint, crashes, strikes, version } of this.listed.values()) {
      if (isPartFingerprint(fingerprint) && !this.isRemembered(version)) this.listener.reconsider(fingerprint, { crashes, strikes: strikes + FORGOTTEN_TRIALS })
    }
  }

  private async write (decision: QuarantineDecision): Promise<void> {
    const { fingerprint, crashes, strikes, certain, until } = decision
    const listed = this.listed.get(fingerprint)
    if (listed !== undefined && listed.strikes >= strikes) {
      this.pendingWrites.delete(fingerprint)
      return
    }
    const untilWallTime = Math.round(this.clock.wallTime() + until - this.clock.now())
    const written = await this.store.put({ path: quarantineDecisionPath(fingerprint), ifVersion: listed?.version ?? 0, value: { crashes, strikes, certain, untilWallTime } })
    if (written.isOk()) {
      this.pendingWrites.delete(fingerprint)
      return
    }
    // After a version conflict or a lost response, the next listing shows whether the decision is in the store.
    this.logger.warn('A quarantine decision could not be written to the store; the write is retried.', { fingerprint, reason: written.error.message })
    this.pendingWrites.set(fingerprint, { decision, dueAt: this.clock.now() + RETRY_MILLISECONDS })
  }

  private async removeExpired (): Promise<void> {
    for (const { fingerprint, untilWallTime } of this.listed.values()) {
      if (this.clock.wallTime() - untilWallTime <= RETENTION_MILLISECONDS || this.clock.now() < (this.removalDueAt.get(fingerprint) ?? -Infinity)) continue
      const removed = await this.removeRecord(fingerprint)
      this.removalDueAt.set(fingerprint, removed ? Infinity : this.clock.now() + RETRY_MILLISECONDS)
    }
  }
}
