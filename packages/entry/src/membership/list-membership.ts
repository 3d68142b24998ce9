/** Membership derived from the platform's instance list, which lags, and from the heartbeats of peers. */
import { SystemClock } from '@limpetwinch/core'
import type { Clock, DataCentreId, InstanceId, InstanceList, ListedInstance, Logger } from '@limpetwinch/core'
import { Wake } from '../concurrency/wake.js'
import type { PeerIdentity, PeerLinks, PeerTarget } from '../peers/peer-links.js'
import { reachesMajority } from './reachable-majority.js'
import { LeavingEndpoints } from './leaving-endpoints.js'
import { MemberEntry } from './member-entry.js'
import { Membership } from './membership.js'
import type { Member } from './membership.js'
import { chooseRemotePeers } from './remote-peers.js'

/** Default of {@link ListMembershipOptions.unlistedTimeoutMilliseconds}. */
const DEFAULT_UNLISTED_TIMEOUT_MILLISECONDS = 600_000
/** How long the entry of a member that has left is kept. */
const GONE_RETENTION_MILLISECONDS = 3_600_000
/** Factor by which the suspicion time is longer for members of other data centres. */
const REMOTE_SUSPECT_FACTOR = 5
/** Number of periodic evaluations of all members within the suspicion time. */
const TICKS_TO_SUSPECT = 12
/** Number of evaluation intervals without an evaluation after which this process counts as paused. */
const PAUSED_AFTER_TICKS = 3
/**
 * After the latest check in which this instance did not reach a majority of the members, it waits for this multiple of the suspicion
 * time before it treats any suspected member as lost. Four suspicion times are long enough for three attempts to dial a
 * member, each with its time limits and back-off.
 */
const SETTLE_FACTOR = 4

/** Dependencies and times of the membership. */
export interface ListMembershipOptions {
  readonly peers: PeerLinks
  readonly list: InstanceList
  readonly logger: Logger
  readonly clock?: Clock
  /** Returns a uniformly distributed number from 0 to 1. */
  readonly random?: () => number
  /** Mean interval between reads of the instance list. */
  readonly pollIntervalMilliseconds?: number
  /** The suspicion time: time without any frame after which a member of this data centre is suspected. */
  readonly suspectAfterMilliseconds?: number
  /**
   * Time without any frame after which a member that the list has never named has ended; must be longer than the list
   * ever lags.
   */
  readonly unlistedTimeoutMilliseconds?: number
}

/** A {@link Membership} that merges list and heartbeats. The list alone never removes a member that sends heartbeats. */
export class ListMembership extends Membership {
  private readonly peers: PeerLinks
  private readonly list: InstanceList
  private readonly logger: Logger
  private readonly clock: Clock
  private readonly random: () => number
  private readonly pollIntervalMilliseconds: number
  private readonly suspectAfterMilliseconds: number
  private readonly unlistedTimeoutMilliseconds: number
  private readonly entries = new Map<InstanceId, MemberEntry>()
  private readonly goneAt = new Map<InstanceId, number>()
  private readonly listeners: (() => void)[] = []
  private readonly endpointsLeaving: LeavingEndpoints
  private readonly readSoon = new Wake()
  private remotePeers: ReadonlySet<InstanceId> = new Set()
  private isLeaving = false
  private targetsStale = false
  private lastWithoutMajorityAt = -Infinity
  private pauseGraceUntil = -Infinity
  private lastEvaluatedAt: number
  private hasReadList = false

  /** @param options - dependencies and times */
  constructor (options: ListMembershipOptions) {
    super()
    this.peers = options.peers
    this.list = options.list
    this.logger = options.logger.part('membership')
    this.clock = options.clock ?? new SystemClock()
    this.random = options.random ?? Math.random
    this.pollIntervalMilliseconds = options.pollIntervalMilliseconds ?? 2_000
    this.suspectAfterMilliseconds = options.suspectAfterMilliseconds ?? 3_000
    this.unlistedTimeoutMilliseconds = options.unlistedTimeoutMilliseconds ?? DEFAULT_UNLISTED_TIMEOUT_MILLISECONDS
    this.lastEvaluatedAt = this.clock.now()
    this.endpointsLeaving = new LeavingEndpoints(this.peers, this.clock)
    this.endpointsLeaving.onPeerUpdate(() => this.changed())
    this.peers.onConnected((peer) => this.connected(peer))
    this.peers.onHeartbeat((from, heartbeat) => this.updateEntry(from, (entry) => { entry.heartbeat = heartbeat.frame }))
    this.peers.onNotice('goodbye', (from) => this.updateEntry(from, (entry) => { entry.goodbyeReceived = true }))
    this.peers.onEndEvidence((instance, evidence) => this.updateEntry(instance, (entry) => { entry.endEvidence = evidence }))
  }

