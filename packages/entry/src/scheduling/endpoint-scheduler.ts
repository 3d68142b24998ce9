/** Admission to one engine by its owner: one fair queue, pins, and the slots. */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { formatAdapter, LimpetwinchError } from '@limpetwinch/core'
import type { Clock, EngineReport, EngineSettings, FencingToken, InstanceId, LoadedName, Logger } from '@limpetwinch/core'
import type { EvictionPolicy, FairQueue } from '@limpetwinch/decisions'
import type { OwnerRights, OwnershipRecord } from '../ownership/ownership.js'
import { expectedCost } from './admission.js'
import type { AdmissionAsk, AdmissionOutcome, Grant, WaitingRequest } from './admission.js'
import { SlotTable } from './slot-table.js'
import type { Slot } from './slot-table.js'

/** Requests granted beyond the engine's batch, so that a finished sequence is replaced in the next step. */
const GRANTED_BEYOND_BATCH = 2
const LONGEST_QUEUE = 2_000
const SHORTEST_RETRY_SECONDS = 1

/** A granted request. */
export interface Running {
  readonly ask: AdmissionAsk
  readonly loadedName: LoadedName | undefined
  readonly grantedAt: number
}

/** What a scheduler works with. */
export interface EndpointSchedulerOptions {
  readonly engine: EngineSettings
  readonly record: OwnershipRecord
  readonly rights: () => OwnerRights
  readonly queue: FairQueue<WaitingRequest>
  readonly eviction: EvictionPolicy
  readonly clock: Clock
  readonly logger: Logger
  /** Called when a load may be wanted. */
  readonly onWanted: () => void
  /** Called with the service that a request has had, in tokens. */
  readonly onServed: (team: string, tokens: number) => void
  /** Called when slots changed or the queue did. */
  readonly onChange: () => void
}

type Settle = (result: Result<Grant, LimpetwinchError>) => void

/** The queue, the pins and the slots of one owned engine. */
export class EndpointScheduler {
  readonly engine: EngineSettings
  readonly record: OwnershipRecord
  readonly slots: SlotTable
  readonly running = new Map<string, Running>()
  private readonly options: EndpointSchedulerOptions
  private readonly settles = new Map<string, Settle>()
  private readonly waitingByAdapter = new Map<string, Set<WaitingRequest>>()
  /** Wall time at which the last order ended; an older report says nothing of it. */
  lastOrderAt = 0
  private engineRun: string | undefined
  private frozen = false
  private secondsPerRequest = 0.5

  /** @param options - what it works with */
  constructor (options: EndpointSchedulerOptions) {
    this.options = options
    this.engine = options.engine
    this.record = options.record
    this.slots = new SlotTable(options.engine.slots)
  }

  /** Requests that wait here. */
  get queued (): number {
    return this.options.queue.size
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
    return this.waitingByAdapter.get(adapter) ?? new Set()
  }

  /** @returns adapters that requests wait for and that no slot holds ready */
  wantedAdapters (): string[] {
    return [...this.waitingByAdapter.keys()].filter((adapter) => this.slots.usable(adapter)?.state !== 'loaded')
  }

  /**
   * Waits for admission.
   *
   * @param ask - the request
   * @param signal - the asker gave up or is gone
   * @returns the grant, or why nothing was run
   */
  async admit (ask: AdmissionAsk, signal: AbortSignal): Promise<Result<Grant, LimpetwinchError>> {
    const running = this.running.get(ask.requestId)
    // The asker asks again when the answer to its first ask was lost with a connection: it holds the pin already.
    if (running !== undefined) return ok(this.grantOf(running, 0, 0))
    if (this.frozen) return err(new LimpetwinchError('not-owner', { endpoint: this.engine.endpoint }))
    const refused = this.makeRoom(ask)
    if (refused !== undefined) return err(refused)
    return await this.wait(ask, signal)
  }

