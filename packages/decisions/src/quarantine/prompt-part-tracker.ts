/** Finds and quarantines parts of prompts that crash the endpoints that answer on them. */
import { chanceOfCoincidence } from './crash-chance.js'
import type { EndpointCrash } from './crash-chance.js'
import type { PartFingerprint } from './prompt-part-fingerprint.js'
import { QuarantineDecisions, quarantineMilliseconds } from './quarantine-decisions.js'
import type { QuarantineDecision } from './quarantine-decisions.js'

/** Number of crashes, without a sound run between them, after which a part is suspected. */
const CRASHES_TO_SUSPECT = 2
/** Minimum number of such crashes for a decision to quarantine a part. */
const CRASHES_TO_QUARANTINE = 3
/** A part with this many such crashes is quarantined even if they may be coincidence. */
const MAXIMUM_CRASHES = 5
/**
 * A decision is certain only if the probability that an innocent part was in flight at all of its crashes is lower than this. Prompts
 * have thousands of different parts, and each of them is a chance for a coincidence.
 */
const MAXIMUM_CHANCE = 0.000_000_1
/** Sound runs of other requests that an instance must have seen since the first crash of a part, besides a multiple of those that failed. */
const MINIMUM_SOUND_RUNS = 3
const SOUND_RUNS_PER_FAILED_RUN = 3
/** Age at which a crash is forgotten. */
const RETENTION_MILLISECONDS = 600_000
/** Maximum number of crashes kept, which bounds the memory of the tracker; the oldest are forgotten first. */
const MAXIMUM_TRACKED_CRASHES = 250

/** A run that a crash ended before or shortly after its answer began, so that each part of its prompt may be the cause. */
export interface AccusedRun {
  /** The parts of the prompt that other requests may share, in the order of the prompt. */
  readonly parts: readonly PartFingerprint[]
  /** Time for which the run had been in flight on the endpoint, milliseconds. */
  readonly milliseconds: number
}

/** Decision to quarantine a part of prompts. */
type PartQuarantineDecision = QuarantineDecision<PartFingerprint>

interface CrashRecord extends EndpointCrash {
  readonly runs: (AccusedRun & { readonly isOwn: boolean })[]
  /** Number of sound runs that this instance had seen when it learnt of the crash. */
  readonly soundRunsBefore: number
}

/**
 * Finds the parts of prompts that crash the endpoints that answer on them.
 *
 * All parts of an accused run are implicated. A run whose answer goes on without a crash is sound and clears its parts: since a crashing
 * part crashes every endpoint, however few runs it has, a sound run is the strongest evidence there is. So only the crashes since the last
 * sound run count, and the parts that crashing requests share with sound ones are cleared as fast as sound requests come.
 */
export class PromptPartTracker {
  private readonly crashes = new Map<string, CrashRecord>()
  /** For each part, the incarnations of endpoints that crashed under accused runs with it since its last sound run, as far as the cause is unknown. */
  private readonly implicated = new Map<PartFingerprint, Set<string>>()
  private readonly decisions = new QuarantineDecisions<PartFingerprint>()
  private readonly endpointCount: (service: string) => number
  private soundRuns = 0

  /** @param endpointCount - number of endpoints of a service, by which the crash rate of the service is divided */
  constructor (endpointCount: (service: string) => number) {
    this.endpointCount = endpointCount
  }

  /** Whether there is any evidence or decision; if not, no request needs to be looked at. */
  get isTracking (): boolean {
    return this.crashes.size > 0 || this.decisions.size > 0
  }

  /** Number of parts that are implicated in a crash and not quarantined. */
  get implicatedCount (): number {
    return this.implicated.size
  }

  /** Number of parts with a quarantine decision, including those whose quarantine has ended. */
  get quarantineCount (): number {
    return this.decisions.size
  }

  /** @returns whether an endpoint is known to have crashed in this incarnation, see {@link EndpointCrash.life} */
  hasCrashed (life: string): boolean {
    return this.crashes.has(life)
  }

  /** @returns number of crashes in which the part is implicated since its last sound run */
  crashCount (part: PartFingerprint): number {
    return this.implicated.get(part)?.size ?? 0
  }

