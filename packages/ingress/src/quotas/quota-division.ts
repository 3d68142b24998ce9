/** Divides the quotas of the subjects whose quota owner is this instance. */
import type { Clock, InstanceId } from '@limpetwinch/core'
import { QuotaLedger } from '@limpetwinch/decisions'
import type { QuotaRate } from '@limpetwinch/decisions'
import type { NoticeFrame } from '@limpetwinch/entry'
import type { NumberedAsk, QuotaKind } from './quota-kind.js'
import type { QuotaOwners } from './quota-owners.js'

/** Interval between checks of which holders are still reachable, in milliseconds. */
const CHECK_MILLISECONDS = 250

/** What the division needs of the instance. */
export interface QuotaDivisionDependencies<Subject extends string> {
  readonly self: InstanceId
  readonly clock: Clock
  readonly kind: QuotaKind<Subject>
  readonly owners: QuotaOwners
  /**
   * @returns the part of the subject's quota that this instance may hand out, if it is the owner; undefined if the subject has no quota.
   *   Data centres that are cut off from each other have an owner each, and the sum over all owners must stay within the quota.
   */
  readonly rateOf: (subject: Subject) => QuotaRate | undefined
  readonly isReachable: (instance: InstanceId) => boolean
  readonly notify: (to: InstanceId, frame: NoticeFrame) => void
}

interface OwnedLedger {
  readonly ledger: QuotaLedger
  checkedAt: number
}

/** Keeps a ledger for each subject that is in use and owned by this instance. */
export class QuotaDivision<Subject extends string> {
  private readonly parts: QuotaDivisionDependencies<Subject>
  private readonly ledgers = new Map<Subject, OwnedLedger>()

  constructor (parts: QuotaDivisionDependencies<Subject>) {
    this.parts = parts
  }

  /** Answers the ask of an instance, which may be this one. */
  handleAsk (from: InstanceId, subject: Subject, ask: NumberedAsk): void {
    const { clock, kind, notify } = this.parts
    const owned = this.ownedLedger(subject)
    const { number } = ask
    if (owned === undefined) {
      const granted = ask.needs.map(() => false)
      return notify(from, kind.answerFrame(subject, { number, granted, extra: 0, milliseconds: 0, notOwner: true }))
    }
    const now = clock.now()
    const grant = owned.ledger.answer(from, ask, now)
    const usedShare = owned.ledger.usedShare(now)
    notify(from, kind.answerFrame(subject, { number, ...grant, notOwner: false, usedShare: Number.isFinite(usedShare) ? usedShare : undefined }))
  }

  /** @returns subjects whose quota this instance divides now */
  get subjects (): readonly Subject[] {
    return [...this.ledgers.keys()]
  }

  /** Notices changes of the owners and drops the ledgers that are not needed any more; called periodically. */
  maintain (): void {
    this.parts.owners.refresh()
    const now = this.parts.clock.now()
    for (const [subject, { ledger }] of this.ledgers) if (!this.owns(subject) || ledger.isIdle(now)) this.ledgers.delete(subject)
  }

  private owns (subject: Subject): boolean {
    return this.parts.owners.ownerOf(subject) === this.parts.self
  }

  private ownedLedger (subject: Subject): OwnedLedger | undefined {
    const rate = this.parts.rateOf(subject)
    if (rate === undefined || !this.owns(subject)) {
      this.ledgers.delete(subject)
      return undefined
    }
    const now = this.parts.clock.now()
    const owned = this.ledgers.get(subject) ?? this.newLedger(subject, rate)
    if (now - owned.checkedAt >= CHECK_MILLISECONDS) this.check(owned, rate, now)
    return owned
  }

  /** A ledger that is created on the first ask has accrued tokens since this instance became the owner. */
  private newLedger (subject: Subject, rate: QuotaRate): OwnedLedger {
    const { owners, kind } = this.parts
    const owned = { ledger: new QuotaLedger(rate, owners.unchangedSince(), kind.firstLevel), checkedAt: -Infinity }
    this.ledgers.set(subject, owned)
    return owned
  }

  private check (owned: OwnedLedger, rate: QuotaRate, now: number): void {
    owned.checkedAt = now
    owned.ledger.configure(rate, now)
    owned.ledger.forget((holder) => this.parts.isReachable(holder as InstanceId))
  }
}
