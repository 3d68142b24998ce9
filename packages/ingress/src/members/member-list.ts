/** Who else is here: written in the store at the start and at the end, kept alive by heartbeats between instances. */
import type { Clock, DataCentreId, DeletingObjectStore, InstanceId, Logger } from '@limpetwinch/core'
import type { PeerOverlay } from '../overlay/peer-overlay.js'
import { memberPath } from './cluster-objects.js'
import type { Member } from './cluster-objects.js'

/**
 * A member without a connection counts as gone after this: a connection that broke is made anew sooner. One that fell
 * silent was waited for already, for three heartbeats.
 */
export const UNREACHABLE_AFTER_MILLISECONDS = 1_200
/** A member that was not heard for so long has left without a word; its object is deleted. */
const DELETE_LOST_AFTER_MILLISECONDS = 60_000
const CHECK_MILLISECONDS = 1_000

/** This instance, as its peers see it. */
export interface SelfDescription {
  readonly name: string
  readonly instance: InstanceId
  readonly address: string
  readonly dataCentre: DataCentreId
  /** What the host gives this process, in cores. */
  readonly cores: number
}

/** What the list looks at beside the store. */
export type MemberPresence = Pick<PeerOverlay, 'apply' | 'isReachable' | 'isLeaving' | 'lastReachableAt'>

/** The members as the store lists them and heartbeats confirm them. */
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

  /** Whether the store has listed the members in this life. */
  get hasListing (): boolean {
    return this.listingApplied
  }

  /** @returns the number of members written down, living or not; at least one */
  get count (): number {
    return Math.max(1, this.members.size + (this.members.has(this.self.name) ? 0 : 1))
  }

  /**
   * Takes the members as the store lists them.
   *
   * @param revision - the store's, of the listing
   */
  apply (members: readonly Member[], revision: number): void {
    this.listingApplied = true
    const now = this.clock.now()
    this.members.clear()
    for (const member of members) {
      this.members.set(member.name, member)
      if (!this.firstSeen.has(member.instance)) this.firstSeen.set(member.instance, now)
    }
    // A listing that was made before this instance wrote itself down does not know of it; taken at its word, it would write again.
    if (this.ownRecord !== undefined && this.ownRecord.version > revision) this.members.set(this.self.name, this.ownRecord)
    this.presence.apply([...this.members.values()])
  }

  /** @returns the member of a name */
  find (name: string): Member | undefined {
    return this.members.get(name)
  }

  /** @returns whether the member of this name is heard; one that leaves goes on with its duties until it has gone */
  isReachable (name: string): boolean {
    if (name === this.self.name) return true
    const member = this.members.get(name)
    return member !== undefined && this.millisecondsSinceContact(member) < UNREACHABLE_AFTER_MILLISECONDS
  }

  /** @returns whether the member of this name is heard and takes new duties */
  isLive (name: string): boolean {
    if (name === this.self.name) return !this.stopping
    const member = this.members.get(name)
    return member !== undefined && !this.presence.isLeaving(member.instance) && this.isReachable(name)
  }

  /** @returns names of all members that are heard, this one included */
  live (): { readonly name: string, readonly dataCentre: DataCentreId }[] {
    const others = [...this.members.values()].filter((member) => member.name !== this.self.name && this.isLive(member.name))
    return this.stopping ? others : [...others, this.self]
  }

  /** Writes this instance down until it stands there, and looks after the objects of members that are gone. */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.listingApplied && !this.stopping) await this.register()
      this.logChanges()
      await this.deleteLostMembers()
      await this.clock.sleep(this.members.has(this.self.name) ? CHECK_MILLISECONDS : 100, signal)
    }
  }

  /** Takes no duties from now on. */
  leave (): void {
    this.stopping = true
  }

  /** Removes this instance's object. */
  async unregister (): Promise<void> {
    const own = this.members.get(this.self.name)
    if (own?.instance !== this.self.instance) return
    const removed = await this.store.remove(memberPath(own.name), own.version)
    if (removed.isErr()) this.logger.warn('The own member object stays behind.', { reason: removed.error.message })
  }

  private async register (): Promise<void> {
    const { name, instance, address, dataCentre, cores } = this.self
    const present = this.members.get(name)
    if (present?.instance === instance) return
    const ownRecord = await this.store.put({ path: memberPath(name), ifVersion: present?.version ?? 0, value: { instance, address, dataCentre, cores } })
    if (ownRecord.isOk()) {
      this.ownRecord = { name, instance, address, dataCentre, cores, version: ownRecord.value }
      this.members.set(name, this.ownRecord)
      this.presence.apply([...this.members.values()])
      this.logger.info('This instance is written down.', { name, revision: ownRecord.value })
      return
    }
    // A conflict or a lost answer shows in the next step of the watch, which this loop reads.
    this.logger.warn('This instance could not be written down yet.', { name, reason: ownRecord.error.message })
  }

  private millisecondsSinceContact (member: Member): number {
    if (this.presence.isReachable(member.instance)) return 0
    const heard = this.presence.lastReachableAt(member.instance) ?? this.firstSeen.get(member.instance) ?? -Infinity
    return this.clock.now() - heard
  }

  private logChanges (): void {
    for (const { name } of this.members.values()) {
      const live = this.isLive(name)
      if (live === this.loggedLive.has(name)) continue
      if (live) this.loggedLive.add(name)
      else this.loggedLive.delete(name)
      this.logger.info(live ? 'A member is heard.' : 'A member is not heard any more.', { name, instance: this.members.get(name)?.instance })
    }
  }

  private async deleteLostMembers (): Promise<void> {
    for (const member of [...this.members.values()]) {
      if (member.name === this.self.name || this.millisecondsSinceContact(member) < DELETE_LOST_AFTER_MILLISECONDS) continue
      const removed = await this.store.remove(memberPath(member.name), member.version)
      if (removed.isOk()) this.members.delete(member.name)
      this.logger.info('The object of a lost member is deleted.', { name: member.name, outcome: removed.isOk() ? 'done' : removed.error.kind })
    }
  }
}
