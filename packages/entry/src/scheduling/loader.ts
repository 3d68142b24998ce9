/** Loads and evicts adapters on one owned engine, in one task that sends one order at a time. */
import { formatAdapter, LimpetwinchError } from '@limpetwinch/core'
import type { AdapterReference, Clock, EngineClient, LoadedName, Logger } from '@limpetwinch/core'
import type { EvictionPolicy, LoadAhead, LoadOrderingPolicy, SlotView, LoadCandidate } from '@limpetwinch/decisions'
import type { LoadTurns } from '../loads/load-turns.js'
import type { OwnerRights } from '../ownership/ownership.js'
import type { LoadAccounting } from './load-accounting.js'
import type { EndpointScheduler } from './endpoint-scheduler.js'
import type { Slot } from './slot-table.js'

/** Time after the first failed load of an adapter before that adapter is tried again; doubled with each further failure. */
const FIRST_BACKOFF_MILLISECONDS = 500
/** Upper bound of that time, so that an adapter is tried again soon after its fault has passed. */
const LONGEST_BACKOFF_MILLISECONDS = 30_000
/**
 * Consecutive failed loads of an adapter after which the requests that wait for it are refused. Later requests wait until
 * the back-off is over.
 */
const FAILURES_BEFORE_REFUSAL = 3
/** Pause between checks for pending loads while no load is pending. A new pending load ends the pause early. */
const IDLE_PAUSE_MILLISECONDS = 1_000
/** Pause before pending loads are checked again, when the chosen load could not be made or no pending load may run yet. */
const RETRY_PAUSE_MILLISECONDS = 100
/** Urgency of a load that no request waits for, so that such a load runs after all other loads. */
const MINIMUM_URGENCY = 0
/**
 * Upper bound of the eviction cost. It stands for an engine that cannot evict any adapter: the policy then returns Infinity,
 * but a digest needs a finite number.
 */
const LARGEST_COST = 1e9
/**
 * Largest clock difference that is expected between engines and instances. It is added to the time of an order, so that an
 * engine report dated by a clock ahead of this one does not pass for a report made after the order.
 */
const CLOCK_MARGIN_MILLISECONDS = 1_000

/** Dependencies of the loader of one engine. */
export interface LoaderOptions {
  readonly scheduler: EndpointScheduler
  readonly client: EngineClient
  readonly eviction: EvictionPolicy
  readonly loadOrder: LoadOrderingPolicy
  readonly loadTurns: LoadTurns
  readonly rights: () => OwnerRights
  /** Loaded names that requests admitted by an earlier owner may still use. */
  readonly earlierPins: () => ReadonlySet<LoadedName>
  /** @returns the number of copies of an adapter on other engines */
  readonly otherCopies: (adapter: string) => number
  readonly loadAccounting: LoadAccounting
  readonly loadAhead: LoadAhead
  /** @returns the reference of an adapter, or undefined if the settings do not list the adapter or this engine cannot serve it */
  readonly servable: (adapter: string) => AdapterReference | undefined
  readonly clock: Clock
  readonly logger: Logger
}

/** Consecutive failed loads of one adapter. */
interface Failures {
  count: number
  /** When the adapter may be loaded again, monotonic milliseconds. */
  notBefore: number
}

/** Sends load and unload orders to one engine. Under the current owner no other task changes which adapters the engine holds. */
export class Loader {
  private readonly options: LoaderOptions
  private readonly failures = new Map<string, Failures>()
  private endPause: () => void = () => undefined
  private readonly stopping = new AbortController()

  /** @param options - dependencies */
  constructor (options: LoaderOptions) {
    this.options = options
  }

  /** Ends the current pause, so that the loader checks for pending loads at once. */
  wake (): void {
    this.endPause()
  }

  /** Stops sending orders. {@link Loader.run} returns once an order in progress has ended. */
  stop (): void {
    this.stopping.abort()
  }

  private get stopped (): boolean {
    return this.stopping.signal.aborted
  }

  /** Loads pending adapters until the loader is stopped or the signal is aborted. No order is in progress after this call has returned. */
  async run (signal: AbortSignal): Promise<void> {
    const either = AbortSignal.any([signal, this.stopping.signal])
    while (!either.aborted) {
      const candidate = this.mostUrgentLoad()
      if (candidate === undefined) await this.idle(either)
      else await this.loadInTurn(candidate, either)
    }
  }

