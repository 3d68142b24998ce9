/** Ownership of endpoints, recorded in one object of the store for each data centre. */
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

/** Maximum interval between checks whether to read the store or to propose a take-over; a change triggers a check at once. */
const TICK_INTERVAL_MILLISECONDS = 200
/** Minimum interval between reads of the store; random jitter makes it up to twice as long. */
const READ_INTERVAL_MILLISECONDS = 1_000
/** How long a heartbeat may have announced a newer state that has not arrived, before this instance reads the store. */
const MAXIMUM_LAG_MILLISECONDS = 1_500
/** Maximum number of instances that send the ownership object to one lagging peer. */
const MAXIMUM_FORWARDERS = 2

/**
 * How far the recovery of an endpoint has got: the new owner finds out which requests of earlier owners still run there.
 * Before the recovery has begun, the owner may neither admit nor evict.
 */
export interface RecoveryStatus {
  /** Whether the engine has received this record's token; always true for an engine that ignores tokens. */
  readonly fenced: boolean
  /** Whether each request that an earlier owner admitted is known to this instance or has ended. */
  readonly recovered: boolean
}

/** Dependencies and times of the ownership. */
export interface StoreOwnershipOptions {
  readonly peers: PeerLinks
  readonly membership: ListMembership
  readonly store: ObjectStore
  /** The engines of the current settings, or undefined before settings have been read. */
  readonly engines: () => readonly EngineSettings[] | undefined
  readonly logger: Logger
  readonly clock?: Clock
  /** Returns a uniformly distributed number from 0 to 1. */
  readonly random?: () => number
  /**
   * Instances propose a take-over in the order of their rank among the alive members of the data centre. This is the delay
   * from one rank to the next; the loss of the first proposer therefore does not block the take-over.
   */
  readonly rankDelayMilliseconds?: number
  /**
   * How long an owner must have been lost before its endpoints are taken over; longer than a heartbeat interval. An
   * instance that is cut off from all peers does not suspect all of them at the same moment: for up to one interval it
   * looks to this instance as if only the first peer had been lost.
   */
  readonly takeOverDelayMilliseconds?: number
  /**
   * Mean interval between checks whether the store was restored to an older state, for the instance that ranks first among
   * the alive members of the data centre. The second has twice this interval, the third three times, and so on.
   */
  readonly storeCheckIntervalMilliseconds?: number
  /** How long evidence that no newer state exists stays valid. */
  readonly confirmationValidMilliseconds?: number
}

