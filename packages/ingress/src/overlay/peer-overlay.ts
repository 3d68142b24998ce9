/**
 * Connects the instances, delivers notices (one-way messages) between them and tracks which instances can be reached.
 *
 * In a small fleet every instance is connected to every other one. In a larger fleet a leaf has one connection, to a hub of its
 * data centre, which forwards the notices of the leaf to the other hubs and leaves, and their notices to the leaf.
 */
import type { Clock, InstanceId, Logger } from '@limpetwinch/core'
import type { NoticeFrame, PeerLinks } from '@limpetwinch/entry'
import type { Member } from '../members/cluster-objects.js'
import { HubChoice } from './hub-choice.js'
import { HubPlan } from './hub-plan.js'
import type { Urgency } from './notice-outbox.js'
import { NoticeRouter } from './notice-router.js'
import type { OverlayRole, OverlayView } from './notice-router.js'
import { Presence } from './presence.js'

/** Interval between checks of the connections. */
const CHECK_MILLISECONDS = 250
/** Delay before a hub announces its connections: they often change in groups, and one announcement then covers all changes. */
const PRESENCE_DELAY_MILLISECONDS = 50
/**
 * Time in which a leaf without a hub is expected to attach to one, or to the next hub when the first does not respond. During this
 * time the leaf does not start to read the store itself.
 */
const ATTACHING_MILLISECONDS = 900

/** Dependencies of the overlay. */
export interface PeerOverlayDependencies {
  readonly self: { readonly name: string, readonly instance: InstanceId, readonly dataCentre: Member['dataCentre'] }
  readonly network: PeerLinks
  readonly clock: Clock
  readonly logger: Logger
}

/** Called with a new neighbour, which must be sent the notices that were broadcast before it connected. */
export type NeighbourListener = (neighbour: InstanceId, role: OverlayRole) => void

/** One instance's view of the overlay: its role, its connections and the notices that it sends. */
export class PeerOverlay implements OverlayView {
  private readonly dependencies: PeerOverlayDependencies
  private readonly notices: NoticeRouter
  private readonly presence = new Presence()
  private readonly hubChoice = new HubChoice()
  /** Roles that connected instances have announced. */
  private readonly roles = new Map<InstanceId, OverlayRole>()
  private readonly leaving = new Set<InstanceId>()
  /** Monotonic time in milliseconds at which an instance that was reached through hubs became unreachable. */
  private readonly lostAt = new Map<InstanceId, number>()
  private readonly neighbourListeners: NeighbourListener[] = []
  private plan = new HubPlan([])
  private ownRole: OverlayRole = 'hub'
  private attachedTo: InstanceId | undefined
  private detachedAt = -Infinity
  private reached: ReadonlySet<InstanceId> = new Set()
  private reachedDirectly: ReadonlySet<InstanceId> = new Set()
  private currentTargets = ''
  private isReachStale = false
  private isPresenceDue = false
  /** Number of announcements that this instance has made as a hub. */
  private announcements = 0

  constructor (dependencies: PeerOverlayDependencies) {
    this.dependencies = dependencies
    const { network, clock } = dependencies
    this.notices = new NoticeRouter(network, this, clock, dependencies.logger)
    network.onConnected(({ instance }) => this.handleConnected(instance))
    network.onDisconnected((instance) => this.handleDisconnected(instance))
    network.onEndEvidence((instance) => this.avoidHub(instance))
    network.onHeartbeat((from, { frame }) => { if (frame.leaving) this.markLeaving(from) })
    network.onNotice('overlay-role', (from, { role }) => this.applyRole(from, role))
    network.onNotice('overlay-presence', (from, frame) => {
      this.presence.update(from, frame)
      this.isReachStale = true
    })
  }

  /** Id of this instance; each process has its own. */
  get self (): InstanceId {
    return this.dependencies.self.instance
  }

  /** The hub that this leaf is attached to; undefined for a hub and for a leaf without a hub. */
  get ownHub (): InstanceId | undefined {
    return this.attachedTo
  }

  /** Whether this instance forwards the notices of other instances. */
  get isHub (): boolean {
    return this.ownRole === 'hub'
  }

  /** Whether this instance receives the notices of the others: directly as a hub, or through its hub as a leaf. */
  get isAttached (): boolean {
    return this.isHub || this.attachedTo !== undefined
  }

  /** Whether this instance is a leaf that lost its hub a moment ago or has not attached to one yet. */
  get isAwaitingHub (): boolean {
    return !this.isAttached && this.dependencies.clock.now() - this.detachedAt < ATTACHING_MILLISECONDS
  }

  /** Whether each instance sends notices directly to every other instance. */
  get isMesh (): boolean {
    return this.plan.isMesh && this.neighboursOf('leaf').length === 0
  }

  /** Time in milliseconds in which a notice reaches all other instances and their replies arrive here. */
  get noticeRoundTripMilliseconds (): number {
    return this.notices.noticeRoundTripMilliseconds
  }

  /** Number of leaves that this instance forwards notices to. */
  get leafCount (): number {
    return this.neighboursOf('leaf').length
  }

