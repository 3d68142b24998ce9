/** HTTP server of the stand-in engine. */
import { randomUUID } from 'node:crypto'
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response'
import type { Context } from 'hono'
import type { EngineReport, LoadedName, RequestId } from '@limpetwinch/core'
import { HistoryRecorder } from '../history/history-recorder.js'
import type { OrderEvent } from '../history/history-recorder.js'
import { readBody } from '../http/read-body.js'
import { refuse, StandInServer } from '../http/stand-in-server.js'
import type { StandInApplication, StandInEnvironment } from '../http/stand-in-server.js'
import { AdapterSlots } from './adapter-slots.js'
import { Batch } from './batch.js'
import { configureSchema, engineFaultsSchema, generateSchema, loadSchema, restartSchema, unloadSchema } from './engine-bodies.js'
import type { EngineFaults } from './engine-bodies.js'
import { ENGINE_DEFAULTS } from './engine-options.js'
import type { StandInEngineOptions } from './engine-options.js'
import { EventStream } from './event-stream.js'
import { LaggingReport } from './lagging-report.js'
import { PrefixCache } from './prefix-cache.js'
import { Sequence } from './sequence.js'
import type { SequenceResult } from './sequence.js'
import { SequenceTable } from './sequence-table.js'

type Answer = Response | Promise<Response>

/** Number of received calls, by kind. */
export interface EngineCalls {
  generate: number
  resume: number
  cancel: number
}

/** A stand-in for one model engine. */
export class StandInEngine extends StandInServer {
  readonly history: HistoryRecorder
  readonly calls: EngineCalls = { generate: 0, resume: 0, cancel: 0 }
  private readonly options: StandInEngineOptions
  private readonly batch: Batch
  private readonly slots: AdapterSlots
  private readonly cache: PrefixCache
  private readonly sequences: SequenceTable
  private readonly reports: LaggingReport<EngineReport>
  private readonly faults = { refuse: false, dropStreams: 0, dropAfterTokens: 3, duplicateEvery: 0, lateEvery: 0, ignoreCancel: false }
  private engineRun: string = randomUUID()
  private baseModel: string
  private role: string
  private highestToken = 0
  private runs = 0
  private startsUntil = 0

  /** @param options - options that differ from the defaults */
  constructor (options: Partial<StandInEngineOptions> = {}) {
    super()
    this.options = { ...ENGINE_DEFAULTS, ...options }
    this.baseModel = this.options.baseModel
    this.role = this.options.role
    this.history = new HistoryRecorder(this.options.history)
    this.slots = new AdapterSlots(this.options.slots, this.options)
    this.cache = new PrefixCache(this.options)
    this.sequences = new SequenceTable(this.options.keepEndedMilliseconds)
    this.batch = new Batch(this.options, {
      started: (sequence) => this.noteStarted(sequence),
      ended: (sequence, result) => this.noteEnded(sequence, result)
    })
    this.reports = new LaggingReport(() => this.makeReport(), this.options.reportLag, this.options.reportInterval)
    this.setFaults(this.options.faults)
  }

  /** Sets the given faults; other faults stay unchanged. */
  setFaults (faults: EngineFaults): void {
    const { failLoads, failLoadsOf, slowLoads, reportLag, stepMilliseconds, silenceConnections, silentConnections, ...requestFaults } = faults
    Object.assign(this.faults, requestFaults)
    if (failLoads !== undefined) this.slots.faults.failLoads = failLoads
    if (failLoadsOf !== undefined) this.slots.faults.failLoadsOf = failLoadsOf
    if (slowLoads !== undefined) this.slots.faults.slowLoads = slowLoads
    if (reportLag !== undefined) this.reports.lag = reportLag
    if (stepMilliseconds !== undefined) this.batch.stepMilliseconds = stepMilliseconds
    if (silenceConnections === true) this.silenceOpenConnections()
    if (silentConnections !== undefined) this.silenceNextConnections(silentConnections)
  }

