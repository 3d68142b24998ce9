/**
 * How notices reach the other instances, and how an instance knows that another one lives.
 *
 * In a small fleet every instance is connected to every other one. In a larger one a leaf has one connection, to a hub of its
 * data centre, which passes its notices on to the other hubs and leaves and brings it theirs.
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

const LOOK_MILLISECONDS = 250
/** Connections come and go in crowds; one word tells of all within this. */
const PRESENCE_MILLISECONDS = 50
/** Within this a leaf has found a hub, or the next one after it; until then nothing else has to be done about its absence. */
const AWAITED_MILLISECONDS = 900

/** What the overlay needs. */
export interface PeerOverlayDependencies {
  readonly self: { readonly name: string, readonly instance: InstanceId, readonly dataCentre: Member['dataCentre'] }
  readonly network: PeerLinks
  readonly clock: Clock
  readonly logger: Logger
}

/** Hears of a neighbour that has to be told what others were told before. */
export type NeighbourListener = (neighbour: InstanceId, role: OverlayRole) => void

/** The overlay as one instance takes part in it. */
export class PeerOverlay implements OverlayView {
  private readonly parts: PeerOverlayDependencies
  private readonly notices: NoticeRouter
  private readonly presence = new Presence()
  private readonly choice = new HubChoice()
  /** What connected instances said of themselves. */
  private readonly roles = new Map<InstanceId, OverlayRole>()
  private readonly leaving = new Set<InstanceId>()
  private readonly lostAt = new Map<InstanceId, number>()
  private readonly neighbourListeners: NeighbourListener[] = []
  private plan = new HubPlan([])
  private ownRole: OverlayRole = 'hub'
  private attachedTo: InstanceId | undefined
  private detachedAt = -Infinity
  private reached: ReadonlySet<InstanceId> = new Set()
  private reachedDirectly: ReadonlySet<InstanceId> = new Set()
  private targetsSet = ''
  private isReachOld = false
  private isPresenceDue = false

  constructor (parts: PeerOverlayDependencies) {
    this.parts = parts
    const { network, clock } = parts
    this.notices = new NoticeRouter(network, this, clock, parts.logger)
    network.onConnected(({ instance }) => this.connected(instance))
    network.onDisconnected((instance) => this.disconnected(instance))
    network.onEndEvidence((instance) => this.avoid(instance))
    network.onHeartbeat((from, { frame }) => { if (frame.leaving) this.noteLeaving(from) })
    network.onNotice('overlay-role', (from, { role }) => this.takeRole(from, role))
    network.onNotice('overlay-presence', (from, frame) => {
      this.presence.update(from, frame)
      this.isReachOld = true
    })
  }

  /** The process of this instance. */
  get self (): InstanceId {
    return this.parts.self.instance
  }

  /** The hub that this leaf is attached to. */
  get ownHub (): InstanceId | undefined {
    return this.attachedTo
  }

  /** Whether this instance passes on what others say. */
  get isHub (): boolean {
    return this.ownRole === 'hub'
  }

  /** Whether this instance hears the others: as a hub by itself, as a leaf over its hub. */
  get isAttached (): boolean {
    return this.isHub || this.attachedTo !== undefined
  }

  /** Whether this instance is a leaf that has lost its hub a moment ago, or has none yet. */
  get isAwaitingHub (): boolean {
    return !this.isAttached && this.parts.clock.now() - this.detachedAt < AWAITED_MILLISECONDS
  }

  /** Whether notices go straight from each instance to each other one. */
  get isMesh (): boolean {
    return this.plan.isMesh && this.neighboursOf('leaf').length === 0
  }

  /** Within this a notice has reached all others, and their answer is here. */
  get noticeRoundTripMilliseconds (): number {
    return this.notices.noticeRoundTripMilliseconds
  }

  /** Leaves that this instance passes notices on to. */
  get leafCount (): number {
    return this.neighboursOf('leaf').length
  }

  /** @returns instances with a connection to this one */
  neighbours (): readonly InstanceId[] {
    return this.parts.network.connected()
  }

  /** @returns the neighbours of a role; one that has not said what it is counts as a hub */
  neighboursOf (role: OverlayRole): readonly InstanceId[] {
    return this.neighbours().filter((instance) => (this.roles.get(instance) ?? 'hub') === role)
  }

