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
/**
 * A part with this many such crashes is quarantined even if they may be coincidence. If the cause cannot be told from others, requests with the
 * part run one at a time over all instances.
 */
const MAXIMUM_CRASHES = 5
/**
 * Maximum number of such isolated runs; then the part is quarantined. A send counts even if the endpoint refuses the request, and the last one
 * counts before its outcome is known: a sound run ends the quarantine.
 */
const MAXIMUM_ISOLATED_SENDS = 2
/**
 * A decision is certain only if the probability that an innocent part was in flight at all of its crashes is lower than this. Prompts
 * have thousands of different parts, and each of them is a chance for a coincidence.
 */
const MAXIMUM_CHANCE = 0.000_000_1
/**
 * Largest probability that as many runs in a row fail as those with the part did, if they fail as often as the other runs that this instance
 * has sent since. Endpoints may crash for a common reason; then the runs of all parts fail.
 */
const MAXIMUM_CHANCE_TO_FAIL = 0.001
/** A part that was in flight beside another part, in other requests, at this share of that part's crashes may have caused them as well. */
const RIVAL_SHARE = 0.8
/**
 * How long the time of a sound run is kept. The reports of other instances on a crash arrive within some hundred milliseconds, and a part that
 * was sound after the crash is not implicated by a report that arrives later.
 */
const SOUND_MEMORY_MILLISECONDS = 5_000
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
  /** Number of isolated runs of each suspected part without a decision. */
  private readonly isolatedSends = new Map<PartFingerprint, number>()
  private readonly endpointCount: (service: string) => number
  private soundRuns = 0
  /** Monotonic time of the last sound run with each part, milliseconds. */
  private readonly soundAt = new Map<PartFingerprint, number>()
  private reports = 0

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

  /** Number of reports on crashes so far, of this and of other instances. */
  get reportCount (): number {
    return this.reports
  }

  /** @returns whether an endpoint is known to have crashed in this incarnation, see {@link EndpointCrash.life} */
  hasCrashed (life: string): boolean {
    return this.crashes.has(life)
  }

  /** @returns number of crashes in which the part is implicated since its last sound run */
  crashCount (part: PartFingerprint): number {
    return this.implicated.get(part)?.size ?? 0
  }

  /** @returns whether requests with the part are refused, or run one at a time; undefined when they are treated like all others */
  standing (part: PartFingerprint, now: number): 'quarantined' | 'suspected' | undefined {
    return this.decisions.standing(part, now) ?? (this.crashCount(part) >= MAXIMUM_CRASHES ? 'suspected' : undefined)
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
    this.reports += 1
    const known = this.crashes.get(crash.life)
    const record = known ?? { ...crash, runs: [], soundRunsBefore: this.soundRuns }
    const wasExplained = this.isExplained(record)
    this.crashes.set(crash.life, record)
    record.runs.push(...runs.map((run) => ({ ...run, isOwn })))
    this.forgetOldest()
    const confirmed = wasExplained ? [] : partsOf(record).flatMap((part) => this.decisions.get(part) ?? [])
    if (confirmed.length > 0) this.explain(record)
    if (!this.isExplained(record)) for (const run of runs) for (const part of run.parts) this.implicate(part, record)
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
    this.forgetPart(decision.fingerprint)
  }

  /** Ends the quarantine of a part now, so that one isolated run is allowed. */
  reconsider (part: PartFingerprint): void {
    this.decisions.reconsider(part)
  }

  /** Records that this or another instance sent a request with a suspected part to an endpoint, in an isolated run. */
  sent (part: PartFingerprint, now: number): void {
    if (this.decisions.get(part) !== undefined) return this.decisions.trialSent(part, now)
    const crashes = this.crashCount(part)
    if (crashes < MAXIMUM_CRASHES) return
    const sends = (this.isolatedSends.get(part) ?? 0) + 1
    this.isolatedSends.set(part, sends)
    if (sends >= MAXIMUM_ISOLATED_SENDS) this.quarantine({ fingerprint: part, crashes, strikes: 1, certain: false, until: now + quarantineMilliseconds(false, 1) })
  }

  /** Counts a sound run that this instance has seen. */
  countSoundRun (): void {
    this.soundRuns += 1
  }

  /**
   * Clears a part after a sound run, on this or another instance.
   *
   * @param at - monotonic time at which the run was seen to be sound; undefined if the part is cleared for another reason
   * @returns whether the part was implicated or quarantined
   */
  clear (part: PartFingerprint, at?: number): boolean {
    if (at !== undefined) this.soundAt.set(part, at)
    const wasQuarantined = this.decisions.remove(part)
    return this.forgetPart(part) || wasQuarantined
  }

  /** Forgets crashes that are older than the retention time. To be called regularly. */
  expire (now: number): void {
    for (const [part, at] of this.soundAt) if (now - at > SOUND_MEMORY_MILLISECONDS) this.soundAt.delete(part)
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
    if (crashes.length < CRASHES_TO_QUARANTINE || this.hasRival(part, crashes) || !this.doOthersSucceed(part, crashes)) return undefined
    const certain = this.chanceOf(part, crashes) < MAXIMUM_CHANCE
    if (!certain && crashes.length < MAXIMUM_CRASHES) return undefined
    return { fingerprint: part, crashes: crashes.length, strikes: 1, certain, until: crash.at + quarantineMilliseconds(certain, 1) }
  }

  /** @returns whether another suspected part was in flight at nearly all of the part's crashes, in requests without the part */
  private hasRival (part: PartFingerprint, crashes: readonly CrashRecord[]): boolean {
    const beside = crashes.flatMap(({ runs }) => partsOf({ runs: runs.filter(({ parts }) => !parts.includes(part)) }))
    const numbers = new Map<PartFingerprint, number>()
    for (const other of beside) numbers.set(other, (numbers.get(other) ?? 0) + 1)
    return [...numbers].some(([other, number]) => number >= RIVAL_SHARE * crashes.length && this.crashCount(other) >= CRASHES_TO_SUSPECT)
  }

  /**
   * @returns whether runs without the part succeed so often, by what this instance has seen since the first crash, that the crashes are
   *   no accident of a service whose endpoints all crash
   */
  private doOthersSucceed (part: PartFingerprint, crashes: readonly CrashRecord[]): boolean {
    const [first] = crashes
    if (first === undefined) return false
    const since = [...this.crashes.values()].filter(({ at }) => at >= first.at)
    const failed = since.flatMap(({ runs }) => runs).filter(({ parts, isOwn }) => isOwn && !parts.includes(part)).length
    const sound = this.soundRuns - first.soundRunsBefore
    return ((failed + 1) / (failed + sound + 2)) ** crashes.length < MAXIMUM_CHANCE_TO_FAIL
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
      if (incarnations?.delete(record.life) === true && incarnations.size === 0) this.forgetPart(part)
    }
  }

  /** Removes all evidence against a part. @returns whether there was any */
  private forgetPart (part: PartFingerprint): boolean {
    this.isolatedSends.delete(part)
    return this.implicated.delete(part)
  }

  private implicate (part: PartFingerprint, { life, at }: EndpointCrash): void {
    if ((this.soundAt.get(part) ?? -Infinity) >= at) return
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
