/** Ownership recorded in one object of the store for each data centre. */
import { SystemClock } from '@limpetwinch/core'
import type { Clock, EndpointId, EngineSettings, InstanceId, LimpetwinchError, Logger, ObjectStore } from '@limpetwinch/core'
import type { Result } from 'neverthrow'
import { Wake } from '../concurrency/wake.js'
import type { ListMembership } from '../membership/list-membership.js'
import type { ReceivedHeartbeat, PeerLinks } from '../peers/peer-links.js'
import { rendezvousRank } from '../placement/rendezvous.js'
import { OwnershipConfirmation } from './ownership-confirmation.js'
import { emptyOwnership, isNewer, parseOwnership } from './ownership-object.js'
import type { OwnershipObject } from './ownership-object.js'
import { planHandOver, planTakeOver, surplusOf } from './ownership-plan.js'
import type { PlanInput } from './ownership-plan.js'
import { OwnershipWriter } from './ownership-writer.js'
import type { ClockReading } from './ownership-writer.js'
import { Ownership } from './ownership.js'
import type { OwnerRights, OwnershipRecord } from './ownership.js'
import { RemoteOwnership } from './remote-ownership.js'

const TICK_INTERVAL_MILLISECONDS = 200
const READ_INTERVAL_MILLISECONDS = 1_000
const MAXIMUM_LAG_MILLISECONDS = 1_500
const MAXIMUM_FORWARDERS = 2

/** What recovery knows of an endpoint; without any word from it nothing may be done there. */
export interface RecoveryStatus {
  /** Whether an order with this record's token has reached an engine that refuses older ones. */
  readonly fenced: boolean
  /** Whether all earlier pins are known or ended. */
  readonly recovered: boolean
}

/** What the ownership is made of. */
export interface StoreOwnershipOptions {
  readonly peers: PeerLinks
  readonly membership: ListMembership
  readonly store: ObjectStore
  /** The engines of the settings in force, or undefined before there are any. */
  readonly engines: () => readonly EngineSettings[] | undefined
  readonly logger: Logger
  readonly clock?: Clock
  /** Uniform in 0 to 1. */
  readonly random?: () => number
  /** How much later each following rank proposes, so that a lost proposer does not block. */
  readonly rankDelayMilliseconds?: number
  /**
   * How long an owner must have been lost before its endpoints are taken over; longer than a heartbeat interval. One that
   * is cut off from all others does not see their silence at the same moment: for up to an interval it seems to it that
   * only the first has been lost.
   */
  readonly takeOverDelayMilliseconds?: number
  /** Between looks whether the store was restored to an older state; rarer for each following rank. */
  readonly storeCheckIntervalMilliseconds?: number
  /** How long a proof of ownership counts. */
  readonly confirmationValidMilliseconds?: number
}

/** An {@link Ownership} kept by conditional updates alone; at rest it writes nothing. */
export class StoreOwnership extends Ownership {
  private readonly peers: PeerLinks
  private readonly membership: ListMembership
  private readonly engines: () => readonly EngineSettings[] | undefined
  private readonly logger: Logger
  private readonly clock: Clock
  private readonly random: () => number
  private readonly rankDelayMilliseconds: number
  private readonly storeCheckIntervalMilliseconds: number
  private readonly takeOverDelayMilliseconds: number
  private readonly writer: OwnershipWriter
  private readonly confirmation: OwnershipConfirmation
  private readonly remote: RemoteOwnership
  private readonly listeners: (() => void)[] = []
  private readonly wake = new Wake()
  private readonly lastAnnounced = new Map<InstanceId, number>()
  private latestKnown: OwnershipObject
  private byEndpoint: ReadonlyMap<EndpointId, OwnershipRecord> = new Map()
  private recoveryStatusOf: (record: OwnershipRecord) => RecoveryStatus = () => ({ fenced: false, recovered: false })
  private read = false
  /** Whether the store was seen to hold an older state than is known here. */
  private restoreNeeded = false
  private nextReadAt = 0
  private nextCheckAt = 0
  private behindSince: number | undefined
  private proposalNeededSince: number | undefined

