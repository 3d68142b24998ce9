/** Decides which engines' loads this instance owns, claims the load ownership in the store, and runs a loader for each of these engines. */
import type { Clock, DeletingObjectStore, EndpointId, InstanceId, Logger } from '@limpetwinch/core'
import { rendezvousWeight } from '@limpetwinch/decisions'
import { Backoff } from '@limpetwinch/entry'
import type { AcceptedConfiguration } from '../cluster-state/accepted-configuration.js'
import type { StoreHealth } from '../cluster-state/store-health.js'
import { STREAM_LIFETIME_MILLISECONDS } from '../streams/software-versions.js'
import type { EndpointDirectory } from '../endpoints/endpoint-directory.js'
import { loadOwnerPath } from '../members/cluster-objects.js'
import type { LoadOwner } from '../members/cluster-objects.js'
import { isNamedBy, namesForClaim } from '../members/engine-names.js'
import type { MemberList } from '../members/member-list.js'
import type { AdapterKey, Endpoint, EngineShape, ServiceName } from '../routes/configuration.js'
import type { EngineClaims } from '../routing/stream-beginnings.js'
import { EndpointLoader } from './endpoint-loader.js'
import type { LoaderDependencies } from './loader-dependencies.js'

/** Interval between two checks of which engines this instance owns or should claim. */
const CHECK_MILLISECONDS = 300
/** Instances discover each other within this time after the first listing. Claims made earlier would all go to the instance that started first. */
const DISCOVERY_MILLISECONDS = 1_500
/** How late the previous load owner may learn that it lost the ownership; the new load owner waits this long in addition to the lease. */
const LEASE_MARGIN_MILLISECONDS = 800
/**
 * How long a load owner must be unreachable before another instance claims its engines. A host whose instance was stopped or killed
 * usually runs a new one within about two seconds. The new instance continues with the host's engines at once, while any other
 * instance would have to wait a lease before its first order. The grace period delays the claim if the host is lost for good. If
 * the host returns, the grace period saves a lease during which nothing would be loaded.
 */
const RESTART_GRACE_MILLISECONDS = 2_500
/**
 * How long a reachable load owner must have lost its path to the engines of a service before another instance claims them. A claim
 * costs a lease without loads, more than a short cut does.
 */
const CUT_OFF_GRACE_MILLISECONDS = 1_000
/**
 * Delay before an instance takes back engines of its data centre, counted from the time at which it may claim engines. By then it is
 * connected to all peers and has received their load queues.
 */
const TAKE_BACK_AFTER_MILLISECONDS = 2_000
/**
 * Longest wait for an empty load queue before an engine is taken back. The queue of a busy engine is never empty, and a network
 * partition would leave the engine with a load owner in another data centre.
 */
const TAKE_BACK_LATEST_MILLISECONDS = 15_000
/** Bound on the drift and correction of a host's wall clock, subtracted from the age of a claim. */
const CLOCK_MARGIN_MILLISECONDS = 500
/** A claim whose wall clock time is further than this from the present, in either direction, counts as made well over a lease ago. */
const CERTAINLY_OLD_MILLISECONDS = 30_000
/**
 * Time after which the load owner object of an engine that has left is deleted; not at once, since an engine may return under the same id, and
 * a process that starts learns from the object which software version streams may have begun at.
 */
const DELETE_ORPHANED_AFTER_MILLISECONDS = STREAM_LIFETIME_MILLISECONDS
/** If endpoints do not check fencing tokens, an instance without a response from the store for this share of a lease stops sending orders. */
const STORE_SILENCE_SHARE = 0.5

/** Delays, in milliseconds, before a loader that failed starts again. */
const RESTART_DELAYS = { first: 500, largest: 10_000 }

