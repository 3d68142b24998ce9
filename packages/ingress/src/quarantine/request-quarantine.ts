/**
 * Stops a request that crashes its endpoints, itself or by a part of its prompt, from reaching further endpoints, on all instances. Requests that were only in flight on the
 * same endpoints are still served. A request that was in flight at a crash is implicated. After several crashes it is suspected, and then
 * it is sent only in isolated runs, on an endpoint without other suspected requests. For requests that no crash implicates, the check is
 * one lookup in a table that is mostly empty.
 */
import { LimpetwinchError } from '@limpetwinch/core'
import type { Clock, EndpointCrashFrame, EndpointId, Logger, RequestVerdictFrame } from '@limpetwinch/core'
import { CrashTracker, isPartFingerprint } from '@limpetwinch/decisions'
import type { AccusedRun, InFlightRequest, EndpointCrash, FingerprintPrefix, PartFingerprint, QuarantineDecision, RequestFingerprint, Suspect } from '@limpetwinch/decisions'
import type { IngressMetrics } from '../observability/ingress-metrics.js'
import { sharedPartIds } from '../relay/request-codec.js'
import type { RoutedRequest } from '../relay/routed-request.js'
import type { AdapterKey, Endpoint } from '../routes/configuration.js'
import { endpointOfIncarnation, incarnationOf } from './crash-detector.js'
import type { CrashDetector } from './crash-detector.js'
import { fingerprintOf, fingerprintPrefix } from './fingerprint.js'
import { CrashReports } from './crash-reports.js'
import type { CrashReport } from './crash-reports.js'
import { crashFrame, decisionFrame } from './quarantine-frames.js'
import type { IsolatedRunClaims } from './isolated-run-claims.js'
import { PromptPartQuarantine, SOUND_AFTER_MILLISECONDS } from './prompt-part-quarantine.js'
import type { EndedRun } from './prompt-part-quarantine.js'
import type { TrialLimit } from './quarantine-records.js'
import { RunningTime } from './running-time.js'

/** `retry-after` for a copy of a request whose isolated run is in progress, in seconds: such a run takes about this long. */
const ISOLATED_RUN_RETRY_SECONDS = 1
/** Largest share of a service's endpoints that isolated runs may occupy. Above it, too few endpoints are left, so suspected requests share endpoints. */
const MAXIMUM_OCCUPIED_SHARE = 0.5

/** Whether a request may be sent to an endpoint. */
export type Admission =
  | { readonly kind: 'granted' }
  /** The request must be sent to another endpoint, because another suspected request runs on the chosen one. */
  | { readonly kind: 'elsewhere' }
  | { readonly kind: 'refused', readonly error: LimpetwinchError }

/** Announces crashes and decisions of this instance to other instances and the store. */
export interface QuarantineAnnouncer {
  /** An endpoint crashed under requests of this instance. */
  readonly crashed: (frame: EndpointCrashFrame) => void
  /** A request was quarantined. @param isOwn - whether this instance saw the crash that led to the decision */
  readonly convicted: (decision: QuarantineDecision, isOwn: boolean) => void
  /** A suspected request was answered, so it is suspected no longer. */
  readonly cleared: (fingerprint: RequestFingerprint) => void
  /** A part of prompts that crashes implicated is sound: it was answered on without a crash. */
  readonly soundPart: (part: PartFingerprint) => void
  /** The quarantine of a part of prompts has ended, because it is sound. */
  readonly released: (part: PartFingerprint) => void
}

/** Dependencies of the quarantine. */
export interface RequestQuarantineDependencies {
  readonly clock: Clock
  readonly logger: Logger
  readonly metrics: IngressMetrics
  readonly detector: CrashDetector
  readonly claims: IsolatedRunClaims
  readonly announcer: QuarantineAnnouncer
  /** @returns the endpoint as the current list of endpoints has it; undefined when the list does not name it */
  readonly findEndpoint: (endpoint: EndpointId) => Endpoint | undefined
  readonly endpointCount: (service: string) => number
  /** @returns the latest announced version of an adapter; undefined when none was announced */
  readonly newestVersion: (key: AdapterKey) => number | undefined
}

