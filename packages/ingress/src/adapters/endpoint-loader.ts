/** Orders the loads of one engine, one order at a time: which adapters are loaded and which are evicted. */
import { QueuePace, LoadQueue } from '@limpetwinch/decisions'
import type { WaitingRequestFacts, PendingLoad } from '@limpetwinch/decisions'
import type { FencingToken } from '@limpetwinch/core'
import { Backoff, Wake } from '@limpetwinch/entry'
import { modelOf } from '../routes/configuration.js'
import type { AdapterKey, Endpoint, EngineShape, ModelName } from '../routes/configuration.js'
import { Evictions } from './evictions.js'
import { HiddenAdapters } from './hidden-adapters.js'
import { HeldAdapterPublisher } from './held-adapter-publisher.js'
import type { LoaderDependencies } from './loader-dependencies.js'
import { OrderDispatcher } from './order-dispatcher.js'
import { Replacements } from './replacements.js'
import { SlotReservations } from './slot-reservations.js'
import type { Room } from './slot-reservations.js'
import { StoreTurn } from './store-turn.js'

/** Most loads in progress on one engine; the engine accepts no more at once. */
const MAXIMUM_IN_FLIGHT = 4
/** Expected duration of a load from the engine's cache: a tenth of a load from the weight store. */
const CACHED_LOAD_MILLISECONDS = 25
/**
 * Share of the expected load time after which the engine is first asked whether a load is complete. If it were asked only after
 * the full time, a store that became faster would go unnoticed.
 */
const FIRST_CHECK_SHARE = 0.95
/** Interval between the checks whether the engine holds the adapter, once the expected load time has passed. */
const CONFIRM_MILLISECONDS = 40
/** A load that is not confirmed within this time is taken to be lost. */
const LOST_LOAD_MILLISECONDS = 3_000
/** Longest pause of the loader between two checks of its queue and of the engine, when nothing wakes it earlier. */
const IDLE_CHECK_MILLISECONDS = 500
/**
 * Delays, in milliseconds, between attempts to read the report of an engine that sends none. The delays grow with each attempt. An
 * engine that restarts gets a new loader, which begins with the first delay again.
 */
const REPORT_RETRY_DELAYS = { first: 500, largest: 4_000 }
/** Interval between the checks whether a whole model has been loaded. */
const MODEL_CHECK_MILLISECONDS = 200

/** Orders the loads of one incarnation of one engine under one fencing token. */
export class EndpointLoader {
  readonly endpoint: Endpoint
  readonly token: FencingToken
  private shape: EngineShape
  private readonly dependencies: LoaderDependencies
  private readonly reservations: SlotReservations
  private readonly queue = new LoadQueue<AdapterKey>()
  private readonly queuePace = new QueuePace()
  private readonly hidden: HiddenAdapters
  private readonly wake = new Wake()
  private readonly dispatcher: OrderDispatcher
  private readonly evictions: Evictions
  private readonly replacements: Replacements
  private readonly publisher: HeldAdapterPublisher
  private readonly storeTurn: StoreTurn
  private publishedQueueLength = 0

  constructor (endpoint: Endpoint, token: FencingToken, shape: EngineShape, dependencies: LoaderDependencies) {
    this.endpoint = endpoint
    this.token = token
    this.shape = shape
    this.dependencies = dependencies
    this.hidden = new HiddenAdapters(dependencies.noticeRoundTripMilliseconds)
    this.storeTurn = new StoreTurn(dependencies.storeLimiter)
    const { queue, hidden } = this
    this.reservations = new SlotReservations(shape)
    this.publisher = new HeldAdapterPublisher(dependencies.clock, (now) => ({
      endpoint, token, reservations: this.reservations, hidden, waiting: queue.keys(), waitMilliseconds: this.queuePace.waitMilliseconds(queue.length, now), waits: this.queuePace.waitsByPriority(queue.lengthsByPriority(now), queue.length, now)
    }), dependencies.publish)
    this.dispatcher = new OrderDispatcher(endpoint, token, this.reservations, dependencies, () => this.showSettledAdapters())
    const parts = { endpoint, reservations: this.reservations, queue, hidden, dispatcher: this.dispatcher, publisher: this.publisher, loaderDependencies: dependencies }
    this.evictions = new Evictions(parts)
    this.replacements = new Replacements(parts)
  }

