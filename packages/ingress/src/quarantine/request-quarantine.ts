/**
 * Keeps a request that crashes its endpoints from reaching more of them, at all instances, and lets what was only aboard with it
 * be served. Requests that nobody suspects cost one look at an empty table.
 */
import { LimpetwinchError } from '@limpetwinch/core'
import type { Clock, EndpointCrashFrame, EndpointId, Logger, RequestVerdictFrame } from '@limpetwinch/core'
import { CrashTracker } from '@limpetwinch/decisions'
import type { InFlightRequest, EndpointCrash, FingerprintPrefix, QuarantineDecision, RequestFingerprint } from '@limpetwinch/decisions'
import type { IngressMetrics } from '../observability/ingress-metrics.js'
import type { RoutedRequest } from '../relay/routed-request.js'
import type { AdapterKey, Endpoint } from '../routes/configuration.js'
import { endpointOfIncarnation, incarnationOf } from './crash-detector.js'
import type { CrashDetector } from './crash-detector.js'
import { fingerprintOf, fingerprintPrefix } from './fingerprint.js'
import type { IsolatedRunClaims } from './isolated-run-claims.js'

/** A run of the copy that is tried takes about this long. */
const ISOLATED_RUN_RETRY_SECONDS = 1
/** While suspected requests run on more than this part of a service's endpoints, they cannot be kept apart. */
const MAXIMUM_OCCUPIED_SHARE = 0.5

/** All instances that had requests aboard at a crash have said so within this. */
const REPORT_WINDOW_MILLISECONDS = 300

/** Whether and how a request may be sent. */
export type Admission =
  | { readonly kind: 'granted' }
  /** Another suspected request runs on the endpoint. */
  | { readonly kind: 'elsewhere' }
  | { readonly kind: 'refused', readonly error: LimpetwinchError }

/** Tells other instances and the store what was found here. */
export interface QuarantineAnnouncer {
  readonly crashed: (frame: EndpointCrashFrame) => void
  /** @param isOwn - whether this instance saw the crash that decided it */
  readonly convicted: (verdict: QuarantineDecision, isOwn: boolean) => void
  readonly cleared: (fingerprint: RequestFingerprint) => void
}

/** What the quarantine needs. */
export interface RequestQuarantineDependencies {
  readonly clock: Clock
  readonly logger: Logger
  readonly metrics: IngressMetrics
  readonly detector: CrashDetector
  readonly claims: IsolatedRunClaims
  readonly announcer: QuarantineAnnouncer
  /** @returns the endpoint as it is listed; undefined when it is gone */
  readonly findEndpoint: (endpoint: EndpointId) => Endpoint | undefined
  readonly endpointCount: (service: string) => number
  /** @returns the newest version of an adapter; undefined when none was announced */
  readonly newestVersion: (key: AdapterKey) => number | undefined
}

interface PendingCrashReport {
  readonly crash: EndpointCrash
  readonly aboard: InFlightRequest[]
  readonly recorded: Promise<void>
}

const GRANTED: Admission = { kind: 'granted' }
const NONE: ReadonlySet<EndpointId> = new Set()

/** The quarantine of one instance. */
export class RequestQuarantine {
  private readonly parts: RequestQuarantineDependencies
  private readonly crashTracker: CrashTracker
  private readonly prefixes = new WeakMap<RoutedRequest, FingerprintPrefix>()
  private readonly fingerprints = new WeakMap<RoutedRequest, RequestFingerprint>()
  private readonly isolatedRuns = new Map<RoutedRequest, RequestFingerprint>()
  /** What is still to be found out of a request's last try. */
  private readonly examinations = new WeakMap<RoutedRequest, Promise<void>>()
  /** Endpoints whose connections a request has lost. */
  private readonly connectionLossCounts = new WeakMap<RoutedRequest, number>()
  private readonly pendingReports = new Map<string, PendingCrashReport>()
  /** Crashes under requests of this instance that are not judged yet. */
  private readonly undecidedOwnCrashes = new Set<string>()
  private readonly pendingDecisions = new Map<string, Promise<void>>()
  private readonly refusedVersions = new Map<RequestFingerprint, number>()

  constructor (parts: RequestQuarantineDependencies) {
    this.parts = parts
    this.crashTracker = new CrashTracker(parts.endpointCount)
  }

  /** Requests that crashes speak against, and verdicts. */
  get counts (): { readonly implicated: number, readonly verdicts: number } {
    return { implicated: this.crashTracker.implicatedCount, verdicts: this.crashTracker.quarantineCount }
  }