  /** @returns the number of requests that the eviction for one more load is expected to stall; 0 while a slot is free */
  evictionCost (): number {
    const { scheduler, eviction, clock } = this.options
    const pendingLoads = scheduler.adaptersAwaitingLoad().filter((adapter) => scheduler.slots.usableSlot(adapter) === undefined).length
    const beyondFree = pendingLoads - scheduler.slots.freeSlots
    if (beyondFree < 0) return 0
    const cost = eviction.cost?.(this.evictable().map(({ view }) => view), beyondFree, clock.now()) ?? 0
    return Math.min(LARGEST_COST, cost)
  }

  private evictable (): { view: SlotView, slot: Slot }[] {
    const { scheduler, otherCopies, earlierPins } = this.options
    return scheduler.slots.evictable((adapter) => scheduler.waitingFor(adapter).size, otherCopies, earlierPins())
  }

  private async loadInTurn (candidate: LoadCandidate, signal: AbortSignal): Promise<void> {
    const release = await this.turn(candidate, signal)
    if (release === undefined) return
    try {
      // During the wait for the turn another load may have become more urgent, or this load may have become unnecessary.
      const current = this.mostUrgentLoad()
      const progressed = current !== undefined && await this.loadOne(current)
      if (!progressed) await this.pause(RETRY_PAUSE_MILLISECONDS, signal)
    } finally {
      release()
    }
  }

  /** @returns a function that releases the load turn, or undefined if the wait for the turn was cancelled */
  private async turn (candidate: LoadCandidate, signal: AbortSignal): Promise<(() => void) | undefined> {
    const { scheduler, loadOrder, loadTurns, clock } = this.options
    // A load order for an adapter that the engine already holds fetches nothing from the weight store, so the order needs no turn.
    if (scheduler.slots.usableSlot(candidate.adapter)?.state === 'unverified') return () => undefined
    return await this.waitForTurn(() => loadTurns.acquire(loadOrder.urgency(candidate, clock.now()), signal), signal)
  }

  private async waitForTurn (acquire: () => Promise<() => void>, signal: AbortSignal): Promise<(() => void) | undefined> {
    try {
      return await acquire()
    } catch (cause) {
      if (signal.aborted) return undefined
      throw cause
    }
  }

  private async loadOne (candidate: LoadCandidate): Promise<boolean> {
    const { scheduler } = this.options
    const reference = this.referenceOf(candidate.adapter)
    if (reference === undefined || this.stopped) return false
    const present = scheduler.slots.usableSlot(candidate.adapter)
    if (present?.state === 'loaded') return false
    if (present === undefined && !scheduler.slots.hasFreeSlot && !await this.evictFor(candidate.adapter)) return false
    if (this.stopped) return false
    const name = present?.name ?? scheduler.nameFor(reference)
    const slot = scheduler.slots.occupy(name, 'loading', true, this.options.clock.now())
    return await this.order(slot, reference)
  }

  private async order (slot: Slot, reference: AdapterReference): Promise<boolean> {
    const { scheduler, client, logger } = this.options
    slot.state = 'loading'
    const result = await client.load({ name: slot.name, token: scheduler.token }, reference)
    scheduler.lastOrderAt = this.options.clock.wallTime() + CLOCK_MARGIN_MILLISECONDS
    if (result.isOk()) {
      slot.state = 'loaded'
      this.failures.delete(slot.adapter)
      this.options.loadAccounting.loaded(reference.team)
      scheduler.grantReady()
      return true
    }
    logger.warn('An adapter load failed.', { endpoint: scheduler.engine.endpoint, adapter: slot.adapter, kind: result.error.kind, reason: result.error.message })
    this.afterFailure(slot, result.error)
    return true
  }

  private afterFailure (slot: Slot, error: LimpetwinchError): void {
    const { scheduler, clock } = this.options
    // An order whose response was lost may have taken effect, so the slot stays occupied until a later order or report shows
    // whether the engine holds the adapter.
    if (error.outcome === 'unknown') slot.state = 'unverified'
    else if (slot.pins.size === 0) scheduler.slots.free(slot.name)
    const failures = this.failures.get(slot.adapter) ?? { count: 0, notBefore: 0 }
    failures.count += 1
    const backoff = Math.min(LONGEST_BACKOFF_MILLISECONDS, FIRST_BACKOFF_MILLISECONDS * 2 ** (failures.count - 1))
    failures.notBefore = clock.now() + backoff
    this.failures.set(slot.adapter, failures)
    if (failures.count < FAILURES_BEFORE_REFUSAL) return
    const refusal = new LimpetwinchError('load-failed', { adapter: slot.adapter, reason: error.message }, { outcome: 'not_run', retryAfterSeconds: Math.ceil(backoff / 1000) })
    scheduler.refuseWaiting(slot.adapter, refusal)
  }

