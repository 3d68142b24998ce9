// Guards against refusals that come too late, under this load: more adapters are asked for at once than the engines have slots, so that the
// load queues are longer than callers can wait.
import { describe, expect, it } from 'vitest'
import { silentLogger } from '@limpetwinch/core'
import type { EndpointId, FencingToken, InstanceId, LoadAskFrame } from '@limpetwinch/core'
import { EngineSpeeds, OutlierEjection } from '@limpetwinch/decisions'
import { AdapterLocations } from '../src/adapters/adapter-locations.js'
import { EngineFinder } from '../src/adapters/engine-finder.js'
import type { EngineSearch } from '../src/adapters/engine-finder.js'
import { LoadForecast } from '../src/admission/load-forecast.js'
import { StreamAdmission } from '../src/admission/stream-admission.js'
import { EndpointDirectory } from '../src/endpoints/endpoint-directory.js'
import type { EndpointRateLimiter } from '../src/rate-limits/endpoint-rate-limiter.js'
import { EngineRouter } from '../src/routing/engine-router.js'
import { FirstEventForecast } from '../src/routing/first-event-forecast.js'
import { EndpointWorkTracker } from '../src/routing/endpoint-work-tracker.js'
import { PrefixCacheEstimate } from '../src/routing/prefix-cache-estimate.js'
import { ManualClock } from './support/manual-clock.js'
import { recordingLogger } from './support/recording-logger.js'
import type { RecordedLine } from './support/recording-logger.js'
import { endpoint, engineShape, key, service, LOAD_OWNER, NO_BACKOFFS } from './support/samples.js'

const SHAPE = engineShape({ adapterSlots: 2, batchSlots: 64, memoryTokens: 200_000 })
const ENGINES = ['a', 'b'] as EndpointId[]
const NO_LIMITS = { limited: new Set(), withoutRoom: () => new Set(), backoffs: { isBackingOff: () => false }, isLimited: () => false, areAllLimited: () => false, refusal: () => undefined } as unknown as EndpointRateLimiter

interface Load {
  /** Number of pending loads of each priority on each engine; 200 ms pass between two loads. */
  readonly pending: readonly number[]
  /** Adapters whose load is pending on the first engine. */
  readonly waiting?: readonly string[]
  /** Engines without a load owner. */
  readonly ownerless?: readonly string[]
  readonly competes?: boolean
}

/** An instance that knows two engines, all of whose adapter slots are in use. */
class Instance {
  readonly clock = new ManualClock()
  readonly asked: LoadAskFrame[] = []
  readonly lines: RecordedLine[] = []
  readonly decisions: string[] = []
  readonly admission: StreamAdmission
  readonly finder: EngineFinder
  private readonly locations = new AdapterLocations()
  private sequence = 0

  constructor ({ ownerless = [], competes = true, ...load }: Load) {
    const { clock, locations } = this
    const directory = new EndpointDirectory(silentLogger())
    const workTracker = new EndpointWorkTracker()
    const speeds = new EngineSpeeds()
    const firstEvent = new FirstEventForecast(speeds)
    const ejection = new OutlierEjection()
    directory.apply({ revision: 1, endpoints: ENGINES.map((id) => endpoint(id, { service: 'engines' })) }, undefined, clock.now())
    for (const id of ENGINES) for (const used of ['x', 'y']) workTracker.begin(id, { prefillTokens: 0, memoryTokens: 100, adapter: key(used) })
    this.applyLoad(load)
    const shared = {
      clock, directory, locations, workTracker, ejection, firstEvent, leastVersion: () => 0, loadMilliseconds: () => 250, hasStoreCapacity: () => true, hasLoadOwner: (id: EndpointId) => !ownerless.includes(id), isNamed: () => true
    }
    const logger = recordingLogger(this.lines)
    this.admission = new StreamAdmission({ clock, logger, metrics: { admissionDecided: (decision) => { this.decisions.push(decision) } }, forecast: new LoadForecast(shared), competes: () => competes })
    this.finder = new EngineFinder({
      ...shared,
      logger,
      rateLimiter: NO_LIMITS,
      router: new EngineRouter({ ...shared, forecast: firstEvent, speeds, prefixes: new PrefixCacheEstimate(), backoffs: NO_BACKOFFS, dataCentre: 'here', mayBegin: () => true }),
      loadOwnerOf: (id) => ownerless.includes(id) ? undefined : 'owner' as InstanceId,
      requestLoad: (_to, frame) => { this.asked.push(frame) },
      admission: this.admission,
      shareUsed: () => 3
    })
  }

  /** Applies a notice about each engine. */
  applyLoad ({ pending, waiting = [] }: Pick<Load, 'pending' | 'waiting'>, held: readonly string[] = []): void {
    this.sequence += 1
    const total = pending.reduce((sum, each) => sum + each, 0)
    const waits = pending.map((_each, priority) => 200 * pending.slice(0, priority + 1).reduce((sum, each) => sum + each, 0))
    for (const id of ENGINES) {
      const others = Array.from({ length: total }, (_, index) => key(`other${index}`))
      this.locations.applyNotice(LOAD_OWNER, {
        kind: 'adapters-held', endpoint: id, born: 100, token: 1 as FencingToken, sequence: this.sequence, held: held.map((name) => [key(name), 1]), inFlight: [], waiting: [...others, ...(id === ENGINES[0] ? waiting.map(key) : [])], waitMilliseconds: 200 * total, waits
      }, this.clock.now())
    }
  }