  /** @returns the error for a request that must not reach endpoints; undefined for all others */
  refusal (request: RoutedRequest): LimpetwinchError | undefined {
    const fingerprint = this.implicatedFingerprint(request)
    if (fingerprint === undefined || this.standing(request, fingerprint) !== 'quarantined') return undefined
    const verdict = this.crashTracker.verdict(fingerprint)
    const seconds = Math.ceil(((verdict?.until ?? 0) - this.parts.clock.now()) / 1_000)
    this.parts.metrics.quarantineActionTaken('refused')
    return new LimpetwinchError('request-quarantined', { crashes: verdict?.crashes, fingerprint, reason: 'it crashes endpoints' }, { retryAfterSeconds: Math.max(1, seconds) })
  }

  /** @returns whether the request may be sent to a second endpoint while the first one still has it */
  isUnsuspected (request: RoutedRequest): boolean {
    const fingerprint = this.implicatedFingerprint(request)
    return fingerprint === undefined || this.standing(request, fingerprint) === 'unsuspected'
  }

  /** @returns endpoints that the request must keep away from: other suspected ones run there, or they have just crashed */
  endpointsToAvoid (request: RoutedRequest): ReadonlySet<EndpointId> {
    const fingerprint = this.implicatedFingerprint(request)
    if (fingerprint === undefined || this.standing(request, fingerprint) === 'unsuspected') return NONE
    return new Set([...this.occupied(request, fingerprint), ...this.crashed()])
  }

  /** To be asked right before each try. @param endpoint - where the request is to be sent */
  async admit (request: RoutedRequest, endpoint: EndpointId): Promise<Admission> {
    // A request goes on elsewhere at once when it has lost its first endpoint; knowing whether that crashed would take too long.
    if (this.implicatedFingerprint(request) !== undefined || this.losses(request) > 1) await this.examinations.get(request)
    const fingerprint = this.implicatedFingerprint(request)
    if (fingerprint === undefined) return GRANTED
    const standing = this.standing(request, fingerprint)
    if (standing === 'unsuspected') return GRANTED
    return this.refused(request) ?? await this.isolate(request, fingerprint, endpoint)
  }

  /** Its connection was lost: finds out whether the endpoint crashed. @param milliseconds - how long the request was there */
  lost (request: RoutedRequest, endpoint: Endpoint, milliseconds: number): void {
    const examined = this.examine(request, endpoint, milliseconds)
    const before = this.examinations.get(request)
    this.examinations.set(request, before === undefined ? examined : before.then(async () => await examined))
    this.connectionLossCounts.set(request, this.losses(request) + 1)
  }

  /** The request has reached its endpoint, whatever comes of it. */
  sent (request: RoutedRequest): void {
    const fingerprint = this.isolatedRuns.get(request)
    if (fingerprint === undefined) return
    this.crashTracker.sent(fingerprint, this.parts.clock.now())
    this.parts.claims.sent(fingerprint)
  }

  /** The try has ended, however it did. */
  attemptFinished (request: RoutedRequest): void {
    const fingerprint = this.isolatedRuns.get(request)
    if (fingerprint === undefined) return
    const settled = this.examinations.get(request) ?? Promise.resolve()
    this.examinations.set(request, settled.then(() => {
      if (this.isolatedRuns.delete(request)) this.parts.claims.over(fingerprint)
    }))
  }

  /** The endpoint came to the end of the request, whatever its answer: the request crashes nothing. */
  completed (request: RoutedRequest): void {
    const fingerprint = this.implicatedFingerprint(request)
    if (fingerprint === undefined || !this.crashTracker.completed(fingerprint)) return
    this.parts.logger.info('A suspected request came to its end.', { request: request.facts.requestId, fingerprint })
    this.parts.metrics.quarantineActionTaken('cleared')
    this.parts.announcer.cleared(fingerprint)
  }

  /** Another instance saw a crash. */
  applyPeerCrash (crash: EndpointCrash, aboard: readonly InFlightRequest[]): void {
    for (const verdict of this.crashTracker.record(crash, aboard)) this.logDecision(verdict, 'crashes seen elsewhere')
    void this.judgement(crash.life)
  }

  /** Another instance sends a suspected request to an endpoint. */
  applyPeerSent (fingerprint: RequestFingerprint): void {
    this.crashTracker.sent(fingerprint, this.parts.clock.now())
  }

  /** Another instance, or the store, tells a verdict. */
  applyDecision (verdict: QuarantineDecision, source: 'peer' | 'store'): void {
    if ((this.crashTracker.verdict(verdict.fingerprint)?.strikes ?? 0) >= verdict.strikes) return
    this.crashTracker.quarantine(verdict)
    this.logDecision(verdict, source)
  }

