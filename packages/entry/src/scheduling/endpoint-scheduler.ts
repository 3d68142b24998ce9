/** Admission to one engine by its owner: one fair queue, pins, and the slots. */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { formatAdapter, LimpetwinchError, loadedNameOf, splitLoadedName } from '@limpetwinch/core'
import type { AdapterReference, Clock, EngineReport, EngineSettings, FencingToken, InstanceId, LoadedName, Logger } from '@limpetwinch/core'
import type { FairQueue, OverloadGuard, Refusal, WaitForecast } from '@limpetwinch/decisions'
import type { OwnerRights, OwnershipRecord } from '../ownership/ownership.js'
import { expectedCost } from './admission.js'
import type { IncomingAdmissionRequest, AdmissionOutcome, Grant, WaitingRequest } from './admission.js'
import { SlotTable } from './slot-table.js'
import type { Slot } from './slot-table.js'
import { WaitForecaster } from './wait-forecaster.js'
import { AdmissionQueue } from './admission-queue.js'

/** Requests granted beyond the engine's batch, so that a finished sequence is replaced in the next step. */
const GRANTED_BEYOND_BATCH = 2
/** Clocks of engines and instances may differ by so much. */
const REPORT_MARGIN_MILLISECONDS = 2_000

/** A granted request. */
export interface Running {
  readonly request: IncomingAdmissionRequest
  readonly loadedName: LoadedName | undefined
  readonly grantedAt: number
}

/** What a scheduler works with. */
export interface EndpointSchedulerOptions {
  readonly engine: EngineSettings
  readonly record: OwnershipRecord
  readonly rights: () => OwnerRights
  readonly queue: FairQueue<WaitingRequest>
  readonly guard: OverloadGuard<WaitingRequest>
  readonly loadMilliseconds: () => number
  readonly clock: Clock
  readonly logger: Logger
  /** Called with each request that names an adapter. */
  readonly onAdapterRequested: (adapter: string, team: string, tokens: number, now: number) => void
  /** Called when a load may be wanted. */
  readonly onLoadNeeded: () => void
  /** Called with the service that a request has had, in tokens. */
  readonly onServed: (team: string, tokens: number) => void
}

/** The queue, the pins and the slots of one owned engine. */
export class EndpointScheduler {
  readonly engine: EngineSettings
  readonly record: OwnershipRecord
  readonly slots: SlotTable
  readonly running = new Map<string, Running>()
  private readonly options: EndpointSchedulerOptions
  private readonly waiting: AdmissionQueue
  private readonly forecaster: WaitForecaster
  /** Service of all that wait, tokens. */
  private waitingCost = 0
  private readonly adopted = new Set<LoadedName>()
  /** Names whose unload had no answer; it may be carried out at any later time. */
  private readonly unconfirmedUnloads = new Set<LoadedName>()
  /** Wall time at which the last order ended; an older report says nothing of it. */
  lastOrderAt = 0
  private engineRun: string | undefined
  private released: LimpetwinchError | undefined

  /** @param options - what it works with */
  constructor (options: EndpointSchedulerOptions) {
    this.options = options
    this.engine = options.engine
    this.record = options.record
    this.slots = new SlotTable(options.engine.slots)
    this.waiting = new AdmissionQueue(options.queue)
    this.forecaster = new WaitForecaster(options.engine)
  }

  /** Requests that wait here. */
  get queued (): number {
    return this.waiting.size
  }

  /** The fencing token of every order and grant. */
  get token (): FencingToken {
    return this.record.token
  }

  /** Whether engine reports have told what is loaded since this owner took over. */
  get knowsSlots (): boolean {
    return this.engineRun !== undefined
  }

  /** @returns requests that wait for an adapter */
  waitingFor (adapter: string): ReadonlySet<WaitingRequest> {
    return this.waiting.forAdapter(adapter)
  }

  /** @returns adapters that requests wait for and that no slot holds ready */
  adaptersAwaitingLoad (): string[] {
    return this.waiting.adapters().filter((adapter) => this.slots.usable(adapter)?.state !== 'loaded')
  }

  /**
   * Waits for admission.
   *
   * @param ask - the request
   * @param signal - the asker gave up or is gone
   * @returns the grant, or why nothing was run
   */
  async admit (ask: IncomingAdmissionRequest, signal: AbortSignal): Promise<Result<Grant, LimpetwinchError>> {
    const running = this.running.get(ask.requestId)
    // The asker asks again when the answer to its first ask was lost with a connection: it holds the pin already.
    if (running !== undefined) return ok(this.grantOf(running, 0, 0))
    if (this.released !== undefined) return err(this.released)
    const item = this.itemOf(ask)
    const decision = this.options.guard.admit(item, this.options.queue, this.forecast(item, this.costAhead(item)), item.enqueuedAt)
    if (!decision.admitted) return err(refusalError(decision))
    if (decision.shed !== undefined) this.settle(decision.shed.item, err(refusalError(decision.shed.refusal)))
    return await this.wait(item, signal)
  }

