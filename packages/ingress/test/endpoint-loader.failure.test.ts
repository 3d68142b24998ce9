// Guards against an engine that is ordered to load more adapters than it has slots for, which crashes it and fails every request on it.
// The engine here has two slots. Its answers may be lost, and an order whose answer was lost may be carried out seconds later, after
// newer orders. The loader sends the number of orders that the engine has accepted as a condition of each order, so that a late order
// can no longer take effect. The tests lose and delay orders at random and count the slots at the engine itself.
import { setTimeout as sleep } from 'node:timers/promises'
import { describe, expect, it } from 'vitest'
import fc from 'fast-check'
import { silentLogger, SystemClock } from '@limpetwinch/core'
import type { FencingToken } from '@limpetwinch/core'
import { StallEvictionPolicy } from '@limpetwinch/decisions'
import { AdapterLocations } from '../src/adapters/adapter-locations.js'
import { EndpointLoader } from '../src/adapters/endpoint-loader.js'
import type { EngineOrder } from '../src/adapters/engine-control.js'
import { ModelLoadRateLimiter } from '../src/adapters/model-load-rate-limiter.js'
import { WeightStoreLimiter } from '../src/adapters/weight-store-limiter.js'
import type { AdapterKey, EngineShape, ModelName } from '../src/routes/configuration.js'
import { EndpointWorkTracker } from '../src/routing/endpoint-work-tracker.js'
import { SimulatedEngine } from './support/simulated-engine.js'
import type { OrderFate } from './support/simulated-engine.js'
import { SimulatedEngineControl } from './support/simulated-engine-control.js'
import { endpoint, engineShape, key, LOAD_OWNER } from './support/samples.js'

/** Time within which peers receive the notice of an eviction. */
const NOTICE_MILLISECONDS = 30

const ENGINES = 13
/** Number of loads in progress on other engines at any time, and the duration of each. */
const OTHER_LOADS = 12
const OTHER_LOAD_MILLISECONDS = 400

/** An order of an earlier process or loader for one more adapter. */
function earlierOrder (adapter: string, ifSequence: number): EngineOrder {
  return { operation: 'load', model: 'base' as ModelName, adapter, version: undefined, ifSequence }
}

interface Run {
  readonly engine: SimulatedEngine
  readonly control: SimulatedEngineControl
  readonly loader: EndpointLoader
  readonly locations: AdapterLocations
  readonly workTracker: EndpointWorkTracker
  readonly stop: () => Promise<void>
}

/** Order fates and load requests that once made a loader order a load beyond the slots. */
const LOST_FATES: OrderFate[] = ['done', 'lost', 'silent', 'silent', 'lost', 'silent', 'done', 'done', 'done', 'done', 'done']
const LOST_FATE_REQUESTS = [
  { name: 'a', requestCount: 1, pause: 0 },
  { name: 'c', requestCount: 1, pause: 0 },
  { name: 'a', requestCount: 1, pause: 0 },
  { name: 'a', requestCount: 4, pause: 18 },
  { name: 'a', requestCount: 1, pause: 0 },
  { name: 'a', requestCount: 2, pause: 0 },
  { name: 'a', requestCount: 2, pause: 8 },
  { name: 'b', requestCount: 4, pause: 2 },
  { name: 'c', requestCount: 2, pause: 15 },
  { name: 'c', requestCount: 4, pause: 28 }
]

/** Number of random runs; set CROWD_RUNS for more. */
const CROWD_RUNS = Number(process.env['CROWD_RUNS'] ?? 8)