const GRANTED: Admission = { kind: 'granted' }
const NONE: ReadonlySet<EndpointId> = new Set()

/** Decides for each request of this instance whether it may be sent to an endpoint, from the crashes that all instances have seen. */
export class RequestQuarantine {
  private readonly parts: RequestQuarantineDependencies
  private readonly crashTracker: CrashTracker
  private readonly promptParts: PromptPartQuarantine
  /** Times answers, also before any crash: answers that were going on before one are the first to show which parts of prompts are sound. */
  readonly answerTime: RunningTime
  private readonly prefixes = new WeakMap<RoutedRequest, FingerprintPrefix>()
  private readonly fingerprints = new WeakMap<RoutedRequest, RequestFingerprint>()
  private readonly isolatedRuns = new Map<RoutedRequest, Suspect>()
  /** By request: resolves when it is known whether the endpoints to which the request lost its connections have crashed. */
  private readonly examinations = new WeakMap<RoutedRequest, Promise<void>>()
  /** By request whose answer ended with its connection: resolves with whether its endpoint has crashed. */
  private readonly unprovenEnds = new WeakMap<RoutedRequest, Promise<boolean>>()
  /** How many connections to endpoints each request has lost. */
  private readonly connectionLossCounts = new WeakMap<RoutedRequest, number>()
  private readonly reports: CrashReports
  /** By quarantined request: latest version of its adapter when the request first arrived after the quarantine decision. */
  private readonly refusedVersions = new Map<RequestFingerprint, number>()

  constructor (parts: RequestQuarantineDependencies) {
    this.parts = parts
    this.crashTracker = new CrashTracker(parts.endpointCount)
    this.answerTime = new RunningTime(parts.clock)
    this.answerTime.keepOn(true)
    const { logger, metrics, endpointCount, announcer } = parts
    this.promptParts = new PromptPartQuarantine({
      now: () => parts.clock.now(), logger, metrics, endpointCount, announceSound: (part) => announcer.soundPart(part), released: (part) => announcer.released(part)
    })
    this.reports = new CrashReports(parts.clock, (report) => this.record(report), (life, isOwn) => this.decide(life, isOwn))
  }

  /** Number of requests that crashes implicate, and number of quarantine decisions. */
  get counts (): { readonly implicated: number, readonly verdicts: number } {
    return { implicated: this.crashTracker.implicatedCount, verdicts: this.crashTracker.quarantineCount }
  }

  /** The same for parts of prompts. */
  get partCounts (): { readonly implicated: number, readonly verdicts: number } {
    return this.promptParts.counts
  }

  /** @returns the error with which a request is refused that is quarantined, or has a quarantined part in its prompt; undefined for every other request */
  refusal (request: RoutedRequest): LimpetwinchError | undefined {
    const decision = this.decisionAgainst(request)
    if (decision === undefined) return undefined
    this.parts.metrics.quarantineActionTaken('refused')
    return this.quarantineError(decision)
  }

  /** @returns whether the request is not suspected; only then may it be sent to a second endpoint while the first endpoint still runs it */
  isUnsuspected (request: RoutedRequest): boolean {
    return this.suspectOf(request) === undefined && this.promptParts.suspectedPart(request) === undefined
  }

  /** @returns endpoints that a suspected request must avoid: those where other suspected requests run, and those that have crashed */
  endpointsToAvoid (request: RoutedRequest): ReadonlySet<EndpointId> {
    const suspect = this.suspectOf(request)
    return suspect === undefined ? NONE : new Set([...this.occupied(request, suspect), ...this.crashed()])
  }