  /** @returns instances with a connection to this one */
  neighbours (): readonly InstanceId[] {
    return this.dependencies.network.connected()
  }

  /** @returns the neighbours with a role; a neighbour that has not announced its role counts as a hub */
  neighboursOf (role: OverlayRole): readonly InstanceId[] {
    return this.neighbours().filter((instance) => (this.roles.get(instance) ?? 'hub') === role)
  }

  /** @returns hubs that can be reached and are not leaving, this instance among them if it is a hub */
  usableHubs (): readonly InstanceId[] {
    return this.plan.hubs().map(({ instance }) => instance).filter((instance) => (
      instance === this.self ? this.isHub : this.isReachable(instance) && !this.isLeaving(instance)
    ))
  }

  /** @returns whether the neighbour is a leaf of this hub */
  isLeaf (neighbour: InstanceId): boolean {
    return this.roles.get(neighbour) === 'leaf'
  }

  /** @returns a hub that is connected to the instance, or undefined when none is known */
  hubOf (instance: InstanceId): InstanceId | undefined {
    return this.neighboursOf('hub').find((hub) => this.presence.isConnected(hub, instance))
  }

  /** Registers a listener that is called for each new neighbour, which has received no notices from this instance yet. */
  onNeighbour (listener: NeighbourListener): void {
    this.neighbourListeners.push(listener)
  }

  /** Applies the members that are registered in the store. */
  apply (members: readonly Member[]): void {
    this.plan = new HubPlan(members)
    const known = new Set(members.map(({ instance }) => instance))
    for (const instance of this.lostAt.keys()) if (!known.has(instance)) this.lostAt.delete(instance)
    this.presence.keep(new Set([...known, ...this.neighbours()]))
    this.updateConnections()
  }

  /** @returns whether the instance can be reached, directly or through hubs */
  isReachable (instance: InstanceId): boolean {
    return this.dependencies.network.isConnected(instance) || this.reachableInstances().has(instance)
  }

  /** @returns whether the instance has announced that it is stopping */
  isLeaving (instance: InstanceId): boolean {
    return this.leaving.has(instance) || this.presence.isLeaving(instance)
  }

  /** @returns monotonic time at which an unreachable instance was last known to be reachable; undefined when it never was */
  lastReachableAt (instance: InstanceId): number | undefined {
    this.reachableInstances()
    const lastContact = this.dependencies.network.lastContactAt(instance)
    const lost = this.lostAt.get(instance)
    if (lastContact === undefined || lost === undefined) return lastContact ?? lost
    return Math.max(lastContact, lost)
  }

  /**
   * Sends a notice to all other instances.
   *
   * @param frame - the notice
   * @param urgency - `patient` for a notice that is sent periodically and may be delayed by a part of its interval
   */
  broadcast (frame: NoticeFrame, urgency: Urgency = 'urgent'): void {
    this.notices.broadcast(frame, urgency)
  }

  /**
   * Sends a notice to one instance; the notice is lost when the instance cannot be reached.
   *
   * @param urgency - `immediate` for a notice that a request waits for
   */
  notify (to: InstanceId, frame: NoticeFrame, urgency: Urgency = 'urgent'): void {
    this.notices.notify(to, frame, urgency)
  }

  /**
   * Sends a new neighbour the notices that were broadcast before it connected. A neighbour that is a hub forwards the notices to the
   * instances behind it.
   *
   * @param neighbour - the instance that has connected
   * @param frames - the notices with the instances that created them
   */
  replay (neighbour: InstanceId, frames: Iterable<readonly [origin: InstanceId, frame: NoticeFrame]>): void {
    this.notices.replay(neighbour, frames)
  }

