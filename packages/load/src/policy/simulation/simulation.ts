/** Replays a trace on simulated engines with the decision classes of one policy, on a simulated clock. */
import { ServiceRate } from '@limpetwinch/decisions'
import type { Refusal, WaitForecast } from '@limpetwinch/decisions'
import type { Trace, TraceRequest } from '../traces/trace.js'
import { BATCH_CAPACITY, stepMilliseconds } from './engine-timing.js'
import { EngineView } from './engine-view.js'
import { EventQueue } from './event-queue.js'
import { LoadPipeline } from './load-pipeline.js'
import type { LoadCounts } from './load-pipeline.js'
import type { PolicyBundle } from './policy-bundle.js'
import { ServiceRecord } from './service-record.js'
import { SimulatedEngine } from './simulated-engine.js'
import type { StepCounts } from './simulated-engine.js'
import { OUTPUT_TOKEN_WEIGHT, SimulatedRequest } from './simulated-request.js'

/** Counters and per-request results of one run. */
export interface SimulationResult {
  readonly requests: readonly SimulatedRequest[]
  /** Time at which the run ended, milliseconds of simulated time. A request still waiting then counts with its wait up to this time. */
  readonly endedAt: number
  readonly loads: LoadCounts
  readonly steps: readonly StepCounts[]
  readonly service: ServiceRecord
}

/** Optional inputs of a run besides the trace and the policy. */
export interface SimulationOptions {
  /** @returns whether the load of the adapter that finishes at `now` fails */
  readonly loadFails?: (adapter: string, now: number) => boolean
  /** Requests to replay in place of the requests of the trace. */
  readonly requests?: readonly TraceRequest[]
}

/** Interval between two engine reports to the router. */
const REPORT_INTERVAL_MILLISECONDS = 200
/** Time after the last arrival in which waiting requests may still be served, milliseconds. */
const DRAIN_MILLISECONDS = 10_000
/** Maximum requests in the queue of one engine when the policy has no overload guard. */
const MAXIMUM_QUEUED_REQUESTS = 500
/** Age at which a sample of an engine's service rate counts 1/e as much as a new sample. */
const RATE_MEMORY_MILLISECONDS = 10_000
/** Weighted tokens per millisecond of an engine whose batch is full. */
const FULL_BATCH_RATE = BATCH_CAPACITY * OUTPUT_TOKEN_WEIGHT / stepMilliseconds(BATCH_CAPACITY, 0)

/** One run of one policy on one trace. */
export class Simulation {
  private readonly events = new EventQueue()
  private readonly engines: SimulatedEngine[]
  private readonly views: EngineView[]
  private readonly rates: ServiceRate[]
  private readonly loads: LoadPipeline
  private readonly service: ServiceRecord
  private readonly requests: SimulatedRequest[]
  private readonly endsAt: number
  private now = 0
  /** Loads pending or in progress on all engines at the last report. */
  private pendingLoads = 0

  constructor (private readonly trace: Trace, private readonly policy: PolicyBundle, options: SimulationOptions = {}) {
    const arrivals = options.requests ?? trace.requests
    this.requests = arrivals.map((request, index) => new SimulatedRequest(request, index))
    this.endsAt = (arrivals.at(-1)?.atMilliseconds ?? 0) + DRAIN_MILLISECONDS
    const listener = {
      completed: (request: SimulatedRequest, now: number) => this.completed(request, now),
      served: (request: SimulatedRequest, tokens: number) => this.service.served(request.team, tokens),
      slotReleased: () => this.loads.changed()
    }
    this.engines = Array.from({ length: trace.size.engines }, (_, index) =>
      new SimulatedEngine(index, trace.size.slots, policy.makeQueue(), policy.eviction, listener))
    this.views = this.engines.map((engine) => new EngineView(engine, policy.eviction, () => this.now))
    this.rates = this.engines.map(() => new ServiceRate(FULL_BATCH_RATE, RATE_MEMORY_MILLISECONDS))
    this.service = new ServiceRecord(trace.weights)
    this.loads = new LoadPipeline(this.engines, policy, this.events, {
      loaded: (engine, now) => this.beginStepIfIdle(engine, now)
    }, trace.size.loadsPerSecond, options.loadFails ?? (() => false))
    for (const [team, weight] of trace.weights) this.setWeight(team, weight)
  }

  /**
   * Runs the simulation to its end.
   *
   * @returns the counters and per-request results
   */
  run (): SimulationResult {
    for (const request of this.requests) this.events.at(request.enqueuedAt, (now) => this.handleArrival(request, now))
    for (const { atMilliseconds, engine } of this.trace.restarts) {
      this.events.at(atMilliseconds, (now) => this.restart(this.engines[engine], now))
    }
    this.events.at(0, (now) => this.refreshReports(now))
    this.events.runUntil(this.endsAt)
    return {
      requests: this.requests,
      endedAt: this.endsAt,
      loads: this.loads.counts,
      steps: this.engines.map((engine) => engine.counts),
      service: this.service
    }
  }

  private setWeight (team: string, weight: number): void {
    for (const engine of this.engines) engine.queue.setWeight(team, weight)
    this.policy.loadAccounting?.setWeight(team, weight)
  }

  private handleArrival (request: SimulatedRequest, now: number): void {
    this.policy.loadAhead?.recordUse(request.adapter, now)
    this.route(request, now)
    this.loads.run(now)
  }