  /**
   * Adds a load to the queue, or repeats the request for a pending load, which would otherwise expire.
   *
   * @param version - least version to load
   * @param waitingRequest - the request that waits for the adapter; undefined when none does, as for a further copy or a newer version
   */
  requestLoad (key: AdapterKey, version: number, waitingRequest: WaitingRequestFacts | undefined): void {
    const now = this.dependencies.clock.now()
    this.queue.requestLoad(key, version, waitingRequest, now)
    this.queueChanged(now)
    this.wake.notify()
  }

  /** Called with the engine's resources as the configuration in force states them. */
  applyShape (shape: EngineShape): void {
    if (shape === this.shape) return
    this.shape = shape
    this.reservations.applyShape(shape)
    this.wake.notify()
  }

  /** Called when requests on the engine have ended, so that a slot which pending loads wait for may be free. */
  runsEnded (): void {
    if (this.queue.length > 0) this.wake.notify()
  }

  /** Queues the replacement of a held adapter after a newer version was announced. */
  versionAnnounced (key: AdapterKey, version: number): void {
    if (this.reservations.held.has(key) && !this.reservations.holds(key, version)) this.requestLoad(key, version, undefined)
  }

  /**
   * Sends orders until the signal is aborted.
   *
   * @param notBefore - monotonic time before which the previous load owner's orders may still arrive
   */
  async run (notBefore: number, signal: AbortSignal): Promise<void> {
    const { clock } = this.dependencies
    await clock.sleep(Math.max(0, notBefore - clock.now()), signal)
    const delays = new Backoff(REPORT_RETRY_DELAYS, Math.random)
    while (!signal.aborted && !await this.dispatcher.reconcile(signal)) await clock.sleep(delays.next(), signal)
    this.replaceOldVersions()
    while (!signal.aborted) {
      await this.confirmArrivals(signal)
      await this.evictions.confirmDepartures(signal)
      this.resumeReplacements()
      if (signal.aborted) return
      if (await this.step(signal)) continue
      this.publisher.publishChanges()
      await this.wake.wait(this.nextCheckDelay(), signal)
    }
  }

  private replaceOldVersions (): void {
    for (const [key, slot] of this.reservations.held) {
      const latest = this.dependencies.latestVersion(key)
      if (latest > slot.version) this.requestLoad(key, latest, undefined)
    }
  }

  /**
   * Requests the pending replacements of old versions again. A replacement starts only after the requests on the old version have
   * ended, and a pending load without a waiting request would expire before that. The adapter would then stay hidden, and its slot
   * would be lost for good.
   */
  private resumeReplacements (): void {
    for (const key of this.hidden.keys('replacement')) {
      if (this.reservations.inFlight.has(key) || this.reservations.unloading.has(key)) continue
      const latest = this.dependencies.latestVersion(key)
      if (this.reservations.held.has(key) && !this.reservations.holds(key, latest)) {
        this.queue.requestLoad(key, latest, undefined, this.dependencies.clock.now())
      } else this.hidden.show(key)
    }
  }

  private nextCheckDelay (): number {
    const now = this.dependencies.clock.now()
    let earliest = Math.min(now + IDLE_CHECK_MILLISECONDS, this.publisher.dueAt)
    for (const [key, { orderedAt }] of this.reservations.inFlight) {
      const due = orderedAt + this.expectedLoadTime(key)
      earliest = Math.min(earliest, due > now ? due : now + CONFIRM_MILLISECONDS)
    }
    for (const key of this.hidden.keys('eviction')) {
      if (!this.reservations.unloading.has(key)) earliest = Math.min(earliest, this.hidden.noticeReceivedAt(key) ?? earliest)
    }
    if (this.queue.length > 0 || this.reservations.unloading.size > 0) earliest = Math.min(earliest, now + CONFIRM_MILLISECONDS)
    return Math.max(1, earliest - now)
  }