/** An {@link Ownership} that relies on conditional updates alone; it writes nothing while no owner changes. */
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
  /** Sequence that each peer announced in its last heartbeat. */
  private readonly lastAnnounced = new Map<InstanceId, number>()
  private latestKnown: OwnershipObject
  private byEndpoint: ReadonlyMap<EndpointId, OwnershipRecord> = new Map()
  private recoveryStatusOf: (record: OwnershipRecord) => RecoveryStatus = () => ({ fenced: false, recovered: false })
  private hasReadStore = false
  /** Whether the store held an older state than the one known to this instance. */
  private restoreNeeded = false
  /** Monotonic time before which the store is not read again, in milliseconds. */
  private nextReadAt = 0
  /** Monotonic time of the next check whether the store was restored, in milliseconds. */
  private nextCheckAt = 0
  /** Monotonic time since which a peer has announced a newer state than this instance knows, in milliseconds. */
  private behindSince: number | undefined
  /** Monotonic time since which a write of owners has been needed, in milliseconds. */
  private proposalNeededSince: number | undefined

  /** @param options - dependencies and times */
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
    this.peers.onHeartbeat((from, heartbeat) => this.applyHeartbeat(from, heartbeat))
    this.membership.onChange(() => this.wake.notify())
  }

  /** Follows the ownership object and proposes take-overs until the signal is aborted. */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.readWhenNeeded()
      await this.proposeWhenNeeded(signal)
      await this.wake.wait(TICK_INTERVAL_MILLISECONDS, signal)
    }
  }

  /** Checks at once whether a take-over is needed, after the settings changed. */
  reevaluate (): void {
    this.wake.notify()
  }

  /** Sets the source of the recovery status of a record. */
  setRecoveryStatus (recoveryStatusOf: (record: OwnershipRecord) => RecoveryStatus): void {
    this.recoveryStatusOf = recoveryStatusOf
  }

  /** @returns the sequence to announce in heartbeats: the latest known one, or the one of a pending write */
  announcedVersion (): number {
    // A write with a lost answer may already have taken effect; a lower number would confirm an owner that this write replaced.
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
    const current = this.byEndpoint.get(record.endpoint)
    const isOwner = current?.token === record.token && current.owner === this.peers.self.instance
    if (!isOwner) return { mayAdmit: false, mayEvict: false }
    const { fenced, recovered } = this.recoveryStatusOf(record)
    return { mayAdmit: fenced, mayEvict: fenced && recovered && this.isConfirmed() }
  }

  override onChange (listener: () => void): void {
    this.listeners.push(listener)
  }

  /** @returns whether there is proof that no other instance had written a newer state a moment ago */
  isConfirmed (): boolean {
    // A hand-over whose write has no answer yet may already have taken effect.
    if (this.writer.pendingSequence() > this.latestKnown.sequence) return false
    return this.confirmation.holds(this.latestKnown.sequence, this.others())
  }

  /** @returns endpoints that this instance should hand over because it owns more than the maximum share of one owner */
  surplus (): readonly EndpointId[] {
    const planInput = this.planInput()
    if (planInput === undefined) return []
    return surplusOf(this.latestKnown, this.peers.self.instance, planInput)
  }

  /** @returns whether another instance can take endpoints over by a planned hand-over */
  hasSuccessors (): boolean {
    const own = this.peers.self.instance
    return this.planInput()?.candidates.some((candidate) => candidate !== own) ?? false
  }

  /**
   * Writes new owners for some of this instance's endpoints.
   *
   * @param endpoints - the endpoints to hand over
   * @param signal - cancels the reads that find out whether a write with a lost answer took effect
   * @returns the new records, or the store's error when nothing was written
   */
  async handOver (endpoints: readonly EndpointId[], signal: AbortSignal): Promise<Result<readonly OwnershipRecord[], LimpetwinchError>> {
    const moving = new Set(endpoints)
    const own = this.peers.self.instance
    const written = await this.writer.update((latest) => {
      const planInput = this.planInput()
      return planInput === undefined ? undefined : planHandOver(latest, own, endpoints, planInput)
    }, signal)
    return written.map((object) => {
      this.broadcast(object)
      return object.records.filter((record) => moving.has(record.endpoint) && record.owner !== own)
    })
  }

  private async readWhenNeeded (): Promise<void> {
    const now = this.clock.now()
    const lagging = this.behindSince !== undefined && now - this.behindSince > MAXIMUM_LAG_MILLISECONDS
    const unconfirmed = !this.confirmation.isConfirmedByPeers(this.latestKnown.sequence, this.others())
    const due = !this.hasReadStore || lagging || now >= this.nextCheckAt || (unconfirmed && !this.confirmation.isConfirmedByStore())
    if (!due || now < this.nextReadAt) return
    // With jitter, so that the instances do not all read at the moment when the store is reachable again.
    this.nextReadAt = now + READ_INTERVAL_MILLISECONDS * (1 + this.random())
    const result = await this.writer.read()
    if (result.isErr()) return
    this.hasReadStore = true
    this.behindSince = undefined
    // When the store holds an older state than a peer announced, it was restored, or the peer's write is pending. The
    // next check of the store is not postponed then.
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
    const written = await this.writer.update((latest) => {
      const current = this.planInput()
      return current === undefined || !this.mayPropose() ? undefined : planTakeOver(latest, current)
    }, signal)
    if (written.isErr()) {
      this.logger.warn('A take-over could not be written.', { reason: written.error.message })
      return
    }
    this.restoreNeeded = false
    this.logger.info('Owners were written.', { sequence: written.value.sequence })
    this.broadcast(written.value)
  }

  /**
   * Forbids take-overs on stale state, and while this instance itself may be the one that is cut off: it would take over
   * endpoints that other instances still serve.
   */
  private mayPropose (): boolean {
    const self = this.membership.member(this.peers.self.instance)
    if (!this.hasReadStore || !this.membership.ready() || self?.state !== 'alive' || this.behindSince !== undefined) return false
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

  /** All instances that could write a newer state: the members of the data centre that are not known to have ended. */
  private others (): InstanceId[] {
    const { dataCentre, instance } = this.peers.self
    return this.membership.members()
      .filter((member) => member.dataCentre === dataCentre && member.instance !== instance)
      .map((member) => member.instance)
  }

  /** @returns position of this instance in the rendezvous hashing of the data centre's alive members; 0 is the first */
  private rank (): number {
    const ranked = rendezvousRank(`ownership ${this.peers.self.dataCentre}`, this.alive())
    return Math.max(0, ranked.indexOf(this.peers.self.instance))
  }

  private applyHeartbeat (from: InstanceId, heartbeat: ReceivedHeartbeat): void {
    const member = this.membership.member(from)
    if (member === undefined || member.dataCentre !== this.peers.self.dataCentre) return
    const announced = heartbeat.frame.ownershipVersion
    if (heartbeat.echoedSentAt !== undefined) this.confirmation.recordPeerSequence(from, announced, heartbeat.echoedSentAt)
    if (announced > this.latestKnown.sequence) this.behindSince ??= this.clock.now()
    this.updateLaggingPeer(from, announced)
    this.lastAnnounced.set(from, announced)
  }

  /**
   * Sends the ownership object to a peer whose last two heartbeats announced the same sequence, older than the one known
   * here. Not all instances send it, only the two that rendezvous hashing ranks first for this peer.
   */
  private updateLaggingPeer (peer: InstanceId, announced: number): void {
    if (announced >= this.latestKnown.sequence || this.lastAnnounced.get(peer) !== announced) return
    const senders = rendezvousRank(peer, this.alive().filter((instance) => instance !== peer)).slice(0, MAXIMUM_FORWARDERS)
    if (senders.includes(this.peers.self.instance)) this.sendObject(peer, this.latestKnown)
  }

  private broadcast (object: OwnershipObject): void {
    for (const peer of this.peers.connected()) this.sendObject(peer, object)
  }

  private sendObject (peer: InstanceId, object: OwnershipObject): void {
    this.peers.notify(peer, { kind: 'ownership', version: object.sequence, value: object })
  }

  private applyFromPeer (from: InstanceId, value: unknown): void {
    const object = parseOwnership(value)
    if (object === undefined) return this.logger.warn('A peer sent an invalid ownership object.', { from })
    if (object.dataCentre === this.peers.self.dataCentre) this.adopt(object)
    else if (this.remote.applyIfNewer(object)) this.changed()
  }

  private applyFromStore (object: OwnershipObject, confirmedAt: ClockReading): void {
    // A store restored to an older state proves nothing about the present; the next write puts the latest state back.
    if (!isNewer(this.latestKnown, object)) this.confirmation.confirmByStore(confirmedAt)
    else this.restoreNeeded = true
    this.adopt(object)
  }

  private adopt (object: OwnershipObject): void {
    if (!isNewer(object, this.latestKnown)) return
    // A restored store must not cause lower tokens to be assigned again: orders of an earlier owner may still carry them.
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