/** Dependencies of the load ownership. */
export interface LoadOwnershipDependencies {
  readonly store: DeletingObjectStore
  readonly health: StoreHealth
  readonly clock: Clock
  readonly logger: Logger
  readonly members: MemberList
  readonly directory: EndpointDirectory
  readonly configuration: AcceptedConfiguration
  /** Time for which a new load owner sends no orders after the previous one learned that it lost the ownership. */
  readonly leaseMilliseconds: number
  /** Whether endpoints check fencing tokens, and so refuse orders of an earlier load owner. */
  readonly fencedEndpoints: boolean
  /** @returns whether an instance, this one or another, reaches the endpoints of a service over its own links; orders go over no others */
  readonly reachesService: (instance: InstanceId, service: ServiceName) => boolean
  /** @returns whether the endpoint has asked this instance to back off; it gets no orders either */
  readonly isBackingOff: (endpoint: EndpointId) => boolean
}

/** A loader, and the controller that stops it. */
interface Running {
  readonly loader: EndpointLoader
  readonly ending: AbortController
}

/** A claim of this process, by which a lease is counted from its monotonic time or later. */
interface Claim {
  readonly token: LoadOwner['token']
  readonly madeBefore: number
}

/** Load ownership of this instance: the engines whose loads it orders. */
export class LoadOwnership {
  /** What the engine router has to know of the load owners. */
  readonly claimsOfEngines: EngineClaims = {
    hasLoadOwner: (endpoint) => this.loadOwnerOf(endpoint) !== undefined,
    isNamed: (endpoint) => this.isNamed(endpoint)
  }

  private readonly dependencies: LoadOwnershipDependencies
  private readonly loaderDependencies: Omit<LoaderDependencies, 'mayOrder' | 'onLost' | 'holder'>
  private readonly owners = new Map<EndpointId, LoadOwner>()
  private readonly running = new Map<EndpointId, Running>()
  /** Monotonic time at which an engine with a load owner object was first found to have left. */
  private readonly endpointMissingSince = new Map<EndpointId, number>()
  /** Monotonic time at which an engine's load owner became unable to order; cleared while the store is unreachable. */
  private readonly ownerAbsentSince = new Map<EndpointId, number>()
  /** The last claim of each engine that this process is known to have made. */
  private readonly claims = new Map<EndpointId, Claim>()
  /** Engines whose claim by this process got no answer, so that it may have taken effect, or may still. */
  private readonly unansweredClaims = new Set<EndpointId>()
  /** Engines whose loader failed, with the time at which it may start again. */
  private readonly restartPostponed = new Map<EndpointId, { readonly delays: Backoff, readonly until: number }>()
  /** Monotonic time before which no order is sent. */
  private pausedUntil = -Infinity
  /** Monotonic time from which this instance may claim engines; undefined before the first listing of the members. */
  private claimsAllowedFrom: number | undefined
  private stopping = false

  constructor (dependencies: LoadOwnershipDependencies, loaderDependencies: Omit<LoaderDependencies, 'mayOrder' | 'onLost' | 'holder'>) {
    this.dependencies = dependencies
    this.loaderDependencies = loaderDependencies
    dependencies.directory.onChange((endpoint, change) => {
      if (change === 'restarted' || change === 'gone' || change === 'leaving') this.stopLoader(endpoint.id)
    })
  }

  /**
   * Applies a listing of the load owners in the store.
   *
   * @param revision - store revision of the listing; claims made after it are not part of the listing and are kept
   */
  apply (owners: readonly LoadOwner[], revision: number): void {
    const listed = new Map(owners.map((owner) => [owner.endpoint, owner]))
    for (const [id, { token }] of this.owners) if (!listed.has(id) && token <= revision) this.owners.delete(id)
    for (const [id, owner] of listed) {
      const known = this.owners.get(id)
      if (known !== undefined && known.token > owner.token) continue
      this.owners.set(id, owner)
      if (known?.token !== owner.token) this.ownerChanged(owner)
    }
  }

  /** @returns the load owner of an engine; undefined when there is none, it is unreachable, or it does not reach the engine's service */
  loadOwnerOf (endpoint: EndpointId): InstanceId | undefined {
    const owner = this.owners.get(endpoint)
    if (owner === undefined || !this.dependencies.members.isReachable(owner.holder)) return undefined
    return this.reachesServiceOf(endpoint, owner.holder) ? this.instanceOf(owner.holder) : undefined
  }

