/** HTTP server of the stand-in platform: object API, instance list and weight store. */
import type { Context } from 'hono'
import type { LimpetwinchError } from '@limpetwinch/core'
import { HistoryRecorder } from '../history/history-recorder.js'
import { readBody } from '../http/read-body.js'
import { cut, refuse, StandInServer } from '../http/stand-in-server.js'
import type { StandInApplication, StandInEnvironment } from '../http/stand-in-server.js'
import { LaggingList } from './lagging-list.js'
import { MemoryObjectStore } from './memory-object-store.js'
import { instanceSchema, platformFaultsSchema, writeSchema } from './platform-bodies.js'
import type { PlatformFaults } from './platform-bodies.js'
import { CallRateLimiter } from './call-rate-limiter.js'
import { WeightStore } from './weight-store.js'

/** Options of the stand-in platform. */
export interface StandInPlatformOptions {
  readonly readsPerSecond: number
  readonly writesPerSecond: number
  readonly loadsPerSecond: number
  readonly sharingPenalty: number
  /** Delay until the instance list shows a change, in milliseconds. */
  readonly listLag: number
  /** Path of a file to which history lines are appended. */
  readonly history?: string | undefined
  readonly faults?: PlatformFaults | undefined
}

/** Defaults, with the rates that users state for their platform. */
export const PLATFORM_DEFAULTS: StandInPlatformOptions = {
  readsPerSecond: 2000,
  writesPerSecond: 400,
  loadsPerSecond: 4,
  sharingPenalty: 0.3,
  listLag: 500
}

const MAXIMUM_VALUE_BYTES = 1024 * 1024
const MAXIMUM_WATCH_MILLISECONDS = 60_000

/** A stand-in for the platform of a deployment. */
export class StandInPlatform extends StandInServer {
  readonly store = new MemoryObjectStore()
  readonly history: HistoryRecorder
  private readonly list: LaggingList
  private readonly weights: WeightStore
  private readonly reads: CallRateLimiter
  private readonly writes: CallRateLimiter
  private refusedCalls = 0
  private loads = 0
  private weightsOutage = false
  private missingWeights: ReadonlySet<string> = new Set()

  /** @param options - rates, delay of the instance list and initial faults */
  constructor (options: Partial<StandInPlatformOptions> = {}) {
    super()
    const allOptions = { ...PLATFORM_DEFAULTS, ...options }
    this.history = new HistoryRecorder(allOptions.history)
    this.list = new LaggingList(allOptions.listLag)
    this.weights = new WeightStore(allOptions)
    this.reads = new CallRateLimiter(allOptions.readsPerSecond)
    this.writes = new CallRateLimiter(allOptions.writesPerSecond)
    if (allOptions.faults !== undefined) this.setFaults(allOptions.faults)
  }

  /** Sets the given faults; other faults stay unchanged. */
  setFaults (faults: PlatformFaults): void {
    const { weightsOutage, weightsSlowness, missingWeights, listLag, silenceConnections, silentConnections, ...storeFaults } = faults
    Object.assign(this.store.faults, storeFaults)
    if (weightsOutage !== undefined) this.weightsOutage = weightsOutage
    if (weightsSlowness !== undefined) this.weights.slowness = weightsSlowness
    if (missingWeights !== undefined) this.missingWeights = new Set(missingWeights)
    if (listLag !== undefined) this.list.lag = listLag
    if (silenceConnections === true) this.silenceOpenConnections()
    if (silentConnections !== undefined) this.silenceNextConnections(silentConnections)
  }

  override async close (): Promise<void> {
    await super.close()
    await this.history.close()
  }

  protected override routes (application: StandInApplication): void {
    application.get('/objects', (context) => this.readObjects(context))
    application.put('/objects', (context) => this.writeObject(context))
    application.get('/watch', (context) => this.watchObjects(context))
    application.get('/instances', (context) => this.readInstances(context))
    application.get('/weights', (context) => this.transferWeights(context))
    application.get('/control/calls', (context) => context.json({ ...this.store.calls, refused: this.refusedCalls, loads: this.loads }))
    application.get('/control/history', (context) => context.json({ events: this.history.all() }))
    application.post('/control/faults', async (context) => {
      const body = await readBody(context, platformFaultsSchema)
      if (body.isErr()) return body.error
      this.setFaults(body.value)
      return context.json({})
    })
    application.put('/control/instances', (context) => this.putInstance(context))
    application.delete('/control/instances', (context) => {
      this.list.remove(context.req.query('id') ?? '')
      return context.json({})
    })
  }