  /**
   * Simulates a cold restart: running requests are lost, no adapter is loaded, and fencing tokens and ended requests are forgotten.
   *
   * @param startMilliseconds - time for which requests and load orders are refused after the restart
   */
  restart (startMilliseconds = 0): void {
    this.startsUntil = performance.now() + startMilliseconds
    this.engineRun = randomUUID()
    this.highestToken = 0
    this.history.record({ event: 'endpoint-restarted', endpoint: this.options.name })
    this.batch.endAll('the engine was restarted', () => true)
    this.slots.clear()
    this.cache.clear()
    this.sequences.clear()
  }

  override async close (): Promise<void> {
    this.batch.stop()
    this.reports.stop()
    this.slots.clear()
    await super.close()
    await this.history.close()
  }

  protected override routes (application: StandInApplication): void {
    application.post('/generate', (context) => this.generate(context))
    application.get('/generate/:id', (context) => this.resume(context))
    application.post('/generate/:id/cancel', (context) => this.cancel(context))
    application.post('/adapters/load', (context) => this.load(context))
    application.post('/adapters/unload', (context) => this.unload(context))
    application.post('/configure', (context) => this.configure(context))
    application.get('/report', (context) => context.json(this.reports.read()))
    application.get('/cache-events', (context) => {
      const after = Number(context.req.query('after') ?? 0) || 0
      return context.json({ events: this.cache.eventsAfter(after) })
    })
    application.get('/control/calls', (context) => context.json(this.calls))
    application.get('/control/history', (context) => context.json({ events: this.history.all() }))
    application.post('/control/faults', async (context) => {
      const body = await readBody(context, engineFaultsSchema)
      if (body.isErr()) return body.error
      this.setFaults(body.value)
      return context.json({})
    })
    application.post('/control/restart', async (context) => {
      const body = await readBody(context, restartSchema)
      if (body.isErr()) return body.error
      this.restart(body.value.startMilliseconds)
      return context.json({})
    })
  }

  private async generate (context: Context<StandInEnvironment>): Promise<Response> {
    this.calls.generate += 1
    const body = await readBody(context, generateSchema)
    if (body.isErr()) return body.error
    const { adapter } = body.value
    if (this.faults.refuse) return refuse(context, 503, 'refused', 'The engine refuses new requests.')
    if (this.isStarting()) return refuse(context, 503, 'refused', 'The engine is starting.')
    if (adapter !== undefined && !this.slots.holds(adapter)) {
      return refuse(context, 409, 'adapter-not-loaded', `'${adapter}' is not loaded.`)
    }
    this.runs += 1
    const sequence = new Sequence(body.value, `${this.engineRun}:${this.runs}`)
    if (!this.batch.submit(sequence)) return refuse(context, 503, 'refused', 'The queue is full.')
    this.sequences.add(sequence)
    return this.stream(context, sequence, 0)
  }

  private resume (context: Context<StandInEnvironment>): Answer {
    this.calls.resume += 1
    const requestId = context.req.param('id') ?? ''
    const sequence = this.sequences.find(requestId)
    if (sequence === undefined) return refuse(context, 404, 'unknown-request', `Request '${requestId}' is not known here.`)
    return this.stream(context, sequence, Number(context.req.query('from') ?? 0) || 0)
  }

  private stream (context: Context<StandInEnvironment>, sequence: Sequence, from: number): Response {
    const { incoming, outgoing } = context.env
    const stream = new EventStream(outgoing as never, this.takeStreamFaults(), () => this.isSilent(incoming.socket))
    outgoing.once('close', () => sequence.removeReader(stream))
    sequence.read(stream, from)
    return RESPONSE_ALREADY_SENT
  }

  private takeStreamFaults (): { dropAfterTokens: number | undefined, duplicateEvery: number, lateEvery: number } {
    const { dropStreams, dropAfterTokens, duplicateEvery, lateEvery } = this.faults
    if (dropStreams > 0) this.faults.dropStreams -= 1
    return { dropAfterTokens: dropStreams > 0 ? dropAfterTokens : undefined, duplicateEvery, lateEvery }
  }

  private cancel (context: Context<StandInEnvironment>): Answer {
    this.calls.cancel += 1
    const sequence = this.sequences.find(context.req.param('id') ?? '')
    if (sequence !== undefined && !this.faults.ignoreCancel) this.batch.end(sequence, 'cancelled', 'cancelled')
    return context.json({})
  }