  /** @returns whether the neighbour is a leaf of this hub */
  isLeaf (neighbour: InstanceId): boolean {
    return this.roles.get(neighbour) === 'leaf'
  }

  /** @returns the hub that is connected to the instance */
  hubOf (instance: InstanceId): InstanceId | undefined {
    return this.neighboursOf('hub').find((hub) => this.presence.isConnected(hub, instance))
  }

  /** Calls the listener when a neighbour has joined that has heard nothing from here yet. */
  onNeighbour (listener: NeighbourListener): void {
    this.neighbourListeners.push(listener)
  }

  /** Takes the members as they are written down. */
  apply (members: readonly Member[]): void {
    this.plan = new HubPlan(members)
    const known = new Set(members.map(({ instance }) => instance))
    for (const instance of this.lostAt.keys()) if (!known.has(instance)) this.lostAt.delete(instance)
    this.presence.keep(new Set([...known, ...this.neighbours()]))
    this.look()
  }

  /** @returns whether the instance can be reached, here or over hubs */
  isReachable (instance: InstanceId): boolean {
    return this.parts.network.isConnected(instance) || this.reach().has(instance)
  }

  /** @returns whether the instance has said that it takes no new duties */
  isLeaving (instance: InstanceId): boolean {
    return this.leaving.has(instance) || this.presence.isLeaving(instance)
  }

  /** @returns monotonic time until which an instance that is not present is known to have been there; undefined when it never was */
  lastReachableAt (instance: InstanceId): number | undefined {
    this.reach()
    const heard = this.parts.network.lastHeard(instance)
    const lost = this.lostAt.get(instance)
    if (heard === undefined || lost === undefined) return heard ?? lost
    return Math.max(heard, lost)
  }

  /** Tells all other instances. @param urgency - `patient` for what is told at a pace of its own and may be later by some of that */
  broadcast (frame: NoticeFrame, urgency: Urgency = 'urgent'): void {
    this.notices.broadcast(frame, urgency)
  }

  /** Tells one instance; lost when it cannot be reached. */
  notify (to: InstanceId, frame: NoticeFrame): void {
    this.notices.notify(to, frame)
  }

  /**
   * Tells a neighbour, and all behind it, what was said before it was there.
   *
   * @param frames - with those who made them
   */
  replay (neighbour: InstanceId, frames: Iterable<readonly [origin: InstanceId, frame: NoticeFrame]>): void {
    this.notices.replay(neighbour, frames)
  }