  private expectedLoadTime (key: AdapterKey): number {
    return this.reservations.recentlyEvicted.has(key) ? CACHED_LOAD_MILLISECONDS : this.expectedStoreLoadTime() * FIRST_CHECK_SHARE
  }

  private expectedStoreLoadTime (): number {
    const { locations, storeLimiter, clock } = this.dependencies
    return storeLimiter.expectedMilliseconds(locations.inFlight.count(clock.now()))
  }

  /**
   * Takes the next step: loads a model, evicts, loads an adapter or hides one for eviction.
   *
   * @returns whether another step may follow at once
   */
  private async step (signal: AbortSignal): Promise<boolean> {
    if (this.reservations.models.length === 0) {
      const model = this.modelToLoad()
      return model !== undefined && await this.loadModel(model, signal)
    }
    const now = this.dependencies.clock.now()
    this.queue.expire(now)
    this.removeFulfilledLoads(now)
    this.replacements.hideOldVersions(now)
    this.queueChanged(now)
    // While an engine waits for the last requests on an adapter that it unloads, it accepts no other order.
    if (this.reservations.unloading.size > 0) return false
    if (this.queue.length === 0 && this.hidden.keys('eviction').length === 0) return false
    if (!this.dependencies.mayOrder(this.endpoint.id)) return false
    if (await this.evictions.evictHidden(now, signal)) return true
    const room = this.reservations.room()
    const pendingLoad = this.queue.next(
      (key) => !this.mayLoad(key, room, now), (key) => this.reservations.recentlyEvicted.has(key), this.expectedStoreLoadTime(), now
    )
    if (pendingLoad !== undefined) return await this.load(pendingLoad, signal)
    return this.evictions.hideVictim(MAXIMUM_IN_FLIGHT - this.reservations.inFlight.size, now)
  }

  private modelToLoad (): ModelName | undefined {
    const fitting = this.shape.models.filter((model) => model.megabytes <= this.shape.megabytes)
    // A model with pending adapter loads comes first on an empty engine.
    const pendingModels = this.queue.keys().map((key) => modelOf(key))
    const { cachedModels } = this.reservations
    const affordable = fitting.filter(({ name }) => cachedModels.includes(name) || this.dependencies.isModelNeeded(this.endpoint, name))
    return (affordable.find((model) => pendingModels.includes(model.name)) ?? affordable[0])?.name
  }

  private async loadModel (model: ModelName, signal: AbortSignal): Promise<boolean> {
    const fromStore = !this.reservations.cachedModels.includes(model)
    if (!this.dependencies.mayOrder(this.endpoint.id) ||
      (fromStore && !this.dependencies.modelLoadLimiter.tryTake(this.shape.modelLoadsPerSecond))) return false
    if (!await this.dispatcher.loadModel(model, signal)) return false
    while (!signal.aborted && await this.dispatcher.reconcile(signal) && this.reservations.models.length === 0) {
      await this.dependencies.clock.sleep(MODEL_CHECK_MILLISECONDS, signal)
    }
    return false
  }

  /**
   * Removes pending loads of adapters that the engine already holds in the requested version. For example, an adapter was
   * hidden to be evicted and is then requested again: the adapter is offered again and not evicted.
   */
  private removeFulfilledLoads (now: number): void {
    for (const key of this.queue.keys()) {
      const pendingLoad = this.queue.find(key)
      if (pendingLoad === undefined || !this.reservations.holds(key, pendingLoad.version) || this.reservations.unloading.has(key)) continue
      if (this.hidden.reasonOf(key) === 'replacement') continue
      this.hidden.show(key)
      // The pending load protected the adapter from eviction and is removed here. Without the time of this load request, the adapter
      // would be the first to be evicted, in the same step.
      this.reservations.markRequested(key, now)
      this.queue.met(key)
      this.publisher.publish()
    }
  }

