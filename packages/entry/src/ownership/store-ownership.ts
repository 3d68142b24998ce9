/** Ownership recorded in one object of the store for each data centre. */
import { SystemClock } from '@limpetwinch/core'
import type { Clock, EndpointId, EngineSettings, InstanceId, LimpetwinchError, Logger, ObjectStore } from '@limpetwinch/core'
import type { Result } from 'neverthrow'
import { Wake } from '../concurrency/wake.js'
import type { ListMembership } from '../membership/list-membership.js'
import type { HeardHeartbeat, PeerLinks } from '../peers/peer-links.js'
import { rendezvousRank } from '../placement/rendezvous.js'
import { Confirmation } from './confirmation.js'
import { emptyOwnership, isNewer, parseOwnership } from './ownership-object.js'
import type { OwnershipObject } from './ownership-object.js'
import { planHandOver, planTakeOver, surplusOf } from './ownership-plan.js'
import type { PlanGround } from './ownership-plan.js'
import { OwnershipWriter } from './ownership-writer.js'
import type { Moment } from './ownership-writer.js'
import { Ownership } from './ownership.js'
import type { OwnerRights, OwnershipRecord } from './ownership.js'
import { RemoteOwnership } from './remote-ownership.js'

const TICK_MILLISECONDS = 200
const READ_AGAIN_MILLISECONDS = 1_000
const GAP_MILLISECONDS = 1_500
const PASS_ON_RANKS = 2

/** What recovery knows of an endpoint; without any word from it nothing may be done there. */
export interface RecoveryGate {
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
  readonly lostDelayMilliseconds?: number
  /** Between looks whether the store was restored to an older state; rarer for each following rank. */
  readonly checkStoreMilliseconds?: number
  /** How long a proof of ownership counts. */
  readonly confirmedMilliseconds?: number
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
  private readonly checkStoreMilliseconds: number
  private readonly lostDelayMilliseconds: number
  private readonly writer: OwnershipWriter
  private readonly confirmation: Confirmation
  private readonly remote: RemoteOwnership
  private readonly listeners: (() => void)[] = []
  private readonly wake = new Wake()
  private readonly lastSaid = new Map<InstanceId, number>()
  private known: OwnershipObject
  private byEndpoint: ReadonlyMap<EndpointId, OwnershipRecord> = new Map()
  private gate: (record: OwnershipRecord) => RecoveryGate = () => ({ fenced: false, recovered: false })
  private read = false
  /** Whether the store was seen to hold an older state than is known here. */
  private restoreNeeded = false
  private nextRead = 0
  private nextCheck = 0
  private gapSince: number | undefined
  private needSince: number | undefined

  /** @param options - the surroundings and times */
  constructor (options: StoreOwnershipOptions) {
    super()
    this.peers = options.peers
    this.membership = options.membership
    this.engines = options.engines
    this.logger = options.logger.part('ownership')
    this.clock = options.clock ?? new SystemClock()
    this.random = options.random ?? Math.random
    this.lostDelayMilliseconds = options.lostDelayMilliseconds ?? 1_500
    this.checkStoreMilliseconds = options.checkStoreMilliseconds ?? 30_000
    this.rankDelayMilliseconds = options.rankDelayMilliseconds ?? 500
    this.known = emptyOwnership(this.peers.self.dataCentre)
    this.confirmation = new Confirmation(this.clock, options.confirmedMilliseconds ?? 5_000)
    this.remote = new RemoteOwnership(options.store, this.clock)
    this.writer = new OwnershipWriter({
      store: options.store,
      clock: this.clock,
      random: this.random,
      known: () => this.known,
      adopt: (object, confirmedAt) => this.adoptFromStore(object, confirmedAt)
    })
    this.peers.onNotice('ownership', (from, frame) => this.takeFromPeer(from, frame.value))
    this.peers.onHeartbeat((from, heartbeat) => this.heard(from, heartbeat))
    this.membership.onChange(() => this.wake.notify())
  }