  /**
   * Decides right before each attempt whether the request may be sent. For a suspected request, this claims an isolated run first.
   *
   * @param endpoint - where the request is to be sent
   */
  async admit (request: RoutedRequest, endpoint: EndpointId): Promise<Admission> {
    // A request that no crash implicates is retried at once after its first lost connection. Finding out whether the endpoint crashed would
    // take too long. In all other cases the result of the examination is awaited.
    const hasLostEndpoint = this.losses(request) > 0
    if (this.implicatedFingerprint(request) !== undefined || this.losses(request) > 1 || (hasLostEndpoint && !this.isUnsuspected(request))) await this.examinations.get(request)
    const refused = this.refused(request) ?? (hasLostEndpoint ? this.refusedRepeat(request) : undefined)
    if (refused !== undefined) return refused
    const suspect = this.suspectOf(request)
    return suspect === undefined ? GRANTED : await this.isolate(request, suspect, endpoint)
  }

  /**
   * Called when the request lost its connection: starts to examine whether the endpoint crashed.
   *
   * @param run - the run that the lost connection ended
   */
  lost (request: RoutedRequest, endpoint: Endpoint, run: EndedRun): void {
    this.awaitExamination(request, this.examine(request, endpoint, run))
    this.connectionLossCounts.set(request, this.losses(request) + 1)
  }

  /**
   * Called when bytes of an answer arrive.
   *
   * @param answerMilliseconds - time since the first byte of the response body, by {@link answerTime}
   */
  answering (request: RoutedRequest, answerMilliseconds: number): void {
    if (this.promptParts.isTracking) this.promptParts.answering(request, answerMilliseconds)
  }

  /**
   * Called when the endpoint has answered the request completely. While crashes are known, an end shortly after the beginning shows nothing
   * yet: the crash may follow. And a process that crashes closes its connections as one does that ends its answer with the connection.
   *
   * @param endedWithConnection - whether the end of the connection marked the end of the answer
   */
  answered (request: RoutedRequest, endpoint: Endpoint, run: EndedRun, endedWithConnection: boolean): void {
    if (!this.promptParts.isTracking) return
    if (endedWithConnection) {
      const examination = this.examine(request, endpoint, run)
      this.unprovenEnds.set(request, examination)
      this.awaitExamination(request, examination)
      void examination.then((hasCrashed) => { if (!hasCrashed) this.promptParts.recordSound(request) })
      return
    }
    void this.answerTime.elapsed(SOUND_AFTER_MILLISECONDS - (run.answerMilliseconds ?? 0)).then(() => this.proveSound(request, endpoint, run))
  }

  /** Called when the request was sent to its endpoint, whatever the outcome. */
  sent (request: RoutedRequest): void {
    const suspect = this.isolatedRuns.get(request)
    if (suspect === undefined) return
    this.applyPeerSent(suspect)
    this.parts.claims.sent(suspect)
  }

  /**
   * Called when the attempt has ended, whatever the outcome. Ends the claim on an isolated run once it is known whether the endpoint has
   * crashed.
   */
  attemptFinished (request: RoutedRequest): void {
    const fingerprint = this.isolatedRuns.get(request)
    if (fingerprint === undefined) return
    const examination = this.examinations.get(request) ?? Promise.resolve()
    this.examinations.set(request, examination.then(() => {
      if (this.isolatedRuns.delete(request)) this.parts.claims.over(fingerprint)
    }))
  }

  /** Called when the endpoint has answered the request, whatever the response. The answer shows that the request does not crash endpoints. */
  completed (request: RoutedRequest): void {
    const unproven = this.unprovenEnds.get(request)
    if (unproven === undefined) this.clearRequest(request)
    else void unproven.then((hasCrashed) => { if (!hasCrashed) this.clearRequest(request) })
  }

  private clearRequest (request: RoutedRequest): void {
    const fingerprint = this.implicatedFingerprint(request)
    if (fingerprint === undefined || !this.crashTracker.completed(fingerprint)) return
    this.parts.logger.info('A suspected request was answered and is no longer suspected.', { request: request.facts.requestId, fingerprint })
    this.parts.metrics.quarantineActionTaken('cleared')
    this.parts.announcer.cleared(fingerprint)
  }

