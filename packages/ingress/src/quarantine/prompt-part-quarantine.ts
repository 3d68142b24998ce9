/**
 * Stops requests with a part in their prompts that crashes endpoints from reaching further endpoints, on all instances. Requests that share
 * only other parts with them are still served. While no crash is known, nothing is looked up or kept.
 */
import type { Logger } from '@limpetwinch/core'
import { PromptPartTracker } from '@limpetwinch/decisions'
import type { AccusedRun, EndpointCrash, PartFingerprint, QuarantineDecision } from '@limpetwinch/decisions'
import type { IngressMetrics } from '../observability/ingress-metrics.js'
import type { ResponseProgress } from '../relay/attempt.js'
import type { RoutedRequest } from '../relay/routed-request.js'
import { partFingerprints } from './fingerprint.js'

/**
 * Time from the start of an answer after which a run counts as sound if its endpoint has not crashed. A part that crashes endpoints does
 * so within some dozen milliseconds, and a process takes a moment to end.
 */
export const SOUND_AFTER_MILLISECONDS = 400

/** A run of a request on an endpoint, which has ended. */
export interface EndedRun {
  /** How long the request had been in flight on the endpoint. */
  readonly milliseconds: number
  /** Time that this process ran since the first byte of the response body; undefined when none has arrived. */
  readonly answerMilliseconds: number | undefined
  readonly response: ResponseProgress
}

/** Dependencies of the quarantine of prompt parts. */
export interface PromptPartQuarantineDependencies {
  /** @returns monotonic time, milliseconds */
  readonly now: () => number
  readonly logger: Logger
  readonly metrics: IngressMetrics
  readonly endpointCount: (service: string) => number
  /** Tells all other instances that a part is sound. */
  readonly announceSound: (part: PartFingerprint) => void
  /** Removes the decision on a part from the store. */
  readonly released: (part: PartFingerprint) => void
}

/** The parts of prompts that crashes implicate, as this instance knows them. */
export class PromptPartQuarantine {
  private readonly dependencies: PromptPartQuarantineDependencies
  private readonly tracker: PromptPartTracker
  private readonly parts = new WeakMap<RoutedRequest, readonly PartFingerprint[]>()
  /** By request whose answer went on without a crash: number of reports on crashes that were known then. */
  private readonly soundAfter = new WeakMap<RoutedRequest, number>()

  constructor (dependencies: PromptPartQuarantineDependencies) {
    this.dependencies = dependencies
    this.tracker = new PromptPartTracker(dependencies.endpointCount)
  }

  /** Whether any crash or decision is known, so that answers have to be followed. */
  get isTracking (): boolean {
    return this.tracker.isTracking
  }

  /** Number of parts that crashes implicate, and number of quarantine decisions. */
  get counts (): { readonly implicated: number, readonly verdicts: number } {
    return { implicated: this.tracker.implicatedCount, verdicts: this.tracker.quarantineCount }
  }

  /** @returns the decision for which the request is refused; undefined when no part of its prompt is in quarantine */
  decisionAgainst (request: RoutedRequest, now: number): QuarantineDecision<PartFingerprint> | undefined {
    if (this.tracker.quarantineCount === 0) return undefined
    const part = this.partsOf(request).find((each) => this.tracker.standing(each, now) === 'quarantined')
    return part === undefined ? undefined : this.tracker.verdict(part)
  }

  /** @returns the part of the prompt for which requests run one at a time, the most implicated one if there are several; undefined when there is none */
  partOnTrial (request: RoutedRequest, now: number): PartFingerprint | undefined {
    if (!this.isTracking) return undefined
    const onTrial = this.partsOf(request).filter((part) => this.tracker.standing(part, now) === 'suspected')
    return onTrial.sort((one, other) => this.tracker.crashCount(other) - this.tracker.crashCount(one))[0]
  }

  /** @returns a part of the prompt that is suspected, for which the request is not sent again after its own connection was lost */
  suspectedPart (request: RoutedRequest): PartFingerprint | undefined {
    return this.isTracking ? this.partsOf(request).find((part) => this.tracker.isSuspected(part)) : undefined
  }

  /** @returns number of crashes in which the part is implicated since its last sound run */
  crashCount (part: PartFingerprint): number {
    return this.tracker.crashCount(part)
  }

  /** @returns quarantine decision on the part, even if the quarantine has ended */
  verdict (part: PartFingerprint): QuarantineDecision<PartFingerprint> | undefined {
    return this.tracker.verdict(part)
  }

