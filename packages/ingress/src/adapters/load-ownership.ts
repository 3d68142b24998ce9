/** Decides which engines' loads this instance orders, claims them in the store, and runs a loader for each. */
import type { Clock, DeletingObjectStore, EndpointId, InstanceId, Logger } from '@limpetwinch/core'
import { rendezvousWeight } from '@limpetwinch/decisions'
import { Backoff } from '@limpetwinch/entry'
import type { AcceptedConfiguration } from '../cluster-state/accepted-configuration.js'
import type { StoreHealth } from '../cluster-state/store-health.js'
import type { EndpointDirectory } from '../endpoints/endpoint-directory.js'
import { loadOwnerPath } from '../members/cluster-objects.js'
import type { LoadOwner } from '../members/cluster-objects.js'
import type { MemberList } from '../members/member-list.js'
import type { AdapterKey, Endpoint, EngineShape } from '../routes/configuration.js'
import { EndpointLoader } from './endpoint-loader.js'
import type { LoaderDependencies } from './loader-dependencies.js'

const CHECK_MILLISECONDS = 300
/** Instances find each other in this time after the first is listed; claims made before would go to whoever came first. */
const DISCOVERY_MILLISECONDS = 1_500
/** Added to the lease: how late the holder before may have heard that it holds no more. */
const LEASE_MARGIN_MILLISECONDS = 800
/**
 * A host whose instance is stopped or killed mostly has another one within some two seconds. It goes on at once with the
 * engines that it ordered; anybody else would have to wait a lease before its first order. So a claim waits for so long,
 * which costs as much where the host is lost for good, and saves a lease without loads where it is not.
 */
const RESTART_GRACE_MILLISECONDS = 2_500
/** Before an instance takes back engines of its data centre: connections to all peers are there by then, and lines were told. */
const TAKE_BACK_AFTER_MILLISECONDS = 2_000
/** It waits no longer than this for a moment without a line: a busy engine has none, and a cut would find it ordered from elsewhere. */
const TAKE_BACK_LATEST_MILLISECONDS = 15_000
/** A host's time of day drifts and is corrected by less than this; a claim's age is taken to be less by it. */
const CLOCK_MARGIN_MILLISECONDS = 500
/** A claim this old was made long before the lease, whatever the clocks of two hosts say. */
const CERTAINLY_OLD_MILLISECONDS = 30_000
/** Holder objects of engines that are gone are deleted after this; an engine may come back under its id before. */
const DELETE_ORPHANED_AFTER_MILLISECONDS = 20_000
/** Where endpoints do not check tokens, an instance that has heard nothing from the store for this part of a lease stops. */
const STORE_SILENCE_SHARE = 0.5

/** A loader that failed starts again after these. */
const RESTART_DELAYS = { first: 500, largest: 10_000 }

/** What the duty needs. */
export interface LoadOwnershipDependencies {
  readonly store: DeletingObjectStore
  readonly health: StoreHealth
  readonly clock: Clock
  readonly logger: Logger
  readonly members: MemberList
  readonly directory: EndpointDirectory
  readonly configuration: AcceptedConfiguration
  readonly leaseMilliseconds: number
  readonly fencedEndpoints: boolean
}

interface Running {
  readonly loader: EndpointLoader
  readonly ending: AbortController
}