  /** Searches an engine for a new request. @returns what it found after how long, and what its caller was told if it was refused */
  async search (adapter: string, sample: Partial<EngineSearch> = {}): Promise<{ readonly found: string | undefined, readonly after: number, readonly retryAfter: number | undefined }> {
    const startedAt = this.clock.now()
    const search = this.query(adapter, sample)
    const progress = { isOver: false }
    const finding = this.finder.find(search).finally(() => { progress.isOver = true })
    await this.clock.advance(0)
    while (!progress.isOver) {
      await this.clock.advance(50)
      this.locations.wakeWaitingRequests(key(adapter))
    }
    const found = await finding
    return { found: found?.endpoint.id, after: this.clock.now() - startedAt, retryAfter: this.finder.refusalOf(search)?.retryAfterSeconds }
  }

  query (adapter: string, sample: Partial<EngineSearch> = {}): EngineSearch {
    const now = this.clock.now()
    return {
      service: service('engines', SHAPE),
      facts: { requestId: `r ${adapter}`, caller: undefined, deadlineMilliseconds: 6_000, adapter: { key: key(adapter), model: 'base', name: adapter }, promptTokens: 100, outputTokens: 10, key: undefined, tokens: 'stated', promptParts: [], lastEventId: undefined, firstAttempt: undefined },
      gapMilliseconds: 400,
      excluded: new Set(),
      priority: 0,
      team: undefined,
      isNew: true,
      onTimeUntil: now + 1_000,
      until: now + 1_250,
      signal: new AbortController().signal,
      ...sample
    }
  }
}

describe('a flood of requests for adapters that no engine holds', () => {
  it('is refused at once with the time at which there is room, and its place is kept until then', async () => {
    const instance = new Instance({ pending: [10] })
    expect(await instance.search('wanted')).toEqual({ found: undefined, after: 0, retryAfter: 2.25 })
    expect(instance.asked).toMatchObject([{ key: key('wanted'), waiting: true, priority: 0, returnsInMilliseconds: 2_250 }])
    expect(instance.lines.find(({ message }) => message === 'A request was refused by forecast.')).toMatchSnapshot()
  })

  it('is served while its wait is short enough', async () => {
    const instance = new Instance({ pending: [2] })
    const searching = instance.search('wanted')
    instance.applyLoad({ pending: [0] }, ['wanted'])
    expect([(await searching).found, instance.decisions]).toEqual(['a', ['admitted']])
  })

  it('forecasts without recording anything', () => {
    const instance = new Instance({ pending: [10] })
    const both = [1, 2].map(() => instance.finder.admissionForecast(instance.query('wanted')))
    expect([both[0], instance.asked, instance.lines, instance.decisions]).toEqual([both[1], [], [], []])
  })

  it('is not judged where no callers compete, nor when its stream has begun', async () => {
    const [alone, begun] = [new Instance({ pending: [10], competes: false }), new Instance({ pending: [10] })]
    expect((await alone.search('wanted')).after).toBeGreaterThan(1_000)
    expect((await begun.search('wanted', { isNew: false })).after).toBeGreaterThan(1_000)
  })
})

describe('urgent requests beside less urgent ones', () => {
  it('go before the pending loads of the others', async () => {
    const instance = new Instance({ pending: [1, 0, 10] })
    const patient = { priority: 2, onTimeUntil: instance.clock.now() + 2_000, until: instance.clock.now() + 3_750 }
    expect((await instance.search('patient', patient)).after).toBe(0)
    const urgent = instance.search('urgent')
    instance.applyLoad({ pending: [0, 0, 10] }, ['urgent'])
    expect((await urgent).found).toBe('a')
  })

  it('hold back less urgent ones until they have returned', async () => {
    const instance = new Instance({ pending: [6] })
    const patient = (): Partial<EngineSearch> => ({ priority: 2, onTimeUntil: instance.clock.now() + 2_000, until: instance.clock.now() + 3_750 })
    const urgent = await instance.search('urgent')
    const held = await instance.search('patient', patient())
    await instance.clock.advance(1_000 * (urgent.retryAfter ?? 0))
    const searching = instance.search('patient', patient())
    instance.applyLoad({ pending: [0] }, ['patient'])
    expect([urgent.retryAfter, held.after, held.retryAfter, (await searching).found]).toEqual([1.45, 0, 1.45, 'a'])
  })
})

describe('callers who return as told', () => {
  it('are admitted, since the load of their adapter is pending', async () => {
    const instance = new Instance({ pending: [10] })
    await instance.search('wanted')
    instance.applyLoad({ pending: [10], waiting: ['wanted'] })
    const returned = instance.search('wanted')
    instance.applyLoad({ pending: [10] }, ['wanted'])
    expect([(await returned).found, instance.decisions]).toEqual(['a', ['no room before its search ends', 'admitted']])
  })
})

describe('an owner that is lost while requests wait', () => {
  it('takes its engine out of the forecast', async () => {
    const instance = new Instance({ pending: [10], ownerless: ['a'] })
    expect(await instance.search('wanted')).toMatchObject({ after: 0, retryAfter: 2.25 })
    expect(instance.asked.map(({ endpoint: id }) => id)).toEqual(['b'])
  })

  // Without any owner nothing is known of when the request fits; a new owner may be there in a moment.
  it('does not refuse requests at once when it was the last one', async () => {
    const instance = new Instance({ pending: [10], ownerless: ENGINES })
    expect((await instance.search('wanted')).after).toBeGreaterThan(1_000)
  })
})
