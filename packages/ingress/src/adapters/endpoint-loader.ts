/** Orders the loads of one engine: which adapters come, which make way, one order after the other. */
import type { EndpointId, FencingToken } from '@limpetwinch/core'
import { LinePace, LoadLine } from '@limpetwinch/decisions'
import type { EvictionPolicy, SlotView, WaiterFacts, Want } from '@limpetwinch/decisions'
import { Backoff, Wake } from '@limpetwinch/entry'
import type { AdapterKey, Endpoint, EngineShape, ModelName } from '../routes/configuration.js'
import type { LoadBoard } from '../routing/load-board.js'
import type { AdapterLocations } from './adapter-locations.js'
import type { EngineOrder, OrderAnswer } from './engine-control.js'
import { EngineOrders } from './engine-orders.js'
import type { OrderSurroundings } from './engine-orders.js'
import type { HeldStatement } from './held-notices.js'
import { HiddenAdapters } from './hidden-adapters.js'
import type { ModelLoadPace } from './model-load-pace.js'
import { mostCached, SlotLedger } from './slot-ledger.js'
import { UnansweredOrders } from './unanswered-orders.js'
import type { WeightStorePace } from './weight-store-pace.js'

/** Adapters that may be on their way to one engine; the engine takes no more at once. */
const MOST_IN_FLIGHT = 4
/** A load from the engine's cache: a tenth of one from the weight store. */
const CACHED_LOAD_MILLISECONDS = 25
/** Part of the expected time after which arrival is asked for first; asked no earlier, a faster store would never show. */
const FIRST_ASK_SHARE = 0.95
/** After the load's time, the engine is asked this often whether it holds the adapter. */
const CONFIRM_MILLISECONDS = 40
/** A load that is not confirmed in this time was lost. */
const LOST_LOAD_MILLISECONDS = 3_000
/** A load is for requests that wait; until peers have told that they run, nothing else may take its slot. */
const SETTLE_MILLISECONDS = 250
/** Reports are some hundred milliseconds old; one taken after this shows the last order. */
const REPORT_LAG_MILLISECONDS = 250
const LOOK_MILLISECONDS = 500
/** An engine that does not report is asked ever more rarely; one that starts again is ordered by a new loader. */
const REPORT_PAUSES = { first: 500, largest: 4_000 }
/** An engine that could not be connected to is left in peace for this. */
const SILENT_MILLISECONDS = 300
/** Between questions whether a whole model has come. */
const MODEL_LOOK_MILLISECONDS = 200
/** An engine that is still at work on an order meets the next one with a conflict; it is done within a few of these. */
const CONFLICT_PAUSE_MILLISECONDS = 25
const MOST_CONFLICT_PAUSES = 2
/** What is on its way and what waits is told no more often than this: each statement goes to all peers. */
const STATEMENT_MILLISECONDS = 30

/** What a loader needs. */
export interface LoaderSurroundings extends OrderSurroundings {
  readonly locations: AdapterLocations
  readonly board: LoadBoard
  readonly policy: EvictionPolicy
  readonly pace: ModelLoadPace
  readonly storePace: WeightStorePace
  /** @returns the newest announced version; 0 for none */
  readonly newestVersion: (key: AdapterKey) => number
  /** @returns whether one more engine with the model is worth a load from the weight store */
  readonly isModelNeeded: (endpoint: Endpoint, model: ModelName) => boolean
  /** @returns whether orders may be given now */
  readonly mayOrder: (endpoint: EndpointId) => boolean
  /** Tells all instances what the engine holds. */
  readonly publish: (statement: HeldStatement) => void
  /** Someone else orders this engine, or another one listens at its address. */
  readonly onLost: (endpoint: EndpointId, reason: OrderAnswer) => void
  /** The engine could not be reached. */
  readonly onSilent: (endpoint: EndpointId, reason: string) => void
}

/** The loads of one engine in one life, under one token. */
export class EndpointLoader {
  readonly endpoint: Endpoint
  readonly token: FencingToken
  private readonly shape: EngineShape
  private readonly around: LoaderSurroundings
  private readonly ledger: SlotLedger
  private readonly line = new LoadLine<AdapterKey>()
  private readonly linePace = new LinePace()
  private readonly hidden = new HiddenAdapters()
  private readonly unanswered = new UnansweredOrders()
  private readonly wake = new Wake()
  private readonly orders: EngineOrders
  private published = 0
  private publishedAt = -Infinity
  private hasNews = false
  private toldLength = 0
  private conflicts = 0

