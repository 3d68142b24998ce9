/** Orders the loads of one engine: which adapters come, which make way, one order after the other. */
import { QueuePace, LoadQueue } from '@limpetwinch/decisions'
import type { WaitingRequestFacts, PendingLoad } from '@limpetwinch/decisions'
import type { FencingToken } from '@limpetwinch/core'
import { Backoff, Wake } from '@limpetwinch/entry'
import { modelOf } from '../routes/configuration.js'
import type { AdapterKey, Endpoint, EngineShape, ModelName } from '../routes/configuration.js'
import { Evictions } from './evictions.js'
import { HiddenAdapters } from './hidden-adapters.js'
import { LoaderStatements } from './loader-statements.js'
import type { LoaderSurroundings } from './loader-surroundings.js'
import { OrderDesk } from './order-desk.js'
import { mostCached, SlotLedger } from './slot-ledger.js'
import { StoreTurn } from './store-turn.js'

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
const LOOK_MILLISECONDS = 500
/** An engine that does not report is asked ever more rarely; one that starts again is ordered by a new loader. */
const REPORT_PAUSES = { first: 500, largest: 4_000 }
/** Between questions whether a whole model has come. */
const MODEL_LOOK_MILLISECONDS = 200

/** The loads of one engine in one life, under one token. */
export class EndpointLoader {
  readonly endpoint: Endpoint
  readonly token: FencingToken
  private readonly shape: EngineShape
  private readonly around: LoaderSurroundings
  private readonly ledger: SlotLedger
  private readonly line = new LoadQueue<AdapterKey>()
  private readonly linePace = new QueuePace()
  private readonly hidden: HiddenAdapters
  private readonly wake = new Wake()
  private readonly desk: OrderDesk
  private readonly evictions: Evictions
  private readonly statements: LoaderStatements
  private readonly storeTurn: StoreTurn
  private knownLength = 0

  constructor (endpoint: Endpoint, token: FencingToken, shape: EngineShape, around: LoaderSurroundings) {
    this.endpoint = endpoint
    this.token = token
    this.shape = shape
    this.around = around
    this.hidden = new HiddenAdapters(around.noticeMilliseconds)
    this.storeTurn = new StoreTurn(around.storePace)
    const { line, hidden } = this
    this.ledger = new SlotLedger(shape.adapterSlots, mostCached(shape.adapterSlots))
    this.statements = new LoaderStatements(around.clock, (now) => ({
      endpoint, token, ledger: this.ledger, hidden, waiting: line.keys(), waitMilliseconds: this.linePace.waitMilliseconds(line.length, now)
    }), around.publish)
    this.desk = new OrderDesk(endpoint, token, this.ledger, around, () => this.showWhatStayed())
    this.evictions = new Evictions({ endpoint, ledger: this.ledger, line, hidden, desk: this.desk, statements: this.statements, around })
  }

  /** Asks for an adapter, or says that it is still wanted. @param waiter - the request that waits; undefined for a further copy */
  want (key: AdapterKey, version: number, waiter: WaitingRequestFacts | undefined): void {
    const now = this.around.clock.now()
    this.line.requestLoad(key, version, waiter, now)
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
    const { clock } = this.around
    await clock.sleep(Math.max(0, notBefore - clock.now()), signal)
    const pauses = new Backoff(REPORT_PAUSES, Math.random)
    while (!signal.aborted && !await this.desk.reconcile(signal)) await clock.sleep(pauses.next(), signal)
    this.replaceOldVersions()
    while (!signal.aborted) {
      await this.confirmArrivals(signal)
      await this.evictions.confirmDepartures(signal)
      this.resumeReplacements()
      if (signal.aborted) return
      if (await this.step(signal)) continue
      this.statements.publishChanges()
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
      if (this.ledger.held.has(key) && !this.ledger.holds(key, newest)) this.line.requestLoad(key, newest, undefined, this.around.clock.now())
      else this.hidden.show(key)
    }
  }

