/** Admission of requests to one engine by its owner: a fair queue, the pins of admitted requests and the adapter slots. */
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

/** Number of requests admitted beyond the engine's batch capacity, so that the engine can replace a finished sequence in its next step. */
const GRANTED_BEYOND_BATCH = 2
/**
 * How much later than the known end of an instance an engine report must be dated before the report can show that a request
 * of that instance has ended. This covers the largest clock difference that is expected between engines and instances.
 */
const REPORT_MARGIN_MILLISECONDS = 2_000

/** A request that has been admitted and has not ended yet. */
export interface Running {
  readonly request: IncomingAdmissionRequest
  readonly loadedName: LoadedName | undefined
  /** When the request was admitted, monotonic milliseconds. */
  readonly grantedAt: number
}

/** Dependencies and callbacks of the scheduler of one engine. */
export interface EndpointSchedulerOptions {
  readonly engine: EngineSettings
  readonly record: OwnershipRecord
  readonly rights: () => OwnerRights
  readonly queue: FairQueue<WaitingRequest>
  readonly guard: OverloadGuard<WaitingRequest>
  /** @returns the expected duration of one adapter load */
  readonly loadMilliseconds: () => number
  readonly clock: Clock
  readonly logger: Logger
  /** Called for each queued request that names an adapter, with the expected service in weighted tokens and monotonic milliseconds. */
  readonly onAdapterRequested: (adapter: string, team: string, tokens: number, now: number) => void
  /** Called when an adapter may have to be loaded. */
  readonly onLoadNeeded: () => void
  /**
   * Called when a request has ended, with the service that the request has used, in weighted tokens: a prompt token counts 1, an output
   * token `OUTPUT_TOKEN_COST`.
   */
  readonly onServed: (team: string, tokens: number) => void
}

/** Schedules the requests to one owned engine: its queue, its pins and its adapter slots. */
export class EndpointScheduler {
  readonly engine: EngineSettings
  readonly record: OwnershipRecord
  readonly slots: SlotTable
  readonly running = new Map<string, Running>()
  private readonly options: EndpointSchedulerOptions
  private readonly waiting: AdmissionQueue
  private readonly forecaster: WaitForecaster
  /** Total service that the waiting requests are expected to use, weighted tokens. */
  private waitingCost = 0
  /** Names that the previous owner handed over as loaded. A handed-over name may be used even if it contains an older token. */
  private readonly adopted = new Set<LoadedName>()
  /** Names whose unload order failed or got no response. The engine may still carry out the order at any later time. */
  private readonly unconfirmedUnloads = new Set<LoadedName>()
  /**
   * Wall time at which the last order ended plus a margin for clock differences, milliseconds. Engine reports made earlier
   * may not reflect that order.
   */
  lastOrderAt = 0
  /** The run that the latest report named, which changes when the engine is restarted cold; undefined before the first report. */
  private engineRun: string | undefined
  /** The refusal of all requests after another owner has taken over; undefined while this owner admits requests. */
  private released: LimpetwinchError | undefined

  /** @param options - dependencies and callbacks */
  constructor (options: EndpointSchedulerOptions) {
    this.options = options
    this.engine = options.engine
    this.record = options.record
    this.slots = new SlotTable(options.engine.slots)
    this.waiting = new AdmissionQueue(options.queue)
    this.forecaster = new WaitForecaster(options.engine)
  }

  /** Number of waiting requests. */
  get queued (): number {
    return this.waiting.size
  }

  /** The fencing token that every order and grant carries. */
  get token (): FencingToken {
    return this.record.token
  }

  /** Whether an engine report has been received since this owner took over, so that the loaded adapters are known. */
  get knowsSlots (): boolean {
    return this.engineRun !== undefined
  }

  /** @returns the requests that wait for an adapter */
  waitingFor (adapter: string): ReadonlySet<WaitingRequest> {
    return this.waiting.forAdapter(adapter)
  }

  /** @returns the adapters that requests wait for and that are not confirmed as loaded */
  adaptersAwaitingLoad (): string[] {
    return this.waiting.adapters().filter((adapter) => this.slots.usableSlot(adapter)?.state !== 'loaded')
  }

  /**
   * Waits until a request is admitted or refused.
   *
   * @param request - the request
   * @param signal - aborted when the requesting instance cancels the request or has left
   * @returns the grant, or the reason why the request was not run
   */
  async admit (request: IncomingAdmissionRequest, signal: AbortSignal): Promise<Result<Grant, LimpetwinchError>> {
    const running = this.running.get(request.requestId)
    // An instance retries its admission request if the response was lost with a connection. The request already holds its pin then.
    if (running !== undefined) return ok(this.grantOf(running, 0, 0))
    if (this.released !== undefined) return err(this.released)
    const item = this.itemOf(request)
    const decision = this.options.guard.admit(item, this.options.queue, this.forecast(item, this.costAhead(item)), item.enqueuedAt)
    if (!decision.admitted) return err(refusalError(decision))
    if (decision.shed !== undefined) this.settle(decision.shed.item, err(refusalError(decision.shed.refusal)))
    return await this.wait(item, signal)
  }