  constructor (endpoint: Endpoint, token: FencingToken, shape: EngineShape, around: LoaderSurroundings) {
    this.endpoint = endpoint
    this.token = token
    this.shape = shape
    this.around = around
    this.orders = new EngineOrders(endpoint, token, around)
    this.ledger = new SlotLedger(shape.adapterSlots, mostCached(shape.adapterSlots))
  }

  /** Asks for an adapter, or says that it is still wanted. @param waiter - the request that waits; undefined for a further copy */
  want (key: AdapterKey, version: number, waiter: WaiterFacts | undefined): void {
    const now = this.around.clock.now()
    this.line.ask(key, version, waiter, now)
    this.lineChanged(now)
    this.wake.notify()
  }

  /** Runs have ended: a slot that loads wait for may be free. */
  released (): void {
    if (this.line.length > 0) this.wake.notify()
  }

  /** A newer version was announced: a copy held here is replaced. */
  newer (key: AdapterKey, version: number): void {
    if (this.ledger.held.has(key) && !this.ledger.holds(key, version)) this.want(key, version, undefined)
  }

  /**
   * Gives orders until the signal ends it.
   *
   * @param notBefore - monotonic time before which another instance's orders may still arrive
   */
  async run (notBefore: number, signal: AbortSignal): Promise<void> {
    await this.around.clock.sleep(Math.max(0, notBefore - this.around.clock.now()), signal)
    const pauses = new Backoff(REPORT_PAUSES, Math.random)
    while (!signal.aborted && !await this.reconcile(signal)) await this.around.clock.sleep(pauses.next(), signal)
    this.replaceOldVersions()
    while (!signal.aborted) {
      await this.confirmArrivals(signal)
      await this.confirmDepartures(signal)
      this.resumeReplacements()
      if (signal.aborted) return
      if (await this.step(signal)) continue
      this.publishNews()
      await this.wake.wait(this.nextLook(), signal)
    }
  }

  private replaceOldVersions (): void {
    for (const [key, slot] of this.ledger.held) {
      const newest = this.around.newestVersion(key)
      if (newest > slot.version) this.want(key, newest, undefined)
    }
  }

  /**
   * A replacement waits for runs of the old version, longer than a want without a waiter lasts. Were it dropped, the
   * adapter would stay hidden and its slot would be lost for good.
   */
  private resumeReplacements (): void {
    for (const key of this.hidden.keys('replacement')) {
      if (this.ledger.inFlight.has(key) || this.ledger.departing.has(key)) continue
      const newest = this.around.newestVersion(key)
      if (this.ledger.held.has(key) && !this.ledger.holds(key, newest)) this.line.ask(key, newest, undefined, this.around.clock.now())
      else this.hidden.show(key)
    }
  }

  private nextLook (): number {
    const now = this.around.clock.now()
    let earliest = now + LOOK_MILLISECONDS
    for (const [key, { orderedAt }] of this.ledger.inFlight) {
      const due = orderedAt + this.travelTime(key)
      earliest = Math.min(earliest, due > now ? due : now + CONFIRM_MILLISECONDS)
    }
    for (const key of this.hidden.keys('eviction')) earliest = Math.min(earliest, this.hidden.heardAt(key) ?? earliest)
    if (this.line.length > 0) earliest = Math.min(earliest, now + CONFIRM_MILLISECONDS)
    if (this.hasNews) earliest = Math.min(earliest, this.publishedAt + STATEMENT_MILLISECONDS)
    return Math.max(1, earliest - now)
  }

  private travelTime (key: AdapterKey): number {
    return this.ledger.cached.has(key) ? CACHED_LOAD_MILLISECONDS : this.storeTravelTime() * FIRST_ASK_SHARE
  }

  private storeTravelTime (): number {
    const { locations, storePace, clock } = this.around
    return storePace.expectedMilliseconds(locations.inFlight.count(clock.now()))
  }