  /** @returns whether the part is in quarantine or awaits its trial run; undefined when there is no decision on it */
  standing (part: PartFingerprint, now: number): 'quarantined' | 'suspected' | undefined {
    return this.decisions.standing(part, now)
  }

  /** @returns whether crashes implicate the part so strongly that a request with it is not sent again after its own connection was lost */
  isSuspected (part: PartFingerprint): boolean {
    return this.decisions.get(part) !== undefined || this.crashCount(part) >= CRASHES_TO_SUSPECT
  }

  /** @returns the quarantine decision on the part, even if the quarantine has ended */
  verdict (part: PartFingerprint): PartQuarantineDecision | undefined {
    return this.decisions.get(part)
  }

  /** @returns all quarantine decisions, to be sent to an instance that has none */
  allDecisions (): readonly PartQuarantineDecision[] {
    return this.decisions.all()
  }

  /**
   * Records a crash, or another instance's report of a known crash.
   *
   * @param crash - crash of an endpoint that was not shutting down
   * @param runs - accused runs
   * @param isOwn - whether this instance sent the runs
   * @returns existing quarantine decisions that the crash confirms; {@link decide} makes new ones
   */
  record (crash: EndpointCrash, runs: readonly AccusedRun[], isOwn: boolean): PartQuarantineDecision[] {
    const known = this.crashes.get(crash.life)
    const record = known ?? { ...crash, runs: [], soundRunsBefore: this.soundRuns }
    const wasExplained = this.isExplained(record)
    this.crashes.set(crash.life, record)
    record.runs.push(...runs.map((run) => ({ ...run, isOwn })))
    this.forgetOldest()
    const confirmed = wasExplained ? [] : partsOf(record).flatMap((part) => this.decisions.get(part) ?? [])
    if (confirmed.length > 0) this.explain(record)
    if (!this.isExplained(record)) for (const run of runs) for (const part of run.parts) this.implicate(part, crash.life)
    return confirmed.map((decision) => this.decisions.extend(decision, crash.at))
  }

  /**
   * Looks for the part that caused a crash. To be called after all instances have reported their accused runs.
   *
   * @param life - incarnation of the endpoint that crashed
   * @returns the new quarantine decision, if any
   */
  decide (life: string): PartQuarantineDecision | undefined {
    const record = this.crashes.get(life)
    if (record === undefined || this.isExplained(record)) return undefined
    const decisions = partsOf(record).flatMap((part) => this.decisionOn(part, record) ?? [])
    // Of parts with equal evidence, the last one in the prompt is the most specific, so its quarantine refuses the fewest sound requests. If
    // it is innocent, prompts with the crashing part and other later parts add evidence against the crashing part alone.
    const decision = decisions.reduce<PartQuarantineDecision | undefined>((best, next) => best !== undefined && best.crashes > next.crashes ? best : next, undefined)
    if (decision !== undefined) this.quarantine(decision)
    return decision
  }

  /** Quarantines a part, and clears the other parts that are implicated in its crashes. */
  quarantine (decision: PartQuarantineDecision): void {
    if (!this.decisions.adopt(decision)) return
    for (const record of this.crashes.values()) if (partsOf(record).includes(decision.fingerprint)) this.explain(record)
    this.implicated.delete(decision.fingerprint)
  }

  /** Records that a request with the part was sent to an endpoint: uses up the one trial run after a quarantine. */
  sent (part: PartFingerprint, now: number): void {
    this.decisions.trialSent(part, now)
  }

  /** Counts a sound run that this instance has seen. */
  countSoundRun (): void {
    this.soundRuns += 1
  }

  /**
   * Clears a part after a sound run, on this or another instance.
   *
   * @returns whether the part was implicated or quarantined
   */
  clear (part: PartFingerprint): boolean {
    const wasQuarantined = this.decisions.remove(part)
    return this.implicated.delete(part) || wasQuarantined
  }

  /** Forgets crashes that are older than the retention time. To be called regularly. */
  expire (now: number): void {
    for (const record of this.crashes.values()) {
      if (now - record.at < RETENTION_MILLISECONDS) return
      this.forget(record)
    }
  }