  /** Refuses waiting requests that can no longer be completed before their deadlines. */
  expire (): void {
    const { guard, queue, clock } = this.options
    const expired = guard.expire(queue, (item) => this.forecast(item, 0), clock.now())
    for (const { item, refusal } of expired) this.settle(item, err(refusalError(refusal)))
  }

  /**
   * Ends a request: removes the pin of an admitted request and charges the service that was really used, or withdraws a
   * waiting request.
   *
   * @param requestId - the request
   * @param outcome - how the request ended
   * @param outputTokens - number of tokens that the request generated
   */
  done (requestId: string, outcome: AdmissionOutcome, outputTokens: number): void {
    this.withdraw(requestId)
    const running = this.running.get(requestId)
    if (running === undefined) return
    this.running.delete(requestId)
    this.unpin(running, outcome)
    const { request } = running
    const expected = expectedCost(request.promptTokens, request.maximumTokens)
    const actual = outcome === 'answered' || outcome === 'failed' ? expectedCost(request.promptTokens, outputTokens) : 0
    this.options.queue.charge(request.team, actual - expected)
    if (actual > 0) this.options.onServed(request.team, actual)
    this.recordOutcome(running, outcome, outputTokens, actual)
    this.grantReady()
  }

  /** Accepts the names that the previous owner handed over as loaded. That owner no longer sends orders, so the adapters stay loaded. */
  adopt (names: readonly LoadedName[]): void {
    for (const name of names) {
      this.adopted.add(name)
      const slot = this.slots.occupy(name, 'loaded', true, this.options.clock.now())
      slot.state = 'loaded'
    }
    this.grantReady()
  }

  /**
   * Takes over the admitted requests of a scheduler with the same token and different engine settings. The requests keep
   * running, so their adapters stay pinned.
   *
   * @param earlier - the previous scheduler, which admits no more requests
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
   * Takes over what an earlier scheduler with the same token knows about the orders sent so far. This scheduler's loader may
   * send no order before this call.
   *
   * @param earlier - the previous scheduler, whose orders have all ended
   */
  takeOverOrders (earlier: EndpointScheduler): void {
    this.lastOrderAt = Math.max(this.lastOrderAt, earlier.lastOrderAt)
    for (const name of earlier.adopted) this.adopted.add(name)
    for (const name of earlier.unconfirmedUnloads) this.unconfirmedUnloads.add(name)
    for (const slot of this.slots.all()) slot.usable = this.isUsable(slot.name)
  }

  /**
   * Applies an engine report. Reports are out of date when they arrive, so an adapter is never treated as loaded because of
   * a report alone.
   */
  applyReport (report: EngineReport): void {
    const coldStart = this.engineRun !== undefined && this.engineRun !== report.engineRun
    if (coldStart) this.options.logger.warn('The engine restarted with no adapters loaded.', { endpoint: this.engine.endpoint })
    const first = this.engineRun === undefined || coldStart
    this.engineRun = report.engineRun
    if (first || report.madeAt > this.lastOrderAt) this.compareSlots(report)
    this.grantReady()
    this.options.onLoadNeeded()
  }

  /**
   * Drops the pins of requests whose instance has ended, and of requests that exceeded the longest request time.
   *
   * An instance can send a request to the engine long after the grant, just before the instance ends, and reports only
   * count queued requests without naming them. So a pin is dropped only on a report that was made after the instance was
   * known to have ended, that has an empty queue and that does not list the request as running.
   *
   * @param endedAt - when an instance was known to have ended, wall time in milliseconds; undefined while it may be alive
   * @param report - the latest report of the engine
   * @param longestRequest - longest request time of the current settings, milliseconds; a request whose caller was
   *   willing to wait longer when the request arrived keeps that longer time
   */
  dropEndedPins (endedAt: (instance: InstanceId) => number | undefined, report: EngineReport, longestRequest: number): void {
    const now = this.options.clock.now()
    const running = new Set(report.running.map((entry) => entry.requestId as string))
    for (const [requestId, entry] of this.running) {
      const ended = endedAt(entry.request.from)
      const reportIsConclusive = ended !== undefined && report.queued === 0 && report.madeAt > ended + REPORT_MARGIN_MILLISECONDS
      const expired = now - entry.grantedAt > Math.max(longestRequest, entry.request.patience)
      if (expired || (reportIsConclusive && !running.has(requestId))) this.done(requestId, 'failed', 0)
    }
  }

  /** @returns the instances with admitted requests that were granted more than so many milliseconds ago */
  holdersOfPinsOlderThan (milliseconds: number): ReadonlySet<InstanceId> {
    const now = this.options.clock.now()
    const old = [...this.running.values()].filter((entry) => now - entry.grantedAt > milliseconds)
    return new Set(old.map((entry) => entry.request.from))
  }