  /** @returns whether something was done */
  private async step (signal: AbortSignal): Promise<boolean> {
    if (this.ledger.models.length === 0) {
      const model = this.missingModel()
      return model !== undefined && await this.loadModel(model, signal)
    }
    const now = this.around.clock.now()
    this.line.expire(now)
    this.meetWants()
    this.hideOldVersions(now)
    this.lineChanged(now)
    // An engine that waits for the runs of an adapter that it is to drop takes no other order until they have ended.
    if (this.ledger.departing.size > 0) return false
    if (this.line.length === 0 && this.hidden.keys('eviction').length === 0) return false
    if (!this.around.mayOrder(this.endpoint.id)) return false
    if (await this.evictHidden(now, signal)) return true
    const want = this.line.next((key) => !this.mayLoad(key, now), (key) => this.ledger.cached.has(key), this.storeTravelTime(), now)
    if (want !== undefined) return await this.load(want, signal)
    return this.hideVictim(now)
  }

  private missingModel (): ModelName | undefined {
    const fitting = this.shape.models.filter((model) => model.megabytes <= this.shape.megabytes)
    // Engines that come empty take up the models in turn, by what waits for them first.
    const wanted = this.line.keys().map((key) => modelOf(key))
    const { cachedModels } = this.ledger
    const affordable = fitting.filter(({ name }) => cachedModels.includes(name) || this.around.isModelNeeded(this.endpoint, name))
    return (affordable.find((model) => wanted.includes(model.name)) ?? affordable[0])?.name
  }

  /** Wants for what is held are met; an adapter that was to leave and is wanted again stays. */
  private meetWants (): void {
    for (const key of this.line.keys()) {
      const want = this.line.find(key)
      if (want === undefined || !this.ledger.holds(key, want.version) || this.ledger.departing.has(key)) continue
      if (this.hidden.reasonOf(key) === 'replacement') continue
      this.hidden.show(key)
      this.line.met(key)
      this.publish()
    }
  }

  /**
   * Requests that reach the engine while it replaces an adapter are refused there; peers hear of it before. While the
   * old version still runs, the order waits as well: it would hold up the adapter until the last of those runs ended,
   * and new requests are sooner served by a copy on another engine.
   */
  private hideOldVersions (now: number): void {
    for (const key of this.line.keys()) {
      if (!this.ledger.held.has(key) || this.hidden.has(key) || this.ledger.inFlight.has(key)) continue
      this.hidden.hide(key, 'replacement', now)
      this.publish()
    }
  }

  private mayLoad (key: AdapterKey, now: number): boolean {
    const { inFlight, departing, held } = this.ledger
    const want = this.line.find(key)
    if (want === undefined || inFlight.has(key) || departing.has(key)) return false
    if (held.has(key) && !this.mayReplace(key, now)) {
      want.heldUpBy = 'runs of the old version'
      return false
    }
    if (!held.has(key) && !this.ledger.hasFree) {
      want.heldUpBy = 'slots in use'
      return false
    }
    if (this.ledger.cached.has(key) || this.hasStoreRoom(now)) return true
    want.heldUpBy = 'travelling loads'
    return false
  }

  private mayReplace (key: AdapterKey, now: number): boolean {
    return now >= (this.hidden.heardAt(key) ?? Infinity) && this.around.board.running(this.endpoint.id, key, now) === 0
  }

  private hasStoreRoom (now: number): boolean {
    const { locations, storePace } = this.around
    return this.ledger.inFlight.size < MOST_IN_FLIGHT && locations.inFlight.count(now) < storePace.limit
  }

  private async load (want: Want<AdapterKey>, signal: AbortSignal): Promise<boolean> {
    const { key } = want
    const version = Math.max(want.version, this.around.newestVersion(key))
    const answer = await this.order('load', key, version, signal)
    const now = this.around.clock.now()
    if (answer === 'accepted') {
      this.ledger.ordered(key, version, now)
      this.line.met(key)
      this.linePace.loadBegan(this.line.length, now)
      this.hasNews = true
      return true
    }
    if (answer === 'holds') {
      this.arrived(key, version)
      return true
    }
    return false
  }