  /** Applies a crash that another instance saw, with the requests that the other instance had in flight there. */
  applyPeerCrash (crash: EndpointCrash, aboard: readonly InFlightRequest[], accusedRuns: readonly AccusedRun[]): void {
    const confirmed = [...this.crashTracker.record(crash, aboard), ...this.promptParts.record(crash, accusedRuns, false)]
    for (const decision of confirmed) this.logDecision(decision, 'crashes seen elsewhere')
    void this.reports.awaitDecision(crash.life)
  }

  /** Called when this or another instance has sent a suspected request to an endpoint: the sends of all instances count towards its quarantine. */
  applyPeerSent (suspect: Suspect): void {
    const now = this.parts.clock.now()
    if (isPartFingerprint(suspect)) this.promptParts.sent(suspect, now)
    else this.crashTracker.sent(suspect, now)
  }

  /** Applies a quarantine decision of another instance or of the store. */
  applyDecision (decision: QuarantineDecision, source: 'peer' | 'store'): void {
    const { fingerprint } = decision
    if ((this.verdict(fingerprint)?.strikes ?? 0) >= decision.strikes) return
    if (isPartFingerprint(fingerprint)) this.promptParts.adopt({ ...decision, fingerprint })
    else this.crashTracker.quarantine({ ...decision, fingerprint })
    this.logDecision(decision, source)
  }

  /**
   * Ends the suspicion against a request or its quarantine. The reason is that an endpoint answered the request to another instance, or
   * that the decision was removed from the store, for example by an operator.
   */
  release (fingerprint: Suspect, by: 'peer' | 'store'): void {
    if (isPartFingerprint(fingerprint)) {
      this.promptParts.clear(fingerprint, by)
      return
    }
    if (this.crashTracker.completed(fingerprint)) this.parts.logger.info('A request is no longer suspected or quarantined.', { fingerprint, by })
    this.refusedVersions.delete(fingerprint)
  }

  /** Allows an isolated run of a request with a part in quarantine, within a limit: no running process remembers what led to the decision. */
  reconsider (part: PartFingerprint, { crashes, strikes }: TrialLimit): void {
    const decision = this.promptParts.verdict(part)
    if (decision === undefined || decision.crashes > crashes || decision.strikes >= strikes || decision.until <= this.parts.clock.now()) return
    this.promptParts.reconsider(part)
    this.parts.logger.info('A part of prompts may be tried again, since all instances that held it back have ended.', { fingerprint: part, crashes: decision.crashes, strikes: decision.strikes })
  }

  /** @returns messages that bring an instance without any quarantine state up to date */
  framesForNewNeighbour (): { readonly crashes: readonly EndpointCrashFrame[], readonly verdicts: readonly RequestVerdictFrame[] } {
    const now = this.parts.clock.now()
    const { crashes, decisions } = this.promptParts.evidence()
    return {
      crashes: [
        ...this.crashTracker.unexplainedCrashes().map(({ aboard, ...crash }) => crashFrame(crash, aboard, [], now)),
        ...crashes.map(({ runs, ...crash }) => crashFrame(crash, [], runs, now))
      ],
      verdicts: [...this.crashTracker.allDecisions(), ...decisions].map((decision) => decisionFrame(decision, now))
    }
  }

  /** Removes crash records that are too old to matter. */
  expire (): void {
    const now = this.parts.clock.now()
    this.crashTracker.expire(now)
    this.promptParts.expire(now)
  }

  private losses (request: RoutedRequest): number {
    return this.connectionLossCounts.get(request) ?? 0
  }

  private refused (request: RoutedRequest): Admission | undefined {
    const error = this.refusal(request)
    return error === undefined ? undefined : { kind: 'refused', error }
  }

  /** @returns the decision for which the request is refused: on the request itself, or on a part of its prompt */
  private decisionAgainst (request: RoutedRequest): QuarantineDecision | undefined {
    const fingerprint = this.implicatedFingerprint(request)
    if (fingerprint !== undefined && this.standing(request, fingerprint) === 'quarantined') return this.crashTracker.verdict(fingerprint)
    return this.promptParts.decisionAgainst(request, this.parts.clock.now())
  }

