/** Quarantine decisions: how long each holds, and when one trial run is allowed. */
import type { Suspect } from './prompt-part-fingerprint.js'

/** Duration of a quarantine whose decision is certain, before one more trial run. */
const CERTAIN_QUARANTINE_MILLISECONDS = 3_600_000
/** Duration of the first quarantine of a suspect that may have been in flight by chance. Each repeated quarantine is longer by the factor below. */
const UNCERTAIN_QUARANTINE_MILLISECONDS = 60_000
const QUARANTINE_GROWTH_FACTOR = 10

/** Reason and duration of a quarantine. */
export interface QuarantineDecision<Id extends Suspect = Suspect> {
  readonly fingerprint: Id
  /** Crashes that are attributed to the suspect. */
  readonly crashes: number
  /** Number of quarantines in a row without a completed run between them. */
  readonly strikes: number
  /** Whether it is ruled out that the suspect was in flight at the crashes by coincidence. */
  readonly certain: boolean
  /** Monotonic time from which one trial run is allowed, milliseconds. */
  readonly until: number
}

/**
 * The quarantine decisions on suspects of one kind. Every quarantine ends with one trial run, since the adapter or the engine may have
 * been fixed, and a suspect that was quarantined by coincidence must not be refused for ever.
 */
export class QuarantineDecisions<Id extends Suspect> {
  private readonly decisions = new Map<Id, QuarantineDecision<Id>>()

  /** Number of decisions, including those whose quarantine has ended. */
  get size (): number {
    return this.decisions.size
  }

  /** @returns the decision on the suspect, even if its quarantine has ended */
  get (fingerprint: Id): QuarantineDecision<Id> | undefined {
    return this.decisions.get(fingerprint)
  }

  /** @returns all decisions, including those whose quarantine has ended */
  all (): readonly QuarantineDecision<Id>[] {
    return [...this.decisions.values()]
  }

  /** @returns whether the suspect is in quarantine or awaits its trial run; undefined when there is no decision on it */
  standing (fingerprint: Id, now: number): 'quarantined' | 'suspected' | undefined {
    const decision = this.decisions.get(fingerprint)
    if (decision === undefined) return undefined
    return now < decision.until ? 'quarantined' : 'suspected'
  }

  /**
   * Adds a decision. Replaces an existing one only if the new one counts more quarantines in a row (`strikes`).
   *
   * @returns whether the decision is in force now
   */
  adopt (decision: QuarantineDecision<Id>): boolean {
    const existing = this.decisions.get(decision.fingerprint)
    if (existing !== undefined && existing.strikes >= decision.strikes) return false
    this.decisions.set(decision.fingerprint, decision)
    return true
  }

  /**
   * Extends a quarantine after a crash during the trial run or during a run that began before the decision.
   *
   * @param at - monotonic time of the crash
   */
  extend (decision: QuarantineDecision<Id>, at: number): QuarantineDecision<Id> {
    const until = Math.max(decision.until, at + quarantineMilliseconds(decision.certain, decision.strikes))
    const next = { ...decision, crashes: decision.crashes + 1, until }
    this.decisions.set(decision.fingerprint, next)
    return next
  }

  /** Uses up the one trial run after a quarantine. A send before the end of the quarantine changes nothing. */
  trialSent (fingerprint: Id, now: number): void {
    const decision = this.decisions.get(fingerprint)
    if (decision === undefined || now < decision.until) return
    const strikes = decision.strikes + 1
    this.decisions.set(fingerprint, { ...decision, strikes, until: now + quarantineMilliseconds(decision.certain, strikes) })
  }

  /** Ends a quarantine now, so that one trial run is allowed. */
  reconsider (fingerprint: Id): void {
    const decision = this.decisions.get(fingerprint)
    if (decision !== undefined) this.decisions.set(fingerprint, { ...decision, until: -Infinity })
  }

  /** @returns whether there was a decision */
  remove (fingerprint: Id): boolean {
    return this.decisions.delete(fingerprint)
  }
}

/** @returns duration of a quarantine */
export function quarantineMilliseconds (certain: boolean, strikes: number): number {
  return certain ? CERTAIN_QUARANTINE_MILLISECONDS : UNCERTAIN_QUARANTINE_MILLISECONDS * QUARANTINE_GROWTH_FACTOR ** (strikes - 1)
}
