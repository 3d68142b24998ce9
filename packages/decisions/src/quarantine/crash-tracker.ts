/**
 * Finds the request that crashes the endpoints that run it.
 *
 * Whoever is aboard at a crash may be its cause or its victim. A run that comes to its end clears a request, crashes in a row
 * accuse it, and one that was run apart from all other accused is taken at its word. Each verdict ends with one more such run:
 * an adapter or an engine may have been mended, and what was convicted by chance must not be refused for good.
 */
import { prefixOf } from './request-fingerprint.js'
import type { FingerprintPrefix, RequestFingerprint } from './request-fingerprint.js'

/** Crashes after which a request is run apart from all others that are accused. */
const CRASHES_TO_ISOLATE = 2
/** A verdict needs at least so many crashes. */
const CRASHES_TO_QUARANTINE = 3
/** A request that never came to its end in so many runs is held back, whatever else crashed meanwhile. */
const MAXIMUM_CRASHES = 5
/** Sends after the third crash, whatever comes of them: an endpoint that refuses the request was sent it all the same. */
const MAXIMUM_LATE_SENDS = 2
/** An innocent request is aboard at all of its crashes by chance less often than this. */
const MAXIMUM_CHANCE = 0.00001
/** A request that crashed its endpoints beyond doubt is held so long before it is tried again. */
const CERTAIN_QUARANTINE_MILLISECONDS = 3_600_000
/** The first hold of one that may have been aboard by chance; each one that follows is longer by the factor. */
const UNCERTAIN_QUARANTINE_MILLISECONDS = 60_000
const QUARANTINE_GROWTH_FACTOR = 10
/**
 * How often endpoints crash with no request to blame is read from the crashes in each of these times before; the highest rate
 * counts, since crashes come in crowds.
 */
const CRASH_RATE_WINDOWS_MILLISECONDS = [10_000, 60_000] as const
/** A request that has not come again for so long is forgotten. */
const RETENTION_MILLISECONDS = 600_000
/** Beyond these the oldest are forgotten. */
const MAXIMUM_TRACKED_CRASHES = 250

/** One crash, as one or several instances saw it. */
export interface EndpointCrash {
  /** The endpoint and its life, equal at all instances. */
  readonly life: string
  readonly service: string
  /** Monotonic time at which it was heard of. */
  readonly at: number
}

/** A request that ran when its endpoint crashed. */
export interface InFlightRequest {
  readonly fingerprint: RequestFingerprint
  /** How long it had been there. */
  readonly milliseconds: number
  /** Whether no other accused request was to be there. */
  readonly isolated: boolean
}

/** How a request is to be treated. */
export type RequestStanding =
  /** Nothing speaks against it, or too little to treat it apart. */
  | 'unsuspected'
  /** It is run apart from all others that are accused, by one instance at a time. */
  | 'suspected'
  /** It does not reach endpoints. */
  | 'quarantined'

/** Why and for how long a request is kept from endpoints. */
export interface QuarantineDecision {
  readonly fingerprint: RequestFingerprint
  /** Crashes that spoke against it. */
  readonly crashes: number
  /** Times that it was convicted in a row. */
  readonly strikes: number
  /** Whether chance is ruled out. */
  readonly certain: boolean
  /** Monotonic time at which it may be tried once more. */
  readonly until: number
}

interface CrashRecord extends EndpointCrash {
  readonly aboard: Map<RequestFingerprint, Omit<InFlightRequest, 'fingerprint'>>
}

/** What crashes say of requests. */
export class CrashTracker {
  private readonly crashes = new Map<string, CrashRecord>()
  private readonly implicated = new Map<RequestFingerprint, Set<string>>()
  private readonly decisions = new Map<RequestFingerprint, QuarantineDecision>()
  private readonly lateSends = new Map<RequestFingerprint, number>()
  private readonly prefixes = new Map<FingerprintPrefix, number>()
  private readonly endpointCount: (service: string) => number