  /**
   * Hides one more adapter where loads wait for a slot. Victims are hidden side by side and ahead of the orders: one
   * after the other, the notice alone would hold an engine to some ten loads a second.
   *
   * @returns whether one was hidden
   */
  private hideVictim (now: number): boolean {
    const { inFlight, departing, held } = this.ledger
    const waiting = this.line.keys().filter((key) => !inFlight.has(key) && !departing.has(key) && !held.has(key))
    const wanted = Math.min(waiting.length, MOST_IN_FLIGHT - inFlight.size)
    const coming = this.ledger.free + this.hidden.keys('eviction').length
    const [first] = waiting
    if (first === undefined || coming >= wanted) return false
    const victim = this.around.policy.victim(this.slotViews(now), first, now) as AdapterKey | undefined
    // Every slot is in use or on its way out; the wants stay and are looked at again when a run ends.
    if (victim === undefined) return false
    this.hidden.hide(victim, 'eviction', now)
    this.publish()
    return true
  }

  /** @returns whether an adapter whose notice was heard was looked after */
  private async evictHidden (now: number, signal: AbortSignal): Promise<boolean> {
    const due = this.hidden.keys('eviction').find((key) => !this.ledger.departing.has(key) && now >= (this.hidden.heardAt(key) ?? Infinity))
    if (due === undefined) return false
    if (!this.ledger.held.has(due) || this.around.board.running(this.endpoint.id, due, now) > 0) {
      // A request was on its way when the notice went out. An engine would let it end first, and its slot would block
      // the load for as long; another adapter makes way sooner.
      this.hidden.show(due)
      this.publish()
      return true
    }
    const answer = await this.order('unload', due, undefined, signal)
    if (answer === 'holds') {
      this.ledger.unloaded(due, true)
      this.hidden.show(due)
    } else if (answer === 'accepted') this.ledger.willUnload(due)
    // Whether it has left is not known without an answer: it stays hidden, and the order is given again.
    else if (answer === undefined) this.hidden.hide(due, 'eviction', this.around.clock.now())
    else if (!this.ledger.departing.has(due)) this.hidden.show(due)
    this.hasNews = true
    return answer === 'holds' || answer === 'accepted'
  }

  private slotViews (now: number): SlotView[] {
    return [...this.ledger.held].filter(([key]) => !this.hidden.has(key)).map(([key, slot]) => ({
      adapter: key,
      pins: this.around.board.running(this.endpoint.id, key, now) + (now - slot.loadedAt < SETTLE_MILLISECONDS ? 1 : 0),
      loadedAt: slot.loadedAt,
      lastUsedAt: slot.lastUsedAt,
      waiting: this.line.find(key) === undefined ? 0 : 1,
      otherCopies: Math.max(0, this.around.locations.holders(key).size - 1)
    }))
  }

  private async loadModel (model: ModelName, signal: AbortSignal): Promise<boolean> {
    const fromStore = !this.ledger.cachedModels.includes(model)
    if (!this.around.mayOrder(this.endpoint.id) || (fromStore && !this.around.pace.take(this.shape.modelLoadsPerSecond))) return false
    const order: EngineOrder = { operation: 'load', model, adapter: undefined, version: undefined, ifSequence: this.ledger.sequence }
    const answer = await this.give(order, undefined, signal)
    if (answer !== 'accepted') return false
    this.ledger.sequence += 1
    while (!signal.aborted && await this.reconcile(signal) && this.ledger.models.length === 0) {
      await this.around.clock.sleep(MODEL_LOOK_MILLISECONDS, signal)
    }
    return false
  }

  /** Asks for what should have come by now: an engine that holds the adapter says so at once, a report would be late. */
  private async confirmArrivals (signal: AbortSignal): Promise<void> {
    const now = this.around.clock.now()
    for (const [key, inFlight] of [...this.ledger.inFlight]) {
      if (signal.aborted || now < inFlight.orderedAt + this.travelTime(key)) continue
      if (inFlight.askedAt > inFlight.orderedAt && now < inFlight.askedAt + CONFIRM_MILLISECONDS) continue
      inFlight.askedAt = now
      if (now - inFlight.orderedAt > LOST_LOAD_MILLISECONDS) {
        await this.reconcile(signal)
        return
      }
      if (!this.around.mayOrder(this.endpoint.id)) return
      if (this.ledger.departing.size > 0) {
        await this.reconcile(signal)
        return
      }
      const answer = await this.order('load', key, inFlight.version, signal)
      // While a load is on its way the engine accepts its repetition without counting it.
      if (answer === 'holds') this.arrived(key, inFlight.version)
    }
  }

