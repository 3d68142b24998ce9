/** Membership: instances register in the store at their start and unregister at their end; heartbeats show which instances are reachable. */
import { splitAddress } from '@limpetwinch/core'
import type { Clock, DataCentreId, DeletingObjectStore, InstanceId, Logger } from '@limpetwinch/core'
import type { PeerOverlay } from '../overlay/peer-overlay.js'
import type { TunnelPeer } from '../paths/tunnel-client.js'
import { memberPath } from './cluster-objects.js'
import type { Member } from './cluster-objects.js'

/**
 * A member without a connection counts as unreachable after this time; a broken connection is reestablished sooner. An unresponsive
 * member has already missed three heartbeats by the time its connection is closed.
 */
export const UNREACHABLE_AFTER_MILLISECONDS = 1_200
/** A member that has been unreachable for this long has ended without unregistering; its object in the store is deleted. */
const DELETE_LOST_AFTER_MILLISECONDS = 60_000
/** Interval between two checks of this instance's registration and of lost members, once this instance is registered. */
const CHECK_MILLISECONDS = 1_000

/** Description of this instance, as registered for its peers. */
export interface SelfDescription {
  readonly name: string
  readonly instance: InstanceId
  readonly address: string
  readonly chunkedTunnelAddress?: string | undefined
  readonly dataCentre: DataCentreId
  /** Processor share that the host grants this process, in cores. */
  readonly cores: number
}

/** Methods of the peer overlay that the member list uses to see which members are reachable. */
export type MemberPresence = Pick<PeerOverlay, 'apply' | 'isReachable' | 'isLeaving' | 'lastReachableAt'>

/** The members listed in the store, and whether heartbeats confirm them. */
export class MemberList {
  readonly self: SelfDescription
  private readonly store: DeletingObjectStore
  private readonly presence: MemberPresence
  private readonly clock: Clock
  private readonly logger: Logger
  private readonly members = new Map<string, Member>()
  private readonly firstSeen = new Map<InstanceId, number>()
  private readonly loggedLive = new Set<string>()
  private listingApplied = false
  private ownRecord: Member | undefined
  private stopping = false

  constructor (self: SelfDescription, store: DeletingObjectStore, presence: MemberPresence, clock: Clock, logger: Logger) {
    this.self = self
    this.store = store
    this.presence = presence
    this.clock = clock
    this.logger = logger
  }

  /** Whether a listing of the members has been applied since this process started. */
  get hasListing (): boolean {
    return this.listingApplied
  }

  /** @returns names of the registered members, reachable or not; undefined before the first listing */
  listedNames (): ReadonlySet<string> | undefined {
    return this.listingApplied ? new Set(this.members.keys()) : undefined
  }

  /** Number of registered members, reachable or not, including this instance; at least 1. */
  get count (): number {
    return Math.max(1, this.members.size + (this.members.has(this.self.name) ? 0 : 1))
  }

  /**
   * Applies a listing of the members in the store.
   *
   * @param revision - store revision of the listing
   */
  apply (members: readonly Member[], revision: number): void {
    this.listingApplied = true
    const now = this.clock.now()
    this.members.clear()
    for (const member of members) {
      this.members.set(member.name, member)
      if (!this.firstSeen.has(member.instance)) this.firstSeen.set(member.instance, now)
    }
    // A listing older than the registration of this instance does not include this instance. Without the record that is added here,
    // this instance would register again.
    if (this.ownRecord !== undefined && this.ownRecord.version > revision) this.members.set(this.self.name, this.ownRecord)
    this.presence.apply([...this.members.values()])
  }

  /** @returns the member with this name */
  find (name: string): Member | undefined {
    return this.members.get(name)
  }

  /** @returns whether the member with this name is reachable; a member that is leaving keeps its load ownership until it has left */
  isReachable (name: string): boolean {
    if (name === this.self.name) return true
    const member = this.members.get(name)
    return member !== undefined && this.millisecondsSinceContact(member) < UNREACHABLE_AFTER_MILLISECONDS
  }

  /** @returns whether the member with this name is reachable and not leaving, so that it may take load ownership */
  isLive (name: string): boolean {
    if (name === this.self.name) return !this.stopping
    const member = this.members.get(name)
    return member !== undefined && !this.presence.isLeaving(member.instance) && this.isReachable(name)
  }

  /** @returns whether a member that can be reached, or this instance, was registered at this revision of the store already; true before the first listing */
  hasReachableSince (revision: number): boolean {
    if (!this.listingApplied) return true
    return [...this.members.values()].some(({ name, version, instance }) => version <= revision && (name === this.self.name ? instance === this.self.instance : this.isReachable(name)))
  }