  /** @param options - the surroundings and times */
  constructor (options: StoreOwnershipOptions) {
    super()
    this.peers = options.peers
    this.membership = options.membership
    this.engines = options.engines
    this.logger = options.logger.part('ownership')
    this.clock = options.clock ?? new SystemClock()
    this.random = options.random ?? Math.random
    this.takeOverDelayMilliseconds = options.takeOverDelayMilliseconds ?? 1_500
    this.storeCheckIntervalMilliseconds = options.storeCheckIntervalMilliseconds ?? 30_000
    this.rankDelayMilliseconds = options.rankDelayMilliseconds ?? 500
    this.latestKnown = emptyOwnership(this.peers.self.dataCentre)
    this.confirmation = new OwnershipConfirmation(this.clock, options.confirmationValidMilliseconds ?? 5_000)
    this.remote = new RemoteOwnership(options.store, this.clock)
    this.writer = new OwnershipWriter({
      store: options.store,
      clock: this.clock,
      random: this.random,
      latestKnown: () => this.latestKnown,
      adopt: (object, confirmedAt) => this.applyFromStore(object, confirmedAt)
    })
    this.peers.onNotice('ownership', (from, frame) => this.applyFromPeer(from, frame.value))
    this.peers.onHeartbeat((from, heartbeat) => this.heard(from, heartbeat))
    this.membership.onChange(() => this.wake.notify())
  }