  /** Refuses at once whoever can no longer be answered in time. */
  expire (): void {
    const { guard, queue, clock } = this.options
    const given = guard.expire(queue, (item) => this.forecast(item, 0), clock.now())
    for (const { item, refusal } of given) this.settle(item, err(refusalError(refusal)))
  }

  /**
   * Ends a pin, or withdraws a request that waits.
   *
   * @param requestId - the request
   * @param outcome - how it ended
   * @param outputTokens - what it generated
   */
  done (requestId: string, outcome: AdmissionOutcome, outputTokens: number): void {
    this.withdraw(requestId)
    const running = this.running.get(requestId)
    if (running === undefined) return
    this.running.delete(requestId)
    this.unpin(running, outcome)
    const { request: ask } = running
    const expected = expectedCost(ask.promptTokens, ask.maximumTokens)
    const actual = outcome === 'answered' || outcome === 'failed' ? expectedCost(ask.promptTokens, outputTokens) : 0
    this.options.queue.charge(ask.team, actual - expected)
    if (actual > 0) this.options.onServed(ask.team, actual)
    this.recordOutcome(running, outcome, outputTokens, actual)
    this.grantReady()
  }

  /** Takes up names that the earlier owner handed over; it gives no orders any more, so they stay loaded. */
  adopt (names: readonly LoadedName[]): void {
    for (const name of names) {
      this.adopted.add(name)
      const slot = this.slots.occupy(name, 'loaded', true, this.options.clock.now())
      slot.state = 'loaded'
    }
    this.grantReady()
  }

  /**
   * Takes up what was granted under the same token and other settings: it runs on, and its adapters stay in use.
   *
   * @param earlier - the scheduler before, which grants nothing more
   */
  takeOverPins (earlier: EndpointScheduler): void {
    for (const [requestId, running] of earlier.running) {
      this.running.set(requestId, running)
      if (running.loadedName === undefined) continue
      const slot = this.slots.occupy(running.loadedName, 'unverified', this.isUsable(running.loadedName), this.options.clock.now())
      slot.pins.add(requestId)
    }
  }

  /**
   * Takes up what is known of orders under the same token. Until then nothing may be ordered here.
   *
   * @param earlier - the scheduler before, whose orders have all ended
   */
  takeOverOrders (earlier: EndpointScheduler): void {
    this.lastOrderAt = Math.max(this.lastOrderAt, earlier.lastOrderAt)
    for (const name of earlier.adopted) this.adopted.add(name)
    for (const name of earlier.unconfirmedUnloads) this.unconfirmedUnloads.add(name)
    for (const slot of this.slots.all()) slot.usable = this.isUsable(slot.name)
  }

  /** Takes up what the engine says is loaded. The report lags, so nothing is believed to be ready by it alone. */
  applyReport (report: EngineReport): void {
    const coldStart = this.engineRun !== undefined && this.engineRun !== report.engineRun
    if (coldStart) this.options.logger.warn('The engine was restarted cold.', { endpoint: this.engine.endpoint })
    const first = this.engineRun === undefined || coldStart
    this.engineRun = report.engineRun
    if (first || report.madeAt > this.lastOrderAt) this.compareSlots(report)
    this.grantReady()
    this.options.onLoadNeeded()
  }

  /**
   * Drops pins of instances that have ended, and of requests that are older than any can be.
   *
   * An instance can send its request long after the grant, with its last breath, and an engine's queue has no names. So
   * only a report counts that was made after the instance was known to have ended, with nothing queued.
   *
   * @param endedAt - when an instance was known to have ended, wall time in milliseconds; undefined while it may live
   * @param report - the engine's newest
   * @param longestRequest - by the settings in force, milliseconds; a request keeps the longer time that it came with
   */
  dropEndedPins (endedAt: (instance: InstanceId) => number | undefined, report: EngineReport, longestRequest: number): void {
    const now = this.options.clock.now()
    const running = new Set(report.running.map((entry) => entry.requestId as string))
    for (const [requestId, entry] of this.running) {
      const ended = endedAt(entry.request.from)
      const told = ended !== undefined && report.queued === 0 && report.madeAt > ended + REPORT_MARGIN_MILLISECONDS
      const over = now - entry.grantedAt > Math.max(longestRequest, entry.request.patience)
      if (over || (told && !running.has(requestId))) this.done(requestId, 'failed', 0)
    }
  }

