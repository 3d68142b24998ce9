/** Orders the loads of one engine: which adapters come, which make way, one order after the other. */
import type { EndpointId, FencingToken } from '@limpetwinch/core'
import type { EvictionPolicy, SlotView } from '@limpetwinch/decisions'
import { Backoff, Wake } from '@limpetwinch/entry'
import type { AdapterKey, Endpoint, EngineShape, ModelName } from '../routes/configuration.js'
import type { LoadBoard } from '../routing/load-board.js'
import type { AdapterLocations } from './adapter-locations.js'
import type { EngineOrder, OrderAnswer } from './engine-control.js'
import { EngineOrders } from './engine-orders.js'
import type { OrderSurroundings } from './engine-orders.js'
import type { ModelLoadPace } from './model-load-pace.js'
import type { HeldStatement } from './held-notices.js'
import { LoadWants } from './load-wants.js'
import type { Want } from './load-wants.js'
import { SlotLedger } from './slot-ledger.js'
import type { WeightStorePace } from './weight-store-pace.js'

/** Adapters that may be on their way to one engine; the engine takes no more at once. */
const MOST_IN_FLIGHT = 4
/** A load from the engine's cache: a tenth of one from the weight store. */
const CACHED_LOAD_MILLISECONDS = 25
/** Evicted adapters that an engine caches. */
const MOST_CACHED = 40
/** Part of the expected time after which arrival is asked for first; asked no earlier, a faster store would never show. */
const FIRST_ASK_SHARE = 0.95
/** After the load's time, the engine is asked this often whether it holds the adapter. */
const CONFIRM_MILLISECONDS = 40
/** A load that is not confirmed in this time was lost. */
const LOST_LOAD_MILLISECONDS = 3_000
/** Peers hear within this that an adapter leaves; a request that was on its way before has begun by then. */
const LEAVING_NOTICE_MILLISECONDS = 30
/** A load is for requests that wait; until peers have told that they run, nothing else may take its slot. */
const SETTLE_MILLISECONDS = 500
/** Reports are some hundred milliseconds old; one taken after this shows the last order. */
const REPORT_LAG_MILLISECONDS = 250
const LOOK_MILLISECONDS = 500
/** An engine that does not report is asked ever more rarely; one that starts again is ordered by a new loader. */
const REPORT_PAUSES = { first: 500, largest: 4_000 }
/** An engine that could not be connected to is left in peace for this. */
const SILENT_MILLISECONDS = 300
/** Between questions whether a whole model has come. */
const MODEL_LOOK_MILLISECONDS = 200

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
  private readonly wants = new LoadWants()
  private readonly hidden = new Set<AdapterKey>()
  private readonly wake = new Wake()
  private readonly orders: EngineOrders
  private published = 0

  constructor (endpoint: Endpoint, token: FencingToken, shape: EngineShape, around: LoaderSurroundings) {
    this.endpoint = endpoint
    this.token = token
    this.shape = shape
    this.around = around
    this.orders = new EngineOrders(endpoint, token, around)
    this.ledger = new SlotLedger(shape.adapterSlots, MOST_CACHED)
  }

  /** Asks for an adapter, or says that it is still wanted. */
  want (key: AdapterKey, version: number, waiting: boolean): void {
    this.wants.ask(key, version, waiting, this.around.clock.now())
    this.wake.notify()
  }

  /** A newer version was announced: a copy held here is replaced. */
  newer (key: AdapterKey, version: number): void {
    if (this.ledger.held.has(key) && !this.ledger.holds(key, version)) this.want(key, version, true)
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
      this.resumeReplacements()
      if (signal.aborted) return
      if (await this.step(signal)) continue
      await this.wake.wait(this.nextLook(), signal)
    }
  }

  private replaceOldVersions (): void {
    for (const [key, slot] of this.ledger.held) {
      const newest = this.around.newestVersion(key)
      if (newest > slot.version) this.want(key, newest, true)
    }
  }

  /**
   * A replacement waits for runs of the old version, longer than a want without a waiter lasts. Were it dropped, the
   * adapter would stay hidden and its slot would be lost for good.
   */
  private resumeReplacements (): void {
    for (const key of [...this.hidden]) {
      if (this.ledger.inFlight.has(key) || this.ledger.departing.has(key)) continue
      const newest = this.around.newestVersion(key)
      if (this.ledger.held.has(key) && !this.ledger.holds(key, newest)) this.wants.ask(key, newest, true, this.around.clock.now())
      else this.hidden.delete(key)
    }
  }

  private nextLook (): number {
    const now = this.around.clock.now()
    let earliest = now + LOOK_MILLISECONDS
    for (const [key, { orderedAt }] of this.ledger.inFlight) {
      const due = orderedAt + this.travelTime(key)
      earliest = Math.min(earliest, due > now ? due : now + CONFIRM_MILLISECONDS)
    }
    if (!this.wants.isEmpty) earliest = Math.min(earliest, now + CONFIRM_MILLISECONDS)
    return Math.max(1, earliest - now)
  }

  private travelTime (key: AdapterKey): number {
    if (this.ledger.cached.has(key)) return CACHED_LOAD_MILLISECONDS
    const { locations, storePace, clock } = this.around
    return storePace.expectedMilliseconds(locations.inFlight.count(clock.now())) * FIRST_ASK_SHARE
  }

  /** @returns whether something was done */
  private async step (signal: AbortSignal): Promise<boolean> {
    if (this.ledger.models.length === 0) {
      const model = this.missingModel()
      return model !== undefined && await this.loadModel(model, signal)
    }
    const want = this.nextWant()
    if (want === undefined) return false
    const { key } = want
    if (this.ledger.holds(key, want.version) && !this.hidden.has(key)) {
      this.wants.met(key)
      this.publish()
      return true
    }
    if (!this.around.mayOrder(this.endpoint.id)) return false
    if (this.ledger.held.has(key)) return await this.replace(key, want, signal)
    if (!this.ledger.hasFree) return await this.makeRoom(key, want, signal)
    return await this.load(key, want, signal)
  }

  private missingModel (): ModelName | undefined {
    const fitting = this.shape.models.filter((model) => model.megabytes <= this.shape.megabytes)
    // Engines that come empty take up the models in turn, by what waits for them first.
    const wanted = this.wants.keys().map((key) => modelOf(key))
    const { cachedModels } = this.ledger
    const affordable = fitting.filter(({ name }) => cachedModels.includes(name) || this.around.isModelNeeded(this.endpoint, name))
    return (affordable.find((model) => wanted.includes(model.name)) ?? affordable[0])?.name
  }

  private nextWant (): Want | undefined {
    const now = this.around.clock.now()
    const { inFlight, departing, cached } = this.ledger
    const want = this.wants.next((key) => inFlight.has(key) || departing.has(key), (key) => cached.has(key), now)
    if (want === undefined || cached.has(want.key)) return want
    if (inFlight.size < MOST_IN_FLIGHT && this.around.locations.inFlight.count(now) < this.around.storePace.limit) return want
    want.heldUpBy = 'travelling loads'
    return undefined
  }

  private async load (key: AdapterKey, want: Want, signal: AbortSignal): Promise<boolean> {
    const version = Math.max(want.version, this.around.newestVersion(key))
    const answer = await this.order('load', key, version === 0 ? undefined : version, signal)
    if (answer === 'accepted') {
      this.ledger.ordered(key, version, this.around.clock.now())
      this.wants.met(key)
      this.publish()
      return true
    }
    if (answer === 'holds') {
      this.arrived(key, version)
      return true
    }
    return false
  }

  /**
   * Requests that reach the engine while it replaces an adapter are refused there; peers hear of it before. While the
   * old version still runs, the order waits as well: it would hold up the adapter until the last of those runs ended,
   * and new requests are sooner served by a copy on another engine.
   */
  private async replace (key: AdapterKey, want: Want, signal: AbortSignal): Promise<boolean> {
    if (!this.hidden.has(key)) {
      this.hidden.add(key)
      this.publish()
      await this.around.clock.sleep(LEAVING_NOTICE_MILLISECONDS, signal)
    }
    if (this.around.board.running(this.endpoint.id, key, this.around.clock.now()) > 0) {
      want.heldUpBy = 'runs of the old version'
      return false
    }
    return await this.load(key, want, signal)
  }

  private async makeRoom (incoming: AdapterKey, want: Want, signal: AbortSignal): Promise<boolean> {
    const victim = this.around.policy.victim(this.slotViews(), incoming, this.around.clock.now()) as AdapterKey | undefined
    // Every slot is in use or on its way out; the want stays and is looked at again when a run ends.
    if (victim === undefined) {
      want.heldUpBy = 'slots in use'
      return false
    }
    this.hidden.add(victim)
    this.publish()
    await this.around.clock.sleep(LEAVING_NOTICE_MILLISECONDS, signal)
    if (this.around.board.running(this.endpoint.id, victim, this.around.clock.now()) > 0) {
      // A request was on its way when the notice went out. An engine would let it end first, and its slot would block
      // the load for as long; another adapter makes way sooner.
      this.hidden.delete(victim)
      this.publish()
      return false
    }
    const answer = await this.order('unload', victim, undefined, signal)
    if (answer === 'holds') this.ledger.unloaded(victim, true)
    if (answer === 'accepted') this.ledger.willUnload(victim)
    else this.hidden.delete(victim)
    this.publish()
    return answer === 'holds'
  }

  private slotViews (): SlotView[] {
    const now = this.around.clock.now()
    return [...this.ledger.held].filter(([key]) => !this.hidden.has(key)).map(([key, slot]) => ({
      adapter: key,
      pins: this.around.board.running(this.endpoint.id, key, now) + (now - slot.loadedAt < SETTLE_MILLISECONDS ? 1 : 0),
      loadedAt: slot.loadedAt,
      lastUsedAt: slot.lastUsedAt,
      waiting: this.wants.find(key) === undefined ? 0 : 1,
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
      const answer = await this.order('load', key, inFlight.version === 0 ? undefined : inFlight.version, signal)
      // While a load is on its way the engine accepts its repetition without counting it.
      if (answer === 'holds') this.arrived(key, inFlight.version)
    }
    await this.confirmDepartures(signal)
  }

  private async confirmDepartures (signal: AbortSignal): Promise<void> {
    for (const key of [...this.ledger.departing]) {
      if (signal.aborted || !this.around.mayOrder(this.endpoint.id)) return
      if (this.around.board.running(this.endpoint.id, key, this.around.clock.now()) > 0) continue
      if (await this.order('unload', key, undefined, signal) !== 'holds') continue
      this.ledger.unloaded(key, false)
      this.hidden.delete(key)
      this.publish()
    }
  }

  private arrived (key: AdapterKey, version: number): void {
    this.ledger.completed(key, version, this.around.clock.now())
    this.hidden.delete(key)
    const want = this.wants.find(key)
    if (want !== undefined && this.ledger.holds(key, want.version)) this.wants.met(key)
    this.publish()
  }

  private async order (operation: 'load' | 'unload', key: AdapterKey, version: number | undefined, signal: AbortSignal): Promise<OrderAnswer | undefined> {
    const adapter = key.slice(key.indexOf('/') + 1)
    return await this.give({ operation, model: modelOf(key), adapter, version, ifSequence: this.ledger.sequence }, this.wants.find(key), signal)
  }

  /** @returns the engine's answer; undefined when it gave none */
  private async give (order: EngineOrder, want: Want | undefined, signal: AbortSignal): Promise<OrderAnswer | undefined> {
    const { clock, onLost, onSilent } = this.around
    const result = await this.orders.give(order, want)
    if (result.isErr()) {
      if (result.error.outcome === 'not_run') {
        onSilent(this.endpoint.id, result.error.message)
        await clock.sleep(SILENT_MILLISECONDS, signal)
      }
      return undefined
    }
    if (result.value === 'stale-token' || result.value === 'other-endpoint') onLost(this.endpoint.id, result.value)
    if (result.value === 'conflict' || result.value === 'refused') await this.reconcile(signal)
    return result.value
  }

  /** Reads what the engine holds, late enough that the report shows the last order. @returns whether it was read */
  private async reconcile (signal: AbortSignal): Promise<boolean> {
    await this.around.clock.sleep(REPORT_LAG_MILLISECONDS, signal)
    if (signal.aborted) return false
    const report = await this.orders.report()
    if (report === undefined) return false
    this.ledger.adopt(report, this.around.clock.now())
    for (const key of [...this.hidden]) if (!this.ledger.inFlight.has(key) && !this.ledger.departing.has(key)) this.hidden.delete(key)
    this.publish()
    return true
  }

  private publish (): void {
    this.published += 1
    this.around.publish({ endpoint: this.endpoint, token: this.token, sequence: this.published, ledger: this.ledger, hidden: this.hidden })
  }
}

function modelOf (key: AdapterKey): ModelName {
  const slash = key.indexOf('/')
  return (slash === -1 ? key : key.slice(0, slash)) as string as ModelName
}