  /** @returns crashes in which a suspected part is implicated, to be sent to an instance that knows none */
  unexplainedCrashes (): readonly (EndpointCrash & { readonly runs: readonly AccusedRun[] })[] {
    return [...this.crashes.values()].filter((record) => partsOf(record).some((part) => this.crashCount(part) >= CRASHES_TO_SUSPECT))
  }

  private decisionOn (part: PartFingerprint, crash: CrashRecord): PartQuarantineDecision | undefined {
    const crashes = [...this.implicated.get(part) ?? []].flatMap((life) => this.crashes.get(life) ?? [])
    const conclusive = crashes.filter((record) => this.isConclusive(record, part))
    if (conclusive.length < CRASHES_TO_QUARANTINE || !this.doOthersSucceed(part, crashes)) return undefined
    const certain = this.chanceOf(part, crashes) < MAXIMUM_CHANCE
    if (!certain && conclusive.length < MAXIMUM_CRASHES) return undefined
    return { fingerprint: part, crashes: crashes.length, strikes: 1, certain, until: crash.at + quarantineMilliseconds(certain, 1) }
  }

  /** @returns whether no accused run without the part has another suspected part, which may have caused the crash as well */
  private isConclusive ({ runs }: CrashRecord, part: PartFingerprint): boolean {
    return runs.every(({ parts }) => parts.includes(part) || parts.every((other) => this.crashCount(other) < CRASHES_TO_SUSPECT))
  }

  /**
   * @returns whether most runs without the part succeed, by what this instance has seen since the first crash. When all endpoints of a
   *   service crash for a common reason, no run succeeds, and the parts of popular prompts are in flight at every crash.
   */
  private doOthersSucceed (part: PartFingerprint, crashes: readonly CrashRecord[]): boolean {
    const [first] = crashes
    if (first === undefined) return false
    const since = [...this.crashes.values()].filter(({ at }) => at >= first.at)
    const failed = since.flatMap(({ runs }) => runs).filter(({ parts, isOwn }) => isOwn && !parts.includes(part)).length
    return this.soundRuns - first.soundRunsBefore >= MINIMUM_SOUND_RUNS + SOUND_RUNS_PER_FAILED_RUN * failed
  }

  /** @returns probability that an innocent part is in flight at all these crashes, given the rate of crashes without the part */
  private chanceOf (part: PartFingerprint, crashes: readonly CrashRecord[]): number {
    const others = [...this.crashes.values()].filter((record) => !partsOf(record).includes(part))
    const withPart = crashes.map(({ life, service, at, runs }) => {
      const durations = runs.flatMap(({ parts, milliseconds }) => parts.includes(part) ? [milliseconds] : [])
      return { life, service, at, milliseconds: Math.max(...durations) }
    })
    return chanceOfCoincidence(withPart, others, this.endpointCount)
  }

  /** @returns whether a part with a quarantine decision was in flight, which makes it the cause of the crash */
  private isExplained (record: CrashRecord): boolean {
    return this.decisions.size > 0 && partsOf(record).some((part) => this.decisions.get(part) !== undefined)
  }

  /** Removes the suspicion from all parts in flight at a crash whose cause is known or no longer looked for. */
  private explain (record: CrashRecord): void {
    for (const part of partsOf(record)) {
      const incarnations = this.implicated.get(part)
      if (incarnations?.delete(record.life) === true && incarnations.size === 0) this.implicated.delete(part)
    }
  }

  private implicate (part: PartFingerprint, life: string): void {
    const incarnations = this.implicated.get(part) ?? new Set()
    this.implicated.set(part, incarnations.add(life))
  }

  private forgetOldest (): void {
    for (const record of this.crashes.values()) {
      if (this.crashes.size <= MAXIMUM_TRACKED_CRASHES) return
      this.forget(record)
    }
  }

  private forget (record: CrashRecord): void {
    this.explain(record)
    this.crashes.delete(record.life)
  }
}

/** @returns the parts of all accused runs at a crash, each once, in the order of the runs and of their prompts */
function partsOf ({ runs }: Pick<CrashRecord, 'runs'>): PartFingerprint[] {
  return [...new Set(runs.flatMap(({ parts }) => parts))]
}