function start (engine: SimulatedEngine, latest: ReadonlyMap<string, number> = new Map(), adapterSlots = 2, storeLimiter = new WeightStoreLimiter(() => ENGINES), shape: Partial<EngineShape> = {}, recallAt?: number): Run {
  const clock = new SystemClock()
  const locations = new AdapterLocations()
  const workTracker = new EndpointWorkTracker()
  const subject = endpoint('engine')
  const control = new SimulatedEngineControl(engine)
  const loader = new EndpointLoader(subject, 7 as FencingToken, engineShape({ adapterSlots, ...shape }), {
    control,
    clock,
    logger: silentLogger(),
    locations,
    workTracker,
    policy: new StallEvictionPolicy(),
    modelLoadLimiter: new ModelLoadRateLimiter(clock, () => 1),
    storeLimiter,
    holder: 'me',
    latestVersion: (name) => latest.get(name) ?? 0,
    recallsPreviousAt: () => recallAt,
    isModelNeeded: () => true,
    mayOrder: () => true,
    noticeRoundTripMilliseconds: () => NOTICE_MILLISECONDS,
    publish: ({ token, sequence, reservations, hidden }) => {
      const held = [...reservations.held].filter(([name]) => !hidden.has(name)).map(([name, slot]): [string, number] => [name, slot.version])
      locations.applyNotice(LOAD_OWNER, { kind: 'adapters-held', endpoint: subject.id, born: 100, token, sequence, held, inFlight: [...reservations.inFlight.keys()] }, clock.now())
    },
    onLost: () => {},
    onUnreachable: () => {}
  })
  const ending = new AbortController()
  const running = loader.run(clock.now(), ending.signal)
  return { engine, control, loader, locations, workTracker, stop: async () => { ending.abort(); await running } }
}

/** @returns the limiter of an instance that was short of processor time: all loads appeared three times as long to it as they were */
function limiterOfDelayedInstance (): WeightStoreLimiter {
  const storeLimiter = new WeightStoreLimiter(() => ENGINES)
  for (let now = -60_000; now < 0; now += 100) storeLimiter.completed({ milliseconds: 3 * OTHER_LOAD_MILLISECONDS, mostOthersInFlight: 30, now })
  return storeLimiter
}

/** Lets other engines load one adapter after another until the signal is aborted, and sends this instance the notices. */
async function loadElsewhere ({ locations }: Run, signal: AbortSignal): Promise<void> {
  await Promise.all(Array.from({ length: OTHER_LOADS }, async (_, index) => {
    const base = { kind: 'adapters-held' as const, endpoint: endpoint(`other-${index}`).id, born: 100, token: 1 as FencingToken }
    const now = (): number => performance.now()
    for (let load = 0; !signal.aborted; load += 1) {
      locations.applyNotice(LOAD_OWNER, { ...base, sequence: 2 * load, held: [], inFlight: [key(`other-${load}`)] }, now())
      await sleep(OTHER_LOAD_MILLISECONDS)
      locations.applyNotice(LOAD_OWNER, { ...base, sequence: 2 * load + 1, held: [[key(`other-${load}`), 0]], inFlight: [] }, now())
    }
  }))
}

async function until (condition: () => boolean, milliseconds = 5_000): Promise<boolean> {
  const end = performance.now() + milliseconds
  while (performance.now() < end) {
    if (condition()) return true
    await sleep(5)
  }
  return condition()
}

async function loadAdapter (run: Run, name: string): Promise<boolean> {
  return await until(() => {
    run.loader.requestLoad(key(name), 0, { request: 'r', onTimeMilliseconds: undefined })
    return run.locations.holders(key(name)).size > 0
  })
}

