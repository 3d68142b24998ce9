/** Chooses the quota owner of each subject: the instance that divides the subject's quota between all instances. */
import type { Clock, InstanceId } from '@limpetwinch/core'
import { rendezvousWeight } from '@limpetwinch/decisions'

/** Time for which the candidates are used before they are read again, in milliseconds. */
const CANDIDATES_MILLISECONDS = 100

/** What the choice depends on. */
export interface QuotaOwnerDependencies {
  readonly self: InstanceId
  readonly clock: Clock
  /** @returns hubs that can be reached and are not stopping, without this instance unless it is one of them */
  readonly candidates: () => readonly InstanceId[]
}

/** All instances that reach the same hubs choose the same owner, without a message. */
export class QuotaOwners {
  private readonly parts: QuotaOwnerDependencies
  private candidates: readonly InstanceId[] = []
  private readAt = -Infinity
  /** Monotonic time of the last change of the candidates; the owner of a subject may have changed then. */
  private changedAt: number

  constructor (parts: QuotaOwnerDependencies) {
    this.parts = parts
    this.changedAt = parts.clock.now()
  }

  /** @returns the quota owner of a subject; this instance when it reaches no hub */
  ownerOf (subject: string): InstanceId {
    this.refresh()
    const [first, ...others] = this.candidates
    if (first === undefined) return this.parts.self
    return others.reduce((best, candidate) => rendezvousWeight(subject, candidate) > rendezvousWeight(subject, best) ? candidate : best, first)
  }

  /** @returns monotonic time since which the owners have not changed */
  unchangedSince (): number {
    this.refresh()
    return this.changedAt
  }

  /** Reads the candidates again. Called periodically too, so that a change is noticed when it happens and not at the next request. */
  refresh (): void {
    const now = this.parts.clock.now()
    if (now - this.readAt < CANDIDATES_MILLISECONDS) return
    this.readAt = now
    const candidates = [...this.parts.candidates()].sort()
    if (candidates.join() !== this.candidates.join()) this.changedAt = now
    this.candidates = candidates
  }
}