  /** @returns whether the store names the software version of the engine's entry; true for an engine that nobody ever owns, or whose claim is that of an earlier release */
  private isNamed (endpoint: Endpoint): boolean {
    if (this.shapeOf(endpoint) === undefined) return true
    const owner = this.owners.get(endpoint.id)
    return owner !== undefined && (owner.engine === undefined || isNamedBy(owner, endpoint))
  }

  /** @returns the loader of an engine that this instance owns */
  loader (endpoint: EndpointId): EndpointLoader | undefined {
    return this.running.get(endpoint)?.loader
  }

  /** Called when a peer has reported which requests it runs, so that slots may have become free. */
  runsEnded (): void {
    for (const { loader } of this.running.values()) loader.runsEnded()
  }

  /** Called when a newer version of an adapter was announced. */
  versionAnnounced (key: AdapterKey, version: number): void {
    for (const { loader } of this.running.values()) loader.versionAnnounced(key, version)
  }

  /**
   * Sends no order until the given time. After a process pause, another instance may own engines that this instance still takes for
   * its own.
   *
   * @param time - monotonic time, milliseconds
   */
  pauseUntil (time: number): void {
    this.pausedUntil = Math.max(this.pausedUntil, time)
  }

  /** Stops all loaders, and sends no order from now on. */
  stop (): void {
    this.stopping = true
    for (const id of [...this.running.keys()]) this.stopLoader(id)
  }

  /** Claims engines and keeps their loaders running until the signal is aborted. */
  async run (signal: AbortSignal): Promise<void> {
    const { clock, members } = this.dependencies
    while (!signal.aborted) {
      await clock.sleep(CHECK_MILLISECONDS, signal)
      if (!members.hasListing || this.stopping) continue
      // If the store is unreachable, this instance may be partitioned from its peers as well, and an unreachable owner may be running.
      if (!this.dependencies.health.reachable) this.ownerAbsentSince.clear()
      this.claimsAllowedFrom ??= clock.now() + DISCOVERY_MILLISECONDS
      for (const endpoint of this.dependencies.directory.all()) {
        const shape = this.shapeOf(endpoint)
        if (shape !== undefined && !endpoint.leaving) await this.checkEndpoint(endpoint, shape)
      }
      await this.deleteOrphanedOwners()
    }
    this.stop()
  }

  private shapeOf (endpoint: Endpoint): EngineShape | undefined {
    const shape = this.dependencies.configuration.current?.services.get(endpoint.service)?.engine
    return shape !== undefined && shape.adapterSlots > 0 ? shape : undefined
  }

  private async checkEndpoint (endpoint: Endpoint, shape: EngineShape): Promise<void> {
    const { members } = this.dependencies
    const owner = this.owners.get(endpoint.id)
    if (owner?.holder === members.self.name) {
      // Without the store, the engine is served under the earlier token rather than not at all.
      if (isOutdated(owner, endpoint) && this.dependencies.health.reachable) await this.claim(endpoint, owner)
      return this.startLoader(endpoint, this.owners.get(endpoint.id) ?? owner, shape)
    }
    const isOwnerReachable = owner !== undefined && members.isReachable(owner.holder)
    if (isOwnerReachable && this.reachesServiceOf(endpoint.id, owner.holder)) {
      this.ownerAbsentSince.delete(endpoint.id)
      if (this.shouldTakeBack(endpoint, owner)) await this.claim(endpoint, owner)
      return
    }
    if (owner !== undefined && !this.isOwnerLost(endpoint.id, isOwnerReachable ? CUT_OFF_GRACE_MILLISECONDS : RESTART_GRACE_MILLISECONDS)) return
    if (this.dependencies.clock.now() < (this.claimsAllowedFrom ?? Infinity) || this.preferredOwner(endpoint) !== members.self.name) return
    if (owner === undefined || await this.canReach(endpoint)) await this.claim(endpoint, owner)
  }