  /** @returns the run as evidence against the parts of its prompt; undefined when its answer had gone on for long enough to be sound */
  accusedRun (request: RoutedRequest, { milliseconds, answerMilliseconds }: EndedRun): AccusedRun | undefined {
    const parts = this.partsOf(request)
    if (parts.length === 0) return undefined
    if (answerMilliseconds !== undefined && answerMilliseconds >= SOUND_AFTER_MILLISECONDS) {
      this.recordSound(request)
      return undefined
    }
    return { parts, milliseconds }
  }

  /**
   * Called when bytes of an answer arrive.
   *
   * @param answerMilliseconds - time since the first byte of the response body
   */
  answering (request: RoutedRequest, answerMilliseconds: number): void {
    if (answerMilliseconds >= SOUND_AFTER_MILLISECONDS) this.recordSound(request)
  }

  /**
   * Records that an answer went on or ended without a crash, and clears the parts of its prompt on all instances. An answer that still goes on clears
   * them again after each further report on a crash: when many endpoints crash for a common reason, parts that many prompts share were in flight
   * at all of them, and the reports arrive one after the other.
   */
  recordSound (request: RoutedRequest): void {
    const reports = this.soundAfter.get(request)
    if (!this.isTracking || reports === this.tracker.reportCount) return
    const parts = this.partsOf(request)
    if (parts.length === 0) return
    this.soundAfter.set(request, this.tracker.reportCount)
    if (reports === undefined) this.tracker.countSoundRun()
    const cleared = parts.filter((part) => this.clear(part, 'answered'))
    for (const part of cleared) this.dependencies.announceSound(part)
    if (cleared.length > 0) this.dependencies.logger.debug('A sound answer cleared parts of prompts.', { request: request.facts.requestId, parts: cleared })
  }

  /** Clears a part: another instance has seen a sound answer on it, or its decision was removed from the store. @returns whether it was implicated */
  clear (part: PartFingerprint, by: 'answered' | 'peer' | 'store'): boolean {
    const hadDecision = this.tracker.verdict(part) !== undefined
    const wasImplicated = this.tracker.clear(part, by === 'store' ? undefined : this.dependencies.now())
    if (!hadDecision) return wasImplicated
    this.dependencies.logger.info('A part of prompts is no longer quarantined.', { fingerprint: part, by })
    this.dependencies.metrics.quarantineActionTaken('cleared')
    if (by === 'answered') this.dependencies.released(part)
    return true
  }

  /** @returns whether an endpoint is known to have crashed in this incarnation */
  hasCrashed (life: string): boolean {
    return this.tracker.hasCrashed(life)
  }

  /** Records a crash with the runs that it ended. @returns existing decisions that the crash confirms */
  record (crash: EndpointCrash, runs: readonly AccusedRun[], isOwn: boolean): QuarantineDecision<PartFingerprint>[] {
    return this.tracker.record(crash, runs, isOwn)
  }

  /** Looks for the part that caused a crash, once all instances have reported their runs. */
  decide (life: string): QuarantineDecision<PartFingerprint> | undefined {
    return this.tracker.decide(life)
  }

  /** Adopts a decision of another instance or of the store. */
  adopt (decision: QuarantineDecision<PartFingerprint>): void {
    this.tracker.quarantine(decision)
  }

  /** Ends the quarantine of a part now, so that one isolated run is allowed. */
  reconsider (part: PartFingerprint): void {
    this.tracker.reconsider(part)
  }

  /** Records that this or another instance sent a request with the part to an endpoint. */
  sent (part: PartFingerprint, now: number): void {
    this.tracker.sent(part, now)
  }

  /** @returns what an instance without any quarantine state has to be told */
  evidence (): { readonly crashes: ReturnType<PromptPartTracker['unexplainedCrashes']>, readonly decisions: readonly QuarantineDecision<PartFingerprint>[] } {
    return { crashes: this.tracker.unexplainedCrashes(), decisions: this.tracker.allDecisions() }
  }

  /** Removes crash records that are too old to matter. */
  expire (now: number): void {
    this.tracker.expire(now)
  }

  private partsOf (request: RoutedRequest): readonly PartFingerprint[] {
    const parts = this.parts.get(request) ?? partFingerprints(request.facts)
    this.parts.set(request, parts)
    return parts
  }
}
