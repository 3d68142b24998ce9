/** Finds and quarantines requests that crash the endpoints on which they run. */
import { chanceOfCoincidence } from './crash-chance.js'
import type { EndpointCrash } from './crash-chance.js'
import { QuarantineDecisions, quarantineMilliseconds } from './quarantine-decisions.js'
import type { QuarantineDecision } from './quarantine-decisions.js'
import { prefixOf } from './request-fingerprint.js'
import type { FingerprintPrefix, RequestFingerprint } from './request-fingerprint.js'

/** Number of crashes with a request in flight after which a request is suspected and runs in isolation from all other suspected requests. */
const CRASHES_TO_ISOLATE = 2
/** Minimum number of crashes with a request in flight for a decision to quarantine the request. */
const CRASHES_TO_QUARANTINE = 3
/** A request that was in flight at this many crashes, without a completed run, is quarantined even if the crashes may be coincidence. */
const MAXIMUM_CRASHES = 5
/**
 * Maximum number of times that a request is sent to an endpoint after its third crash; then the request is quarantined. A send
 * counts even if the endpoint refuses the request.
 */
const MAXIMUM_LATE_SENDS = 2
/**
 * A quarantine decision is certain only if the probability that an innocent request was in flight at all crashes of the request
 * is lower than this.
 */
const MAXIMUM_CHANCE = 0.00001
/** Age at which a crash is forgotten, and with it the suspicion against requests that were in flight at no later crash. */
const RETENTION_MILLISECONDS = 600_000
/** Maximum number of crashes kept, which bounds the memory of the tracker; the oldest are forgotten first. */
const MAXIMUM_TRACKED_CRASHES = 250

/** Request that was in flight when its endpoint crashed. */
export interface InFlightRequest {
  readonly fingerprint: RequestFingerprint
  /** Time for which the request had been in flight on the endpoint when its connection to the endpoint was lost, milliseconds. */
  readonly milliseconds: number
  /** Whether the request was sent as an isolated run, without other suspected requests at the endpoint. */
  readonly isolated: boolean
}

/** How a request is treated, depending on the crashes at which it was in flight. */
export type RequestStanding =
  /** The request was in flight at too few crashes to be treated differently from other requests. */
  | 'unsuspected'
  /** The request runs in isolation from all other suspected requests, on one instance at a time. */
  | 'suspected'
  /** The request is not sent to endpoints. */
  | 'quarantined'

/** Decision to quarantine a request. */
type RequestQuarantineDecision = QuarantineDecision<RequestFingerprint>

interface CrashRecord extends EndpointCrash {
  /** Requests that were in flight at the crash, by fingerprint. A request that is cleared by a completed run is removed. */
  readonly aboard: Map<RequestFingerprint, Omit<InFlightRequest, 'fingerprint'>>
}

/**
 * Finds the requests that crash the endpoints on which they run.
 *
 * A request in flight at a crash may be its cause or its victim. Every such request is implicated; a completed run clears it.
 * A request that is implicated repeatedly becomes suspected and runs in isolation. A crash during an isolated run identifies the
 * request as the cause unless unrelated crashes are too frequent.
 */
export class CrashTracker {
  private readonly crashes = new Map<string, CrashRecord>()
  /** For each request, the crashed incarnations of endpoints on which it was in flight, as far as the cause of the crash is unknown. */
  private readonly implicated = new Map<RequestFingerprint, Set<string>>()
  private readonly decisions = new QuarantineDecisions<RequestFingerprint>()
  /** Number of times that each implicated request was sent after its third crash. */
  private readonly lateSends = new Map<RequestFingerprint, number>()
  /** Number of implicated and quarantined requests by fingerprint prefix. */
  private readonly prefixes = new Map<FingerprintPrefix, number>()
  private readonly endpointCount: (service: string) => number

  /** @param endpointCount - number of endpoints of a service, by which the crash rate of the service is divided */
  constructor (endpointCount: (service: string) => number) {
    this.endpointCount = endpointCount
  }

  /** @returns whether a request with this prefix is implicated or quarantined; the prefix is computed only if there is any such request */
  mayBeTracked (prefix: () => FingerprintPrefix): boolean {
    return this.prefixes.size > 0 && this.prefixes.has(prefix())
  }

  /** Number of requests that are implicated in a crash and not quarantined. */
  get implicatedCount (): number {
    return this.implicated.size
  }

  /** Number of requests with a quarantine decision, including those whose quarantine has ended. */
  get quarantineCount (): number {
    return this.decisions.size
  }

  /** @returns how the request is treated at this time */
  standing (fingerprint: RequestFingerprint, now: number): RequestStanding {
    return this.decisions.standing(fingerprint, now) ?? (this.crashCount(fingerprint) >= CRASHES_TO_ISOLATE ? 'suspected' : 'unsuspected')
  }