  /** @returns the part of all registered members that can be reached, including this instance, from 0 to 1 */
  reachableShare (): number {
    const reachable = [...this.members.keys()].filter((name) => this.isReachable(name)).length + (this.members.has(this.self.name) ? 0 : 1)
    return reachable / this.count
  }

  /** @returns all live members, including this instance unless it is leaving */
  live (): { readonly name: string, readonly dataCentre: DataCentreId }[] {
    const others = [...this.members.values()].filter((member) => member.name !== this.self.name && this.isLive(member.name))
    return this.stopping ? others : [...others, this.self]
  }

  /** @returns the other live members that open tunnels */
  tunnelPeers (): TunnelPeer[] {
    const peers: TunnelPeer[] = []
    for (const { name, instance, chunkedTunnelAddress: address, dataCentre } of this.members.values()) {
      if (address !== undefined && name !== this.self.name && this.isLive(name)) peers.push({ instance, dataCentre, address })
    }
    return peers
  }

  /** @returns whether an instance remembers where streams began; this one does */
  remembersStreams (instance: InstanceId): boolean {
    return instance === this.self.instance || this.findInstance(instance)?.remembersStreams === true
  }

  /** @returns the data centre of a registered instance */
  dataCentreOf (instance: InstanceId): DataCentreId | undefined {
    return instance === this.self.instance ? this.self.dataCentre : this.findInstance(instance)?.dataCentre
  }

  /** @returns the host of a registered instance; undefined when it is not registered */
  hostOf (instance: InstanceId): string | undefined {
    const member = this.findInstance(instance)
    return member === undefined ? undefined : splitAddress(member.address).host
  }

  /** Registers this instance, registers it again if its object in the store disappears, and deletes the objects of lost members. */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.listingApplied && !this.stopping) await this.register()
      this.logChanges()
      await this.deleteLostMembers()
      await this.clock.sleep(this.members.has(this.self.name) ? CHECK_MILLISECONDS : 100, signal)
    }
  }

  /** Marks this instance as leaving: it takes no further load ownership. */
  leave (): void {
    this.stopping = true
  }

  /** Unregisters this instance: deletes its member object from the store, unless a newer process of the same host has replaced the object. */
  async unregister (): Promise<void> {
    const own = this.members.get(this.self.name)
    if (own?.instance !== this.self.instance) return
    const removed = await this.store.remove(memberPath(own.name), own.version)
    if (removed.isErr()) this.logger.warn('The member object of this instance could not be removed.', { reason: removed.error.message })
  }

  private findInstance (instance: InstanceId): Member | undefined {
    for (const member of this.members.values()) if (member.instance === instance) return member
    return undefined
  }

  private async register (): Promise<void> {
    const { name, ...value } = { ...this.self, remembersStreams: true }
    const present = this.members.get(name)
    if (present?.instance === value.instance) return
    const ownRecord = await this.store.put({ path: memberPath(name), ifVersion: present?.version ?? 0, value })
    if (ownRecord.isOk()) {
      this.ownRecord = { name, ...value, version: ownRecord.value }
      this.members.set(name, this.ownRecord)
      this.presence.apply([...this.members.values()])
      this.logger.info('This instance was registered as a member.', { name, revision: ownRecord.value })
      return
    }
    // After a conflict or a lost response, the watch of the store shows whether the object was written; the next pass of `run` retries if not.
    this.logger.warn('This instance could not be registered as a member yet.', { name, reason: ownRecord.error.message })
  }

  private millisecondsSinceContact (member: Member): number {
    if (this.presence.isReachable(member.instance)) return 0
    const lastContact = this.presence.lastReachableAt(member.instance) ?? this.firstSeen.get(member.instance) ?? -Infinity
    return this.clock.now() - lastContact
  }

  private logChanges (): void {
    for (const { name } of this.members.values()) {
      const live = this.isLive(name)
      if (live === this.loggedLive.has(name)) continue
      if (live) this.loggedLive.add(name)
      else this.loggedLive.delete(name)
      this.logger.info(live ? 'A member became reachable.' : 'A member is unreachable or leaving.', { name, instance: this.members.get(name)?.instance })
    }
  }

  private async deleteLostMembers (): Promise<void> {
    for (const member of [...this.members.values()]) {
      if (member.name === this.self.name || this.millisecondsSinceContact(member) < DELETE_LOST_AFTER_MILLISECONDS) continue
      const removed = await this.store.remove(memberPath(member.name), member.version)
      if (removed.isOk()) this.members.delete(member.name)
      this.logger.info('This instance tried to delete the object of a lost member.', {
        name: member.name, outcome: removed.isOk() ? 'done' : removed.error.kind
      })
    }
  }
}
