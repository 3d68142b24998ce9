/** Membership from the platform's lagging list and the heartbeats of peers. */
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

const DEFAULT_UNLISTED_TIMEOUT_MILLISECONDS = 600_000
const GONE_RETENTION_MILLISECONDS = 3_600_000
const REMOTE_SUSPECT_FACTOR = 5
const TICKS_TO_SUSPECT = 12
const PAUSED_AFTER_TICKS = 3
/** Three tries to dial, each with its time limits and back-off, fit into so many times the time for suspicion. */
const SETTLE_FACTOR = 4

/** What the membership is made of. */
export interface ListMembershipOptions {
  readonly peers: PeerLinks
  readonly list: InstanceList
  readonly logger: Logger
  readonly clock?: Clock
  /** Uniform in 0 to 1. */
  readonly random?: () => number
  /** Mean time between reads of the list. */
  readonly pollIntervalMilliseconds?: number
  /** Silence after which a member of this data centre is suspect. */
  readonly suspectAfterMilliseconds?: number
  /** Longer than the list ever lags: an instance silent and never listed for so long has ended. */
  readonly unlistedTimeoutMilliseconds?: number
}

/** A {@link Membership} that merges list and heartbeats. The list alone never removes a member that is heard. */
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

  /** @param options - the sources and their times */
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
    this.peers.onHeartbeat((from, heartbeat) => this.heard(from, (entry) => { entry.heartbeat = heartbeat.frame }))
    this.peers.onNotice('goodbye', (from) => this.heard(from, (entry) => { entry.goodbyeReceived = true }))
    this.peers.onEndEvidence((instance, evidence) => this.heard(instance, (entry) => { entry.endEvidence = evidence }))
  }

  /** Follows list and heartbeats until the signal ends it. */
  async run (signal: AbortSignal): Promise<void> {
    await Promise.all([this.poll(signal), this.evaluatePeriodically(signal)])
  }

  /** Marks this instance as leaving; heartbeats are to say so as well. */
  startLeaving (): void {
    this.isLeaving = true
    this.changed()
  }

  /** Tells all peers that this instance ends now; nothing may be ordered or run by it after this. */
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
   * Whether this instance may act on the silence of others. After it was cut off it waits: those to which it has not
   * got a new connection yet still look silent, and it would take over what they serve.
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
      // Through an outage the last list stays: that the platform does not answer says nothing about members.
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
    const entries = new Map(list.filter((line) => line.kind === 'entry').map((line) => [line.id as InstanceId, line]))
    for (const [instance, line] of entries) {
      if (instance !== this.peers.self.instance) this.entryOf(instance, line.dataCentre, line.address)
    }
    for (const entry of this.entries.values()) entry.applyListRead(entries.get(entry.instance)?.state, began)
    const leaving = list.filter((line) => line.kind === 'endpoint' && line.state === 'leaving').map((line) => line.id)
    this.evaluate(this.endpointsLeaving.read(leaving, began))
  }

  private entryOf (instance: InstanceId, dataCentre: DataCentreId, address: string): MemberEntry {
    const present = this.entries.get(instance)
    if (present !== undefined) {
      this.targetsStale ||= present.address !== address
      present.address = address
      return present
    }
    const entry = new MemberEntry(instance, dataCentre, address, this.clock.now())
    this.entries.set(instance, entry)
    this.targetsStale = true
    return entry
  }

  private connected (peer: PeerIdentity): void {
    const present = this.entries.get(peer.instance)
    if (present !== undefined) present.endEvidence = undefined
    // The list's address stands where there is one: what a peer takes for its own may not be how it is reached.
    if (present === undefined) this.entryOf(peer.instance, peer.dataCentre, peer.address)
    this.evaluate()
  }

  private heard (instance: InstanceId, take: (entry: MemberEntry) => void): void {
    const entry = this.entries.get(instance)
    if (entry === undefined) return
    take(entry)
    if (this.evaluateEntry(entry)) this.changed()
  }

  /** Judges every member anew and tells what changed. */
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
   * After a pause of this process all others look silent, and it would take over what they own. What they sent
   * meanwhile waits in the sockets; two thirds of the time for suspicion, two heartbeats, are enough to read it.
   */
  private detectPause (): void {
    const now = this.clock.now()
    const tick = this.suspectAfterMilliseconds / TICKS_TO_SUSPECT
    if (now - this.lastEvaluatedAt > PAUSED_AFTER_TICKS * tick) {
      this.pauseGraceUntil = now + 2 * this.suspectAfterMilliseconds / 3
      // The list is as old as the pause: an endpoint that began to leave meanwhile would be given work until the next poll.
      this.readSoon.notify()
    }
    this.lastEvaluatedAt = now
  }

  /** Heartbeats come by the dozen each second; each judges its sender alone. */
  private evaluateEntry (entry: MemberEntry): boolean {
    const own = entry.dataCentre === this.peers.self.dataCentre
    const before = entry.state
    const changed = entry.updateState({
      now: this.clock.now(),
      lastContactAt: this.peers.lastContactAt(entry.instance),
      kept: own || this.remotePeers.has(entry.instance),
      justResumed: this.clock.now() < this.pauseGraceUntil,
      suspectAfterMilliseconds: this.suspectAfterMilliseconds * (own ? 1 : REMOTE_SUSPECT_FACTOR),
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