describe('the loads of an engine', () => {
  it('load an adapter, and evict an unused one to load a third', async () => {
    const run = start(new SimulatedEngine({ slots: 2 }))
    const loaded = [await loadAdapter(run, 'x'), await loadAdapter(run, 'y'), await loadAdapter(run, 'z')]
    await run.stop()
    expect({ loaded, most: run.engine.mostOccupied }).toEqual({ loaded: [true, true, true], most: 2 })
  })

  it('never evict an adapter that a request uses', async () => {
    const run = start(new SimulatedEngine({ slots: 2 }))
    await loadAdapter(run, 'x')
    await loadAdapter(run, 'y')
    run.workTracker.begin(endpoint('engine').id, { prefillTokens: 0, memoryTokens: 0, adapter: key('x') })
    const ticket = run.workTracker.begin(endpoint('engine').id, { prefillTokens: 0, memoryTokens: 0, adapter: key('y') })
    run.loader.requestLoad(key('z'), 0, { request: 'r', onTimeMilliseconds: undefined })
    await sleep(300)
    const held = run.engine.held()
    ticket.ended()
    const loaded = await loadAdapter(run, 'z')
    await run.stop()
    expect({ held, loaded, unloaded: run.engine.unloaded }).toEqual({ held: ['x', 'y'], loaded: true, unloaded: ['y'] })
  })

  it('replace an old version once the last request on it has ended, however long that takes, and offer the adapter again', async () => {
    const latest = new Map<string, number>()
    const run = start(new SimulatedEngine({ slots: 2 }), latest)
    await loadAdapter(run, 'x')
    const ticket = run.workTracker.begin(endpoint('engine').id, { prefillTokens: 0, memoryTokens: 0, adapter: key('x') })
    latest.set(key('x'), 2)
    run.loader.versionAnnounced(key('x'), 2)
    await sleep(1_100)
    const during = { version: run.engine.versionOf('x'), offered: run.locations.holders(key('x')).size }
    ticket.ended()
    const after = await until(() => run.locations.holders(key('x')).get(endpoint('engine').id) === 2)
    await run.stop()
    expect({ during, after, version: run.engine.versionOf('x') }).toEqual({ during: { version: 1, offered: 0 }, after: true, version: 2 })
  })

  // Guards against requests that begin on an old version too late, since they wait at the engine and hold its replacement up.
  it('replace an old version at the time of its recall although requests are counted there', async () => {
    const latest = new Map<string, number>()
    const recallAt = performance.now() + 700
    const run = start(new SimulatedEngine({ slots: 2 }), latest, 2, undefined, {}, recallAt)
    await loadAdapter(run, 'x')
    run.workTracker.begin(endpoint('engine').id, { prefillTokens: 0, memoryTokens: 0, adapter: key('x') })
    latest.set(key('x'), 2)
    run.loader.versionAnnounced(key('x'), 2)
    const isReplaced = await until(() => run.engine.versionOf('x') === 2)
    const isEarly = performance.now() < recallAt
    await run.stop()
    expect({ isReplaced, isEarly }).toEqual({ isReplaced: true, isEarly: false })
  })

  // Guards against an engine that accepts no other order for as long as a stream lasts, because a version was recalled for which nothing waits.
  it('leave an old version in place after the time of its recall while all requests there have begun', async () => {
    const latest = new Map<string, number>()
    const run = start(new SimulatedEngine({ slots: 2 }), latest, 2, undefined, {}, performance.now())
    await loadAdapter(run, 'x')
    const ticket = run.workTracker.begin(endpoint('engine').id, { prefillTokens: 10, memoryTokens: 0, adapter: key('x') })
    ticket.prefilled()
    latest.set(key('x'), 2)
    run.loader.versionAnnounced(key('x'), 2)
    await sleep(500)
    const during = run.engine.versionOf('x')
    ticket.ended()
    const after = await until(() => run.engine.versionOf('x') === 2)
    await run.stop()
    expect({ during, after }).toEqual({ during: 1, after: true })
  })

  // Guards against an old version that is offered and never replaced, because its load was in progress when the newer one was announced.
  it('replace a version that arrives after a newer one was announced', async () => {
    const latest = new Map<string, number>()
    const run = start(new SimulatedEngine({ slots: 2, loadMilliseconds: 300 }), latest)
    run.loader.requestLoad(key('x'), 1, undefined)
    await until(() => run.engine.accepted === 1)
    latest.set(key('x'), 2)
    run.loader.versionAnnounced(key('x'), 2)
    const isReplaced = await until(() => run.engine.versionOf('x') === 2)
    await run.stop()
    expect(isReplaced).toBe(true)
  })

  // Guards against an old version that is offered again and never replaced, because a report of the engine ended its hiding.
  it('keep the replacement of an old version pending over a report of the engine', async () => {
    const latest = new Map<string, number>()
    const run = start(new SimulatedEngine({ slots: 3 }), latest, 3)
    await loadAdapter(run, 'x')
    const ticket = run.workTracker.begin(endpoint('engine').id, { prefillTokens: 0, memoryTokens: 0, adapter: key('x') })
    latest.set(key('x'), 2)
    run.loader.versionAnnounced(key('x'), 2)
    await until(() => run.locations.holders(key('x')).size === 0)
    const reports = run.engine.reportCount
    run.control.reportMilliseconds = 900
    run.engine.countOfOther()
    run.loader.requestLoad(key('y'), 0, undefined)
    await until(() => run.engine.reportCount > reports)
    await sleep(1_000)
    const offered = run.locations.holders(key('x')).size
    ticket.ended()
    const isReplaced = await until(() => run.engine.versionOf('x') === 2)
    await run.stop()
    expect({ offered, isReplaced }).toEqual({ offered: 0, isReplaced: true })
  })

  it('continue when an order is carried out late, after newer ones', async () => {
    const engine = new SimulatedEngine({ slots: 2 })
    const run = start(engine)
    await loadAdapter(run, 'x')
    engine.nextFates = ['late']
    await loadAdapter(run, 'y')
    await loadAdapter(run, 'z')
    engine.carryOutLate()
    await sleep(100)
    const loaded = await loadAdapter(run, 'x')
    await run.stop()
    expect({ loaded, most: engine.mostOccupied }).toEqual({ loaded: true, most: 2 })
  })

  // A third of the answers to orders are lost although the orders are carried out. If each conflict that follows were resolved by a
  // report, a quarter of a second later, the callers of all adapters of the engine would wait for it.
  it('continue at once when an order was carried out and its answer lost', async () => {
    const engine = new SimulatedEngine({ slots: 4 })
    const run = start(engine, new Map(), 4)
    await loadAdapter(run, 'a')
    const reports = engine.reportCount
    for (const name of ['b', 'c', 'd', 'e', 'f']) {
      engine.nextFates = ['lost']
      await loadAdapter(run, name)
    }
    await run.stop()
    expect({ asked: engine.reportCount - reports, most: engine.mostOccupied }).toEqual({ asked: 0, most: 4 })
  })

  // Two loads for the last free slot stay unanswered, one after the other, and only one of them was carried out. If the loader assumed
  // that both were, it would order the other one again to confirm it. That load would exceed the slots, which crashes the engine and
  // truncates every response on it.
  it('do not assign a slot twice when two loads for it stay unanswered', async () => {
    const engine = new SimulatedEngine({ slots: 2 })
    const run = start(engine)
    await loadAdapter(run, 'x')
    run.workTracker.begin(endpoint('engine').id, { prefillTokens: 0, memoryTokens: 0, adapter: key('x') })
    engine.nextFates = ['silent', 'lost']
    // More requests ask for the second adapter while the first order waits for its answer, so that its load is ordered next.
    engine.afterNextOrder = () => { for (const request of ['r2', 'r3', 'r4', 'r5']) run.loader.requestLoad(key('z'), 0, { request, onTimeMilliseconds: 600 }) }
    run.loader.requestLoad(key('y'), 0, { request: 'r1', onTimeMilliseconds: undefined })
    const loaded = await loadAdapter(run, 'z')
    await sleep(400)
    await run.stop()
    expect({ loaded, most: engine.mostOccupied }).toEqual({ loaded: true, most: 2 })
  })

  // Guards against an engine that runs out of memory before it runs out of slots, which crashes it like a load beyond the slots.
  it('load no more adapters than the memory of the engine holds, and evict unused ones for others', async () => {
    const engine = new SimulatedEngine({ slots: 3 })
    const run = start(engine, new Map(), 8, new WeightStoreLimiter(() => ENGINES), { megabytes: 16_050 })
    const loaded: boolean[] = []
    for (const name of ['a', 'b', 'c', 'd', 'e']) loaded.push(await loadAdapter(run, name))
    await run.stop()
    expect({ loaded, most: engine.mostOccupied }).toEqual({ loaded: [true, true, true, true, true], most: 3 })
  })

  // Guards against a loader that keeps the slots and memory of the configuration with which it began, when a newer one states less of them.
  it('keep to the slots of the configuration in force', async () => {
    const engine = new SimulatedEngine({ slots: 3 })
    const run = start(engine, new Map(), 3)
    for (const name of ['a', 'b']) await loadAdapter(run, name)
    run.loader.applyShape(engineShape({ adapterSlots: 2 }))
    const loaded = [await loadAdapter(run, 'c'), await loadAdapter(run, 'd')]
    await run.stop()
    expect({ loaded, most: engine.mostOccupied }).toEqual({ loaded: [true, true], most: 2 })
  })

  // Guards against a loader that evicts adapters one after the other for a load that does not fit beside the model at all.
  it('evict nothing for an adapter that is larger than the memory beside the model', async () => {
    const engine = new SimulatedEngine({ slots: 3 })
    const small = { name: 'base' as ModelName, megabytes: 16_000, adapters: 100, adapterMegabytes: 14 }
    const large = { name: 'large' as ModelName, megabytes: 100, adapters: 100, adapterMegabytes: 400 }
    const run = start(engine, new Map(), 3, new WeightStoreLimiter(() => ENGINES), { megabytes: 16_300, models: [small, large] })
    for (const name of ['a', 'b', 'c']) await loadAdapter(run, name)
    await sleep(300)
    await until(() => { run.loader.requestLoad('large/x' as AdapterKey, 0, { request: 'r', onTimeMilliseconds: undefined }); return false }, 500)
    await run.stop()
    expect({ held: engine.held().toSorted(), unloaded: engine.unloaded }).toEqual({ held: ['a', 'b', 'c'], unloaded: [] })
  })

  // Guards against a conflict that counts as the proof of the loader's own order although a late order of an earlier process caused it: the
  // loader would order its load once more to confirm it, beyond the slots.
  it('do not take a late order of the process before for an own one without an answer', async () => {
    const engine = new SimulatedEngine({ slots: 2 })
    const before = start(engine)
    await loadAdapter(before, 'x')
    await before.stop()
    engine.nextFates = ['late']
    await engine.order(earlierOrder('y', engine.accepted))
    const run = start(engine)
    await until(() => run.locations.holders(key('x')).size > 0)
    run.workTracker.begin(endpoint('engine').id, { prefillTokens: 0, memoryTokens: 0, adapter: key('x') })
    engine.carryOutLate()
    engine.nextFates = ['silent']
    const loaded = await loadAdapter(run, 'z')
    await run.stop()
    expect({ loaded, most: engine.mostOccupied }).toEqual({ loaded: true, most: 2 })
  })

  // To an instance that receives messages late, the weight store appears congested. To the others it does not, so there are always more
  // loads in progress than the limit of this instance allows. Without turns it would order none for as long as the others go on, and
  // requests sent to its idle engines would be refused.
  it('continue where the store appears congested to this instance only', async () => {
    const storeLimiter = limiterOfDelayedInstance()
    const run = start(new SimulatedEngine({ slots: 2 }), new Map(), 2, storeLimiter)
    run.locations.inFlight.onCompleted((load) => storeLimiter.completed({ ...load, milliseconds: 3 * load.milliseconds }))
    const ending = new AbortController()
    const elsewhere = loadElsewhere(run, ending.signal)
    const loaded = [await loadAdapter(run, 'x'), await loadAdapter(run, 'y')]
    const { limit } = storeLimiter
    ending.abort()
    await Promise.all([elsewhere, run.stop()])
    expect({ loaded, allowsMore: limit > OTHER_LOADS }).toEqual({ loaded: [true, true], allowsMore: false })
  }, 15_000)

  // A request asks for an adapter that is held and about to be evicted. Once the adapter is offered again, no load request waits for it,
  // and it could be chosen for eviction again at the same moment. The request would then be refused by an engine that held its adapter
  // all along.
  it('keep an adapter that is requested again while it was about to be evicted, and evict another one', async () => {
    const engine = new SimulatedEngine({ slots: 2 })
    const run = start(engine)
    await loadAdapter(run, 'x')
    await loadAdapter(run, 'y')
    await sleep(300)
    const offered = (name: string): boolean => run.locations.holders(key(name)).size > 0
    const otherRequest = { request: 'other', onTimeMilliseconds: undefined }
    run.loader.requestLoad(key('z'), 0, otherRequest)
    await until(() => !offered('x') || !offered('y'))
    const [again, other] = offered('x') ? ['y', 'x'] : ['x', 'y']
    run.loader.requestLoad(key(again), 0, { request: 'r', onTimeMilliseconds: undefined })
    await until(() => { run.loader.requestLoad(key('z'), 0, otherRequest); return offered('z') })
    await run.stop()
    expect({ unloaded: engine.unloaded, held: engine.held().toSorted() }).toEqual({ unloaded: [other], held: [again, 'z'] })
  })

  // An engine lets a request end before it unloads its adapter. If the loader asked without a pause whether that has happened, it would
  // send a hundred orders per second, each of which takes processor time from the instance's requests.
  it('ask an engine at intervals whether it has unloaded an adapter that a request was using', async () => {
    const engine = new SimulatedEngine({ slots: 1 })
    const run = start(engine, new Map(), 1)
    await loadAdapter(run, 'x')
    await sleep(300)
    engine.use('x')
    run.loader.requestLoad(key('y'), 0, { request: 'r', onTimeMilliseconds: undefined })
    await until(() => engine.orderCount('unload') > 0)
    const before = engine.orderCount('unload')
    await sleep(500)
    const during = engine.orderCount('unload') - before
    engine.release('x')
    const loaded = await loadAdapter(run, 'y')
    await run.stop()
    expect({ few: during <= 500 / 40 + 2, loaded }).toEqual({ few: true, loaded: true })
  })

  // Several requests wait for adapters on an engine whose slots all hold idle adapters. If the adapters to evict were hidden one after
  // the other, each until peers have received its notice, the last load would wait for all of these notices in turn.
  it('free slots for several loads at the same time', async () => {
    const engine = new SimulatedEngine({ slots: 4 })
    const run = start(engine, new Map(), 4)
    for (const name of ['a', 'b', 'c', 'd']) await loadAdapter(run, name)
    await sleep(300)
    const asked = performance.now()
    for (const name of ['e', 'f', 'g', 'h']) run.loader.requestLoad(key(name), 0, { request: name, onTimeMilliseconds: 600 })
    await until(() => engine.unloaded.length === 4)
    const milliseconds = performance.now() - asked
    await run.stop()
    expect({ unloaded: engine.unloaded.length, together: milliseconds < 4 * NOTICE_MILLISECONDS, most: engine.mostOccupied }).toEqual({ unloaded: 4, together: true, most: 4 })
  })

  it('never occupy more slots than there are, whichever orders are lost or late (fixed seed)', async () => {
    const fates = fc.array(fc.constantFrom('done' as const, 'lost' as const, 'silent' as const, 'late' as const), { minLength: 10, maxLength: 30 })
    await fc.assert(fc.asyncProperty(fates, async (next) => {
      const engine = new SimulatedEngine({ slots: 2, next })
      const run = start(engine)
      for (const name of ['a', 'b', 'c', 'd']) {
        await until(() => { run.loader.requestLoad(key(name), 0, { request: 'r', onTimeMilliseconds: undefined }); return run.locations.holders(key(name)).size > 0 }, 600)
        engine.carryOutLate()
      }
      await run.stop()
      expect(engine.mostOccupied).toBeLessThanOrEqual(2)
    }), { seed: 31, numRuns: 6 })
  })

  // Many requests ask for several adapters at once while answers are lost, so the load that is ordered next changes between two
  // unanswered orders.
  it('never occupy more slots than there are while many requests ask for several adapters at once', async () => {
    const fates = fc.array(fc.constantFrom<OrderFate>('done', 'lost', 'silent', 'silent'), { minLength: 10, maxLength: 30 })
    const requests = fc.array(fc.record({ name: fc.constantFrom<string>('a', 'b', 'c', 'd'), requestCount: fc.integer({ min: 1, max: 4 }), pause: fc.integer({ min: 0, max: 40 }) }), { minLength: 10, maxLength: 20 })
    await fc.assert(fc.asyncProperty(fates, requests, async (next, asked) => {
      const engine = new SimulatedEngine({ slots: 2, next })
      const run = start(engine)
      for (const { name, requestCount, pause } of asked) {
        for (let index = 0; index < requestCount; index += 1) run.loader.requestLoad(key(name), 0, { request: `${name}${index}`, onTimeMilliseconds: index % 2 === 0 ? 600 : undefined })
        await sleep(pause)
      }
      await sleep(600)
      await run.stop()
      expect(engine.mostOccupied).toBeLessThanOrEqual(2)
    }), { seed: 31, numRuns: CROWD_RUNS, examples: [[LOST_FATES, LOST_FATE_REQUESTS]] })
  }, CROWD_RUNS * 5_000)
})