  /** @param endpointCount - endpoints of a service, which share its crashes */
  constructor (endpointCount: (service: string) => number) {
    this.endpointCount = endpointCount
  }

  /** @returns whether some request with this prefix is accused; a cheap answer for nearly all requests */
  mayBeTracked (prefix: () => FingerprintPrefix): boolean {
    return this.prefixes.size > 0 && this.prefixes.has(prefix())
  }

  /** How many requests are accused and not convicted. */
  get implicatedCount (): number {
    return this.implicated.size
  }

  /** How many requests have been convicted. */
  get quarantineCount (): number {
    return this.decisions.size
  }

  /** How a request is to be treated. */
  standing (fingerprint: RequestFingerprint, now: number): RequestStanding {
    const verdict = this.decisions.get(fingerprint)
    if (verdict !== undefined) return now < verdict.until ? 'quarantined' : 'suspected'
    return this.crashCount(fingerprint) >= CRASHES_TO_ISOLATE ? 'suspected' : 'unsuspected'
  }

  /** @returns the verdict on a request, in force or over */
  verdict (fingerprint: RequestFingerprint): QuarantineDecision | undefined {
    return this.decisions.get(fingerprint)
  }

  /** @returns all verdicts, for an instance that has heard of none */
  allDecisions (): readonly QuarantineDecision[] {
    return [...this.decisions.values()]
  }

  /** @returns lives of endpoints that have crashed */
  crashedIncarnations (): readonly string[] {
    return [...this.crashes.keys()]
  }

  /** @returns crashes that speak against the request */
  crashCount (fingerprint: RequestFingerprint): number {
    return this.implicated.get(fingerprint)?.size ?? 0
  }

  /**
   * Takes up a crash, or what another instance saw of it.
   *
   * @param crash - of an endpoint that was not about to stop
   * @param aboard - what ran there
   * @returns verdicts that it confirms; {@link decide} comes to new ones
   */
  record (crash: EndpointCrash, aboard: readonly InFlightRequest[]): QuarantineDecision[] {
    const record = this.crashes.get(crash.life) ?? { ...crash, aboard: new Map() }
    const isNew = aboard.filter(({ fingerprint }) => !record.aboard.has(fingerprint))
    this.crashes.set(crash.life, record)
    for (const request of aboard) addInFlight(record, request)
    this.forgetOldest()
    const again = isNew.flatMap(({ fingerprint }) => this.decisions.get(fingerprint) ?? [])
    if (again.length > 0) this.explain(record)
    if (this.isExplained(record)) return again.map((verdict) => this.extendQuarantine(verdict, crash))
    for (const { fingerprint } of aboard) this.implicate(fingerprint, crash.life)
    return []
  }

  /**
   * Looks for the cause of a crash, once all instances have told what they had aboard: a request that seems to have run apart here
   * may have had another suspected one beside it.
   *
   * @param life - of the endpoint that crashed
   * @returns new verdicts
   */
  decide (life: string): QuarantineDecision[] {
    const record = this.crashes.get(life)
    if (record === undefined || this.isExplained(record)) return []
    const decisions = [...record.aboard.keys()].flatMap((fingerprint) => this.decisionOn(fingerprint, record) ?? [])
    for (const verdict of decisions) this.quarantine(verdict)
    return decisions
  }

  /**
   * A suspected request has reached an endpoint, here or elsewhere. The send that uses up what is left is followed by a verdict at
   * once; if it comes to its end, that clears the request.
   */
  sent (fingerprint: RequestFingerprint, now: number): void {
    const verdict = this.decisions.get(fingerprint)
    if (verdict !== undefined) return this.recordTrialSend(verdict, now)
    const crashes = this.crashCount(fingerprint)
    if (crashes < CRASHES_TO_QUARANTINE) return
    const sends = (this.lateSends.get(fingerprint) ?? 0) + 1
    this.lateSends.set(fingerprint, sends)
    if (sends >= MAXIMUM_LATE_SENDS) this.quarantine({ fingerprint, crashes, strikes: 1, certain: false, until: now + quarantineMilliseconds(false, 1) })
  }