  /**
   * An engine may be owned by an instance of another data centre because its own data centre had no instance for a while. This
   * instance, in the engine's data centre, then takes the engine back. Otherwise, if that data centre were partitioned, no instance
   * that reaches the engine could order loads, and the engine would serve only the adapters it holds. Nothing is loaded for a lease
   * after a takeover, so the takeover waits for an empty load queue, but not indefinitely.
   *
   * @returns whether this instance should take over the engine now
   */
  private shouldTakeBack (endpoint: Endpoint, owner: LoadOwner): boolean {
    const { members, clock } = this.dependencies
    const since = this.claimsAllowedFrom ?? Infinity
    const ownerIsLocal = members.find(owner.holder)?.dataCentre === members.self.dataCentre
    if (endpoint.dataCentre !== members.self.dataCentre || ownerIsLocal || this.preferredOwner(endpoint) !== members.self.name) return false
    if (clock.now() < since + TAKE_BACK_AFTER_MILLISECONDS) return false
    const queueIsEmpty = (this.loaderDependencies.locations.line(endpoint.id)?.waiting.size ?? 0) === 0
    return queueIsEmpty || clock.now() > since + TAKE_BACK_LATEST_MILLISECONDS
  }

  /** @returns whether the load owner of the engine has been unable to order for longer than the grace period */
  private isOwnerLost (id: EndpointId, graceMilliseconds: number): boolean {
    const now = this.dependencies.clock.now()
    const since = this.ownerAbsentSince.get(id) ?? now
    this.ownerAbsentSince.set(id, since)
    return now - since >= graceMilliseconds
  }

  /** @returns whether the member of this name reaches the service of the engine over its own links */
  private reachesServiceOf (endpoint: EndpointId, name: string): boolean {
    const instance = this.instanceOf(name)
    const service = this.dependencies.directory.find(endpoint)?.service
    return instance === undefined || service === undefined || this.dependencies.reachesService(instance, service)
  }

  private instanceOf (name: string): InstanceId | undefined {
    const { members } = this.dependencies
    return name === members.self.name ? members.self.instance : members.find(name)?.instance
  }

  /**
   * Checks that this instance can reach an engine, before claiming the engine. If a data centre is partitioned, both its engines
   * and their load owner are unreachable from all others. If another instance claimed such an engine, nothing would be loaded: the
   * claimant cannot reach the engine, the previous owner has lost the ownership, and after the partition the lease must pass first.
   */
  private async canReach (endpoint: Endpoint): Promise<boolean> {
    const report = await this.loaderDependencies.control.report(endpoint.id, endpoint.address)
    if (report.isOk()) return true
    this.dependencies.logger.info('The load ownership of an engine was not claimed because the engine is unreachable.', {
      endpoint: endpoint.id, reason: report.error.message
    })
    this.ownerAbsentSince.set(endpoint.id, this.dependencies.clock.now())
    return false
  }

  /**
   * Chooses the preferred load owner by rendezvous hashing. Instances of the engine's own data centre take precedence: they can
   * still send orders to the engine when the data centres are partitioned from each other. Members that do not reach the engine's service
   * are passed over.
   *
   * @returns name of the member that should own the engine's loads; undefined without a live member
   */
  private preferredOwner (endpoint: Endpoint): string | undefined {
    const live = this.dependencies.members.live().filter(({ name }) => this.reachesServiceOf(endpoint.id, name))
    const local = live.filter((member) => member.dataCentre === endpoint.dataCentre)
    const candidates = local.length > 0 ? local : live
    let best: string | undefined
    let bestWeight = -1
    for (const { name } of candidates) {
      const weight = rendezvousWeight(endpoint.id, name)
      if (weight <= bestWeight) continue
      best = name
      bestWeight = weight
    }
    return best
  }