  private quarantineError ({ fingerprint, crashes, until }: Pick<QuarantineDecision, 'fingerprint' | 'crashes' | 'until'>): LimpetwinchError {
    const reason = isPartFingerprint(fingerprint) ? 'a part of its prompt crashes endpoints' : 'it crashes endpoints'
    const seconds = Math.ceil((until - this.parts.clock.now()) / 1_000)
    return new LimpetwinchError('request-quarantined', { crashes, fingerprint, reason }, { retryAfterSeconds: Math.max(1, seconds) })
  }

  /** @returns the suspect for which the request may only be sent in an isolated run: the request itself or a part of its prompt */
  private suspectOf (request: RoutedRequest): Suspect | undefined {
    const fingerprint = this.implicatedFingerprint(request)
    if (fingerprint !== undefined && this.standing(request, fingerprint) !== 'unsuspected') return fingerprint
    return this.promptParts.partOnTrial(request, this.parts.clock.now())
  }

  private verdict (suspect: Suspect): QuarantineDecision | undefined {
    return isPartFingerprint(suspect) ? this.promptParts.verdict(suspect) : this.crashTracker.verdict(suspect)
  }

  private awaitExamination (request: RoutedRequest, examination: Promise<unknown>): void {
    const previous = this.examinations.get(request) ?? Promise.resolve()
    this.examinations.set(request, previous.then(async () => { await examination }))
  }

  /** Called when an answer that ended early has had the time after which it is sound, unless its endpoint has crashed meanwhile. */
  private proveSound (request: RoutedRequest, endpoint: Endpoint, run: EndedRun): void {
    const life = incarnationOf(endpoint)
    if (!this.promptParts.hasCrashed(life)) return this.promptParts.recordSound(request)
    const accused = this.promptParts.accusedRun(request, run)
    if (accused !== undefined) this.reports.of({ life, service: endpoint.service }).accusedRuns.push(accused)
  }

  /** @returns the refusal of a request that has lost an endpoint and has a suspected part in its prompt, so that it may crash another endpoint */
  private refusedRepeat (request: RoutedRequest): Admission | undefined {
    const part = this.promptParts.suspectedPart(request)
    if (part === undefined) return undefined
    return { kind: 'refused', error: this.quarantineError({ fingerprint: part, crashes: this.promptParts.crashCount(part), until: this.parts.clock.now() }) }
  }

  private occupied (request: RoutedRequest, fingerprint: Suspect): ReadonlySet<EndpointId> {
    const occupied = this.parts.claims.occupied(fingerprint)
    return occupied.size <= MAXIMUM_OCCUPIED_SHARE * this.parts.endpointCount(request.service.name) ? occupied : NONE
  }

  /**
   * @returns endpoints that the current list of endpoints still names with the incarnation that crashed. Nothing runs on these
   *   endpoints, so if they were not excluded, they would be the first choice for an isolated run.
   */
  private crashed (): EndpointId[] {
    return this.crashTracker.crashedIncarnations().flatMap((life) => {
      const listed = this.parts.findEndpoint(endpointOfIncarnation(life))
      return listed !== undefined && incarnationOf(listed) === life ? [listed.id] : []
    })
  }

  private async isolate (request: RoutedRequest, fingerprint: Suspect, endpoint: EndpointId): Promise<Admission> {
    const { clock, claims, logger, metrics } = this.parts
    const occupied = this.occupied(request, fingerprint)
    if (occupied.has(endpoint)) return { kind: 'elsewhere' }
    const crashes = this.verdict(fingerprint)?.crashes ?? (isPartFingerprint(fingerprint) ? this.promptParts.crashCount(fingerprint) : this.crashTracker.crashCount(fingerprint))
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
    logger.info('A suspected request starts an isolated run.', { request: request.facts.requestId, fingerprint, endpoint, crashes, occupied: [...occupied], isShared })
    return GRANTED
  }