  private mayLoad (key: AdapterKey, room: Room, now: number): boolean {
    const { inFlight, unloading, held } = this.reservations
    const pendingLoad = this.queue.find(key)
    if (pendingLoad === undefined || inFlight.has(key) || unloading.has(key)) return false
    if (held.has(key) && !this.replacements.mayReplace(key, now)) {
      pendingLoad.heldUpBy = 'runs of the old version'
      return false
    }
    if (!held.has(key) && !this.reservations.fits(key, room)) {
      pendingLoad.heldUpBy = room.slots < 1 ? 'slots in use' : 'memory in use'
      return false
    }
    if (held.has(key) && inFlight.size < MAXIMUM_IN_FLIGHT && this.replacements.isRecalled(key, now)) return true
    if (this.reservations.recentlyEvicted.has(key) || this.hasStoreCapacity(now)) return true
    pendingLoad.heldUpBy = 'travelling loads'
    return false
  }

  private hasStoreCapacity (now: number): boolean {
    return this.reservations.inFlight.size < MAXIMUM_IN_FLIGHT && this.storeTurn.mayBegin(this.dependencies.locations.inFlight.count(now))
  }

  private async load (pendingLoad: PendingLoad<AdapterKey>, signal: AbortSignal): Promise<boolean> {
    const { key } = pendingLoad
    const version = Math.max(pendingLoad.version, this.dependencies.latestVersion(key))
    const answer = await this.dispatcher.load(key, version, pendingLoad, signal)
    const now = this.dependencies.clock.now()
    if (answer === 'accepted') {
      if (!this.reservations.recentlyEvicted.has(key)) this.storeTurn.loadBegan()
      this.reservations.ordered(key, version, now)
      this.queue.met(key)
      this.queuePace.recordLoadStart(this.queue.length, now, pendingLoad.priority)
      this.publisher.changed()
      return true
    }
    if (answer === 'holds') {
      this.loadCompleted(key, version)
      return true
    }
    return false
  }

  /**
   * Repeats the orders of loads that should be complete by now. An engine that holds the adapter answers `holds` at once, while its
   * report lags behind.
   */
  private async confirmArrivals (signal: AbortSignal): Promise<void> {
    const now = this.dependencies.clock.now()
    for (const [key, inFlight] of [...this.reservations.inFlight]) {
      if (signal.aborted || now < inFlight.orderedAt + this.expectedLoadTime(key)) continue
      if (inFlight.lastCheckedAt > inFlight.orderedAt && now < inFlight.lastCheckedAt + CONFIRM_MILLISECONDS) continue
      inFlight.lastCheckedAt = now
      if (now - inFlight.orderedAt > LOST_LOAD_MILLISECONDS || this.reservations.unloading.size > 0) {
        await this.dispatcher.reconcile(signal)
        return
      }
      if (!this.dependencies.mayOrder(this.endpoint.id)) return
      const answer = await this.dispatcher.load(key, inFlight.version, this.queue.find(key), signal)
      // While a load is in progress, the engine accepts the same order again without counting it.
      if (answer === 'holds') this.loadCompleted(key, inFlight.version)
    }
  }

  private loadCompleted (key: AdapterKey, version: number): void {
    this.reservations.completed(key, version, this.dependencies.clock.now())
    this.hidden.show(key)
    const pendingLoad = this.queue.find(key)
    if (pendingLoad !== undefined && this.reservations.holds(key, pendingLoad.version)) this.queue.met(key)
    // A newer version may have been announced while this one was being loaded.
    this.versionAnnounced(key, this.dependencies.latestVersion(key))
    this.publisher.publish()
  }

  /**
   * Called after a report was applied: shows all hidden adapters that are neither being loaded nor unloaded. Old versions stay hidden until they
   * are replaced: nothing else keeps their replacement pending.
   */
  private showSettledAdapters (): void {
    const { inFlight, unloading, held } = this.reservations
    for (const key of [...this.hidden.keys('eviction'), ...this.hidden.keys('replacement')]) {
      const isOld = this.hidden.reasonOf(key) === 'replacement' && held.has(key) && !this.reservations.holds(key, this.dependencies.latestVersion(key))
      if (!inFlight.has(key) && !unloading.has(key) && !isOld) this.hidden.show(key)
    }
    this.publisher.publish()
  }

  private queueChanged (now: number): void {
    this.queuePace.recordLength(this.queue.length, now)
    if (this.queue.length !== this.publishedQueueLength) this.publisher.changed()
    this.publishedQueueLength = this.queue.length
  }
}