  private async claim (endpoint: Endpoint, before: LoadOwner | undefined): Promise<void> {
    const { store, members, logger } = this.dependencies
    // A renewal takes the engine from nobody: the wait after the claim that did is still due.
    const renewed = before?.holder === members.self.name ? before : undefined
    const previous = renewed === undefined ? before?.holder : renewed.previous
    const value = {
      holder: members.self.name,
      ...(previous === undefined ? {} : { previous }),
      claimedAt: renewed?.claimedAt ?? Date.now(),
      born: endpoint.born,
      ...namesForClaim(before, endpoint)
    }
    const written = await store.put({ path: loadOwnerPath(endpoint.id), ifVersion: before?.token ?? 0, value })
    const outcome = written.isOk() ? 'done' : written.error.kind
    logger.info('This instance tried to claim the load ownership of an engine.', {
      endpoint: endpoint.id, previous: before?.holder, token: written.isOk() ? written.value : undefined, outcome
    })
    if (written.isErr()) {
      if (written.error.outcome === 'unknown') this.unansweredClaims.add(endpoint.id)
      return
    }
    const token = written.value as LoadOwner['token']
    const claim = renewed === undefined ? { madeBefore: this.dependencies.clock.now() } : this.claimOf(renewed)
    this.unansweredClaims.delete(endpoint.id)
    if (claim !== undefined) this.claims.set(endpoint.id, { ...claim, token })
    const owner: LoadOwner = { ...value, endpoint: endpoint.id, previous, token }
    const known = this.owners.get(endpoint.id)
    if (known !== undefined && known.token > owner.token) return
    this.owners.set(endpoint.id, owner)
  }

  private startLoader (endpoint: Endpoint, owner: LoadOwner, shape: EngineShape): void {
    const current = this.running.get(endpoint.id)
    if (current !== undefined) {
      if (current.loader.token === owner.token && current.loader.endpoint.born === endpoint.born) return current.loader.applyShape(shape)
      this.stopLoader(endpoint.id)
    }
    const { clock, logger } = this.dependencies
    if (clock.now() < (this.restartPostponed.get(endpoint.id)?.until ?? -Infinity)) return
    const loader = new EndpointLoader(endpoint, owner.token, shape, {
      ...this.loaderDependencies,
      holder: this.dependencies.members.self.name,
      mayOrder: () => this.mayOrder(owner),
      onLost: (id, reason) => {
        logger.warn('An engine rejected the orders of this instance.', { endpoint: id, token: owner.token, reason })
        this.stopLoader(id)
        if (reason === 'stale-token') this.owners.delete(id)
      }
    })
    const ending = new AbortController()
    this.running.set(endpoint.id, { loader, ending })
    const notBefore = this.notBefore(owner)
    logger.info('This instance became the load owner of an engine.', {
      endpoint: endpoint.id, token: owner.token, inMilliseconds: Math.max(0, Math.round(notBefore - clock.now()))
    })
    void loader.run(notBefore, ending.signal).catch((cause: unknown) => {
      const inMilliseconds = this.postponeRestart(endpoint.id)
      logger.error('The loader of an engine failed and will be restarted.', {
        endpoint: endpoint.id, inMilliseconds, reason: cause instanceof Error ? cause.stack : String(cause)
      })
      this.stopLoader(endpoint.id)
    })
  }

  /**
   * Postpones the restart of a loader. A fault that occurs at every start would otherwise write to the log and send orders to the
   * engine three times a second.
   *
   * @returns the delay in milliseconds
   */
  private postponeRestart (endpoint: EndpointId): number {
    const delays = this.restartPostponed.get(endpoint)?.delays ?? new Backoff(RESTART_DELAYS, Math.random)
    const milliseconds = Math.round(delays.next())
    this.restartPostponed.set(endpoint, { delays, until: this.dependencies.clock.now() + milliseconds })
    return milliseconds
  }

  /**
   * The previous load owner may be partitioned or paused and still have orders in flight. It learns within the margin that it lost
   * the ownership, and for a lease after that no instance sends an order. Two instances therefore never order loads within the same
   * lease.
   *
   * @returns monotonic time before which this instance must not send orders to the engine
   */
  private notBefore (owner: LoadOwner): number {
    const { clock, members, leaseMilliseconds } = this.dependencies
    if (owner.previous === undefined || owner.previous === members.self.name) return clock.now()
    const separation = leaseMilliseconds + LEASE_MARGIN_MILLISECONDS
    const claim = this.claimOf(owner)
    if (claim !== undefined) return claim.madeBefore + separation
    // An earlier process of this host made the claim, so only the wall clock time of the claim is known. If the wall clock was set forward
    // after the claim, the claim looks older than it is, and a wait shortened by its age would be too short. Endpoints that check fencing
    // tokens refuse the previous owner from the first order of the new owner on, so a short wait does no harm there. With other
    // endpoints only the wait separates the two owners, so the full wait starts now.
    if (!this.dependencies.fencedEndpoints) return clock.now() + separation
    const age = Date.now() - owner.claimedAt
    if (Math.abs(age) > CERTAINLY_OLD_MILLISECONDS) return clock.now()
    return clock.now() + Math.min(separation, Math.max(0, separation + CLOCK_MARGIN_MILLISECONDS - Math.max(0, age)))
  }