  /** @returns whether the endpoint of a run that has ended has crashed; resolves when the crash was recorded and its cause decided on */
  private async examine (request: RoutedRequest, endpoint: Endpoint, run: EndedRun): Promise<boolean> {
    const { detector, findEndpoint, logger } = this.parts
    // An endpoint that is marked as leaving, or that is no longer listed, stops on purpose; its end is not a crash.
    if (findEndpoint(endpoint.id)?.leaving !== false) return false
    const life = incarnationOf(endpoint)
    if (!await detector.hasCrashed({ endpoint, life })) return false
    const fingerprint = this.fingerprint(request)
    const isolated = this.isolatedRuns.has(request)
    logger.info('A request was aboard a crashed endpoint.', {
      request: request.facts.requestId,
      endpoint: endpoint.id,
      fingerprint,
      adapter: request.facts.adapter?.key,
      promptParts: sharedPartIds(request.facts),
      response: run.response,
      milliseconds: Math.round(run.milliseconds),
      answerMilliseconds: run.answerMilliseconds === undefined ? undefined : Math.round(run.answerMilliseconds),
      isolated
    })
    const report = this.reports.of({ life, service: endpoint.service })
    report.aboard.push({ fingerprint, milliseconds: run.milliseconds, isolated })
    const accused = this.promptParts.accusedRun(request, run)
    if (accused !== undefined) report.accusedRuns.push(accused)
    await report.recorded
    return true
  }

  private record ({ crash, aboard, accusedRuns }: CrashReport): void {
    const { announcer, clock, metrics } = this.parts
    metrics.endpointCrashed(crash.service)
    const confirmed = [...this.crashTracker.record(crash, aboard), ...this.promptParts.record(crash, accusedRuns, true)]
    for (const decision of confirmed) this.announceDecision(decision, true)
    announcer.crashed(crashFrame(crash, aboard, accusedRuns, clock.now()))
  }

  /** @param isOwn - whether this instance saw the crash */
  private decide (life: string, isOwn: boolean): void {
    const part = this.promptParts.decide(life)
    const decisions = [...this.crashTracker.decide(life), ...(part === undefined ? [] : [part])]
    for (const decision of decisions) this.announceDecision(decision, isOwn)
  }

  /** @param isOwn - whether this instance saw the crash that led to the decision */
  private announceDecision (decision: QuarantineDecision, isOwn: boolean): void {
    this.logDecision(decision, isOwn ? 'crashes seen here' : 'crashes seen elsewhere')
    this.parts.announcer.convicted(decision, isOwn)
  }

  private logDecision ({ fingerprint, crashes, strikes, certain, until }: QuarantineDecision, grounds: string): void {
    const { metrics, logger, clock } = this.parts
    metrics.quarantineActionTaken('convicted')
    const seconds = Math.round((until - clock.now()) / 1_000)
    if (isPartFingerprint(fingerprint)) logger.warn('A part of prompts crashes endpoints and is held back.', { fingerprint, crashes, strikes, certain, grounds, seconds })
    else logger.warn('A request crashes endpoints and is held back.', { fingerprint, crashes, strikes, certain, grounds, seconds })
  }

  /**
   * @returns whether the request is unsuspected, suspected or quarantined. A newer version of its adapter may have fixed the fault. So when
   *   a newer version appears during the first quarantine of the request, the request may run once before that quarantine has expired.
   */
  private standing (request: RoutedRequest, fingerprint: RequestFingerprint): ReturnType<CrashTracker['standing']> {
    const key = request.facts.adapter?.key
    const decision = this.crashTracker.verdict(fingerprint)
    if (key !== undefined && decision !== undefined) {
      const latest = this.parts.newestVersion(key) ?? 0
      const refused = this.refusedVersions.get(fingerprint) ?? latest
      this.refusedVersions.set(fingerprint, refused)
      if (latest > refused && decision.strikes === 1) this.crashTracker.reconsider(fingerprint)
    }
    return this.crashTracker.standing(fingerprint, this.parts.clock.now())
  }

  /** @returns the fingerprint of a request that a crash or a quarantine decision may concern; undefined for nearly all requests */
  private implicatedFingerprint (request: RoutedRequest): RequestFingerprint | undefined {
    const mayBeImplicated = this.crashTracker.mayBeTracked(() => this.prefix(request))
    return mayBeImplicated ? this.fingerprint(request) : undefined
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