  /** Another instance saw the request come to its end, or an operator released it. */
  release (fingerprint: RequestFingerprint, by: 'peer' | 'store'): void {
    if (this.crashTracker.completed(fingerprint)) this.parts.logger.info('A request may reach endpoints again.', { fingerprint, by })
    this.refusedVersions.delete(fingerprint)
  }

  /** @returns what an instance that has heard nothing has to be told */
  framesForNewNeighbour (): { readonly crashes: readonly EndpointCrashFrame[], readonly verdicts: readonly RequestVerdictFrame[] } {
    const now = this.parts.clock.now()
    return {
      crashes: this.crashTracker.unexplainedCrashes().map(({ aboard, ...crash }) => crashFrame(crash, aboard, now)),
      verdicts: this.crashTracker.allDecisions().map((verdict) => decisionFrame(verdict, now))
    }
  }

  /** Forgets what is too old to matter. */
  expire (): void {
    this.crashTracker.expire(this.parts.clock.now())
  }

  private losses (request: RoutedRequest): number {
    return this.connectionLossCounts.get(request) ?? 0
  }

  private refused (request: RoutedRequest): Admission | undefined {
    const error = this.refusal(request)
    return error === undefined ? undefined : { kind: 'refused', error }
  }

  private occupied (request: RoutedRequest, fingerprint: RequestFingerprint): ReadonlySet<EndpointId> {
    const occupied = this.parts.claims.occupied(fingerprint)
    return occupied.size <= MAXIMUM_OCCUPIED_SHARE * this.parts.endpointCount(request.service.name) ? occupied : NONE
  }

  /** Endpoints that are still listed in the life that has ended. Nothing runs there, so that they seem the best to run apart. */
  private crashed (): EndpointId[] {
    return this.crashTracker.crashedIncarnations().flatMap((life) => {
      const listed = this.parts.findEndpoint(endpointOfIncarnation(life))
      return listed !== undefined && incarnationOf(listed) === life ? [listed.id] : []
    })
  }

  private async isolate (request: RoutedRequest, fingerprint: RequestFingerprint, endpoint: EndpointId): Promise<Admission> {
    const { clock, claims, logger, metrics } = this.parts
    const occupied = this.occupied(request, fingerprint)
    if (occupied.has(endpoint)) return { kind: 'elsewhere' }
    const crashes = this.crashTracker.verdict(fingerprint)?.crashes ?? this.crashTracker.crashCount(fingerprint)
    const isShared = occupied.size === 0 && claims.occupied(fingerprint).size > 0
    const outcome = await claims.claim(fingerprint, endpoint, Math.max(1, request.endsAt - clock.now()), isShared)
    if (outcome === 'occupied') return { kind: 'elsewhere' }
    if (outcome === 'taken') {
      metrics.quarantineActionTaken('deferred')
      return { kind: 'refused', error: new LimpetwinchError('request-on-trial', { crashes, fingerprint, reason: 'a copy of it runs' }, { retryAfterSeconds: ISOLATED_RUN_RETRY_SECONDS }) }
    }
    this.isolatedRuns.set(request, fingerprint)
    const refused = this.refused(request)
    if (refused !== undefined) {
      this.attemptFinished(request)
      return refused
    }
    metrics.quarantineActionTaken('isolated')
    logger.info('A suspected request runs apart.', { request: request.facts.requestId, fingerprint, endpoint, crashes, occupied: [...occupied], isShared })
    return GRANTED
  }

  private async examine (request: RoutedRequest, endpoint: Endpoint, milliseconds: number): Promise<void> {
    const { detector, findEndpoint, logger, clock } = this.parts
    // One that is about to stop, or has been taken from the list, does not crash.
    if (findEndpoint(endpoint.id)?.leaving !== false) return
    const life = incarnationOf(endpoint)
    if (!await detector.hasCrashed({ endpoint, life })) return
    const fingerprint = this.fingerprint(request)
    logger.info('A request was aboard a crashed endpoint.', {
      request: request.facts.requestId, endpoint: endpoint.id, fingerprint, adapter: request.facts.adapter?.key, milliseconds: Math.round(milliseconds), isolated: this.isolatedRuns.has(request)
    })
    const boarding = this.pendingReports.get(life) ?? this.collectReport({ life, service: endpoint.service, at: clock.now() })
    boarding.aboard.push({ fingerprint, milliseconds, isolated: this.isolatedRuns.has(request) })
    await boarding.recorded
  }