  /**
   * A claim whose answer was lost is first known from a listing of the store, and was made before that. The time of an earlier claim says nothing
   * of it: another instance may have owned the engine in between.
   *
   * @returns the claim by which this process became the owner; undefined when an earlier process of this host made it
   */
  private claimOf ({ endpoint, token }: LoadOwner): Claim | undefined {
    const known = this.claims.get(endpoint)
    if (known?.token === token) return known
    if (!this.unansweredClaims.delete(endpoint)) return undefined
    const claim = { token, madeBefore: this.dependencies.clock.now() }
    this.claims.set(endpoint, claim)
    return claim
  }

  /** @returns whether the engine gets no orders because it has asked this instance to back off */
  isBackingOff (endpoint: EndpointId): boolean {
    return this.dependencies.isBackingOff(endpoint)
  }

  private mayOrder (owner: LoadOwner): boolean {
    const { clock, health, fencedEndpoints, leaseMilliseconds, isBackingOff } = this.dependencies
    const now = clock.now()
    if (isBackingOff(owner.endpoint)) return false
    if (this.stopping || now < this.pausedUntil || this.owners.get(owner.endpoint)?.token !== owner.token) return false
    // An endpoint that checks fencing tokens refuses orders of an owner that has lost the ownership without knowing it. An endpoint
    // that does not check them must receive no order from that owner, so the owner stops before any other instance may begin.
    return fencedEndpoints || health.millisecondsSinceAnswer(now) < leaseMilliseconds * STORE_SILENCE_SHARE
  }

  private ownerChanged (owner: LoadOwner): void {
    const current = this.running.get(owner.endpoint)
    if (current === undefined || current.loader.token === owner.token) return
    this.dependencies.logger.info('Another instance became the load owner of an engine.', {
      endpoint: owner.endpoint, holder: owner.holder, token: owner.token
    })
    this.stopLoader(owner.endpoint)
  }

  private stopLoader (id: EndpointId): void {
    this.running.get(id)?.ending.abort()
    this.running.delete(id)
  }

  private async deleteOrphanedOwners (): Promise<void> {
    const now = this.dependencies.clock.now()
    for (const owner of [...this.owners.values()]) {
      if (this.dependencies.directory.find(owner.endpoint) !== undefined) {
        this.endpointMissingSince.delete(owner.endpoint)
        continue
      }
      const since = this.endpointMissingSince.get(owner.endpoint) ?? now
      this.endpointMissingSince.set(owner.endpoint, since)
      if (owner.holder !== this.dependencies.members.self.name || now - since < DELETE_ORPHANED_AFTER_MILLISECONDS) continue
      const removed = await this.dependencies.store.remove(loadOwnerPath(owner.endpoint), owner.token)
      if (removed.isErr()) continue
      this.owners.delete(owner.endpoint)
      this.endpointMissingSince.delete(owner.endpoint)
      this.ownerAbsentSince.delete(owner.endpoint)
      this.claims.delete(owner.endpoint)
      this.unansweredClaims.delete(owner.endpoint)
    }
  }
}

/** @returns whether the engine has to be claimed again: the claim is that of an earlier incarnation, or does not name what the engine runs */
function isOutdated (owner: LoadOwner, endpoint: Endpoint): boolean {
  return isOfEarlierIncarnation(owner, endpoint) || !isNamedBy(owner, endpoint)
}

/**
 * An engine that starts again under its id has forgotten fencing tokens and counts from 0. Orders to its earlier incarnation that arrive late would pass
 * under the same token as soon as the count is the same; a newer token keeps them out from the first order that bears it.
 *
 * @returns whether the token was issued for an earlier incarnation of the engine
 */
function isOfEarlierIncarnation ({ born }: LoadOwner, endpoint: Endpoint): boolean {
  return born !== undefined && born < endpoint.born
}