  /**
   * Drops the pins of requests that their instance no longer reports. The `admission-done` messages of these requests were lost
   * with a connection.
   *
   * @param from - the instance
   * @param held - all requests to this endpoint that the instance reports, including requests that wait for admission
   * @param grantedBefore - when the instance was queried, monotonic milliseconds; later grants are not in its response
   */
  dropPinsNotHeld (from: InstanceId, held: ReadonlySet<string>, grantedBefore: number): void {
    for (const [requestId, entry] of this.running) {
      const notHeld = entry.request.from === from && entry.grantedAt < grantedBefore && !held.has(requestId)
      if (notHeld) this.done(requestId, 'failed', 0)
    }
  }

  /**
   * Stops admitting requests. Waiting and later requests are refused with the id of the next owner.
   *
   * @param newOwner - the next owner, if known
   */
  release (newOwner: InstanceId | undefined): void {
    this.released = new LimpetwinchError('not-owner', { endpoint: this.engine.endpoint, owner: newOwner })
    for (const requestId of this.waiting.ids()) this.waiting.settle(requestId, err(this.released))
    this.waitingCost = 0
  }

  /** Admits waiting requests whose adapter is loaded, in the order of the fair queue, while the engine has room. */
  grantReady (): void {
    const { queue, clock, rights } = this.options
    while (this.released === undefined && rights().mayAdmit && this.freePlaces() > 0) {
      const item = queue.next((candidate) => this.isReady(candidate), clock.now(), this.freePlaces())
      if (item === undefined) break
      this.grant(item)
    }
  }

  /** Refuses all requests that wait for an adapter. */
  refuseWaiting (adapter: string, error: LimpetwinchError): void {
    for (const item of [...this.waitingFor(adapter)]) this.settle(item, err(error))
  }

  /** @returns whether this owner may admit requests to a loaded name */
  isUsable (name: LoadedName): boolean {
    if (this.unconfirmedUnloads.has(name)) return false
    if (this.engine.fencing === 'refuses') return true
    return this.adopted.has(name) || splitLoadedName(name).token === this.token
  }

  /**
   * Chooses the loaded name for a new load. For an engine that ignores fencing tokens, the name includes the token, so that a
   * late unload order of an earlier owner cannot name the same adapter. A name with an unconfirmed unload order is not used
   * again: a generation number makes the new name different.
   *
   * @returns the name under which an adapter has to be loaded now
   */
  nameFor (reference: AdapterReference): LoadedName {
    const plain = loadedNameOf(reference, this.engine.fencing === 'ignores' ? this.token : undefined)
    if (!this.unconfirmedUnloads.has(plain)) return plain
    let generation = 1
    while (this.unconfirmedUnloads.has(loadedNameOf(reference, this.token, generation))) generation += 1
    return loadedNameOf(reference, this.token, generation)
  }

  /**
   * Stops using a name whose unload order failed or got no response. The engine may have been paused and may carry out the order
   * after a later load confirmed the adapter; a request admitted to that name would then lose its adapter.
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
    const cancel = (): void => this.withdraw(item.requestId)
    signal.addEventListener('abort', cancel)
    this.grantReady()
    if (this.waiting.has(item.requestId)) this.options.onLoadNeeded()
    const result = await answer
    clearTimeout(timer)
    signal.removeEventListener('abort', cancel)
    return result
  }

  private itemOf (request: IncomingAdmissionRequest): WaitingRequest {
    const now = this.options.clock.now()
    return {
      requestId: request.requestId,
      team: request.team,
      priority: request.priority,
      adapter: request.adapter === undefined ? undefined : formatAdapter(request.adapter),
      cost: expectedCost(request.promptTokens, request.maximumTokens),
      enqueuedAt: now,
      deadlineAt: now + request.patience,
      request,
      loadedSince: undefined
    }
  }

  /**
   * Under fair queueing, the long queue of another team does not delay a request. So the queue's own estimate is used if there
   * is one, and the total cost of all waiting requests otherwise.
   *
   * @returns the service that is expected before this request, weighted tokens
   */
  private costAhead (item: WaitingRequest): number {
    return this.options.queue.tokensAhead?.(item) ?? this.waitingCost
  }

  private forecast (item: WaitingRequest, costAhead: number): WaitForecast {
    const loaded = item.adapter === undefined || this.slots.usableSlot(item.adapter)?.state === 'loaded'
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
    const slot = item.adapter === undefined ? undefined : this.slots.usableSlot(item.adapter)
    // Time during which no request ran must not count towards the engine's measured speed.
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
    const ready = this.slots.usableSlot(item.adapter)?.state === 'loaded'
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
    // The engine did not run the request: the engine may not hold the adapter, or may have failed. A load order checks that
    // before the next grant.
    if (outcome === 'not-run' && slot.state === 'loaded') this.markUnverified(slot)
  }

  private markUnverified (slot: Slot): void {
    slot.state = 'unverified'
    this.options.onLoadNeeded()
  }

  /**
   * Corrects the slot table by a report made after the last order ended. A name that only the report lists takes a slot.
   * A loaded name that the report does not list becomes unverified, and a load order checks it before the next grant. An
   * unverified name that the report does not list is removed unless it is pinned.
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