  /** A run of the request came to its end: it does not crash endpoints. @returns whether anything spoke against it */
  completed (fingerprint: RequestFingerprint): boolean {
    const wasAccused = this.implicated.has(fingerprint)
    for (const record of this.crashes.values()) record.aboard.delete(fingerprint)
    this.clear(fingerprint)
    return this.release(fingerprint) || wasAccused
  }

  /** Keeps the request from endpoints. What was aboard with it is cleared of its crashes. A newer verdict replaces an older one. */
  quarantine (verdict: QuarantineDecision): void {
    const { fingerprint, strikes } = verdict
    const present = this.decisions.get(fingerprint)
    if (present !== undefined && present.strikes >= strikes) return
    this.clear(fingerprint)
    this.decisions.set(fingerprint, verdict)
    if (present === undefined) this.count(fingerprint, 1)
    for (const record of this.crashes.values()) if (record.aboard.has(fingerprint)) this.explain(record)
  }

  /** Ends a verdict's time: the request may be tried once more now. */
  reconsider (fingerprint: RequestFingerprint): void {
    const verdict = this.decisions.get(fingerprint)
    if (verdict !== undefined) this.decisions.set(fingerprint, { ...verdict, until: -Infinity })
  }

  /** Lets the request reach endpoints again, with nothing against it. @returns whether there was a verdict */
  release (fingerprint: RequestFingerprint): boolean {
    if (!this.decisions.delete(fingerprint)) return false
    this.count(fingerprint, -1)
    for (const record of this.crashes.values()) record.aboard.delete(fingerprint)
    return true
  }

  /** Forgets crashes that are too old to matter; to be called now and then. */
  expire (now: number): void {
    for (const record of this.crashes.values()) {
      if (now - record.at < RETENTION_MILLISECONDS) return
      this.forget(record)
    }
  }

  /** @returns crashes that speak against somebody, for an instance that has heard of none */
  unexplainedCrashes (): readonly (EndpointCrash & { readonly aboard: readonly InFlightRequest[] })[] {
    return [...this.crashes.values()]
      .filter((record) => [...record.aboard.keys()].some((fingerprint) => this.crashCount(fingerprint) >= CRASHES_TO_ISOLATE))
      .map(({ life, service, at, aboard }) => ({ life, service, at, aboard: [...aboard].map(([fingerprint, traits]) => ({ fingerprint, ...traits })) }))
  }

  private decisionOn (fingerprint: RequestFingerprint, crash: EndpointCrash): QuarantineDecision | undefined {
    const crashes = this.crashesOf(fingerprint)
    if (crashes.length < CRASHES_TO_QUARANTINE) return undefined
    const certain = crashes.some((record) => this.isConclusive(record, fingerprint)) && this.chanceOf(fingerprint, crashes) < MAXIMUM_CHANCE
    if (!certain && crashes.length < MAXIMUM_CRASHES) return undefined
    return { fingerprint, crashes: crashes.length, strikes: 1, certain, until: crash.at + quarantineMilliseconds(certain, 1) }
  }

  /** It was tried once more, or was under way already when it was convicted. */
  private extendQuarantine (verdict: QuarantineDecision, { at }: EndpointCrash): QuarantineDecision {
    const until = Math.max(verdict.until, at + quarantineMilliseconds(verdict.certain, verdict.strikes))
    const next = { ...verdict, crashes: verdict.crashes + 1, until }
    this.decisions.set(verdict.fingerprint, next)
    return next
  }

  /** A verdict whose time is over allows one send; one that was under way before changes nothing. */
  private recordTrialSend (verdict: QuarantineDecision, now: number): void {
    if (now < verdict.until) return
    const strikes = verdict.strikes + 1
    this.decisions.set(verdict.fingerprint, { ...verdict, strikes, until: now + quarantineMilliseconds(verdict.certain, strikes) })
  }