  private async confirmDepartures (signal: AbortSignal): Promise<void> {
    for (const key of [...this.ledger.departing]) {
      if (signal.aborted || !this.around.mayOrder(this.endpoint.id)) return
      if (this.around.board.running(this.endpoint.id, key, this.around.clock.now()) > 0) continue
      if (await this.order('unload', key, undefined, signal) !== 'holds') continue
      this.ledger.unloaded(key, false)
      this.hidden.show(key)
      this.hasNews = true
    }
  }

  private arrived (key: AdapterKey, version: number): void {
    this.ledger.completed(key, version, this.around.clock.now())
    this.hidden.show(key)
    const want = this.line.find(key)
    if (want !== undefined && this.ledger.holds(key, want.version)) this.line.met(key)
    this.publish()
  }

  private async order (operation: 'load' | 'unload', key: AdapterKey, version: number | undefined, signal: AbortSignal): Promise<OrderAnswer | undefined> {
    const adapter = key.slice(key.indexOf('/') + 1)
    const order = { operation, model: modelOf(key), adapter, version: version === 0 ? undefined : version, ifSequence: this.ledger.sequence }
    return await this.give(order, key, signal)
  }

  /** @returns the engine's answer; undefined when it gave none */
  private async give (order: EngineOrder, key: AdapterKey | undefined, signal: AbortSignal): Promise<OrderAnswer | undefined> {
    const { clock, onLost, onSilent } = this.around
    const { operation, version, ifSequence } = order
    const result = await this.orders.give(order, key === undefined ? undefined : this.line.find(key))
    if (result.isErr()) {
      if (result.error.outcome === 'not_run') {
        onSilent(this.endpoint.id, result.error.message)
        await clock.sleep(SILENT_MILLISECONDS, signal)
      } else if (key !== undefined) this.unanswered.add({ operation, key, version: version ?? 0, ifSequence })
      return undefined
    }
    const answer = result.value
    if (answer === 'stale-token' || answer === 'other-endpoint') onLost(this.endpoint.id, answer)
    if (answer === 'accepted' || (answer === 'holds' && operation === 'unload')) this.unanswered.clear()
    if (answer === 'conflict') await this.resolveConflict(signal)
    else this.conflicts = 0
    if (answer === 'refused') await this.reconcile(signal)
    return answer
  }

  private async resolveConflict (signal: AbortSignal): Promise<void> {
    if (this.unanswered.takeConflict(this.ledger, this.around.clock.now())) return
    this.conflicts += 1
    if (this.conflicts <= MOST_CONFLICT_PAUSES) return await this.around.clock.sleep(CONFLICT_PAUSE_MILLISECONDS, signal)
    this.conflicts = 0
    await this.reconcile(signal)
  }

  /** Reads what the engine holds, late enough that the report shows the last order. @returns whether it was read */
  private async reconcile (signal: AbortSignal): Promise<boolean> {
    await this.around.clock.sleep(REPORT_LAG_MILLISECONDS, signal)
    if (signal.aborted) return false
    const report = await this.orders.report()
    if (report === undefined) return false
    this.unanswered.reported(report.sequence)
    this.ledger.adopt(report, this.around.clock.now())
    for (const key of [...this.hidden.keys('eviction'), ...this.hidden.keys('replacement')]) {
      if (!this.ledger.inFlight.has(key) && !this.ledger.departing.has(key)) this.hidden.show(key)
    }
    this.publish()
    return true
  }

  private lineChanged (now: number): void {
    this.linePace.lengthChanged(this.line.length, now)
    if (this.line.length !== this.toldLength) this.hasNews = true
  }

  private publishNews (): void {
    if (this.hasNews && this.around.clock.now() - this.publishedAt >= STATEMENT_MILLISECONDS) this.publish()
  }

  private publish (): void {
    const now = this.around.clock.now()
    this.published += 1
    this.publishedAt = now
    this.toldLength = this.line.length
    this.hasNews = false
    this.around.publish({
      endpoint: this.endpoint,
      token: this.token,
      sequence: this.published,
      ledger: this.ledger,
      hidden: this.hidden,
      waiting: this.line.keys(),
      waitMilliseconds: this.linePace.waitMilliseconds(this.line.length, now)
    })
  }
}

function modelOf (key: AdapterKey): ModelName {
  const slash = key.indexOf('/')
  return (slash === -1 ? key : key.slice(0, slash)) as string as ModelName
}