  /** @returns the quarantine decision on the request, even if the quarantine has ended */
  verdict (fingerprint: RequestFingerprint): RequestQuarantineDecision | undefined {
    return this.decisions.get(fingerprint)
  }

  /** @returns all quarantine decisions, to be sent to an instance that has none */
  allDecisions (): readonly RequestQuarantineDecision[] {
    return this.decisions.all()
  }

  /** @returns incarnations of endpoints that crashed, see {@link EndpointCrash.life} */
  crashedIncarnations (): readonly string[] {
    return [...this.crashes.keys()]
  }

  /** @returns number of crashes in which the request is implicated */
  crashCount (fingerprint: RequestFingerprint): number {
    return this.implicated.get(fingerprint)?.size ?? 0
  }

  /**
   * Records a crash, or another instance's report of a known crash.
   *
   * @param crash - crash of an endpoint that was not shutting down
   * @param inFlight - requests that were in flight there
   * @returns existing quarantine decisions that the crash confirms; {@link decide} makes new ones
   */
  record (crash: EndpointCrash, inFlight: readonly InFlightRequest[]): RequestQuarantineDecision[] {
    const record = this.crashes.get(crash.life) ?? { ...crash, aboard: new Map() }
    const added = inFlight.filter(({ fingerprint }) => !record.aboard.has(fingerprint))
    this.crashes.set(crash.life, record)
    for (const request of inFlight) addInFlight(record, request)
    this.forgetOldest()
    const confirmed = added.flatMap(({ fingerprint }) => this.decisions.get(fingerprint) ?? [])
    if (confirmed.length > 0) this.explain(record)
    if (this.isExplained(record)) return confirmed.map((decision) => this.decisions.extend(decision, crash.at))
    for (const { fingerprint } of inFlight) this.implicate(fingerprint, crash.life)
    return []
  }

  /**
   * Looks for the request that caused a crash. To be called after all instances have reported their requests in flight. A suspected
   * request that this instance ran in isolation from its other suspected requests may have shared the endpoint with a suspected
   * request of another instance.
   *
   * @param life - incarnation of the endpoint that crashed
   * @returns new quarantine decisions
   */
  decide (life: string): RequestQuarantineDecision[] {
    const record = this.crashes.get(life)
    if (record === undefined || this.isExplained(record)) return []
    const decisions = [...record.aboard.keys()].flatMap((fingerprint) => this.decisionOn(fingerprint, record) ?? [])
    for (const decision of decisions) this.quarantine(decision)
    return decisions
  }

  /**
   * Records that this or another instance sent a suspected request to an endpoint. After its third crash, a request may be sent
   * `MAXIMUM_LATE_SENDS` times. The last of these sends quarantines the request at once, before the outcome of that run is known. If
   * that run completes, {@link completed} lifts the quarantine.
   */
  sent (fingerprint: RequestFingerprint, now: number): void {
    if (this.decisions.get(fingerprint) !== undefined) return this.decisions.trialSent(fingerprint, now)
    const crashes = this.crashCount(fingerprint)
    if (crashes < CRASHES_TO_QUARANTINE) return
    const sends = (this.lateSends.get(fingerprint) ?? 0) + 1
    this.lateSends.set(fingerprint, sends)
    if (sends >= MAXIMUM_LATE_SENDS) this.quarantine({ fingerprint, crashes, strikes: 1, certain: false, until: now + quarantineMilliseconds(false, 1) })
  }

  /**
   * Clears a request after a completed run, which shows that the request does not crash endpoints.
   *
   * @returns whether the request was implicated or quarantined
   */
  completed (fingerprint: RequestFingerprint): boolean {
    const wasImplicated = this.implicated.has(fingerprint)
    for (const record of this.crashes.values()) record.aboard.delete(fingerprint)
    this.clear(fingerprint)
    return this.release(fingerprint) || wasImplicated
  }

  /**
   * Quarantines a request and clears the other requests that were in flight at its crashes. Replaces an existing decision only if
   * the new one counts more quarantines in a row (`strikes`).
   */
  quarantine (decision: RequestQuarantineDecision): void {
    const { fingerprint } = decision
    const isNew = this.decisions.get(fingerprint) === undefined
    if (!this.decisions.adopt(decision)) return
    this.clear(fingerprint)
    if (isNew) this.count(fingerprint, 1)
    for (const record of this.crashes.values()) if (record.aboard.has(fingerprint)) this.explain(record)
  }

  /** Ends the quarantine of a request now, so that one trial run is allowed. */
  reconsider (fingerprint: RequestFingerprint): void {
    this.decisions.reconsider(fingerprint)
  }

  /**
   * Removes the quarantine decision on a request, and removes the request from the records of all crashes at which it was in
   * flight.
   *
   * @returns whether there was a decision
   */
  release (fingerprint: RequestFingerprint): boolean {
    if (!this.decisions.remove(fingerprint)) return false
    this.count(fingerprint, -1)
    for (const record of this.crashes.values()) record.aboard.delete(fingerprint)
    return true
  }