  /** Whether the request ran apart; another one may have become suspected since it was sent there. */
  private isConclusive ({ aboard }: CrashRecord, fingerprint: RequestFingerprint): boolean {
    if (aboard.get(fingerprint)?.isolated !== true) return false
    return [...aboard.keys()].every((other) => other === fingerprint || this.crashCount(other) < CRASHES_TO_ISOLATE)
  }

  /** @returns how likely a request that causes no crash is aboard at all of these, at the rate at which others crash without it */
  private chanceOf (fingerprint: RequestFingerprint, crashes: readonly CrashRecord[]): number {
    // Crashes with a cause count as well: were a verdict wrong, each one would make the next wrong one likelier.
    const others = [...this.crashes.values()].filter((record) => !record.aboard.has(fingerprint))
    return crashes.reduce((chance, crash) => {
      const milliseconds = Math.max(1, crash.aboard.get(fingerprint)?.milliseconds ?? 0)
      return chance * (1 - Math.exp(-this.rateAt(crash, others) * milliseconds))
    }, 1)
  }

  /** @returns crashes of one endpoint in a millisecond around the time of this one */
  private rateAt ({ service, at }: EndpointCrash, others: readonly CrashRecord[]): number {
    const endpoints = Math.max(1, this.endpointCount(service))
    const rates = CRASH_RATE_WINDOWS_MILLISECONDS.map((milliseconds) => {
      const near = others.filter((other) => other.service === service && other.at <= at && at - other.at < milliseconds)
      return (near.length + 1) / (endpoints * milliseconds)
    })
    return Math.max(...rates)
  }

  private crashesOf (fingerprint: RequestFingerprint): CrashRecord[] {
    return [...this.implicated.get(fingerprint) ?? []].flatMap((life) => this.crashes.get(life) ?? [])
  }

  private isExplained ({ aboard }: CrashRecord): boolean {
    return this.decisions.size > 0 && [...aboard.keys()].some((fingerprint) => this.decisions.has(fingerprint))
  }

  private explain (record: CrashRecord): void {
    for (const fingerprint of record.aboard.keys()) this.exonerate(fingerprint, record.life)
  }

  private implicate (fingerprint: RequestFingerprint, life: string): void {
    const lives = this.implicated.get(fingerprint) ?? new Set()
    if (lives.size === 0) {
      this.implicated.set(fingerprint, lives)
      this.count(fingerprint, 1)
    }
    lives.add(life)
  }

  private exonerate (fingerprint: RequestFingerprint, life: string): void {
    const lives = this.implicated.get(fingerprint)
    if (lives?.delete(life) === true && lives.size === 0) this.clear(fingerprint)
  }

  private clear (fingerprint: RequestFingerprint): void {
    this.lateSends.delete(fingerprint)
    if (this.implicated.delete(fingerprint)) this.count(fingerprint, -1)
  }

  private count (fingerprint: RequestFingerprint, difference: number): void {
    const prefix = prefixOf(fingerprint)
    const counted = (this.prefixes.get(prefix) ?? 0) + difference
    if (counted === 0) this.prefixes.delete(prefix)
    else this.prefixes.set(prefix, counted)
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

function quarantineMilliseconds (certain: boolean, strikes: number): number {
  return certain ? CERTAIN_QUARANTINE_MILLISECONDS : UNCERTAIN_QUARANTINE_MILLISECONDS * QUARANTINE_GROWTH_FACTOR ** (strikes - 1)
}

/** Copies of one request may have been there, sent by several instances. */
function addInFlight ({ aboard }: CrashRecord, { fingerprint, milliseconds, isolated }: InFlightRequest): void {
  const present = aboard.get(fingerprint)
  aboard.set(fingerprint, {
    milliseconds: Math.max(milliseconds, present?.milliseconds ?? 0),
    isolated: isolated || present?.isolated === true
  })
}