  /** Follows the object and proposes take-overs until the signal ends it. */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.readWhenNeeded()
      await this.proposeWhenNeeded(signal)
      await this.wake.wait(TICK_MILLISECONDS, signal)
    }
  }

  /** Looks again at once, after the settings changed. */
  look (): void {
    this.wake.notify()
  }

  /** Sets who knows about fencing and earlier pins. */
  useRecovery (gate: (record: OwnershipRecord) => RecoveryGate): void {
    this.gate = gate
  }

  /** @returns what heartbeats are to say: the newest state known, or one whose write is open */
  announcedVersion (): number {
    // A write with a lost answer may already be in force; a lower number would confirm an owner that it replaced.
    return Math.max(this.known.sequence, this.writer.pendingSequence())
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
    return this.known.records.filter((record) => record.owner === this.peers.self.instance)
  }

  override rights (record: OwnershipRecord): OwnerRights {
    const present = this.byEndpoint.get(record.endpoint)
    const mine = present?.token === record.token && present.owner === this.peers.self.instance
    if (!mine) return { mayAdmit: false, mayEvict: false }
    const { fenced, recovered } = this.gate(record)
    return { mayAdmit: fenced, mayEvict: fenced && recovered && this.confirmed() }
  }

  override onChange (listener: () => void): void {
    this.listeners.push(listener)
  }

  /** @returns whether it is proved that nobody had taken over a moment ago */
  confirmed (): boolean {
    // A hand-over whose write has no answer yet may already be in force.
    if (this.writer.pendingSequence() > this.known.sequence) return false
    return this.confirmation.holds(this.known.sequence, this.others())
  }

  /** @returns endpoints that this instance should hand over because it holds far more than its share */
  surplus (): readonly EndpointId[] {
    const ground = this.ground()
    if (ground === undefined) return []
    return surplusOf(this.known, this.peers.self.instance, ground)
  }

  /** @returns whether anybody else is there to take endpoints over by plan */
  hasSuccessors (): boolean {
    const own = this.peers.self.instance
    return this.ground()?.candidates.some((candidate) => candidate !== own) ?? false
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
      const ground = this.ground()
      return ground === undefined ? undefined : planHandOver(newest, own, endpoints, ground)
    }, signal)
    return written.map((object) => {
      this.passOn(object)
      return object.records.filter((record) => moving.has(record.endpoint) && record.owner !== own)
    })
  }

  private async readWhenNeeded (): Promise<void> {
    const now = this.clock.now()
    const gap = this.gapSince !== undefined && now - this.gapSince > GAP_MILLISECONDS
    const unconfirmed = !this.confirmation.heldByPeers(this.known.sequence, this.others())
    const due = !this.read || gap || now >= this.nextCheck || (unconfirmed && !this.confirmation.storeFresh())
    if (!due || now < this.nextRead) return
    // Jittered, so that the instances do not all read at the moment when the store is back.
    this.nextRead = now + READ_AGAIN_MILLISECONDS * (1 + this.random())
    const result = await this.writer.read()
    if (result.isErr()) return
    this.read = true
    this.gapSince = undefined
    // The store is behind what a peer knows: it was restored, or the peer's write is open. Look again when told more.
    if (this.saidByPeers() > this.known.sequence) return
    this.nextCheck = this.clock.now() + this.checkStoreMilliseconds * (0.5 + this.random()) * (1 + this.rank())
  }

  private saidByPeers (): number {
    return Math.max(0, ...this.others().map((instance) => this.lastSaid.get(instance) ?? 0))
  }

  private async proposeWhenNeeded (signal: AbortSignal): Promise<void> {
    const ground = this.ground()
    const needed = ground !== undefined && this.mayPropose() && (this.restoreNeeded || planTakeOver(this.known, ground) !== undefined)
    if (!needed) {
      this.needSince = undefined
      return
    }
    const now = this.clock.now()
    this.needSince ??= now
    const lost = this.known.records.some((record) => this.isLost(record.owner))
    const delay = (lost ? this.lostDelayMilliseconds : 0) + this.rank() * this.rankDelayMilliseconds
    if (now - this.needSince < delay) return
    this.needSince = undefined
    const written = await this.writer.update((newest) => {
      const current = this.ground()
      return current === undefined || !this.mayPropose() ? undefined : planTakeOver(newest, current)
    }, signal)
    if (written.isErr()) {
      this.logger.warn('A take-over could not be written.', { reason: written.error.message })
      return
    }
    this.restoreNeeded = false
    this.logger.info('Owners were written.', { sequence: written.value.sequence })
    this.passOn(written.value)
  }

  /** Not on a stale picture, nor when this instance itself is the one cut off: it would take what others serve. */
  private mayPropose (): boolean {
    const self = this.membership.member(this.peers.self.instance)
    if (!this.read || !this.membership.ready() || self?.state !== 'alive' || this.gapSince !== undefined) return false
    return this.membership.hearsEnough()
  }

  private ground (): PlanGround | undefined {
    const engines = this.engines()
    if (engines === undefined) return undefined
    const { dataCentre } = this.peers.self
    return {
      endpoints: engines.filter((engine) => engine.dataCentre === dataCentre).map((engine) => engine.endpoint),
      candidates: this.alive(),
      lost: (owner) => this.isLost(owner),
      tokenFloor: Math.floor(this.clock.wallTime() / 1_000)
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

  private heard (from: InstanceId, heartbeat: HeardHeartbeat): void {
    const member = this.membership.member(from)
    if (member === undefined || member.dataCentre !== this.peers.self.dataCentre) return
    const said = heartbeat.frame.ownershipVersion
    if (heartbeat.echoedSentAt !== undefined) this.confirmation.byPeer(from, said, heartbeat.echoedSentAt)
    if (said > this.known.sequence) this.gapSince ??= this.clock.now()
    this.passOnTo(from, said)
    this.lastSaid.set(from, said)
  }

  /** A peer that stays behind for two heartbeats gets the object from the first of its ranking, not from everyone. */
  private passOnTo (peer: InstanceId, said: number): void {
    if (said >= this.known.sequence || this.lastSaid.get(peer) !== said) return
    const helpers = rendezvousRank(peer, this.alive().filter((instance) => instance !== peer)).slice(0, PASS_ON_RANKS)
    if (helpers.includes(this.peers.self.instance)) this.tell(peer, this.known)
  }

  private passOn (object: OwnershipObject): void {
    for (const peer of this.peers.connected()) this.tell(peer, object)
  }

  private tell (peer: InstanceId, object: OwnershipObject): void {
    this.peers.notify(peer, { kind: 'ownership', version: object.sequence, value: object })
  }

  private takeFromPeer (from: InstanceId, value: unknown): void {
    const object = parseOwnership(value)
    if (object === undefined) return this.logger.warn('A peer sent an ownership object of another form.', { from })
    if (object.dataCentre === this.peers.self.dataCentre) this.adopt(object)
    else if (this.remote.take(object)) this.changed()
  }

  private adoptFromStore (object: OwnershipObject, confirmedAt: Moment): void {
    // A store restored to an older state proves nothing about now; it gets the newest state back by the next write.
    if (!isNewer(this.known, object)) this.confirmation.byStore(confirmedAt)
    else this.restoreNeeded = true
    this.adopt(object)
  }

  private adopt (object: OwnershipObject): void {
    if (!isNewer(object, this.known)) return
    // A restored store must not bring back lower tokens: an earlier owner holds orders under them.
    const nextToken = Math.max(object.nextToken, this.known.nextToken)
    this.known = { ...object, nextToken }
    this.byEndpoint = new Map(object.records.map((record) => [record.endpoint, record]))
    this.gapSince = undefined
    this.changed()
  }

  private changed (): void {
    for (const listener of this.listeners) listener()
    this.wake.notify()
  }
}
