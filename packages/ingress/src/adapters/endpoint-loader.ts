/** Orders the loads of one engine: which adapters come, which make way, one order after the other. */
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
import { mostCached, SlotReservations } from './slot-reservations.js'
import { StoreTurn } from './store-turn.js'

/** Adapters that may be on their way to one engine; the engine takes no more at once. */
const MOST_IN_FLIGHT = 4
/** A load from the engine's cache: a tenth of one from the weight store. */
const CACHED_LOAD_MILLISECONDS = 25
/** Part of the expected time after which arrival is asked for first; asked no earlier, a faster store would never show. */
const FIRST_CHECK_SHARE = 0.95
/** After the load's time, the engine is asked this often whether it holds the adapter. */
const CONFIRM_MILLISECONDS = 40
/** A load that is not confirmed in this time was lost. */
const LOST_LOAD_MILLISECONDS = 3_000
const IDLE_CHECK_MILLISECONDS = 500
/** An engine that does not report is asked ever more rarely; one that starts again is ordered by a new loader. */
const REPORT_RETRY_DELAYS = { first: 500, largest: 4_000 }
/** Between questions whether a whole model has come. */
const MODEL_CHECK_MILLISECONDS = 200

/** The loads of one engine in one life, under one token. */
export class EndpointLoader {
  readonly endpoint: Endpoint
  readonly token: FencingToken
  private readonly shape: EngineShape
  private readonly dependencies: LoaderDependencies
  private readonly reservations: SlotReservations
  private readonly line = new LoadQueue<AdapterKey>()
  private readonly queuePace = new QueuePace()
  private readonly hidden: HiddenAdapters
  private readonly wake = new Wake()
  private readonly dispatcher: OrderDispatcher
  private readonly evictions: Evictions
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
    const { line, hidden } = this
    this.reservations = new SlotReservations(shape.adapterSlots, mostCached(shape.adapterSlots))
    this.publisher = new HeldAdapterPublisher(dependencies.clock, (now) => ({
      endpoint, token, reservations: this.reservations, hidden, waiting: line.keys(), waitMilliseconds: this.queuePace.waitMilliseconds(line.length, now)
    }), dependencies.publish)
    this.dispatcher = new OrderDispatcher(endpoint, token, this.reservations, dependencies, () => this.showSettledAdapters())
    this.evictions = new Evictions({ endpoint, reservations: this.reservations, line, hidden, dispatcher: this.dispatcher, publisher: this.publisher, loaderDependencies: dependencies })
  }

  /** Asks for an adapter, or says that it is still wanted. @param waiter - the request that waits; undefined for a further copy */
  requestLoad (key: AdapterKey, version: number, waiter: WaitingRequestFacts | undefined): void {
    const now = this.dependencies.clock.now()
    this.line.requestLoad(key, version, waiter, now)
    this.queueChanged(now)
    this.wake.notify()
  }

  /** Runs have ended: a slot that loads wait for may be free. */
  runsEnded (): void {
    if (this.line.length > 0) this.wake.notify()
  }

  /** A newer version was announced: a copy held here is replaced. */
  versionAnnounced (key: AdapterKey, version: number): void {
    if (this.reservations.held.has(key) && !this.reservations.holds(key, version)) this.requestLoad(key, version, undefined)
  }

  /**
   * Gives orders until the signal ends it.
   *
   * @param notBefore - monotonic time before which another instance's orders may still arrive
   */
  async run (notBefore: number, signal: AbortSignal): Promise<void> {
    const { clock } = this.dependencies
    await clock.sleep(Math.max(0, notBefore - clock.now()), signal)
    const pauses = new Backoff(REPORT_RETRY_DELAYS, Math.random)
    while (!signal.aborted && !await this.dispatcher.reconcile(signal)) await clock.sleep(pauses.next(), signal)
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
      const newest = this.dependencies.latestVersion(key)
      if (newest > slot.version) this.requestLoad(key, newest, undefined)
    }
  }

  /**
   * A replacement waits for runs of the old version, longer than a want without a waiter lasts. Were it dropped, the
   * adapter would stay hidden and its slot would be lost for good.
   */
  private resumeReplacements (): void {
    for (const key of this.hidden.keys('replacement')) {
      if (this.reservations.inFlight.has(key) || this.reservations.unloading.has(key)) continue
      const newest = this.dependencies.latestVersion(key)
      if (this.reservations.held.has(key) && !this.reservations.holds(key, newest)) this.line.requestLoad(key, newest, undefined, this.dependencies.clock.now())
      else this.hidden.show(key)
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
    if (this.line.length > 0 || this.reservations.unloading.size > 0) earliest = Math.min(earliest, now + CONFIRM_MILLISECONDS)
    return Math.max(1, earliest - now)
  }

  private expectedLoadTime (key: AdapterKey): number {
    return this.reservations.recentlyEvicted.has(key) ? CACHED_LOAD_MILLISECONDS : this.expectedStoreLoadTime() * FIRST_CHECK_SHARE
  }

  private expectedStoreLoadTime (): number {
    const { locations, storeLimiter: storePace, clock } = this.dependencies
    return storePace.expectedMilliseconds(locations.inFlight.count(clock.now()))
  }

  /** @returns whether something was done */
  private async step (signal: AbortSignal): Promise<boolean> {
    if (this.reservations.models.length === 0) {
      const model = this.modelToLoad()
      return model !== undefined && await this.loadModel(model, signal)
    }
    const now = this.dependencies.clock.now()
    this.line.expire(now)
    this.removeFulfilledLoads(now)
    this.hideOldVersions(now)
    this.queueChanged(now)
    // An engine that waits for the runs of an adapter that it is to drop takes no other order until they have ended.
    if (this.reservations.unloading.size > 0) return false
    if (this.line.length === 0 && this.hidden.keys('eviction').length === 0) return false
    if (!this.dependencies.mayOrder(this.endpoint.id)) return false
    if (await this.evictions.evictHidden(now, signal)) return true
    const requestLoad = this.line.next((key) => !this.mayLoad(key, now), (key) => this.reservations.recentlyEvicted.has(key), this.expectedStoreLoadTime(), now)
    if (requestLoad !== undefined) return await this.load(requestLoad, signal)
    return this.evictions.hideVictim(MOST_IN_FLIGHT - this.reservations.inFlight.size, now)
  }

  private modelToLoad (): ModelName | undefined {
    const fitting = this.shape.models.filter((model) => model.megabytes <= this.shape.megabytes)
    // Engines that come empty take up the models in turn, by what waits for them first.
    const wanted = this.line.keys().map((key) => modelOf(key))
    const { cachedModels } = this.reservations
    const affordable = fitting.filter(({ name }) => cachedModels.includes(name) || this.dependencies.isModelNeeded(this.endpoint, name))
    return (affordable.find((model) => wanted.includes(model.name)) ?? affordable[0])?.name
  }

  private async loadModel (model: ModelName, signal: AbortSignal): Promise<boolean> {
    const fromStore = !this.reservations.cachedModels.includes(model)
    if (!this.dependencies.mayOrder(this.endpoint.id) || (fromStore && !this.dependencies.modelLoadLimiter.tryTake(this.shape.modelLoadsPerSecond))) return false
    if (!await this.dispatcher.loadModel(model, signal)) return false
    while (!signal.aborted && await this.dispatcher.reconcile(signal) && this.reservations.models.length === 0) {
      await this.dependencies.clock.sleep(MODEL_CHECK_MILLISECONDS, signal)
    }
    return false
  }

  /** Wants for what is held are met; an adapter that was to leave and is wanted again stays. */
  private removeFulfilledLoads (now: number): void {
    for (const key of this.line.keys()) {
      const requestLoad = this.line.find(key)
      if (requestLoad === undefined || !this.reservations.holds(key, requestLoad.version) || this.reservations.unloading.has(key)) continue
      if (this.hidden.reasonOf(key) === 'replacement') continue
      this.hidden.show(key)
      // Nobody waits for it from here on; without this it would be the first to make way again, in the same step.
      this.reservations.wanted(key, now)
      this.line.met(key)
      this.publisher.publish()
    }
  }

  /**
   * Requests that reach the engine while it replaces an adapter are refused there; peers hear of it before. While the
   * old version still runs, the order waits as well: it would hold up the adapter until the last of those runs ended,
   * and new requests are sooner served by a copy on another engine.
   */
  private hideOldVersions (now: number): void {
    for (const key of this.line.keys()) {
      if (!this.reservations.held.has(key) || this.hidden.has(key) || this.reservations.inFlight.has(key)) continue
      this.hidden.hide(key, 'replacement', now)
      this.publisher.publish()
    }
  }

  private mayLoad (key: AdapterKey, now: number): boolean {
    const { inFlight, unloading: departing, held } = this.reservations
    const requestLoad = this.line.find(key)
    if (requestLoad === undefined || inFlight.has(key) || departing.has(key)) return false
    if (held.has(key) && !this.mayReplace(key, now)) {
      requestLoad.heldUpBy = 'runs of the old version'
      return false
    }
    if (!held.has(key) && !this.reservations.hasFree) {
      requestLoad.heldUpBy = 'slots in use'
      return false
    }
    if (this.reservations.recentlyEvicted.has(key) || this.hasStoreCapacity(now)) return true
    requestLoad.heldUpBy = 'travelling loads'
    return false
  }

  private mayReplace (key: AdapterKey, now: number): boolean {
    return now >= (this.hidden.noticeReceivedAt(key) ?? Infinity) && this.dependencies.workTracker.running(this.endpoint.id, key, now) === 0
  }

  private hasStoreCapacity (now: number): boolean {
    return this.reservations.inFlight.size < MOST_IN_FLIGHT && this.storeTurn.mayBegin(this.dependencies.locations.inFlight.count(now))
  }

  private async load (requestLoad: PendingLoad<AdapterKey>, signal: AbortSignal): Promise<boolean> {
    const { key } = requestLoad
    const version = Math.max(requestLoad.version, this.dependencies.latestVersion(key))
    const answer = await this.dispatcher.load(key, version, requestLoad, signal)
    const now = this.dependencies.clock.now()
    if (answer === 'accepted') {
      if (!this.reservations.recentlyEvicted.has(key)) this.storeTurn.loadBegan()
      this.reservations.ordered(key, version, now)
      this.line.met(key)
      this.queuePace.recordLoadStart(this.line.length, now)
      this.publisher.changed()
      return true
    }
    if (answer === 'holds') {
      this.loadCompleted(key, version)
      return true
    }
    return false
  }

  /** Asks for what should have come by now: an engine that holds the adapter says so at once, a report would be late. */
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
      const answer = await this.dispatcher.load(key, inFlight.version, this.line.find(key), signal)
      // While a load is on its way the engine accepts its repetition without counting it.
      if (answer === 'holds') this.loadCompleted(key, inFlight.version)
    }
  }

  private loadCompleted (key: AdapterKey, version: number): void {
    this.reservations.completed(key, version, this.dependencies.clock.now())
    this.hidden.show(key)
    const requestLoad = this.line.find(key)
    if (requestLoad !== undefined && this.reservations.holds(key, requestLoad.version)) this.line.met(key)
    this.publisher.publish()
  }

  /** After a report: nothing is hidden any more but what is still on its way in or out. */
  private showSettledAdapters (): void {
    const { inFlight, unloading: departing } = this.reservations
    for (const key of [...this.hidden.keys('eviction'), ...this.hidden.keys('replacement')]) {
      if (!inFlight.has(key) && !departing.has(key)) this.hidden.show(key)
    }
    this.publisher.publish()
  }

  private queueChanged (now: number): void {
    this.queuePace.recordLength(this.line.length, now)
    if (this.line.length !== this.publishedQueueLength) this.publisher.changed()
    this.publishedQueueLength = this.line.length
  }
}