/** The engines whose loads this instance orders. */
export class LoadOwnership {
  private readonly dependencies: LoadOwnershipDependencies
  private readonly loaderDependencies: Omit<LoaderDependencies, 'mayOrder' | 'onLost' | 'holder'>
  private readonly owners = new Map<EndpointId, LoadOwner>()
  private readonly running = new Map<EndpointId, Running>()
  private readonly endpointMissingSince = new Map<EndpointId, number>()
  /** Since when an engine's holder has not been heard, while the store was. */
  private readonly ownerAbsentSince = new Map<EndpointId, number>()
  /** Claims of this process, by monotonic time. */
  private readonly claimedAt = new Map<EndpointId, number>()
  /** Engines whose loader failed, and when it may start again. */
  private readonly restartPostponed = new Map<EndpointId, { readonly pauses: Backoff, readonly until: number }>()
  private pausedUntil = -Infinity
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
   * Takes the holders as the store lists them.
   *
   * @param revision - the store's, of the listing; it says nothing of what was claimed later
   */
  apply (owners: readonly LoadOwner[], revision: number): void {
    const listed = new Map(owners.map((holder) => [holder.endpoint, holder]))
    for (const [id, { token }] of this.owners) if (!listed.has(id) && token <= revision) this.owners.delete(id)
    for (const [id, holder] of listed) {
      const known = this.owners.get(id)
      if (known !== undefined && known.token > holder.token) continue
      this.owners.set(id, holder)
      if (known?.token !== holder.token) this.ownerChanged(holder)
    }
  }

  /** @returns who orders the loads of an engine; undefined when nobody does or it is not heard */
  loadOwnerOf (endpoint: EndpointId): InstanceId | undefined {
    const holder = this.owners.get(endpoint)
    if (holder === undefined || !this.dependencies.members.isReachable(holder.holder)) return undefined
    if (holder.holder === this.dependencies.members.self.name) return this.dependencies.members.self.instance
    return this.dependencies.members.find(holder.holder)?.instance
  }

  /** @returns the loader of an engine that this instance orders */
  loader (endpoint: EndpointId): EndpointLoader | undefined {
    return this.running.get(endpoint)?.loader
  }

  /** A peer has told what runs. */
  runsEnded (): void {
    for (const { loader } of this.running.values()) loader.runsEnded()
  }

  /** A newer version of an adapter was announced. */
  versionAnnounced (key: AdapterKey, version: number): void {
    for (const { loader } of this.running.values()) loader.versionAnnounced(key, version)
  }

  /** Gives no order until the time: after a pause of the process another may hold what this one believes to hold. */
  pauseUntil (time: number): void {
    this.pausedUntil = Math.max(this.pausedUntil, time)
  }

  /** Gives no order from now on. */
  stop (): void {
    this.stopping = true
    for (const id of [...this.running.keys()]) this.stopLoader(id)
  }