  /** Follows the object and proposes take-overs until the signal ends it. */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.readWhenNeeded()
      await this.proposeWhenNeeded(signal)
      await this.wake.wait(TICK_INTERVAL_MILLISECONDS, signal)
    }
  }

  /** Looks again at once, after the settings changed. */
  reevaluate (): void {
    this.wake.notify()
  }

  /** Sets who knows about fencing and earlier pins. */
  setRecoveryStatus (recoveryStatusOf: (record: OwnershipRecord) => RecoveryStatus): void {
    this.recoveryStatusOf = recoveryStatusOf
  }

  /** @returns what heartbeats are to say: the newest state known, or one whose write is open */
  announcedVersion (): number {
    // A write with a lost answer may already be in force; a lower number would confirm an owner that it replaced.
    return Math.max(this.latestKnown.sequence, this.writer.pendingSequence())
  }

  /** @returns whether the last call to the store was answered, for heartbeats */
  storeReachable (): boolean {
    return this.writer.storeReachable
  }

  override recordOf (endpoint: EndpointId): OwnershipRecord | undefined {
    const own = this.byEndpoint.get(endpoint)
    if (own !== undefined) return own
    const dataCentre = this.engines()?.find((engine) => engine.endpoint === endpoint)?.dataCentre
    if (dataCentre === undefined || dataCentre === this.peers.self.dataCentre) return undefined
    return this.remote.recordOf(dataCentre, endpoint)
  }

  override owned (): readonly OwnershipRecord[] {
    return this.latestKnown.records.filter((record) => record.owner === this.peers.self.instance)
  }

  override rights (record: OwnershipRecord): OwnerRights {
    const present = this.byEndpoint.get(record.endpoint)
    const mine = present?.token === record.token && present.owner === this.peers.self.instance
    if (!mine) return { mayAdmit: false, mayEvict: false }
    const { fenced, recovered } = this.recoveryStatusOf(record)
    return { mayAdmit: fenced, mayEvict: fenced && recovered && this.isConfirmed() }
  }

  override onChange (listener: () => void): void {
    this.listeners.push(listener)
  }

  /** @returns whether it is proved that nobody had taken over a moment ago */
  isConfirmed (): boolean {
    // A hand-over whose write has no answer yet may already be in force.
    if (this.writer.pendingSequence() > this.latestKnown.sequence) return false
    return this.confirmation.holds(this.latestKnown.sequence, this.others())
  }

  /** @returns endpoints that this instance should hand over because it holds far more than its share */
  surplus (): readonly EndpointId[] {
    const planInput = this.planInput()
    if (planInput === undefined) return []
    return surplusOf(this.latestKnown, this.peers.self.instance, planInput)
  }

  /** @returns whether anybody else is there to take endpoints over by plan */
  hasSuccessors (): boolean {
    const own = this.peers.self.instance
    return this.planInput()?.candidates.some((candidate) => candidate !== own) ?? false
  }

  /**
   * Writes other owners for some of this instance's endpoints.
   *
   * @param endpoints - what is handed over
   * @param signal - ends the waiting for a lost answer
   * @returns the new records, or the store's error when nothing was written
   */
  async handOver (endpoints: readonly EndpointId[], signal: AbortSignal): Promise<Result<readonly OwnershipRecord[], LimpetwinchError>> {
    const moving = new Set(endpoints)
    const own = this.peers.self.instance
    const written = await this.writer.update((newest) => {
      const ground = this.planInput()
      return ground === undefined ? undefined : planHandOver(newest, own, endpoints, ground)
    }, signal)
    return written.map((object) => {
      this.broadcast(object)
      return object.records.filter((record) => moving.has(record.endpoint) && record.owner !== own)
    })
  }

  private async readWhenNeeded (): Promise<void> {
    const now = this.clock.now()
    const gap = this.behindSince !== undefined && now - this.behindSince > MAXIMUM_LAG_MILLISECONDS
    const unconfirmed = !this.confirmation.isConfirmedByPeers(this.latestKnown.sequence, this.others())
    const due = !this.read || gap || now >= this.nextCheckAt || (unconfirmed && !this.confirmation.isConfirmedByStore())
    if (!due || now < this.nextReadAt) return
    // Jittered, so that the instances do not all read at the moment when the store is back.
    this.nextReadAt = now + READ_INTERVAL_MILLISECONDS * (1 + this.random())
    const result = await this.writer.read()
    if (result.isErr()) return
    this.read = true
    this.behindSince = undefined
    // The store is behind what a peer knows: it was restored, or the peer's write is open. Look again when told more.
    if (this.highestPeerSequence() > this.latestKnown.sequence) return
    this.nextCheckAt = this.clock.now() + this.storeCheckIntervalMilliseconds * (0.5 + this.random()) * (1 + this.rank())
  }

  private highestPeerSequence (): number {
    return Math.max(0, ...this.others().map((instance) => this.lastAnnounced.get(instance) ?? 0))
  }

  private async proposeWhenNeeded (signal: AbortSignal): Promise<void> {
    const planInput = this.planInput()
    const needed = planInput !== undefined && this.mayPropose() && (this.restoreNeeded || planTakeOver(this.latestKnown, planInput) !== undefined)
    if (!needed) {
      this.proposalNeededSince = undefined
      return
    }
    const now = this.clock.now()
    this.proposalNeededSince ??= now
    const lost = this.latestKnown.records.some((record) => this.isLost(record.owner))
    const delay = (lost ? this.takeOverDelayMilliseconds : 0) + this.rank() * this.rankDelayMilliseconds
    if (now - this.proposalNeededSince < delay) return
    this.proposalNeededSince = undefined
    const written = await this.writer.update((newest) => {
      const current = this.planInput()
      return current === undefined || !this.mayPropose() ? undefined : planTakeOver(newest, current)
    }, signal)
    if (written.isErr()) {
      this.logger.warn('A take-over could not be written.', { reason: written.error.message })
      return
    }
    this.restoreNeeded = false
    this.logger.info('Owners were written.', { sequence: written.value.sequence })
    this.broadcast(written.value)
  }

  /** Not on a stale picture, nor when this instance itself is the one cut off: it would take what others serve. */
  private mayPropose (): boolean {
    const self = this.membership.member(this.peers.self.instance)
    if (!this.read || !this.membership.ready() || self?.state !== 'alive' || this.behindSince !== undefined) return false
    return this.membership.mayTreatOthersAsLost()
  }

  private planInput (): PlanInput | undefined {
    const engines = this.engines()
    if (engines === undefined) return undefined
    const { dataCentre } = this.peers.self
    return {
      endpoints: engines.filter((engine) => engine.dataCentre === dataCentre).map((engine) => engine.endpoint),
      candidates: this.alive(),
      lost: (owner) => this.isLost(owner),
      minimumToken: Math.floor(this.clock.wallTime() / 1_000)
    }
  }

  private alive (): InstanceId[] {
    const { dataCentre } = this.peers.self
    return this.membership.members()
      .filter((member) => member.dataCentre === dataCentre && member.state === 'alive')
      .map((member) => member.instance)
  }

  private isLost (owner: InstanceId): boolean {
    const member = this.membership.member(owner)
    return member === undefined || member.state === 'suspect' || member.state === 'gone'
  }

  /** All who could write a newer state: whoever of the data centre is not known to have ended. */
  private others (): InstanceId[] {
    const { dataCentre, instance } = this.peers.self
    return this.membership.members()
      .filter((member) => member.dataCentre === dataCentre && member.instance !== instance)
      .map((member) => member.instance)
  }

  private rank (): number {
    const ranked = rendezvousRank(`ownership ${this.peers.self.dataCentre}`, this.alive())
    return Math.max(0, ranked.indexOf(this.peers.self.instance))
  }

  private heard (from: InstanceId, heartbeat: ReceivedHeartbeat): void {
    const member = this.membership.member(from)
    if (member === undefined || member.dataCentre !== this.peers.self.dataCentre) return
    const said = heartbeat.frame.ownershipVersion
    if (heartbeat.echoedSentAt !== undefined) this.confirmation.recordPeerSequence(from, said, heartbeat.echoedSentAt)
    if (said > this.latestKnown.sequence) this.behindSince ??= this.clock.now()
    this.updateLaggingPeer(from, said)
    this.lastAnnounced.set(from, said)
  }

  /** A peer that stays behind for two heartbeats gets the object from the first of its ranking, not from everyone. */
  private updateLaggingPeer (peer: InstanceId, said: number): void {
    if (said >= this.latestKnown.sequence || this.lastAnnounced.get(peer) !== said) return
    const helpers = rendezvousRank(peer, this.alive().filter((instance) => instance !== peer)).slice(0, MAXIMUM_FORWARDERS)
    if (helpers.includes(this.peers.self.instance)) this.sendObject(peer, this.latestKnown)
  }

  private broadcast (object: OwnershipObject): void {
    for (const peer of this.peers.connected()) this.sendObject(peer, object)
  }

  private sendObject (peer: InstanceId, object: OwnershipObject): void {
    this.peers.notify(peer, { kind: 'ownership', version: object.sequence, value: object })
  }

  private applyFromPeer (from: InstanceId, value: unknown): void {
    const object = parseOwnership(value)
    if (object === undefined) return this.logger.warn('A peer sent an ownership object of another form.', { from })
    if (object.dataCentre === this.peers.self.dataCentre) this.adopt(object)
    else if (this.remote.applyIfNewer(object)) this.changed()
  }

  private applyFromStore (object: OwnershipObject, confirmedAt: ClockReading): void {
    // A store restored to an older state proves nothing about now; it gets the newest state back by the next write.
    if (!isNewer(this.latestKnown, object)) this.confirmation.confirmByStore(confirmedAt)
    else this.restoreNeeded = true
    this.adopt(object)
  }

  private adopt (object: OwnershipObject): void {
    if (!isNewer(object, this.latestKnown)) return
    // A restored store must not bring back lower tokens: an earlier owner holds orders under them.
    const nextToken = Math.max(object.nextToken, this.latestKnown.nextToken)
    this.latestKnown = { ...object, nextToken }
    this.byEndpoint = new Map(object.records.map((record) => [record.endpoint, record]))
    this.behindSince = undefined
    this.changed()
  }

  private changed (): void {
    for (const listener of this.listeners) listener()
    this.wake.notify()
  }
}