  /** Follows the list and the heartbeats until the signal is aborted. */
  async run (signal: AbortSignal): Promise<void> {
    await Promise.all([this.poll(signal), this.evaluatePeriodically(signal)])
  }

  /** Marks this instance as leaving; the caller must also set `leaving` in the heartbeats of this instance. */
  startLeaving (): void {
    this.isLeaving = true
    this.changed()
  }

  /** Notifies all peers that this instance ends now; from then on this instance must neither send orders to engines nor run requests. */
  sendGoodbye (): void {
    for (const instance of this.peers.connected()) this.peers.notify(instance, { kind: 'goodbye' })
  }

  /** @returns whether the list has been read at least once */
  ready (): boolean {
    return this.hasReadList
  }

  override members (): readonly Member[] {
    const others = [...this.entries.values()].filter((entry) => entry.state !== 'gone').map((entry) => entry.toMember())
    return [this.self(), ...others]
  }

  override member (instance: InstanceId): Member | undefined {
    if (instance === this.peers.self.instance) return this.self()
    return this.entries.get(instance)?.toMember()
  }

  override leavingEndpoints (): ReadonlySet<string> {
    return this.endpointsLeaving.current
  }

  override onChange (listener: () => void): void {
    this.listeners.push(listener)
  }

  /**
   * @returns whether this instance may treat suspected members as lost; false until four suspicion times after the last
   *   check in which this instance reached no majority. Members to which it has not reconnected yet still look
   *   unresponsive, and it would take over the endpoints that these members serve.
   */
  mayTreatOthersAsLost (): boolean {
    return this.clock.now() - this.lastWithoutMajorityAt > SETTLE_FACTOR * this.suspectAfterMilliseconds
  }

  private checkMajority (): void {
    const others = [...this.entries.values()]
      .filter((entry) => entry.dataCentre === this.peers.self.dataCentre && entry.state !== 'gone')
      .map((entry) => ({ instance: entry.instance, heard: entry.state !== 'suspect', refused: entry.endEvidence !== undefined }))
    if (!reachesMajority(this.peers.self.instance, others)) this.lastWithoutMajorityAt = this.clock.now()
  }

  private self (): Member {
    const { instance, dataCentre, address } = this.peers.self
    return { instance, dataCentre, address, state: this.isLeaving ? 'leaving' : 'alive', storeReachable: true }
  }