  private route (request: SimulatedRequest, now: number, hasRun = false): void {
    this.now = now
    const chosen = this.policy.routing.choose({
      adapter: request.adapter,
      team: request.team,
      baseModel: 'base',
      prompt: '',
      promptTokens: request.trace.promptTokens,
      maximumTokens: request.maximumTokens,
      priority: request.priority,
      shareUsed: this.policy.accounting?.shareUsedAmongActive(request.team) ?? 1,
      avoid: NO_ENDPOINTS
    }, this.views, now)
    const index = this.views.findIndex((view) => view.endpoint === chosen)
    const engine = this.engines[index]
    const view = this.views[index]
    if (engine === undefined || view === undefined) return this.refuse(request, now)
    if (!hasRun && !this.admit(request, engine, now)) return this.refuse(request, now)
    view.sentSinceReport += 1
    this.enqueue(request, engine, now)
  }

  private admit (request: SimulatedRequest, engine: SimulatedEngine, now: number): boolean {
    if (this.policy.overloadGuard === undefined) return engine.queue.size < MAXIMUM_QUEUED_REQUESTS
    const decision = this.policy.overloadGuard.admit(request, engine.queue, this.forecast(request, engine), now)
    if (decision.admitted && decision.shed !== undefined) this.refuseQueued(engine, decision.shed, now)
    return decision.admitted
  }

  private enqueue (request: SimulatedRequest, engine: SimulatedEngine, now: number): void {
    engine.enqueue(request, now)
    this.service.addWaiting(request.team, 1)
    if (engine.slots.get(request.adapter)?.state === 'loaded') this.beginStepIfIdle(engine, now)
    else this.loads.changed()
  }

  /** Predicts the wait from the weighted tokens queued before the request and the recent service rate of the engine. */
  private forecast (request: SimulatedRequest, engine: SimulatedEngine): WaitForecast {
    const rate = this.rates[engine.index]?.rate ?? FULL_BATCH_RATE
    const ahead = engine.queue.tokensAhead?.(request) ?? 0
    const serviceMilliseconds = request.maximumTokens / 2 * stepMilliseconds(BATCH_CAPACITY, 0)
    const held = engine.slots.get(request.adapter)?.state === 'loaded'
    const load = held ? 0 : (this.pendingLoads + 1) * 1_000 / this.trace.size.loadsPerSecond
    return { firstTokenMilliseconds: Math.max(load, ahead / rate), serviceMilliseconds }
  }

  private refuseQueued (engine: SimulatedEngine, removed: { readonly item: SimulatedRequest, readonly refusal: Refusal }, now: number): void {
    engine.recordDequeued(removed.item, now)
    this.service.addWaiting(removed.item.team, -1)
    this.refuse(removed.item, now)
  }

  private refuse (request: SimulatedRequest, now: number): void {
    request.endStall(now)
    request.state = 'refused'
    request.endedAt = now
  }

  private completed (request: SimulatedRequest, now: number): void {
    request.state = 'completed'
    request.endedAt = now
  }

  /** Begins a step on the engine unless a step is in progress. */
  private beginStepIfIdle (engine: SimulatedEngine, now: number): void {
    if (engine.stepping) return
    const before = engine.running.length
    const length = engine.beginStep(now)
    this.recordStarted(engine, before)
    if (length === undefined) return
    engine.stepping = true
    const epoch = engine.epoch
    this.events.at(now + length, (at) => this.handleStepEnd(engine, epoch, at))
  }

  private handleStepEnd (engine: SimulatedEngine, epoch: number, now: number): void {
    if (engine.epoch !== epoch) return
    const before = this.service.total
    const full = engine.running.length >= BATCH_CAPACITY
    engine.endStep(now)
    this.rates[engine.index]?.served(this.service.total - before, full, now)
    engine.stepping = false
    this.beginStepIfIdle(engine, now)
    this.loads.run(now)
  }

  private recordStarted (engine: SimulatedEngine, before: number): void {
    for (const request of engine.running.slice(before)) this.service.addWaiting(request.team, -1)
  }

  private restart (engine: SimulatedEngine | undefined, now: number): void {
    if (engine === undefined) return
    for (const request of engine.restart(now)) {
      if (request.trace.idempotent) this.resumeStream(request, now)
      else request.state = 'lost'
    }
    this.loads.changed()
    this.loads.run(now)
  }

  /** Routes a stream that an engine restart interrupted. It continues after its last token but its prompt must be read again. */
  private resumeStream (request: SimulatedRequest, now: number): void {
    request.promptTokensLeft = request.trace.promptTokens
    this.route(request, now, true)
  }

  private refreshReports (now: number): void {
    this.pendingLoads = 0
    this.views.forEach((view, index) => {
      const engine = this.engines[index]
      if (engine !== undefined) view.refresh(this.loads.pendingLoads(engine))
      this.pendingLoads += view.pendingLoads
    })
    for (const engine of this.engines) this.refuseExpired(engine, now)
    this.service.sample(now)
    this.loads.run(now)
    if (now < this.endsAt) this.events.at(now + REPORT_INTERVAL_MILLISECONDS, (at) => this.refreshReports(at))
  }

  private refuseExpired (engine: SimulatedEngine, now: number): void {
    const { overloadGuard: guard } = this.policy
    if (guard !== undefined) {
      const service = (request: SimulatedRequest) => ({
        firstTokenMilliseconds: 0,
        serviceMilliseconds: request.maximumTokens / 2 * stepMilliseconds(BATCH_CAPACITY, 0)
      })
      for (const removed of guard.expire(engine.queue, service, now)) this.refuseQueued(engine, removed, now)
      return
    }
    for (const request of [...engine.queue.items()]) {
      if (request.deadlineAt > now) continue
      engine.queue.remove(request.requestId)
      engine.recordDequeued(request, now)
      this.service.addWaiting(request.team, -1)
      this.refuse(request, now)
    }
  }
}

const NO_ENDPOINTS: ReadonlySet<never> = new Set<never>()