  /** @returns instances whose grants are older than so many milliseconds */
  holdersOfPinsOlderThan (milliseconds: number): ReadonlySet<InstanceId> {
    const now = this.options.clock.now()
    const old = [...this.running.values()].filter((entry) => now - entry.grantedAt > milliseconds)
    return new Set(old.map((entry) => entry.request.from))
  }

  /**
   * Drops the pins of an instance that it does not hold: the word that they ended was lost with a connection.
   *
   * @param from - the instance
   * @param held - all of its requests here by its own word, those that it has asked for among them
   * @param grantedBefore - when it was asked, monotonic milliseconds; later grants are not in its answer
   */
  dropPinsNotHeld (from: InstanceId, held: ReadonlySet<string>, grantedBefore: number): void {
    for (const [requestId, entry] of this.running) {
      const forgotten = entry.request.from === from && entry.grantedAt < grantedBefore && !held.has(requestId)
      if (forgotten) this.done(requestId, 'failed', 0)
    }
  }

  /**
   * Grants nothing more; whoever waits or asks is told where to ask.
   *
   * @param newOwner - the next owner, if known
   */
  release (newOwner: InstanceId | undefined): void {
    this.released = new LimpetwinchError('not-owner', { endpoint: this.engine.endpoint, owner: newOwner })
    for (const requestId of this.waiting.ids()) this.waiting.settle(requestId, err(this.released))
    this.waitingCost = 0
  }

  /** Grants what can run now. */
  grantReady (): void {
    const { queue, clock, rights } = this.options
    while (this.released === undefined && rights().mayAdmit && this.freePlaces() > 0) {
      const item = queue.next((candidate) => this.isReady(candidate), clock.now(), this.freePlaces())
      if (item === undefined) break
      this.grant(item)
    }
  }

  /** Refuses everyone who waits for an adapter. */
  refuseWaiting (adapter: string, error: LimpetwinchError): void {
    for (const item of [...this.waitingFor(adapter)]) this.settle(item, err(error))
  }

  /** @returns whether a name may be granted by this owner */
  isUsable (name: LoadedName): boolean {
    if (this.unconfirmedUnloads.has(name)) return false
    if (this.engine.fencing === 'refuses') return true
    return this.adopted.has(name) || splitLoadedName(name).token === this.token
  }

  /** @returns the name under which an adapter is to be loaded now */
  nameFor (reference: AdapterReference): LoadedName {
    const plain = loadedNameOf(reference, this.engine.fencing === 'ignores' ? this.token : undefined)
    if (!this.unconfirmedUnloads.has(plain)) return plain
    let generation = 1
    while (this.unconfirmedUnloads.has(loadedNameOf(reference, this.token, generation))) generation += 1
    return loadedNameOf(reference, this.token, generation)
  }

  /**
   * Uses a name no more, since an unload of it had no answer. The engine may have been frozen and may carry the order
   * out after a load that confirmed the adapter; a request granted on that name would lose its adapter.
   */
  abandonName (slot: Slot): void {
    this.unconfirmedUnloads.add(slot.name)
    slot.usable = false
    slot.state = 'unverified'
  }

  private async wait (item: WaitingRequest, signal: AbortSignal): Promise<Result<Grant, LimpetwinchError>> {
    const answer = new Promise<Result<Grant, LimpetwinchError>>((resolve) => this.waiting.add(item, resolve))
    this.waitingCost += item.cost
    if (item.adapter !== undefined) this.options.onAdapterRequested(item.adapter, item.team, item.cost, item.enqueuedAt)
    const timer = setTimeout(() => this.settle(item, err(this.deadlineError(item))), item.request.patience)
    const giveUp = (): void => this.withdraw(item.requestId)
    signal.addEventListener('abort', giveUp)
    this.grantReady()
    if (this.waiting.has(item.requestId)) this.options.onLoadNeeded()
    const result = await answer
    clearTimeout(timer)
    signal.removeEventListener('abort', giveUp)
    return result
  }

  private itemOf (ask: IncomingAdmissionRequest): WaitingRequest {
    const now = this.options.clock.now()
    return {
      requestId: ask.requestId,
      team: ask.team,
      priority: ask.priority,
      adapter: ask.adapter === undefined ? undefined : formatAdapter(ask.adapter),
      cost: expectedCost(ask.promptTokens, ask.maximumTokens),
      enqueuedAt: now,
      deadlineAt: now + ask.patience,
      request: ask,
      loadedSince: undefined
    }
  }

  /** Under fair queueing the long queue of another team is not in the way. */
  private costAhead (item: WaitingRequest): number {
    return this.options.queue.tokensAhead?.(item) ?? this.waitingCost
  }