  /** Looks after the duty until the signal ends it. */
  async run (signal: AbortSignal): Promise<void> {
    const { clock, members } = this.dependencies
    while (!signal.aborted) {
      await clock.sleep(CHECK_MILLISECONDS, signal)
      if (!members.hasListing || this.stopping) continue
      // Cut off, this instance hears nobody. What it has not heard meanwhile says nothing of its peers.
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
    const holder = this.owners.get(endpoint.id)
    if (holder?.holder === members.self.name) return this.startLoader(endpoint, holder, shape)
    if (holder !== undefined && members.isReachable(holder.holder)) {
      this.ownerAbsentSince.delete(endpoint.id)
      if (this.shouldTakeBack(endpoint, holder)) await this.claim(endpoint, holder)
      return
    }
    if (holder !== undefined && !this.isOwnerLost(endpoint.id)) return
    if (this.dependencies.clock.now() < (this.claimsAllowedFrom ?? Infinity) || this.preferredOwner(endpoint) !== members.self.name) return
    if (holder === undefined || await this.canReach(endpoint)) await this.claim(endpoint, holder)
  }

  /**
   * An engine that an instance of another data centre orders, since its own had none for a while, is taken back. Cut off
   * together they would otherwise serve only what the engine holds: nobody who reaches it could order its loads. Taking it
   * costs a lease without loads, so it waits for a moment in which none are asked for, but not for ever.
   */
  private shouldTakeBack (endpoint: Endpoint, holder: LoadOwner): boolean {
    const { members, clock } = this.dependencies
    const since = this.claimsAllowedFrom ?? Infinity
    const holdsItHere = members.find(holder.holder)?.dataCentre === members.self.dataCentre
    if (endpoint.dataCentre !== members.self.dataCentre || holdsItHere || this.preferredOwner(endpoint) !== members.self.name) return false
    if (clock.now() < since + TAKE_BACK_AFTER_MILLISECONDS) return false
    const isQuiet = (this.loaderDependencies.locations.line(endpoint.id)?.waiting.size ?? 0) === 0
    return isQuiet || clock.now() > since + TAKE_BACK_LATEST_MILLISECONDS
  }

  /** @returns whether the holder of the engine has been away for longer than a start takes */
  private isOwnerLost (id: EndpointId): boolean {
    const now = this.dependencies.clock.now()
    const since = this.ownerAbsentSince.get(id) ?? now
    this.ownerAbsentSince.set(id, since)
    return now - since >= RESTART_GRACE_MILLISECONDS
  }

  /**
   * When a data centre is cut off, its engines' holder is lost to all others, and the engines with it. Claimed from
   * elsewhere they would be ordered by nobody: neither by the claimant, which does not reach them, nor by their holder,
   * nor for a lease after the cut by anyone.
   */
  private async canReach (endpoint: Endpoint): Promise<boolean> {
    const report = await this.loaderDependencies.control.report(endpoint.id, endpoint.address)
    if (report.isOk()) return true
    this.dependencies.logger.info('The loads of an engine are not claimed, since it cannot be reached.', { endpoint: endpoint.id, reason: report.error.message })
    this.ownerAbsentSince.set(endpoint.id, this.dependencies.clock.now())
    return false
  }

  /** The instances of the engine's own data centre come first: they can still order it when data centres are apart. */
  private preferredOwner (endpoint: Endpoint): string | undefined {
    const live = this.dependencies.members.live()
    const near = live.filter((member) => member.dataCentre === endpoint.dataCentre)
    const candidates = near.length > 0 ? near : live
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
    const value = { holder: members.self.name, ...(before === undefined ? {} : { previous: before.holder }), claimedAt: Date.now() }
    const written = await store.put({ path: loadOwnerPath(endpoint.id), ifVersion: before?.token ?? 0, value })
    const outcome = written.isOk() ? 'done' : written.error.kind
    logger.info('The loads of an engine were claimed.', { endpoint: endpoint.id, previous: before?.holder, token: written.isOk() ? written.value : undefined, outcome })
    if (written.isErr()) return
    this.claimedAt.set(endpoint.id, this.dependencies.clock.now())
    const holder: LoadOwner = { endpoint: endpoint.id, holder: members.self.name, previous: before?.holder, claimedAt: value.claimedAt, token: written.value as LoadOwner['token'] }
    const known = this.owners.get(endpoint.id)
    if (known !== undefined && known.token > holder.token) return
    this.owners.set(endpoint.id, holder)
  }

  private startLoader (endpoint: Endpoint, holder: LoadOwner, shape: EngineShape): void {
    const present = this.running.get(endpoint.id)
    if (present !== undefined) {
      if (present.loader.token === holder.token && present.loader.endpoint.born === endpoint.born) return
      this.stopLoader(endpoint.id)
    }
    const { clock, logger } = this.dependencies
    if (clock.now() < (this.restartPostponed.get(endpoint.id)?.until ?? -Infinity)) return
    const loader = new EndpointLoader(endpoint, holder.token, shape, {
      ...this.loaderDependencies,
      holder: this.dependencies.members.self.name,
      mayOrder: () => this.mayOrder(holder),
      onLost: (id, reason) => {
        logger.warn('An engine took no order from this instance.', { endpoint: id, token: holder.token, reason })
        this.stopLoader(id)
        if (reason === 'stale-token') this.owners.delete(id)
      }
    })
    const ending = new AbortController()
    this.running.set(endpoint.id, { loader, ending })
    const notBefore = this.notBefore(holder)
    logger.info('This instance orders the loads of an engine.', { endpoint: endpoint.id, token: holder.token, inMilliseconds: Math.max(0, Math.round(notBefore - clock.now())) })
    void loader.run(notBefore, ending.signal).catch((cause: unknown) => {
      const inMilliseconds = this.postponeRestart(endpoint.id)
      logger.error('The loads of an engine stopped and start again.', { endpoint: endpoint.id, inMilliseconds, reason: cause instanceof Error ? cause.stack : String(cause) })
      this.stopLoader(endpoint.id)
    })
  }

  /** A fault that comes back at once would otherwise fill the log and the engine's orders three times a second. */
  private postponeRestart (endpoint: EndpointId): number {
    const pauses = this.restartPostponed.get(endpoint)?.pauses ?? new Backoff(RESTART_DELAYS, Math.random)
    const milliseconds = Math.round(pauses.next())
    this.restartPostponed.set(endpoint, { pauses, until: this.dependencies.clock.now() + milliseconds })
    return milliseconds
  }

  /**
   * The holder before may have been cut off or paused and have orders on the way. It hears of its loss within the
   * margin, and nobody orders for a lease after that: two instances never take turns within one lease.
   */
  private notBefore (holder: LoadOwner): number {
    const { clock, members, leaseMilliseconds } = this.dependencies
    if (holder.previous === undefined || holder.previous === members.self.name) return clock.now()
    const apart = leaseMilliseconds + LEASE_MARGIN_MILLISECONDS
    const claimedAt = this.claimedAt.get(holder.endpoint)
    if (claimedAt !== undefined) return claimedAt + apart
    // Claimed by an earlier process of this host: only its time of day is known.
    const age = Date.now() - holder.claimedAt
    if (Math.abs(age) > CERTAINLY_OLD_MILLISECONDS) return clock.now()
    // A clock that was set meanwhile would make the claim look older than it is. Endpoints that check tokens refuse the holder
    // before from the first order on; before others only the whole wait keeps the two apart.
    if (!this.dependencies.fencedEndpoints) return clock.now() + apart
    return clock.now() + Math.min(apart, Math.max(0, apart + CLOCK_MARGIN_MILLISECONDS - Math.max(0, age)))
  }

  private mayOrder (holder: LoadOwner): boolean {
    const { clock, health, fencedEndpoints, leaseMilliseconds } = this.dependencies
    const now = clock.now()
    if (this.stopping || now < this.pausedUntil || this.owners.get(holder.endpoint)?.token !== holder.token) return false
    // An endpoint that checks tokens refuses a holder that has lost its place without knowing. One that does not must
    // not hear from it at all, so it stops before anybody else may begin.
    return fencedEndpoints || health.millisecondsSinceAnswer(now) < leaseMilliseconds * STORE_SILENCE_SHARE
  }

  private ownerChanged (holder: LoadOwner): void {
    const present = this.running.get(holder.endpoint)
    if (present === undefined || present.loader.token === holder.token) return
    this.dependencies.logger.info('Another instance orders the loads of an engine.', { endpoint: holder.endpoint, holder: holder.holder, token: holder.token })
    this.stopLoader(holder.endpoint)
  }

  private stopLoader (id: EndpointId): void {
    this.running.get(id)?.ending.abort()
    this.running.delete(id)
  }

  private async deleteOrphanedOwners (): Promise<void> {
    const now = this.dependencies.clock.now()
    for (const holder of [...this.owners.values()]) {
      if (this.dependencies.directory.find(holder.endpoint) !== undefined) {
        this.endpointMissingSince.delete(holder.endpoint)
        continue
      }
      const since = this.endpointMissingSince.get(holder.endpoint) ?? now
      this.endpointMissingSince.set(holder.endpoint, since)
      if (holder.holder !== this.dependencies.members.self.name || now - since < DELETE_ORPHANED_AFTER_MILLISECONDS) continue
      const removed = await this.dependencies.store.remove(loadOwnerPath(holder.endpoint), holder.token)
      if (removed.isErr()) continue
      this.owners.delete(holder.endpoint)
      this.endpointMissingSince.delete(holder.endpoint)
      this.ownerAbsentSince.delete(holder.endpoint)
      this.claimedAt.delete(holder.endpoint)
    }
  }
}
