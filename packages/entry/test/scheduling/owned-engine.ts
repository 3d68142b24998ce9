/** One owned engine for tests: the real scheduler and loader in front of a stand-in engine. */
import { expect, vi } from 'vitest'
import { formatAdapter, HttpEngineClient, silentLogger, SystemClock } from '@limpetwinch/core'
import type { AdapterReference, DataCentreId, EndpointId, EngineReport, EngineSettings, FencingToken, InstanceId, LimpetwinchError, LoadedName, RequestId } from '@limpetwinch/core'
import { OverloadGuard, PopularityLoadAhead, StallEvictionPolicy, StallLoadOrderingPolicy, VirtualTimeFairQueue } from '@limpetwinch/decisions'
import { StandInEngine } from '@limpetwinch/stand-ins'
import type { StandInEngineOptions } from '@limpetwinch/stand-ins'
import type { Result } from 'neverthrow'
import { LoadTurns } from '../../src/loads/load-turns.js'
import type { IncomingAdmissionRequest, Grant, WaitingRequest } from '../../src/scheduling/admission.js'
import { EndpointScheduler } from '../../src/scheduling/endpoint-scheduler.js'
import { LoadAccounting } from '../../src/scheduling/load-accounting.js'
import { Loader } from '../../src/scheduling/loader.js'

class UnlimitedLoadTurns extends LoadTurns {
  override async acquire (): Promise<() => void> {
    return () => undefined
  }
}

/** @returns an adapter of the team `history` */
export function adapterNamed (adapter: string): AdapterReference {
  return { team: 'history', adapter, version: 'v1' } as unknown as AdapterReference
}

/** What a test can configure, beside the options of the stand-in engine. */
export interface OwnedEngineOptions extends Partial<StandInEngineOptions> {
  readonly mayEvict?: boolean
  readonly earlierPins?: ReadonlySet<LoadedName>
  readonly maximumQueued?: number
  /** Creates the engine client; the default is a plain {@link HttpEngineClient}. */
  readonly clientOf?: (url: string) => HttpEngineClient
}

/** A stand-in engine with its scheduler and loader. */
export class OwnedEngine {
  readonly engine: StandInEngine
  scheduler!: EndpointScheduler
  private client!: HttpEngineClient
  private readonly options: OwnedEngineOptions
  private readonly controller = new AbortController()
  private loaderTask: Promise<void> = Promise.resolve()
  private requests = 0

  constructor (options: OwnedEngineOptions = {}) {
    const { mayEvict, earlierPins, maximumQueued, clientOf, ...engine } = options
    this.options = options
    this.engine = new StandInEngine({ name: 'engine-1', slots: 2, stepMilliseconds: 2, loadMilliseconds: 5, reportLag: 0, reportInterval: 20, ...engine })
  }

  /** Starts the engine, and a scheduler and a loader with a fencing token. */
  async start (token = 1): Promise<void> {
    const url = await this.engine.listen()
    this.client = this.options.clientOf?.(url) ?? new HttpEngineClient('engine-1' as EndpointId, url)
    this.own(token, url)
    await this.report()
  }

  /** Requests admission of a new request. */
  async requestAdmission (adapter: string, patience = 30_000): Promise<Result<Grant, LimpetwinchError>> {
    return await this.scheduler.admit(this.request(adapter, patience), new AbortController().signal)
  }

  /** @returns a new admission request, without sending it */
  request (adapter: string, patience = 30_000, priority = 5): IncomingAdmissionRequest {
    this.requests += 1
    return {
      requestId: `request-${this.requests}` as RequestId,
      from: 'instance-1' as InstanceId,
      adapter: adapterNamed(adapter),
      team: 'history',
      priority,
      promptTokens: 10,
      maximumTokens: 10,
      patience
    }
  }

  /** Applies a report made after this call to the scheduler, and returns it. */
  async report (): Promise<EngineReport> {
    const made = Date.now()
    return await vi.waitFor(async () => {
      const report = (await this.client.report())._unsafeUnwrap()
      expect(report.madeAt).toBeGreaterThanOrEqual(made)
      this.scheduler.applyReport(report)
      return report
    }, { timeout: 10_000 })
  }

  /** @returns the loaded names of the orders that the engine carried out */
  orders (order: 'load' | 'unload'): string[] {
    return this.engine.history.all().flatMap((event) =>
      event.event === 'order' && event.order === order && event.result === 'done' ? [event.name] : [])
  }

  /** @returns how many load orders for a name the engine received, whether carried out or not */
  loadAttempts (name: string): number {
    return this.engine.history.all().filter((event) => event.event === 'order' && event.order === 'load' && event.name === name).length
  }

  async stop (): Promise<void> {
    this.controller.abort()
    await this.loaderTask.catch(() => undefined)
    await this.client.close()
    await this.engine.close()
  }

  private own (token: number, url: string): void {
    const clock = new SystemClock()
    const logger = silentLogger()
    const queue = new VirtualTimeFairQueue<WaitingRequest>()
    const eviction = new StallEvictionPolicy()
    const rights = (): { mayAdmit: boolean, mayEvict: boolean } => ({ mayAdmit: true, mayEvict: this.options.mayEvict ?? true })
    const engine: EngineSettings = {
      endpoint: 'engine-1' as EndpointId,
      url,
      dataCentre: 'north' as DataCentreId,
      baseModel: 'base-1',
      slots: this.options.slots ?? 2,
      batchCapacity: this.options.batchCapacity ?? 16,
      fencing: this.options.fencing ?? 'refuses'
    }
    const record = { endpoint: engine.endpoint, owner: 'instance-1' as InstanceId, token: token as FencingToken, handedOverFrom: undefined }
    this.scheduler = new EndpointScheduler({
      engine,
      record,
      rights,
      queue,
      guard: new OverloadGuard({ maximumQueued: this.options.maximumQueued ?? 100 }),
      loadMilliseconds: () => 5,
      clock,
      logger,
      onAdapterRequested: (...used) => eviction.recordUse(...used),
      onLoadNeeded: () => this.loader?.wake(),
      onServed: () => undefined
    })
    this.loader = new Loader({
      scheduler: this.scheduler,
      client: this.client,
      eviction,
      loadOrder: new StallLoadOrderingPolicy(),
      loadTurns: new UnlimitedLoadTurns(),
      rights,
      earlierPins: () => this.options.earlierPins ?? new Set(),
      otherCopies: () => 0,
      loadAccounting: new LoadAccounting(),
      loadAhead: new PopularityLoadAhead(),
      servable: () => undefined,
      clock,
      logger
    })
    this.loaderTask = this.loader.run(this.controller.signal)
  }

  private loader: Loader | undefined
}

/** @returns the loaded name of an adapter on an engine that refuses old tokens */
export function plainName (adapter: string): string {
  return formatAdapter(adapterNamed(adapter))
}