  /** Looks after the connections until the signal ends it. */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.parts.clock.sleep(LOOK_MILLISECONDS, signal)
      this.look()
    }
  }

  /** Sets whom to be connected to, by what this instance is now. */
  private look (): void {
    const { self, clock } = this.parts
    this.reach()
    const isHub = this.plan.isMesh || this.plan.isHub(self.name) || this.neighboursOf('leaf').length > 0
    const targets = isHub ? this.plan.hubs().filter(({ name }) => name !== self.name) : this.hubToAttach(clock.now())
    this.setTargets(targets, isHub)
    this.becomes(isHub ? 'hub' : 'leaf')
    if (!isHub) this.dropOtherHubs()
  }

  /** Each setting wakes the tasks that dial, so that nothing is set that stands already. */
  private setTargets (targets: readonly Member[], dialsBack: boolean): void {
    const described = targets.map(({ instance, address }) => `${instance} ${address}`).join()
    if (described === this.targetsSet) return
    this.targetsSet = described
    this.parts.network.setTargets(targets.map(({ instance, address, dataCentre }) => ({ instance, address, dataCentre, keep: true, dialsBack })))
  }

  private hubToAttach (now: number): readonly Member[] {
    const { self } = this.parts
    const chosen = this.choice.choose(this.plan.candidatesFor(self.name, self.dataCentre), ({ instance }) => instance === this.attachedTo, now)
    return chosen === undefined ? [] : [chosen]
  }

  private becomes (role: OverlayRole): void {
    if (role === this.ownRole) return
    this.ownRole = role
    this.attachedTo = undefined
    this.detachedAt = this.parts.clock.now()
    this.isReachOld = true
    this.parts.logger.info('The part of this instance in the overlay has changed.', { role, mesh: this.plan.isMesh })
    this.parts.network.notifyAll(this.neighbours(), { kind: 'overlay-role', role })
    if (role === 'hub') this.announceSoon()
    else for (const hub of this.neighboursOf('hub')) this.attach(hub)
  }

  /** A leaf is connected to one hub; the one before stays until the next has taken its place. */
  private dropOtherHubs (): void {
    const { network } = this.parts
    if (this.attachedTo === undefined) return
    for (const hub of this.neighboursOf('hub')) {
      if (hub !== this.attachedTo && hub !== this.choice.current?.instance) network.disconnect(hub, 'this instance is attached to another hub')
    }
  }

  private connected (instance: InstanceId): void {
    this.isReachOld = true
    // Also where all are hubs: the other one may know of more members, and waits for a hub to say that it is one.
    this.parts.network.notify(instance, { kind: 'overlay-role', role: this.ownRole })
    const role = this.roles.get(instance)
    // What was said on an earlier connection may be lost with it.
    if (role !== undefined) this.joined(instance, role)
    else if (this.plan.isMesh) this.takeRole(instance, 'hub')
    this.announceSoon()
  }

  private disconnected (instance: InstanceId): void {
    this.roles.delete(instance)
    this.presence.forget(instance)
    this.leaving.delete(instance)
    this.isReachOld = true
    this.announceSoon()
    if (instance !== this.attachedTo) return
    this.attachedTo = undefined
    this.detachedAt = this.parts.clock.now()
    this.avoid(instance)
  }

  private avoid (instance: InstanceId): void {
    const { current } = this.choice
    if (this.isHub || current?.instance !== instance) return
    this.choice.avoid(current, this.parts.clock.now())
    this.look()
  }

  private takeRole (from: InstanceId, role: OverlayRole): void {
    if (this.roles.get(from) === role) return
    this.roles.set(from, role)
    this.isReachOld = true
    if (role === 'leaf') this.look()
    if (!this.isHub && role === 'hub') this.attach(from)
    else this.joined(from, role)
  }

  private attach (hub: InstanceId): void {
    if (this.choice.current?.instance !== hub || this.attachedTo === hub) return
    this.attachedTo = hub
    this.isReachOld = true
    this.parts.logger.info('This instance is attached to a hub.', { hub })
    this.joined(hub, 'hub')
    this.dropOtherHubs()
  }

  private joined (neighbour: InstanceId, role: OverlayRole): void {
    if (role === 'leaf') this.replay(neighbour, this.presence.frames())
    if (role === 'leaf' || !this.plan.isMesh) this.announceSoon()
    for (const listener of this.neighbourListeners) listener(neighbour, role)
  }

  private noteLeaving (instance: InstanceId): void {
    if (this.leaving.has(instance)) return
    this.leaving.add(instance)
    this.announceSoon()
  }

  private announceSoon (): void {
    if (this.isPresenceDue || !this.isHub || this.isMesh) return
    this.isPresenceDue = true
    void this.parts.clock.sleep(PRESENCE_MILLISECONDS).then(() => {
      this.isPresenceDue = false
      const connected = this.neighbours()
      if (this.isHub) this.broadcast({ kind: 'overlay-presence', connected, leaving: connected.filter((instance) => this.leaving.has(instance)) })
    })
  }

  /** A leaf hears of others through its hub and the hubs behind it, a hub through the hubs that it is connected to. */
  private reach (): ReadonlySet<InstanceId> {
    if (!this.isReachOld) return this.reached
    this.isReachOld = false
    const now = this.parts.clock.now()
    const { reached: before, reachedDirectly: directlyBefore } = this
    const neighbours = this.neighbours()
    this.reachedDirectly = new Set(neighbours)
    this.reached = this.isMesh ? new Set(neighbours) : this.presence.reachableFrom(neighbours, this.isHub ? 1 : 2)
    for (const instance of before) {
      // Of one that was connected here its last frame says when it was there.
      if (!this.reached.has(instance) && !directlyBefore.has(instance)) this.lostAt.set(instance, now)
    }
    return this.reached
  }
}