  private async load (context: Context<StandInEnvironment>): Promise<Response> {
    const body = await readBody(context, loadSchema)
    if (body.isErr()) return body.error
    const { name, token } = body.value
    if (this.isStarting()) return refuse(context, 503, 'refused', 'The engine is starting.')
    if (this.isStale(token)) return this.refuseStale(context, 'load', name, token)
    const result = await this.slots.load(body.value)
    this.recordOrder('load', name, token, result.isOk() ? 'done' : result.error.code)
    return result.match(() => context.json({}), (problem) => refuse(context, problem.status, problem.code, problem.message))
  }

  private async unload (context: Context<StandInEnvironment>): Promise<Response> {
    const body = await readBody(context, unloadSchema)
    if (body.isErr()) return body.error
    const { name, token } = body.value
    if (this.isStale(token)) return this.refuseStale(context, 'unload', name, token)
    this.slots.unload(name)
    this.recordOrder('unload', name, token, 'done')
    // The unload is carried out also while the adapter is in use, so that a checker can detect a load owner that evicts wrongly.
    this.batch.endAll(`adapter '${name}' was unloaded while in use`, (sequence) => sequence.request.adapter === name)
    return context.json({})
  }

  private async configure (context: Context<StandInEnvironment>): Promise<Response> {
    const body = await readBody(context, configureSchema)
    if (body.isErr()) return body.error
    const { baseModel = this.baseModel, role = this.role, token } = body.value
    if (this.isStale(token)) return this.refuseStale(context, 'configure', baseModel, token)
    this.role = role
    this.recordOrder('configure', baseModel, token, 'done')
    if (baseModel !== this.baseModel) this.changeBaseModel(baseModel)
    return context.json({})
  }

  /** Changes the base model: adapters and cached prefixes are cleared, and running requests are lost. */
  private changeBaseModel (baseModel: string): void {
    this.baseModel = baseModel
    this.batch.endAll('the base model was changed', () => true)
    this.slots.clear()
    this.cache.clear()
  }

  private isStarting (): boolean {
    return performance.now() < this.startsUntil
  }

  /** Records the fencing token of an order. @returns whether the token is stale and must be refused */
  private isStale (token: number): boolean {
    if (this.options.fencing === 'ignores') return false
    if (token < this.highestToken) return true
    this.highestToken = token
    return false
  }

  private refuseStale (context: Context<StandInEnvironment>, order: OrderEvent['order'], name: string, token: number): Response {
    this.recordOrder(order, name, token, 'stale-fencing-token')
    return refuse(context, 409, 'stale-fencing-token', `Token ${token} is older than ${this.highestToken}.`)
  }

  private recordOrder (order: OrderEvent['order'], name: string, token: number, result: string): void {
    this.history.record({ event: 'order', endpoint: this.options.name, order, name, token, result })
  }

  private noteStarted (sequence: Sequence): number {
    const { request, run } = sequence
    this.history.record({ event: 'run-started', endpoint: this.options.name, run, request: request.requestId, adapter: request.adapter, prompt: request.prompt })
    return this.cache.use(request.adapter, request.prompt)
  }

  private noteEnded (sequence: Sequence, result: SequenceResult): void {
    this.sequences.noteEnded(sequence)
    if (!sequence.started) return
    const { request, run } = sequence
    const tokens = sequence.promptTokens + sequence.produced
    this.history.record({ event: 'run-ended', endpoint: this.options.name, run, request: request.requestId, result, tokens })
  }

  private makeReport (): EngineReport {
    const running = [...this.batch.running].map(({ request }) => ({
      requestId: request.requestId as RequestId,
      adapter: request.adapter as LoadedName | undefined
    }))
    return {
      madeAt: Date.now(),
      engineRun: this.engineRun,
      baseModel: this.baseModel,
      role: this.role,
      slots: this.slots.size,
      loaded: this.slots.loaded as readonly LoadedName[],
      running,
      queued: this.batch.queued,
      batchCapacity: this.batch.capacity,
      batchFill: this.batch.takeFill()
    }
  }
}
