/**
 * Exchanges quarantine state between instances: crashes, claims for isolated runs and quarantine decisions. One-way messages reach the
 * running instances at once; records in the store reach instances that start later.
 */
import type { Clock, DeletingObjectStore, EndpointCrashFrame, InstanceId, Logger, RequestTrialFrame, RequestVerdictFrame, SoundPartsFrame } from '@limpetwinch/core'
import type { PartFingerprint, QuarantineDecision, RequestFingerprint, Suspect } from '@limpetwinch/decisions'
import type { PeerLinks } from '@limpetwinch/entry'
import type { PeerOverlay } from '../overlay/peer-overlay.js'
import type { EndpointDialler } from '../paths/endpoint-dialler.js'
import type { Endpoint } from '../routes/configuration.js'
import type { StoredQuarantineDecision } from '../members/cluster-objects.js'
import { CrashDetector, probeBy, witnessBy } from './crash-detector.js'
import { QuarantineRecords } from './quarantine-records.js'
import { decisionFrame } from './quarantine-frames.js'
import { RequestQuarantine } from './request-quarantine.js'
import type { QuarantineAnnouncer, RequestQuarantineDependencies } from './request-quarantine.js'
import { IsolatedRunClaims } from './isolated-run-claims.js'
import { SoundPartNotices } from './sound-part-notices.js'

/** Interval between two searches for expired crash records, which are then removed. */
const EXPIRE_MILLISECONDS = 10_000

/** Dependencies of the exchange. */
export interface QuarantineExchangeDependencies extends Pick<RequestQuarantineDependencies, 'metrics' | 'findEndpoint' | 'endpointCount' | 'newestVersion'> {
  readonly self: InstanceId
  readonly clock: Clock
  readonly logger: Logger
  readonly store: DeletingObjectStore
  /** Opens connections to endpoints that may have crashed. */
  readonly dialler: EndpointDialler
  /** @returns all endpoints; those of a data centre that refuse together have not crashed because of a request */
  readonly endpoints?: () => readonly Endpoint[]
  /** @returns whether an instance that runs was registered at this revision of the store already */
  readonly isRemembered?: (revision: number) => boolean
  readonly network: Pick<PeerLinks, 'onNotice'>
  readonly overlay: Pick<PeerOverlay, 'broadcast' | 'notify' | 'replay' | 'onNeighbour' | 'noticeRoundTripMilliseconds'>
}

/** Connects the quarantine of this instance to the other instances and to the store. */
export class QuarantineExchange {
  readonly quarantine: RequestQuarantine
  private readonly parts: QuarantineExchangeDependencies
  private readonly claims: IsolatedRunClaims
  private readonly records: QuarantineRecords
  private readonly soundParts: SoundPartNotices

  constructor (parts: QuarantineExchangeDependencies) {
    this.parts = parts
    const { self, clock, logger, overlay, store } = parts
    this.claims = new IsolatedRunClaims({
      self,
      clock,
      broadcast: (frame) => overlay.broadcast(frame),
      notify: (to, frame) => overlay.notify(to, frame),
      noticeRoundTripMilliseconds: () => overlay.noticeRoundTripMilliseconds
    })
    this.soundParts = new SoundPartNotices((frame) => overlay.broadcast(frame))
    this.quarantine = new RequestQuarantine({ ...parts, claims: this.claims, detector: new CrashDetector(clock, logger, probeBy(parts.dialler), witnessBy(parts.endpoints ?? (() => []))), announcer: this.announcer() })
    this.records = new QuarantineRecords(store, {
      applyDecision: (decision, source) => this.quarantine.applyDecision(decision, source),
      release: (fingerprint, by) => this.quarantine.release(fingerprint, by),
      reconsider: (part, limit) => this.quarantine.reconsider(part, limit)
    }, clock, logger, parts.isRemembered)
    this.connect()
  }

  /** Applies the quarantine decisions that the store lists. */
  apply (decisions: readonly StoredQuarantineDecision[]): void {
    this.records.apply(decisions)
  }

  /** Writes quarantine decisions to the store, and removes expired decisions and crash records, until the signal is aborted. */
  async run (signal: AbortSignal): Promise<void> {
    await Promise.all([this.records.run(signal), this.expire(signal)])
  }

  private async expire (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.parts.clock.sleep(EXPIRE_MILLISECONDS, signal)
      this.quarantine.expire()
    }
  }

  private announcer (): QuarantineAnnouncer {
    const { overlay, clock } = this.parts
    return {
      crashed: (frame) => overlay.broadcast(frame),
      convicted: (decision, isOwn) => {
        if (isOwn) overlay.broadcast(decisionFrame(decision, clock.now()))
        this.records.keep(decision, isOwn)
      },
      soundPart: (part) => this.soundParts.add(part),
      released: (part) => { void this.records.removeRecord(part) },
      cleared: (fingerprint) => {
        overlay.broadcast({ kind: 'request-trial', fingerprint, state: 'completed', milliseconds: 0 })
        void this.records.removeRecord(fingerprint)
      }
    }
  }

  private connect (): void {
    const { network, overlay, self } = this.parts
    network.onNotice('endpoint-crash', (_from, frame) => this.applyCrashFrame(frame))
    network.onNotice('request-trial', (from, frame) => this.applyTrialFrame(from, frame))
    network.onNotice('sound-parts', (_from, frame) => this.applySoundParts(frame))
    network.onNotice('request-verdict', (_from, frame) => this.quarantine.applyDecision(this.decisionFromFrame(frame), 'peer'))
    overlay.onNeighbour((neighbour) => {
      const { crashes, verdicts } = this.quarantine.framesForNewNeighbour()
      overlay.replay(neighbour, [...verdicts, ...crashes].map((frame) => [self, frame]))
    })
  }

  private applyCrashFrame ({ life, service, millisecondsAgo, aboard, accusedRuns = [] }: EndpointCrashFrame): void {
    const crash = { life, service, at: this.parts.clock.now() - millisecondsAgo }
    const requests = aboard.map(([fingerprint, milliseconds, isolated]) => ({ fingerprint: fingerprint as RequestFingerprint, milliseconds, isolated }))
    const runs = accusedRuns.map(([milliseconds, parts]) => ({ milliseconds, parts: parts as readonly PartFingerprint[] }))
    this.quarantine.applyPeerCrash(crash, requests, runs)
  }

  private applySoundParts (frame: SoundPartsFrame): void {
    const parts = frame.parts as readonly PartFingerprint[]
    this.soundParts.heard(parts)
    for (const part of parts) this.quarantine.release(part, 'peer')
  }

  private applyTrialFrame (from: InstanceId, frame: RequestTrialFrame): void {
    this.claims.applyFrame(from, frame)
    if (frame.state === 'sent') this.quarantine.applyPeerSent(frame.fingerprint as Suspect)
    if (frame.state === 'completed') this.quarantine.release(frame.fingerprint as RequestFingerprint, 'peer')
  }

  private decisionFromFrame ({ fingerprint, crashes, strikes, certain, remainingMilliseconds }: RequestVerdictFrame): QuarantineDecision {
    return { fingerprint: fingerprint as Suspect, crashes, strikes, certain, until: this.parts.clock.now() + remainingMilliseconds }
  }
}