  /**
   * Ends a pin, or withdraws a request that waits.
   *
   * @param requestId - the request
   * @param outcome - how it ended
   * @param outputTokens - what it generated
   */
  done (requestId: string, outcome: AdmissionOutcome, outputTokens: number): void {
    this.settle(requestId, err(new LimpetwinchError('request-ended-early', {}, { outcome: 'not_run' })))
    const running = this.running.get(requestId)
    if (running === undefined) return
    this.running.delete(requestId)
    this.unpin(running, outcome)
    const { ask } = running
    const expected = expectedCost(ask.promptTokens, ask.maximumTokens)
    const actual = outcome === 'answered' || outcome === 'failed' ? expectedCost(ask.promptTokens, outputTokens) : 0
    this.options.queue.charge(ask.team, actual - expected)
    if (actual > 0) this.options.onServed(ask.team, actual)
    const seconds = (this.options.clock.now() - running.grantedAt) / 1000
    this.secondsPerRequest = 0.9 * this.secondsPerRequest + 0.1 * seconds
    this.pump()
  }

  /** Takes up pins that an earlier owner or its members told of. */
  adoptPin (requestId: string, from: InstanceId, loadedName: LoadedName | undefined, team: string): void {
    if (this.running.has(requestId)) return
    const ask: AdmissionAsk = { requestId: requestId as AdmissionAsk['requestId'], from, adapter: undefined, team, priority: 0, promptTokens: 0, maximumTokens: 0, patience: 0 }
    this.running.set(requestId, { ask, loadedName, grantedAt: this.options.clock.now() })
    if (loadedName === undefined) return
    this.slots.occupy(loadedName, 'unverified', this.isUsable(loadedName), this.options.clock.now()).pins.add(requestId)
  }

  /** Takes up what the engine says is loaded. The report lags, so nothing is believed to be ready by it alone. */
  takeReport (report: EngineReport): void {
    const coldStart = this.engineRun !== undefined && this.engineRun !== report.engineRun
    if (coldStart) this.forgetSlots()
    const first = this.engineRun === undefined || coldStart
    this.engineRun = report.engineRun
    if (first || report.madeAt > this.lastOrderAt) this.compareSlots(report)
    this.pump()
    this.options.onWanted()
  }

  /** Drops pins of instances that are gone, as soon as a report made afterwards says that the request ended. */
  dropEnded (isGone: (instance: InstanceId) => boolean, report: EngineReport, margin: number, wallTime: number, longestRequest: number): void {
    const now = this.options.clock.now()
    const running = new Set(report.running.map((entry) => entry.requestId as string))
    for (const [requestId, entry] of this.running) {
      const age = now - entry.grantedAt
      // A report made before the grant, or close to it, says nothing of this request.
      const madeAfter = report.madeAt > wallTime - age + margin
      const ended = isGone(entry.ask.from) && madeAfter && !running.has(requestId)
      if (ended || age > longestRequest) this.done(requestId, 'failed', 0)
    }
  }

  /** Stops granting, for a hand-over; whoever waits is told to ask the next owner. */
  freeze (): void {
    this.frozen = true
    for (const requestId of [...this.settles.keys()]) {
      this.settle(requestId, err(new LimpetwinchError('not-owner', { endpoint: this.engine.endpoint })))
    }
  }

  /** Grants what can run now. */
  pump (): void {
    const { queue, clock, rights } = this.options
    while (!this.frozen && rights().mayAdmit && this.hasRoom()) {
      const item = queue.next((candidate) => this.isReady(candidate), clock.now())
      if (item === undefined) break
      this.grant(item)
    }
    this.options.onChange()
  }

  /** Refuses everyone who waits for an adapter. */
  refuseWaiting (adapter: string, error: LimpetwinchError): void {
    for (const item of [...this.waitingFor(adapter)]) this.settle(item.requestId, err(error))
  }

  /** @returns whether a name may be granted by this owner */
  isUsable (name: LoadedName): boolean {
    if (this.engine.fencing === 'refuses') return true
    const token = /~(\d+)$/.exec(name)?.[1]
    return token !== undefined && (Number(token) === this.record.token || Number(token) === this.record.handedOverFrom)
  }

  private async wait (ask: AdmissionAsk, signal: AbortSignal): Promise<Result<Grant, LimpetwinchError>> {
    const item = this.enqueue(ask)
    const answer = new Promise<Result<Grant, LimpetwinchError>>((resolve) => this.settles.set(ask.requestId, resolve))
    const giveUp = (): void => this.settle(ask.requestId, err(this.tooLate(ask)))
    const timer = setTimeout(giveUp, ask.patience)
    signal.addEventListener('abort', giveUp)
    this.pump()
    if (this.settles.has(item.requestId)) this.options.onWanted()
    const result = await answer
    clearTimeout(timer)
    signal.removeEventListener('abort', giveUp)
    return result
  }