  /** Maintains the connections until the signal aborts. */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.dependencies.clock.sleep(CHECK_MILLISECONDS, signal)
      this.updateConnections()
    }
  }

  /** Determines this instance's role and the instances to connect to. */
  private updateConnections (): void {
    const { self, clock } = this.dependencies
    this.reachableInstances()
    const isHub = this.plan.isMesh || this.plan.isHub(self.name) || this.neighboursOf('leaf').length > 0
    const targets = isHub ? this.plan.hubs().filter(({ name }) => name !== self.name) : this.hubToAttach(clock.now())
    this.setTargets(targets, isHub)
    this.changeRole(isHub ? 'hub' : 'leaf')
    if (!isHub) this.dropOtherHubs()
  }

  /** Sets the targets only when they have changed, because each call wakes the tasks that dial. */
  private setTargets (targets: readonly Member[], dialsBack: boolean): void {
    const description = targets.map(({ instance, address }) => `${instance} ${address}`).join()
    if (description === this.currentTargets) return
    this.currentTargets = description
    this.dependencies.network.setTargets(targets.map(({ instance, address, dataCentre }) => ({ instance, address, dataCentre, keep: true, dialsBack })))
  }

  private hubToAttach (now: number): readonly Member[] {
    const { self } = this.dependencies
    const chosen = this.hubChoice.choose(this.plan.candidatesFor(self.name, self.dataCentre), ({ instance }) => instance === this.attachedTo, now)
    return chosen === undefined ? [] : [chosen]
  }

  private changeRole (role: OverlayRole): void {
    if (role === this.ownRole) return
    this.ownRole = role
    this.attachedTo = undefined
    this.detachedAt = this.dependencies.clock.now()
    this.isReachStale = true
    this.dependencies.logger.info('The role of this instance in the overlay has changed.', { role, mesh: this.plan.isMesh })
    this.dependencies.network.notifyAll(this.neighbours(), { kind: 'overlay-role', role })
    if (role === 'hub') this.schedulePresence()
    else for (const hub of this.neighboursOf('hub')) this.attach(hub)
  }

  /**
   * Disconnects this leaf from all hubs except the one that it is attached to and the one that it has chosen to attach to next. The
   * attached hub thus stays connected until the chosen hub replaces it.
   */
  private dropOtherHubs (): void {
    const { network } = this.dependencies
    if (this.attachedTo === undefined) return
    for (const hub of this.neighboursOf('hub')) {
      if (hub !== this.attachedTo && hub !== this.hubChoice.current?.instance) network.disconnect(hub, 'this instance is attached to another hub')
    }
  }

  private handleConnected (instance: InstanceId): void {
    this.isReachStale = true
    // The role is sent in a mesh too: the other instance may know of more members, therefore be a leaf, and wait for a hub to
    // announce its role.
    this.dependencies.network.notify(instance, { kind: 'overlay-role', role: this.ownRole })
    const role = this.roles.get(instance)
    // Notices sent on an earlier connection may have been lost when that connection ended, so the neighbour is treated as a new one.
    if (role !== undefined) this.notifyJoined(instance, role)
    else if (this.plan.isMesh) this.applyRole(instance, 'hub')
    this.schedulePresence()
  }

  private handleDisconnected (instance: InstanceId): void {
    this.roles.delete(instance)
    this.presence.forget(instance)
    this.leaving.delete(instance)
    this.isReachStale = true
    this.schedulePresence()
    if (instance !== this.attachedTo) return
    this.attachedTo = undefined
    this.detachedAt = this.dependencies.clock.now()
    this.avoidHub(instance)
  }

  private avoidHub (instance: InstanceId): void {
    const { current } = this.hubChoice
    if (this.isHub || current?.instance !== instance) return
    this.hubChoice.avoid(current, this.dependencies.clock.now())
    this.updateConnections()
  }

  private applyRole (from: InstanceId, role: OverlayRole): void {
    if (this.roles.get(from) === role) return
    this.roles.set(from, role)
    this.isReachStale = true
    if (role === 'leaf') this.updateConnections()
    if (!this.isHub && role === 'hub') this.attach(from)
    else this.notifyJoined(from, role)
  }

  private attach (hub: InstanceId): void {
    if (this.hubChoice.current?.instance !== hub || this.attachedTo === hub) return
    this.attachedTo = hub
    this.isReachStale = true
    this.dependencies.logger.info('This instance is attached to a hub.', { hub })
    this.notifyJoined(hub, 'hub')
    this.dropOtherHubs()
  }

  private notifyJoined (neighbour: InstanceId, role: OverlayRole): void {
    if (role === 'leaf') this.replay(neighbour, this.presence.frames())
    if (role === 'leaf' || !this.plan.isMesh) this.schedulePresence()
    for (const listener of this.neighbourListeners) listener(neighbour, role)
  }

  private markLeaving (instance: InstanceId): void {
    if (this.leaving.has(instance)) return
    this.leaving.add(instance)
    this.schedulePresence()
  }

  private schedulePresence (): void {
    if (this.isPresenceDue || !this.isHub || this.isMesh) return
    this.isPresenceDue = true
    void this.dependencies.clock.sleep(PRESENCE_DELAY_MILLISECONDS).then(() => {
      this.isPresenceDue = false
      const connected = this.neighbours()
      if (!this.isHub) return
      this.announcements += 1
      const leaving = connected.filter((instance) => this.leaving.has(instance))
      this.broadcast({ kind: 'overlay-presence', connected, leaving, sequence: this.announcements })
    })
  }

  /** A leaf reaches others through its hub and the hubs connected to its hub; a hub reaches others through the hubs connected to it. */
  private reachableInstances (): ReadonlySet<InstanceId> {
    if (!this.isReachStale) return this.reached
    this.isReachStale = false
    const now = this.dependencies.clock.now()
    const { reached: before, reachedDirectly: directlyBefore } = this
    const neighbours = this.neighbours()
    this.reachedDirectly = new Set(neighbours)
    this.reached = this.isMesh ? new Set(neighbours) : this.presence.reachableFrom(neighbours, this.isHub ? 1 : 2)
    for (const instance of before) {
      // Nothing is recorded for an instance that was connected directly: `lastReachableAt` uses the time of its last frame.
      if (!this.reached.has(instance) && !directlyBefore.has(instance)) this.lostAt.set(instance, now)
    }
    return this.reached
  }
}