  private nextLook (): number {
    const now = this.around.clock.now()
    let earliest = Math.min(now + LOOK_MILLISECONDS, this.statements.dueAt)
    for (const [key, { orderedAt }] of this.ledger.inFlight) {
      const due = orderedAt + this.travelTime(key)
      earliest = Math.min(earliest, due > now ? due : now + CONFIRM_MILLISECONDS)
    }
    for (const key of this.hidden.keys('eviction')) {
      if (!this.ledger.departing.has(key)) earliest = Math.min(earliest, this.hidden.heardAt(key) ?? earliest)
    }
    if (this.line.length > 0 || this.ledger.departing.size > 0) earliest = Math.min(earliest, now + CONFIRM_MILLISECONDS)
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
    this.meetWants(now)
    this.hideOldVersions(now)
    this.lineChanged(now)
    // An engine that waits for the runs of an adapter that it is to drop takes no other order until they have ended.
    if (this.ledger.departing.size > 0) return false
    if (this.line.length === 0 && this.hidden.keys('eviction').length === 0) return false
    if (!this.around.mayOrder(this.endpoint.id)) return false
    if (await this.evictions.evictHidden(now, signal)) return true
    const want = this.line.next((key) => !this.mayLoad(key, now), (key) => this.ledger.cached.has(key), this.storeTravelTime(), now)
    if (want !== undefined) return await this.load(want, signal)
    return this.evictions.hideVictim(MOST_IN_FLIGHT - this.ledger.inFlight.size, now)
  }

  private missingModel (): ModelName | undefined {
    const fitting = this.shape.models.filter((model) => model.megabytes <= this.shape.megabytes)
    // Engines that come empty take up the models in turn, by what waits for them first.
    const wanted = this.line.keys().map((key) => modelOf(key))
    const { cachedModels } = this.ledger
    const affordable = fitting.filter(({ name }) => cachedModels.includes(name) || this.around.isModelNeeded(this.endpoint, name))
    return (affordable.find((model) => wanted.includes(model.name)) ?? affordable[0])?.name
  }

  private async loadModel (model: ModelName, signal: AbortSignal): Promise<boolean> {
    const fromStore = !this.ledger.cachedModels.includes(model)
    if (!this.around.mayOrder(this.endpoint.id) || (fromStore && !this.around.pace.take(this.shape.modelLoadsPerSecond))) return false
    if (!await this.desk.loadModel(model, signal)) return false
    while (!signal.aborted && await this.desk.reconcile(signal) && this.ledger.models.length === 0) {
      await this.around.clock.sleep(MODEL_LOOK_MILLISECONDS, signal)
    }
    return false
  }

  /** Wants for what is held are met; an adapter that was to leave and is wanted again stays. */
  private meetWants (now: number): void {
    for (const key of this.line.keys()) {
      const want = this.line.find(key)
      if (want === undefined || !this.ledger.holds(key, want.version) || this.ledger.departing.has(key)) continue
      if (this.hidden.reasonOf(key) === 'replacement') continue
      this.hidden.show(key)
      // Nobody waits for it from here on; without this it would be the first to make way again, in the same step.
      this.ledger.wanted(key, now)
      this.line.met(key)
      this.statements.publish()
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
      this.statements.publish()
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
    return this.ledger.inFlight.size < MOST_IN_FLIGHT && this.storeTurn.mayBegin(this.around.locations.inFlight.count(now))
  }

  private async load (want: PendingLoad<AdapterKey>, signal: AbortSignal): Promise<boolean> {
    const { key } = want
    const version = Math.max(want.version, this.around.newestVersion(key))
    const answer = await this.desk.load(key, version, want, signal)
    const now = this.around.clock.now()
    if (answer === 'accepted') {
      if (!this.ledger.cached.has(key)) this.storeTurn.began()
      this.ledger.ordered(key, version, now)
      this.line.met(key)
      this.linePace.recordLoadStart(this.line.length, now)
      this.statements.changed()
      return true
    }
    if (answer === 'holds') {
      this.arrived(key, version)
      return true
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
      if (now - inFlight.orderedAt > LOST_LOAD_MILLISECONDS || this.ledger.departing.size > 0) {
        await this.desk.reconcile(signal)
        return
      }
      if (!this.around.mayOrder(this.endpoint.id)) return
      const answer = await this.desk.load(key, inFlight.version, this.line.find(key), signal)
      // While a load is on its way the engine accepts its repetition without counting it.
      if (answer === 'holds') this.arrived(key, inFlight.version)
    }
  }

  private arrived (key: AdapterKey, version: number): void {
    this.ledger.completed(key, version, this.around.clock.now())
    this.hidden.show(key)
    const want = this.line.find(key)
    if (want !== undefined && this.ledger.holds(key, want.version)) this.line.met(key)
    this.statements.publish()
  }

  /** After a report: nothing is hidden any more but what is still on its way in or out. */
  private showWhatStayed (): void {
    const { inFlight, departing } = this.ledger
    for (const key of [...this.hidden.keys('eviction'), ...this.hidden.keys('replacement')]) {
      if (!inFlight.has(key) && !departing.has(key)) this.hidden.show(key)
    }
    this.statements.publish()
  }

  private lineChanged (now: number): void {
    this.linePace.recordLength(this.line.length, now)
    if (this.line.length !== this.knownLength) this.statements.changed()
    this.knownLength = this.line.length
  }
}