  private forecast (item: WaitingRequest, costAhead: number): WaitForecast {
    const loaded = item.adapter === undefined || this.slots.usable(item.adapter)?.state === 'loaded'
    return this.forecaster.forecast({
      maximumTokens: item.request.maximumTokens,
      costAhead,
      loadsAhead: loaded ? 0 : 1,
      loadMilliseconds: this.options.loadMilliseconds()
    })
  }

  private recordOutcome (running: Running, outcome: AdmissionOutcome, outputTokens: number, cost: number): void {
    const now = this.options.clock.now()
    this.forecaster.served(cost, true, now)
    if (outcome === 'answered') this.forecaster.answered(outputTokens, running.request.maximumTokens, now - running.grantedAt)
  }

  private grant (item: WaitingRequest): void {
    const now = this.options.clock.now()
    const slot = item.adapter === undefined ? undefined : this.slots.usable(item.adapter)
    // Time in which nothing ran says nothing of the engine's speed.
    if (this.running.size === 0) this.forecaster.served(0, false, now)
    const running: Running = { request: item.request, loadedName: slot?.name, grantedAt: now }
    this.running.set(item.requestId, running)
    slot?.pins.add(item.requestId)
    if (slot !== undefined) slot.lastUsedAt = now
    const stall = item.adapter === undefined ? 0 : Math.max(0, (item.loadedSince ?? now) - item.enqueuedAt)
    this.settle(item, ok(this.grantOf(running, stall, now - item.enqueuedAt)))
  }

  private grantOf (running: Running, loadStall: number, queueWait: number): Grant {
    return { token: this.token, loadedName: running.loadedName, loadStall, queueWait }
  }

  private isReady (item: WaitingRequest): boolean {
    if (item.adapter === undefined) return true
    const ready = this.slots.usable(item.adapter)?.state === 'loaded'
    if (ready && item.loadedSince === undefined) item.loadedSince = this.options.clock.now()
    return ready
  }

  private freePlaces (): number {
    return this.engine.batchCapacity + GRANTED_BEYOND_BATCH - this.running.size
  }

  private settle (item: WaitingRequest, result: Result<Grant, LimpetwinchError>): void {
    if (!this.waiting.has(item.requestId)) return
    this.waitingCost -= item.cost
    this.waiting.settle(item.requestId, result)
  }

  private withdraw (requestId: string): void {
    const item = this.waiting.get(requestId)
    if (item !== undefined) this.settle(item, err(new LimpetwinchError('request-ended-early', {}, { outcome: 'not_run' })))
  }

  private unpin (running: Running, outcome: AdmissionOutcome): void {
    if (running.loadedName === undefined) return
    const slot = this.slots.get(running.loadedName)
    if (slot === undefined) return
    slot.pins.delete(running.request.requestId)
    // The engine said that it does not hold the adapter, or it failed: a load order finds out before the next grant.
    if (outcome === 'not-run' && slot.state === 'loaded') this.markUnverified(slot)
  }

  private markUnverified (slot: Slot): void {
    slot.state = 'unverified'
    this.options.onLoadNeeded()
  }

  /**
   * Mends what was believed of the slots by a report made after the last order ended. What the report lists and the
   * table lacks takes a slot; what it lacks is doubted, and a load order finds out before the next grant.
   */
  private compareSlots (report: EngineReport): void {
    const now = this.options.clock.now()
    const listed = new Set(report.loaded)
    for (const name of report.loaded) this.slots.occupy(name, 'unverified', this.isUsable(name), now)
    for (const slot of this.slots.all()) {
      if (listed.has(slot.name)) continue
      if (slot.pins.size === 0 && slot.state === 'unverified') this.slots.free(slot.name)
      else if (slot.state === 'loaded') slot.state = 'unverified'
    }
  }

  private deadlineError (item: WaitingRequest): LimpetwinchError {
    const { firstTokenMilliseconds, serviceMilliseconds } = this.forecast(item, this.costAhead(item))
    const expected = Math.round(firstTokenMilliseconds + serviceMilliseconds)
    return new LimpetwinchError('deadline-unreachable', { expected }, { retryAfterSeconds: Math.max(1, Math.ceil(expected / 1000)) })
  }
}

function refusalError (refusal: Refusal): LimpetwinchError {
  const options = { retryAfterSeconds: refusal.retryAfterSeconds }
  if (refusal.reason === 'queue full') return new LimpetwinchError('overloaded', { reason: 'the queue is full' }, options)
  return new LimpetwinchError('deadline-unreachable', { expected: Math.round(refusal.expectedMilliseconds) }, options)
}