  private async readObjects (context: Context<StandInEnvironment>): Promise<Response> {
    if (!this.reads.take(performance.now())) return this.refuseOverRate(context)
    const path = context.req.query('path')
    if (path === undefined) {
      return (await this.store.list(context.req.query('prefix') ?? '')).match((page) => context.json(page), (error) => failed(context, error))
    }
    return (await this.store.get(path)).match(
      (object) => object === undefined ? refuse(context, 404, 'unknown-object', `There is no object '${path}'.`) : context.json(object),
      (error) => failed(context, error))
  }

  private async writeObject (context: Context<StandInEnvironment>): Promise<Response> {
    if (!this.writes.take(performance.now())) return this.refuseOverRate(context)
    const body = await readBody(context, writeSchema)
    if (body.isErr()) return body.error
    if (Buffer.byteLength(JSON.stringify(body.value.value ?? null)) > MAXIMUM_VALUE_BYTES) {
      return refuse(context, 413, 'value-too-large', `A value may have up to ${MAXIMUM_VALUE_BYTES} bytes; split it over several objects.`)
    }
    return (await this.store.put(body.value)).match((version) => context.json({ version }), (error) => failed(context, error))
  }

  private async watchObjects (context: Context<StandInEnvironment>): Promise<Response> {
    if (!this.reads.take(performance.now())) return this.refuseOverRate(context)
    const { prefix = '', cursor = '0', wait = '0' } = context.req.query()
    const milliseconds = Math.min(Number(wait) || 0, MAXIMUM_WATCH_MILLISECONDS)
    const step = await this.store.watch(prefix, Number(cursor) || 0, milliseconds, disconnectSignal(context))
    return step.match((changes) => context.json(changes), (error) => failed(context, error))
  }

  private readInstances (context: Context<StandInEnvironment>): Response {
    if (!this.reads.take(performance.now())) return this.refuseOverRate(context)
    this.store.calls.reads += 1
    if (this.store.faults.outage) return refuse(context, 503, 'outage', 'The platform is out.')
    return context.json({ instances: this.list.read() })
  }

  private async transferWeights (context: Context<StandInEnvironment>): Promise<Response> {
    const adapter = context.req.query('adapter') ?? ''
    if (this.weightsOutage) return refuse(context, 503, 'outage', 'The weight store is out.')
    if (adapter === '' || this.missingWeights.has(adapter)) {
      return refuse(context, 404, 'unknown-weights', `There are no weights for '${adapter}'.`)
    }
    await this.weights.transfer(disconnectSignal(context))
    this.loads += 1
    return context.json({ adapter })
  }

  private async putInstance (context: Context<StandInEnvironment>): Promise<Response> {
    const body = await readBody(context, instanceSchema)
    if (body.isErr()) return body.error
    const { id, kind, state } = body.value
    const before = this.list.find(id)?.state ?? 'live'
    this.list.set(body.value)
    if (kind === 'endpoint' && state !== before) this.history.record({ event: `endpoint-${state}`, endpoint: id })
    return context.json({})
  }

  private refuseOverRate (context: Context<StandInEnvironment>): Response {
    this.refusedCalls += 1
    context.header('Retry-After', '1')
    return refuse(context, 429, 'over-rate', 'The rate of calls is used up; come back after the time in Retry-After.')
  }
}

function failed (context: Context<StandInEnvironment>, error: LimpetwinchError): Response {
  if (error.kind === 'store-answer-lost') return cut(context)
  if (error.kind === 'version-conflict') {
    return context.json({ version: error.details['version'], value: error.details['value'] }, 409)
  }
  return refuse(context, 503, 'outage', error.message)
}

/** @returns a signal that is aborted when the response is closed, also when the caller disconnects */
function disconnectSignal (context: Context<StandInEnvironment>): AbortSignal {
  const controller = new AbortController()
  context.env.outgoing.once('close', () => controller.abort())
  return controller.signal
}