  private async evictFor (incoming: string): Promise<boolean> {
    const { scheduler, client, eviction, rights, clock, logger } = this.options
    if (!rights().mayEvict) return false
    const candidates = this.evictable()
    // Requests cannot be admitted to names that this owner may not use, so these names are evicted first.
    const useless = candidates.find(({ slot }) => !slot.usable)
    const chosen = useless?.view.adapter ?? eviction.victim(candidates.map(({ view }) => view), incoming, clock.now())
    const slot = (useless ?? candidates.find(({ view }) => view.adapter === chosen))?.slot
    if (slot === undefined) return false
    // The state `unloading` keeps requests from being admitted to the slot until the unload order has ended.
    slot.state = 'unloading'
    const result = await client.unload({ name: slot.name, token: scheduler.token })
    scheduler.lastOrderAt = this.options.clock.wallTime() + CLOCK_MARGIN_MILLISECONDS
    if (result.isOk()) {
      scheduler.slots.free(slot.name)
      return true
    }
    logger.warn('An adapter unload failed.', { endpoint: scheduler.engine.endpoint, adapter: slot.adapter, kind: result.error.kind })
    scheduler.abandonName(slot)
    return false
  }

  private mostUrgentLoad (): LoadCandidate | undefined {
    const { scheduler, loadOrder, clock, rights } = this.options
    if (!rights().mayAdmit || !scheduler.knowsSlots) return undefined
    const candidates = scheduler.adaptersAwaitingLoad().map((adapter) => this.candidateFor(adapter))
    this.options.loadAccounting.setWaitingLoads(scheduler.engine.endpoint, new Map(candidates.map(({ adapter, team }) => [adapter, team])))
    return loadOrder.next(candidates, clock.now())
  }

  private candidateFor (adapter: string): LoadCandidate {
    const { scheduler, loadAccounting } = this.options
    const waiting = [...scheduler.waitingFor(adapter)]
    const team = waiting[0]?.team ?? ''
    const failures = this.failures.get(adapter)
    return {
      adapter,
      team,
      endpoint: scheduler.engine.endpoint,
      waitingSince: Math.min(...waiting.map((item) => item.enqueuedAt)),
      waitingRequests: waiting.length,
      highestPriority: Math.max(...waiting.map((item) => item.priority)),
      shareUsed: loadAccounting.shareUsed(team),
      failures: failures?.count ?? 0,
      notBefore: failures?.notBefore ?? 0
    }
  }

  private referenceOf (adapter: string): AdapterReference | undefined {
    for (const item of this.options.scheduler.waitingFor(adapter)) {
      if (item.request.adapter !== undefined && formatAdapter(item.request.adapter) === adapter) return item.request.adapter
    }
    return undefined
  }

  private async idle (signal: AbortSignal): Promise<void> {
    const { scheduler } = this.options
    if (scheduler.adaptersAwaitingLoad().length > 0) return await this.pause(RETRY_PAUSE_MILLISECONDS, signal)
    await this.pause(IDLE_PAUSE_MILLISECONDS, signal)
    if (!signal.aborted && scheduler.queued === 0) await this.loadAhead(signal)
  }

  /** Loads an adapter that was recently popular and that no engine holds into a free slot, while no request waits at this engine. */
  private async loadAhead (signal: AbortSignal): Promise<void> {
    const { scheduler, loadAhead, otherCopies, servable, loadTurns, rights, clock } = this.options
    if (!scheduler.slots.hasFreeSlot || !scheduler.knowsSlots || !rights().mayAdmit) return
    const isHeld = (adapter: string): boolean => scheduler.slots.usableSlot(adapter) !== undefined || otherCopies(adapter) > 0
    const adapter = loadAhead.suggest(isHeld, clock.now())
    const reference = adapter === undefined ? undefined : servable(adapter)
    if (reference === undefined) return
    const release = await this.waitForTurn(() => loadTurns.acquire(MINIMUM_URGENCY, signal), signal)
    if (release === undefined) return
    try {
      const stillFree = scheduler.slots.hasFreeSlot && scheduler.slots.usableSlot(formatAdapter(reference)) === undefined
      if (stillFree && !this.stopped) await this.order(scheduler.slots.occupy(scheduler.nameFor(reference), 'loading', true, clock.now()), reference)
    } finally {
      release()
    }
  }

  private async pause (milliseconds: number, signal: AbortSignal): Promise<void> {
    const early = new AbortController()
    this.endPause = () => early.abort()
    await this.options.clock.sleep(milliseconds, AbortSignal.any([signal, early.signal]))
  }
}