  private enqueue (ask: AdmissionAsk): WaitingRequest {
    const now = this.options.clock.now()
    const adapter = ask.adapter === undefined ? undefined : formatAdapter(ask.adapter)
    const item: WaitingRequest = {
      requestId: ask.requestId,
      team: ask.team,
      priority: ask.priority,
      adapter,
      cost: expectedCost(ask.promptTokens, ask.maximumTokens),
      enqueuedAt: now,
      deadlineAt: now + ask.patience,
      ask,
      loadedSince: undefined
    }
    this.options.queue.push(item)
    if (adapter !== undefined) {
      const waiting = this.waitingByAdapter.get(adapter) ?? new Set()
      waiting.add(item)
      this.waitingByAdapter.set(adapter, waiting)
      this.options.eviction.used(adapter, ask.team, item.cost, now)
    }
    return item
  }

  private makeRoom (ask: AdmissionAsk): LimpetwinchError | undefined {
    const { queue } = this.options
    if (queue.size < LONGEST_QUEUE) return undefined
    const worst = queue.worst()
    if (worst === undefined || worst.priority >= ask.priority) return this.full()
    this.settle(worst.requestId, err(this.full()))
    return undefined
  }

  private grant (item: WaitingRequest): void {
    const now = this.options.clock.now()
    const slot = item.adapter === undefined ? undefined : this.slots.usable(item.adapter)
    const running: Running = { ask: item.ask, loadedName: slot?.name, grantedAt: now }
    this.running.set(item.requestId, running)
    slot?.pins.add(item.requestId)
    if (slot !== undefined) slot.lastUsedAt = now
    const stall = item.adapter === undefined ? 0 : Math.max(0, (item.loadedSince ?? now) - item.enqueuedAt)
    this.settle(item.requestId, ok(this.grantOf(running, stall, now - item.enqueuedAt)))
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

  private hasRoom (): boolean {
    return this.running.size < this.engine.batchCapacity + GRANTED_BEYOND_BATCH
  }

  private settle (requestId: string, result: Result<Grant, LimpetwinchError>): void {
    const settle = this.settles.get(requestId)
    if (settle === undefined) return
    this.settles.delete(requestId)
    const item = this.options.queue.remove(requestId)
    if (item !== undefined) this.forgetWaiting(item)
    else this.forgetWaitingById(requestId)
    settle(result)
  }

  private forgetWaiting (item: WaitingRequest): void {
    if (item.adapter === undefined) return
    const waiting = this.waitingByAdapter.get(item.adapter)
    waiting?.delete(item)
    if (waiting?.size === 0) this.waitingByAdapter.delete(item.adapter)
  }

  private forgetWaitingById (requestId: string): void {
    const adapter = this.running.get(requestId)?.ask.adapter
    if (adapter === undefined) return
    for (const item of this.waitingFor(formatAdapter(adapter))) {
      if (item.requestId === requestId) return this.forgetWaiting(item)
    }
  }

  private unpin (running: Running, outcome: AdmissionOutcome): void {
    if (running.loadedName === undefined) return
    const slot = this.slots.get(running.loadedName)
    if (slot === undefined) return
    slot.pins.delete(running.ask.requestId)
    // The engine said that it does not hold the adapter, or it failed: a load order finds out before the next grant.
    if (outcome === 'not-run' && slot.state === 'loaded') this.doubt(slot)
  }

  private doubt (slot: Slot): void {
    slot.state = 'unverified'
    this.options.onWanted()
  }

  private forgetSlots (): void {
    this.options.logger.warn('The engine was restarted cold; its slots are empty.', { endpoint: this.engine.endpoint })
    for (const slot of this.slots.all()) this.slots.free(slot.name)
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

  private full (): LimpetwinchError {
    return new LimpetwinchError('overloaded', { reason: 'its queue is full' }, { retryAfterSeconds: this.retrySeconds() })
  }

  private tooLate (ask: AdmissionAsk): LimpetwinchError {
    return new LimpetwinchError('deadline-unreachable', { expected: Math.round(ask.patience) }, { retryAfterSeconds: this.retrySeconds() })
  }

  private retrySeconds (): number {
    const rounds = this.queued / this.engine.batchCapacity
    return Math.max(SHORTEST_RETRY_SECONDS, Math.ceil(rounds * this.secondsPerRequest))
  }
}