  /** Answers of one crash break off in the same moment; they are recorded and told together. */
  private collectReport (crash: EndpointCrash): PendingCrashReport {
    const aboard: InFlightRequest[] = []
    const recorded = new Promise<void>((resolve) => setImmediate(() => {
      this.pendingReports.delete(crash.life)
      this.record(crash, aboard)
      resolve(this.judgement(crash.life))
    }))
    const boarding = { crash, aboard, recorded }
    this.pendingReports.set(crash.life, boarding)
    return boarding
  }

  private record (crash: EndpointCrash, aboard: readonly InFlightRequest[]): void {
    const { announcer: news, clock, metrics } = this.parts
    metrics.endpointCrashed(crash.service)
    this.undecidedOwnCrashes.add(crash.life)
    for (const verdict of this.crashTracker.record(crash, aboard)) this.announceDecision(verdict, true)
    news.crashed(crashFrame(crash, aboard, clock.now()))
  }

  /** Looks for the cause of a crash once all have told what they had aboard. */
  private async judgement (life: string): Promise<void> {
    const judgement = this.pendingDecisions.get(life) ?? this.decide(life)
    this.pendingDecisions.set(life, judgement)
    await judgement
  }

  private async decide (life: string): Promise<void> {
    await this.parts.clock.sleep(REPORT_WINDOW_MILLISECONDS)
    this.pendingDecisions.delete(life)
    const isOwn = this.undecidedOwnCrashes.delete(life)
    for (const verdict of this.crashTracker.decide(life)) this.announceDecision(verdict, isOwn)
  }

  /** @param isOwn - whether the crash was seen here */
  private announceDecision (verdict: QuarantineDecision, isOwn: boolean): void {
    this.logDecision(verdict, isOwn ? 'crashes seen here' : 'crashes seen elsewhere')
    this.parts.announcer.convicted(verdict, isOwn)
  }

  private logDecision ({ fingerprint, crashes, strikes, certain, until }: QuarantineDecision, grounds: string): void {
    this.parts.metrics.quarantineActionTaken('convicted')
    this.parts.logger.warn('A request crashes endpoints and is held back.', {
      fingerprint, crashes, strikes, certain, grounds, seconds: Math.round((until - this.parts.clock.now()) / 1_000)
    })
  }

  /** A newer version of the adapter may have mended it: then it is tried once before its time is over. */
  private standing (request: RoutedRequest, fingerprint: RequestFingerprint): ReturnType<CrashTracker['standing']> {
    const key = request.facts.adapter?.key
    const verdict = this.crashTracker.verdict(fingerprint)
    if (key !== undefined && verdict !== undefined) {
      const newest = this.parts.newestVersion(key) ?? 0
      const refused = this.refusedVersions.get(fingerprint) ?? newest
      this.refusedVersions.set(fingerprint, refused)
      if (newest > refused && verdict.strikes === 1) this.crashTracker.reconsider(fingerprint)
    }
    return this.crashTracker.standing(fingerprint, this.parts.clock.now())
  }

  /** @returns the fingerprint of a request that something may speak against; undefined for nearly all */
  private implicatedFingerprint (request: RoutedRequest): RequestFingerprint | undefined {
    const isKnown = this.crashTracker.mayBeTracked(() => this.prefix(request))
    return isKnown ? this.fingerprint(request) : undefined
  }

  private prefix (request: RoutedRequest): FingerprintPrefix {
    const prefix = this.prefixes.get(request) ?? fingerprintPrefix(request)
    this.prefixes.set(request, prefix)
    return prefix
  }

  private fingerprint (request: RoutedRequest): RequestFingerprint {
    const fingerprint = this.fingerprints.get(request) ?? fingerprintOf(request, this.prefix(request))
    this.fingerprints.set(request, fingerprint)
    return fingerprint
  }
}

/** @returns a verdict for other instances */
export function decisionFrame ({ fingerprint, crashes, strikes, certain, until }: QuarantineDecision, now: number): RequestVerdictFrame {
  return { kind: 'request-verdict', fingerprint, crashes, strikes, certain, remainingMilliseconds: Math.max(0, until - now) }
}

function crashFrame ({ life, service, at }: EndpointCrash, aboard: readonly InFlightRequest[], now: number): EndpointCrashFrame {
  return {
    kind: 'endpoint-crash', life, service, millisecondsAgo: Math.max(0, now - at), aboard: aboard.map(({ fingerprint, milliseconds, isolated }) => [fingerprint, milliseconds, isolated])
  }
}
