/**
 * Keeps, for each kind of state that is read from the store, the latest moment up to which this instance provably knows all changes.
 *
 * That the store answers is no proof: a call for one kind of objects says nothing about the others, and a watch that waits on a
 * connection that fell silent looks like a store in which nothing changes.
 */
import type { Clock, Logger } from '@limpetwinch/core'

/** The kinds of state that instances read from the store and pass on to each other. */
export const STATE_KINDS = ['configuration', 'endpoints', 'announcements', 'cluster'] as const

/** A kind of state; its revisions are those of an offer between instances. */
export type StateKind = typeof STATE_KINDS[number]

/** For each kind, the time in milliseconds within which a change must be known to every instance. */
export type FreshnessLimits = Readonly<Record<StateKind, number>>

/** That a peer knew all changes of a kind. */
export interface PeerStatement {
  /** Revision of the peer's state. */
  readonly revision: number
  /** Moment at which the peer knew all changes, on the monotonic clock of this instance, in milliseconds. */
  readonly provedAt: number
}

/** The moments of one kind, on the monotonic clock in milliseconds. */
interface KindProof {
  /** Undefined before the first proof. */
  provedAt: number | undefined
  /** A statement about state that this instance does not have yet. */
  pending?: PeerStatement | undefined
  /** Revision up to which the followers of the store know the kind; 0 if they do not say. */
  revision: number
  isReported: boolean
}

/** What one instance knows of how current its state is. */
export class StateFreshness {
  readonly limits: FreshnessLimits
  private readonly clock: Clock
  private readonly logger: Logger
  private readonly startedAt: number
  private readonly proofs = new Map<StateKind, KindProof>(STATE_KINDS.map((kind) => [kind, { provedAt: undefined, revision: 0, isReported: false }]))

  /**
   * @param limits - time within which a change of each kind must be known
   * @param clock - its monotonic clock is used
   * @param logger - receives a line when a kind has not been proved within its limit, and another when it is proved again
   */
  constructor (limits: FreshnessLimits, clock: Clock, logger: Logger) {
    this.limits = limits
    this.clock = clock
    this.logger = logger
    this.startedAt = clock.now()
  }

  /**
   * Records that this instance knows all changes of a kind that were accepted before a moment.
   *
   * @param provedAt - moment at which the question was sent, not that of the answer: a change may be accepted in between
   * @param revision - revision of the store up to which all changes are known, also those that this kind was not affected by
   */
  record (kind: StateKind, provedAt: number, revision = 0): void {
    const proof = this.proofOf(kind)
    proof.revision = Math.max(proof.revision, revision)
    proof.provedAt = Math.max(proof.provedAt ?? -Infinity, provedAt)
  }

  /**
   * Records that a peer knew all changes of a kind at a moment. What it proves for this instance depends on whether this instance has
   * the peer's state, so the statement is kept until it has.
   *
   * @param statement - what the peer knew, and the moment
   */
  recordStatement (kind: StateKind, statement: PeerStatement): void {
    const proof = this.proofOf(kind)
    if ((proof.pending?.provedAt ?? -Infinity) < statement.provedAt) proof.pending = statement
  }

  /**
   * Uses the statement that is kept of a kind if this instance has the state it is about.
   *
   * @param ownRevision - revision of this instance's state
   */
  useStatement (kind: StateKind, ownRevision: number): void {
    const proof = this.proofOf(kind)
    if (proof.pending === undefined || proof.pending.revision > this.knownRevision(kind, ownRevision)) return
    this.record(kind, proof.pending.provedAt)
    proof.pending = undefined
  }

  /**
   * @param ownRevision - revision of this instance's state, which is that of the last change
   * @returns the revision up to which this instance knows a kind: changes of other kinds raise the revision of the store, but not that
   *   of the state
   */
  knownRevision (kind: StateKind, ownRevision: number): number {
    return Math.max(ownRevision, this.proofOf(kind).revision)
  }

  /** Forgets all proofs after a process pause: the moments on a clock that stood still say nothing. */
  forget (): void {
    for (const proof of this.proofs.values()) Object.assign(proof, { provedAt: -Infinity, pending: undefined })
  }

  /** @returns whether a kind was ever proved by this process */
  isProved (kind: StateKind): boolean {
    return this.proofOf(kind).provedAt !== undefined
  }

  /** @returns milliseconds since a kind was last proved; counted from the start of this process before the first proof */
  ageMilliseconds (kind: StateKind): number {
    return this.clock.now() - (this.proofOf(kind).provedAt ?? this.startedAt)
  }

  /** @returns whether a change of a kind may be missing for longer than its limit allows */
  isOverdue (kind: StateKind): boolean {
    return this.ageMilliseconds(kind) > this.limits[kind]
  }

  /** Writes a line for each kind that became overdue or was proved again; called periodically. */
  report (): void {
    for (const [kind, proof] of this.proofs) {
      const isOverdue = this.isOverdue(kind)
      if (isOverdue === proof.isReported) continue
      proof.isReported = isOverdue
      const provedMillisecondsAgo = Math.round(this.ageMilliseconds(kind))
      if (isOverdue) this.logger.warn('State may be out of date: it was not proved to be current in time.', { kind, provedMillisecondsAgo })
      else this.logger.info('State is proved to be current again.', { kind, provedMillisecondsAgo })
    }
  }

  private proofOf (kind: StateKind): KindProof {
    const proof = this.proofs.get(kind)
    if (proof === undefined) throw new Error(`no such kind of state: ${kind}`)
    return proof
  }
}