  /** Forgets crashes that are older than the retention time. To be called regularly. */
  expire (now: number): void {
    for (const record of this.crashes.values()) {
      if (now - record.at < RETENTION_MILLISECONDS) return
      this.forget(record)
    }
  }

  /** @returns crashes in which a suspected request is implicated, to be sent to an instance that knows none */
  unexplainedCrashes (): readonly (EndpointCrash & { readonly aboard: readonly InFlightRequest[] })[] {
    return [...this.crashes.values()]
      .filter((record) => [...record.aboard.keys()].some((fingerprint) => this.crashCount(fingerprint) >= CRASHES_TO_ISOLATE))
      .map(({ life, service, at, aboard }) => ({ life, service, at, aboard: [...aboard].map(([fingerprint, run]) => ({ fingerprint, ...run })) }))
  }

  private decisionOn (fingerprint: RequestFingerprint, crash: EndpointCrash): RequestQuarantineDecision | undefined {
    const crashes = this.crashesOf(fingerprint)
    if (crashes.length < CRASHES_TO_QUARANTINE) return undefined
    const certain = crashes.some((record) => this.isConclusive(record, fingerprint)) && this.chanceOf(fingerprint, crashes) < MAXIMUM_CHANCE
    if (!certain && crashes.length < MAXIMUM_CRASHES) return undefined
    return { fingerprint, crashes: crashes.length, strikes: 1, certain, until: crash.at + quarantineMilliseconds(certain, 1) }
  }

  /**
   * @returns whether the request ran in isolation and no other request at the endpoint is suspected; another one may have become
   *   suspected only after the isolated run began
   */
  private isConclusive ({ aboard }: CrashRecord, fingerprint: RequestFingerprint): boolean {
    if (aboard.get(fingerprint)?.isolated !== true) return false
    return [...aboard.keys()].every((other) => other === fingerprint || this.crashCount(other) < CRASHES_TO_ISOLATE)
  }

  /** @returns probability that an innocent request is in flight at all these crashes, given the rate of crashes without the request */
  private chanceOf (fingerprint: RequestFingerprint, crashes: readonly CrashRecord[]): number {
    const others = [...this.crashes.values()].filter(({ aboard }) => !aboard.has(fingerprint))
    const withRequest = crashes.map(({ aboard, ...crash }) => ({ ...crash, milliseconds: aboard.get(fingerprint)?.milliseconds ?? 0 }))
    return chanceOfCoincidence(withRequest, others, this.endpointCount)
  }

  private crashesOf (fingerprint: RequestFingerprint): CrashRecord[] {
    return [...this.implicated.get(fingerprint) ?? []].flatMap((life) => this.crashes.get(life) ?? [])
  }

  /** @returns whether a request with a quarantine decision was in flight, which makes it the cause of the crash */
  private isExplained ({ aboard }: CrashRecord): boolean {
    return this.decisions.size > 0 && [...aboard.keys()].some((fingerprint) => this.decisions.get(fingerprint) !== undefined)
  }

  /** Removes the suspicion from all requests in flight at a crash whose cause is known or no longer looked for. */
  private explain (record: CrashRecord): void {
    for (const fingerprint of record.aboard.keys()) this.exonerate(fingerprint, record.life)
  }

  private implicate (fingerprint: RequestFingerprint, life: string): void {
    const incarnations = this.implicated.get(fingerprint) ?? new Set()
    if (incarnations.size === 0) {
      this.implicated.set(fingerprint, incarnations)
      this.count(fingerprint, 1)
    }
    incarnations.add(life)
  }

  private exonerate (fingerprint: RequestFingerprint, life: string): void {
    const incarnations = this.implicated.get(fingerprint)
    if (incarnations?.delete(life) === true && incarnations.size === 0) this.clear(fingerprint)
  }

  private clear (fingerprint: RequestFingerprint): void {
    this.lateSends.delete(fingerprint)
    if (this.implicated.delete(fingerprint)) this.count(fingerprint, -1)
  }

  private count (fingerprint: RequestFingerprint, difference: number): void {
    const prefix = prefixOf(fingerprint)
    const total = (this.prefixes.get(prefix) ?? 0) + difference
    if (total === 0) this.prefixes.delete(prefix)
    else this.prefixes.set(prefix, total)
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

/** Adds a request to a crash. Several instances may have sent copies of the request to the endpoint, so an existing entry is merged. */
function addInFlight ({ aboard }: CrashRecord, { fingerprint, milliseconds, isolated }: InFlightRequest): void {
  const existing = aboard.get(fingerprint)
  aboard.set(fingerprint, {
    milliseconds: Math.max(milliseconds, existing?.milliseconds ?? 0),
    isolated: isolated || existing?.isolated === true
  })
}
