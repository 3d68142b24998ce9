/** One engine with the queue that its owner keeps: slots, steps and waiting requests. */
import type { EvictionPolicy, FairQueue } from '@limpetwinch/decisions'
import { BATCH_CAPACITY, PROMPT_TOKENS_PER_STEP, stepMilliseconds } from './engine-timing.js'
import { EngineSlots } from './engine-slots.js'
import { OUTPUT_TOKEN_WEIGHT } from './simulated-request.js'
import type { SimulatedRequest } from './simulated-request.js'

/** Callbacks from an engine to the simulation. */
export interface EngineListener {
  /** Called when the last token of a request was generated. */
  readonly completed: (request: SimulatedRequest, now: number) => void
  /** Called with the weighted tokens that a request was served in a step. */
  readonly served: (request: SimulatedRequest, tokens: number, now: number) => void
  /** Called when a pin or a waiting request was removed, so that a slot may be available for a load. */
  readonly slotReleased: () => void
}

/** Counters of the steps of an engine. */
export interface StepCounts {
  steps: number
  sequences: number
  /** Steps taken while requests waited in this engine's queue. */
  stepsWhileWaiting: number
  sequencesWhileWaiting: number
}

/** A simulated engine, which runs batches of requests in steps. */
export class SimulatedEngine {
  readonly slots: EngineSlots
  readonly running: SimulatedRequest[] = []
  readonly counts: StepCounts = { steps: 0, sequences: 0, stepsWhileWaiting: 0, sequencesWhileWaiting: 0 }
  /** Waiting requests by adapter, the oldest first. */
  readonly waitingByAdapter = new Map<string, Set<SimulatedRequest>>()
  /** Incremented at each cold restart, so that events of steps and loads from before the restart are ignored. */
  epoch = 0
  stepping = false

  constructor (
    readonly index: number,
    slotCount: number,
    readonly queue: FairQueue<SimulatedRequest>,
    private readonly eviction: EvictionPolicy,
    private readonly listener: EngineListener
  ) {
    this.slots = new EngineSlots(slotCount)
  }

  /** Adds a request to the queue. */
  enqueue (request: SimulatedRequest, now: number): void {
    request.engine = this.index
    request.state = 'waiting'
    this.queue.push(request)
    const waiting = this.waitingByAdapter.get(request.adapter) ?? new Set()
    this.waitingByAdapter.set(request.adapter, waiting.add(request))
    const slot = this.slots.get(request.adapter)
    if (slot !== undefined) slot.waiting += 1
    if (slot?.state !== 'loaded') request.beginStall(now)
    this.eviction.recordUse(request.adapter, request.team, request.cost, now)
  }

  /** Updates the bookkeeping of a request that left the queue, either to run or because it was refused. */
  recordDequeued (request: SimulatedRequest, now: number): void {
    const waiting = this.waitingByAdapter.get(request.adapter)
    waiting?.delete(request)
    if (waiting?.size === 0) this.waitingByAdapter.delete(request.adapter)
    const slot = this.slots.get(request.adapter)
    if (slot !== undefined) slot.waiting -= 1
    request.endStall(now)
    this.listener.slotReleased()
  }

  /**
   * Begins a step if the engine has requests to run.
   *
   * @returns the duration of the step in milliseconds, or undefined when there is nothing to run
   */
  beginStep (now: number): number | undefined {
    this.admit(now)
    if (this.running.length === 0) return undefined
    this.count()
    let promptTokens = 0
    for (const request of this.running) {
      if (request.promptTokensLeft > 0) promptTokens += Math.min(request.promptTokensLeft, PROMPT_TOKENS_PER_STEP - promptTokens)
    }
    return stepMilliseconds(this.running.length, promptTokens)
  }

  /** Ends the step in progress: applies the prompt tokens read and the output tokens generated. */
  endStep (now: number): void {
    let promptRoom = PROMPT_TOKENS_PER_STEP
    for (const request of [...this.running]) {
      if (request.promptTokensLeft > 0) {
        const read = Math.min(request.promptTokensLeft, promptRoom)
        promptRoom -= read
        request.promptTokensLeft -= read
        this.serve(request, read, now)
        if (request.promptTokensLeft > 0) continue
      }
      this.generate(request, now)
    }
  }

  /** @returns the number of adapters with waiting requests that have no slot yet */
  slotsNeeded (): number {
    let needed = 0
    for (const adapter of this.waitingByAdapter.keys()) if (this.slots.get(adapter) === undefined) needed += 1
    return needed
  }

  /**
   * Restarts cold: loses the loaded adapters and the running requests.
   *
   * @returns the requests that were running
   */
  restart (now: number): SimulatedRequest[] {
    this.epoch += 1
    this.stepping = false
    const lost = this.running.splice(0)
    for (const request of lost) this.settle(request)
    this.slots.clear()
    for (const waiting of this.waitingByAdapter.values()) {
      for (const request of waiting) request.beginStall(now)
    }
    return lost
  }

  private admit (now: number): void {
    while (this.running.length < BATCH_CAPACITY && this.queue.size > 0) {
      const request = this.queue.next((item) => this.slots.get(item.adapter)?.state === 'loaded', now, BATCH_CAPACITY - this.running.length)
      if (request === undefined) return
      const slot = this.slots.get(request.adapter)
      if (slot === undefined) throw new Error('The queue returned a request whose adapter is not loaded.')
      slot.pins += 1
      slot.lastUsedAt = now
      this.recordDequeued(request, now)
      request.state = 'running'
      this.running.push(request)
    }
  }

  private generate (request: SimulatedRequest, now: number): void {
    if (request.firstTokenAt < 0) request.firstTokenAt = now
    request.outputTokensLeft -= 1
    this.serve(request, OUTPUT_TOKEN_WEIGHT, now)
    if (request.outputTokensLeft > 0) return
    this.running.splice(this.running.indexOf(request), 1)
    const slot = this.slots.get(request.adapter)
    if (slot !== undefined) slot.pins -= 1
    this.settle(request)
    this.listener.slotReleased()
    this.listener.completed(request, now)
  }

  /** Corrects the charge of the team: the queue charged the expected cost, and the served tokens are known now. */
  private settle (request: SimulatedRequest): void {
    this.queue.charge(request.team, request.chargedTokens - request.cost)
    request.chargedTokens = 0
  }

  private serve (request: SimulatedRequest, tokens: number, now: number): void {
    request.chargedTokens += tokens
    this.listener.served(request, tokens, now)
  }

  private count (): void {
    this.counts.steps += 1
    this.counts.sequences += this.running.length
    if (this.queue.size === 0) return
    this.counts.stepsWhileWaiting += 1
    this.counts.sequencesWhileWaiting += this.running.length
  }
}