  private async poll (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const began = this.clock.now()
      const read = await this.list.read()
      if (read.isOk()) this.applyList(read.value, began)
      // During an outage of the platform the last list stays in use: the outage says nothing about the members.
      else this.logger.debug('The instance list cannot be read.', { reason: read.error.message })
      await this.readSoon.wait(this.pollIntervalMilliseconds * (0.5 + this.random()), signal)
    }
  }

  private async evaluatePeriodically (signal: AbortSignal): Promise<void> {
    const tick = this.suspectAfterMilliseconds / TICKS_TO_SUSPECT
    while (!signal.aborted) {
      this.evaluate()
      await this.clock.sleep(tick, signal)
    }
  }

  private applyList (list: readonly ListedInstance[], began: number): void {
    this.hasReadList = true
    const instances = new Map(list.filter((listed) => listed.kind === 'entry').map((listed) => [listed.id as InstanceId, listed]))
    for (const [instance, listed] of instances) {
      if (instance !== this.peers.self.instance) this.entryOf(instance, listed.dataCentre, listed.address)
    }
    for (const entry of this.entries.values()) entry.applyListRead(instances.get(entry.instance)?.state, began)
    const leaving = list.filter((listed) => listed.kind === 'endpoint' && listed.state === 'leaving').map((listed) => listed.id)
    this.evaluate(this.endpointsLeaving.read(leaving, began))
  }

  private entryOf (instance: InstanceId, dataCentre: DataCentreId, address: string): MemberEntry {
    const known = this.entries.get(instance)
    if (known !== undefined) {
      this.targetsStale ||= known.address !== address
      known.address = address
      return known
    }
    const entry = new MemberEntry(instance, dataCentre, address, this.clock.now())
    this.entries.set(instance, entry)
    this.targetsStale = true
    return entry
  }

  private connected (peer: PeerIdentity): void {
    const known = this.entries.get(peer.instance)
    if (known !== undefined) known.endEvidence = undefined
    // An address from the list takes precedence: the address that a peer announces may not be the one at which other
    // instances reach it.
    if (known === undefined) this.entryOf(peer.instance, peer.dataCentre, peer.address)
    this.evaluate()
  }

  private updateEntry (instance: InstanceId, update: (entry: MemberEntry) => void): void {
    const entry = this.entries.get(instance)
    if (entry === undefined) return
    update(entry)
    if (this.evaluateEntry(entry)) this.changed()
  }

  /** Evaluates the state of every member and notifies the listeners of changes. */
  private evaluate (changedAlready = false): void {
    this.detectPause()
    const changed = [...this.entries.values()].map((entry) => this.evaluateEntry(entry))
    this.forgetGone(this.clock.now())
    this.checkMajority()
    if (!changed.includes(true) && !changedAlready && !this.targetsStale) return
    this.targetsStale = false
    this.changed()
  }

  /**
   * After a pause of this process all other members look unresponsive, and this instance would take over their endpoints.
   * Their frames wait unread in the sockets; two thirds of the suspicion time, two heartbeats, are enough to read them.
   */
  private detectPause (): void {
    const now = this.clock.now()
    const tick = this.suspectAfterMilliseconds / TICKS_TO_SUSPECT
    if (now - this.lastEvaluatedAt > PAUSED_AFTER_TICKS * tick) {
      this.pauseGraceUntil = now + 2 * this.suspectAfterMilliseconds / 3
      // The instance list was last read before this process was paused: an endpoint that began to leave during the process pause
      // would get work until the next poll of the list.
      this.readSoon.notify()
    }
    this.lastEvaluatedAt = now
  }

  /** Evaluates one member alone, since dozens of heartbeats arrive each second and each concerns its sender only. */
  private evaluateEntry (entry: MemberEntry): boolean {
    const isLocal = entry.dataCentre === this.peers.self.dataCentre
    const before = entry.state
    const changed = entry.updateState({
      now: this.clock.now(),
      lastContactAt: this.peers.lastContactAt(entry.instance),
      kept: isLocal || this.remotePeers.has(entry.instance),
      justResumed: this.clock.now() < this.pauseGraceUntil,
      suspectAfterMilliseconds: this.suspectAfterMilliseconds * (isLocal ? 1 : REMOTE_SUSPECT_FACTOR),
      unlistedTimeoutMilliseconds: this.unlistedTimeoutMilliseconds
    })
    if (changed) this.logger.info('A member changed its state.', { instance: entry.instance, before, state: entry.state })
    return changed
  }

  private forgetGone (now: number): void {
    for (const entry of this.entries.values()) {
      if (entry.state !== 'gone') this.goneAt.delete(entry.instance)
      else if (!this.goneAt.has(entry.instance)) this.goneAt.set(entry.instance, now)
      else if (now - (this.goneAt.get(entry.instance) ?? now) > GONE_RETENTION_MILLISECONDS) {
        this.entries.delete(entry.instance)
        this.goneAt.delete(entry.instance)
      }
    }
  }

  private changed (): void {
    this.updateTargets()
    for (const listener of this.listeners) listener()
  }

  private updateTargets (): void {
    const { instance, dataCentre } = this.peers.self
    const entries = [...this.entries.values()].filter((entry) => entry.state !== 'gone')
    this.remotePeers = chooseRemotePeers(instance, dataCentre, entries)
    this.peers.setTargets(entries.map((entry): PeerTarget => ({
      instance: entry.instance,
      dataCentre: entry.dataCentre,
      address: entry.address,
      keep: entry.dataCentre === dataCentre || this.remotePeers.has(entry.instance)
    })))
  }
}
