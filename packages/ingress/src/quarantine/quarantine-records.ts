/** Verdicts in the platform's store: instances that start later, all of them perhaps, begin with what was known. */
import type { Clock, DeletingObjectStore, Logger } from '@limpetwinch/core'
import type { QuarantineDecision, RequestFingerprint } from '@limpetwinch/decisions'
import { quarantineDecisionPath } from '../members/cluster-objects.js'
import type { StoredQuarantineDecision } from '../members/cluster-objects.js'

const CHECK_MILLISECONDS = 250
/** A store that is away is asked again after this. */
const RETRY_MILLISECONDS = 1_000
/** Instances that come to the same verdict leave it to the one that saw the last crash to write it down. */
const NON_DECIDER_DELAY_MILLISECONDS = 3_000
/** A verdict whose time is long over, and whose request never came again. */
const RETENTION_MILLISECONDS = 3_600_000

/** Hears of what the store says. */
export interface QuarantineListener {
  readonly applyDecision: (verdict: QuarantineDecision, source: 'store') => void
  readonly release: (fingerprint: RequestFingerprint, by: 'store') => void
}

interface PendingWrite {
  readonly verdict: QuarantineDecision
  readonly dueAt: number
}

/** The verdicts as the store holds them. */
export class QuarantineRecords {
  private readonly store: DeletingObjectStore
  private readonly listener: QuarantineListener
  private readonly clock: Clock
  private readonly logger: Logger
  private listed = new Map<RequestFingerprint, StoredQuarantineDecision>()
  private readonly pendingWrites = new Map<RequestFingerprint, PendingWrite>()

  constructor (store: DeletingObjectStore, listener: QuarantineListener, clock: Clock, logger: Logger) {
    this.store = store
    this.listener = listener
    this.clock = clock
    this.logger = logger
  }

  /** Takes the verdicts as the store lists them. One that was listed and is no more was taken back. */
  apply (verdicts: readonly StoredQuarantineDecision[]): void {
    const { clock } = this
    const before = this.listed
    this.listed = new Map(verdicts.map((verdict) => [verdict.fingerprint, verdict]))
    for (const fingerprint of before.keys()) {
      if (this.listed.has(fingerprint)) continue
      this.pendingWrites.delete(fingerprint)
      this.listener.release(fingerprint, 'store')
    }
    for (const { untilWallTime, version: _version, ...verdict } of verdicts) {
      this.listener.applyDecision({ ...verdict, until: clock.now() + untilWallTime - clock.wallTime() }, 'store')
    }
  }

  /** Has a verdict written down. @param isFirst - whether this instance saw the crash that decided it */
  keep (verdict: QuarantineDecision, isFirst: boolean): void {
    this.pendingWrites.set(verdict.fingerprint, { verdict, dueAt: this.clock.now() + (isFirst ? 0 : NON_DECIDER_DELAY_MILLISECONDS) })
  }

  /** Takes a verdict back. */
  async removeRecord (fingerprint: RequestFingerprint): Promise<void> {
    this.pendingWrites.delete(fingerprint)
    const listed = this.listed.get(fingerprint)
    if (listed === undefined) return
    const removed = await this.store.remove(quarantineDecisionPath(fingerprint), listed.version)
    if (removed.isErr()) this.logger.warn('A verdict stays in the store.', { fingerprint, reason: removed.error.message })
  }

  /** Writes verdicts down until the signal ends it. */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.clock.sleep(CHECK_MILLISECONDS, signal)
      for (const { verdict, dueAt } of [...this.pendingWrites.values()]) if (dueAt <= this.clock.now()) await this.write(verdict)
      await this.removeExpired()
    }
  }

  private async write (verdict: QuarantineDecision): Promise<void> {
    const { fingerprint, crashes, strikes, certain, until } = verdict
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
    // After a conflict or a lost answer the next listing shows whether it stands there.
    this.logger.warn('A verdict is not in the store yet.', { fingerprint, reason: written.error.message })
    this.pendingWrites.set(fingerprint, { verdict, dueAt: this.clock.now() + RETRY_MILLISECONDS })
  }

  private async removeExpired (): Promise<void> {
    for (const { fingerprint, untilWallTime } of this.listed.values()) {
      if (this.clock.wallTime() - untilWallTime > RETENTION_MILLISECONDS) await this.removeRecord(fingerprint)
    }
  }
}
