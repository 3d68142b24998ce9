// An engine has two adapter slots and ends when it is ordered a third adapter. Its answers may be lost, and an order
// whose answer was lost may be carried out seconds later, after newer ones. Callers then see every request of that engine
// fail. The loader bears the engine's count of orders in each order, so that a late one can no longer take effect; these
// tests let orders be lost and late at random and count slots at the engine itself.
import { setTimeout as sleep } from 'node:timers/promises'
import { describe, expect, it } from 'vitest'
import fc from 'fast-check'
import { silentLogger, SystemClock } from '@limpetwinch/core'
import type { FencingToken } from '@limpetwinch/core'
import { StallEvictionPolicy } from '@limpetwinch/decisions'
import { AdapterLocations } from '../src/adapters/adapter-locations.js'
import { EndpointLoader } from '../src/adapters/endpoint-loader.js'
import { ModelLoadRateLimiter } from '../src/adapters/model-load-rate-limiter.js'
import { WeightStoreLimiter } from '../src/adapters/weight-store-limiter.js'
import { EndpointWorkTracker } from '../src/routing/endpoint-work-tracker.js'
import { SimulatedEngine } from './support/simulated-engine.js'
import type { OrderFate } from './support/simulated-engine.js'
import { SimulatedEngineControl } from './support/simulated-engine-control.js'
import { endpoint, engineShape, key, LOAD_OWNER } from './support/samples.js'

/** Peers hear of an eviction within this. */
const NOTICE_MILLISECONDS = 30

const ENGINES = 13
/** Other engines have so many loads on their way at any time; each takes so long. */
const OTHER_LOADS = 12
const OTHER_LOAD_MILLISECONDS = 400

interface Run {
  readonly engine: SimulatedEngine
  readonly loader: EndpointLoader
  readonly locations: AdapterLocations
  readonly board: EndpointWorkTracker
  readonly stop: () => Promise<void>
}

/** What once made a loader order a load beyond the slots. */
const LOST_FATES: OrderFate[] = ['done', 'lost', 'silent', 'silent', 'lost', 'silent', 'done', 'done', 'done', 'done', 'done']
const LOST_CROWD = [
  { name: 'a', waiters: 1, pause: 0 },
  { name: 'c', waiters: 1, pause: 0 },
  { name: 'a', waiters: 1, pause: 0 },
  { name: 'a', waiters: 4, pause: 18 },
  { name: 'a', waiters: 1, pause: 0 },
  { name: 'a', waiters: 2, pause: 0 },
  { name: 'a', waiters: 2, pause: 8 },
  { name: 'b', waiters: 4, pause: 2 },
  { name: 'c', waiters: 2, pause: 15 },
  { name: 'c', waiters: 4, pause: 28 }
]

/** More runs by hand. */
const CROWD_RUNS = Number(process.env['CROWD_RUNS'] ?? 8)

function start (engine: SimulatedEngine, newest: ReadonlyMap<string, number> = new Map(), adapterSlots = 2, storePace = new WeightStoreLimiter(() => ENGINES)): Run {
  const clock = new SystemClock()
  const locations = new AdapterLocations()
  const board = new EndpointWorkTracker()
  const subject = endpoint('engine')
  const loader = new EndpointLoader(subject, 7 as FencingToken, engineShape({ adapterSlots }), {
    control: new SimulatedEngineControl(engine),
    clock,
    logger: silentLogger(),
    locations,
    workTracker: board,
    policy: new StallEvictionPolicy(),
    modelLoadLimiter: new ModelLoadRateLimiter(clock, () => 1),
    storeLimiter: storePace,
    holder: 'me',
    latestVersion: (name) => newest.get(name) ?? 0,
    isModelNeeded: () => true,
    mayOrder: () => true,
    noticeRoundTripMilliseconds: () => NOTICE_MILLISECONDS,
    publish: ({ token, sequence, reservations: ledger, hidden }) => {
      const held = [...ledger.held].filter(([name]) => !hidden.has(name)).map(([name, slot]): [string, number] => [name, slot.version])
      locations.applyNotice(LOAD_OWNER, { kind: 'adapters-held', endpoint: subject.id, born: 100, token, sequence, held, inFlight: [...ledger.inFlight.keys()] }, clock.now())
    },
    onLost: () => {},
    onUnreachable: () => {}
  })
  const ending = new AbortController()
  const running = loader.run(clock.now(), ending.signal)
  return { engine, loader, locations, board, stop: async () => { ending.abort(); await running } }
}

/** @returns the pace of an instance that was short of processor time: all loads that it heard of seemed three times as long as they were */
function paceOfOneThatHearsLate (): WeightStoreLimiter {
  const storePace = new WeightStoreLimiter(() => ENGINES)
  for (let now = -60_000; now < 0; now += 100) storePace.completed({ milliseconds: 3 * OTHER_LOAD_MILLISECONDS, mostOthersInFlight: 30, now })
  return storePace
}

/** Other engines load one adapter after the other until the signal ends it, and this instance hears of it. */
async function loadElsewhere ({ locations }: Run, signal: AbortSignal): Promise<void> {
  await Promise.all(Array.from({ length: OTHER_LOADS }, async (_, index) => {
    const told = { kind: 'adapters-held' as const, endpoint: endpoint(`other-${index}`).id, born: 100, token: 1 as FencingToken }
    const now = (): number => performance.now()
    for (let load = 0; !signal.aborted; load += 1) {
      locations.applyNotice(LOAD_OWNER, { ...told, sequence: 2 * load, held: [], inFlight: [key(`other-${load}`)] }, now())
      await sleep(OTHER_LOAD_MILLISECONDS)
      locations.applyNotice(LOAD_OWNER, { ...told, sequence: 2 * load + 1, held: [[key(`other-${load}`), 0]], inFlight: [] }, now())
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

async function wanted (run: Run, name: string): Promise<boolean> {
  return await until(() => {
    run.loader.requestLoad(key(name), 0, { request: 'r', onTimeMilliseconds: undefined })
    return run.locations.holders(key(name)).size > 0
  })
}

describe('the loads of an engine', () => {
  it('bring an adapter, and make room for a third one by an unused one', async () => {
    const run = start(new SimulatedEngine({ slots: 2 }))
    const brought = [await wanted(run, 'x'), await wanted(run, 'y'), await wanted(run, 'z')]
    await run.stop()
    expect({ brought, most: run.engine.mostOccupied }).toEqual({ brought: [true, true, true], most: 2 })
  })

  it('never evict an adapter that a request uses', async () => {
    const run = start(new SimulatedEngine({ slots: 2 }))
    await wanted(run, 'x')
    await wanted(run, 'y')
    run.board.begin(endpoint('engine').id, { prefillTokens: 0, memoryTokens: 0, adapter: key('x') })
    const ticket = run.board.begin(endpoint('engine').id, { prefillTokens: 0, memoryTokens: 0, adapter: key('y') })
    run.loader.requestLoad(key('z'), 0, { request: 'r', onTimeMilliseconds: undefined })
    await sleep(300)
    const held = run.engine.held()
    ticket.ended()
    const brought = await wanted(run, 'z')
    await run.stop()
    expect({ held, brought, unloaded: run.engine.unloaded }).toEqual({ held: ['x', 'y'], brought: true, unloaded: ['y'] })
  })

  it('replace an old version once its last run has ended, however long that takes, and offer the adapter again', async () => {
    const newest = new Map<string, number>()
    const run = start(new SimulatedEngine({ slots: 2 }), newest)
    await wanted(run, 'x')
    const ticket = run.board.begin(endpoint('engine').id, { prefillTokens: 0, memoryTokens: 0, adapter: key('x') })
    newest.set(key('x'), 2)
    run.loader.versionAnnounced(key('x'), 2)
    await sleep(1_100)
    const during = { version: run.engine.versionOf('x'), offered: run.locations.holders(key('x')).size }
    ticket.ended()
    const after = await until(() => run.locations.holders(key('x')).get(endpoint('engine').id) === 2)
    await run.stop()
    expect({ during, after, version: run.engine.versionOf('x') }).toEqual({ during: { version: 1, offered: 0 }, after: true, version: 2 })
  })

  it('go on when an order is carried out late, after newer ones', async () => {
    const engine = new SimulatedEngine({ slots: 2 })
    const run = start(engine)
    await wanted(run, 'x')
    engine.next = ['late']
    await wanted(run, 'y')
    await wanted(run, 'z')
    engine.carryOutLate()
    await sleep(100)
    const brought = await wanted(run, 'x')
    await run.stop()
    expect({ brought, most: engine.mostOccupied }).toEqual({ brought: true, most: 2 })
  })

  // A third of all answers to orders are lost, and what was ordered is done all the same. Each conflict that followed was
  // settled by a report, a quarter of a second later; callers of all adapters of the engine waited for that.
  it('go on at once when an order was carried out and its answer lost', async () => {
    const engine = new SimulatedEngine({ slots: 4 })
    const run = start(engine, new Map(), 4)
    await wanted(run, 'a')
    const reports = engine.reportCount
    for (const name of ['b', 'c', 'd', 'e', 'f']) {
      engine.next = ['lost']
      await wanted(run, name)
    }
    await run.stop()
    expect({ asked: engine.reportCount - reports, most: engine.mostOccupied }).toEqual({ asked: 0, most: 4 })
  })

  // An engine takes no order for a moment, and two loads for its last free slot stay without an answer, one after the other. Only
  // one of them was carried out. Asked for again as if both had been, the other one would be a load beyond the slots, which ends
  // the engine and every answer on it.
  it('take no slot twice when two loads for the same one stay without an answer', async () => {
    const engine = new SimulatedEngine({ slots: 2 })
    const run = start(engine)
    await wanted(run, 'x')
    run.board.begin(endpoint('engine').id, { prefillTokens: 0, memoryTokens: 0, adapter: key('x') })
    engine.next = ['silent', 'lost']
    // More requests ask for the second adapter while the first order waits for its answer, so that its load comes next.
    engine.afterNext = () => { for (const request of ['r2', 'r3', 'r4', 'r5']) run.loader.requestLoad(key('z'), 0, { request, onTimeMilliseconds: 600 }) }
    run.loader.requestLoad(key('y'), 0, { request: 'r1', onTimeMilliseconds: undefined })
    const brought = await wanted(run, 'z')
    await sleep(400)
    await run.stop()
    expect({ brought, most: engine.mostOccupied }).toEqual({ brought: true, most: 2 })
  })

  // An instance that hears late takes the weight store for full. The others do not, so there are always more loads on their way than it
  // would bear; it ordered none for as long as the others went on, and whoever was sent to its idle engines was refused.
  it('go on where this instance takes the store for full and all others do not', async () => {
    const storePace = paceOfOneThatHearsLate()
    const run = start(new SimulatedEngine({ slots: 2 }), new Map(), 2, storePace)
    run.locations.inFlight.onCompleted((load) => storePace.completed({ ...load, milliseconds: 3 * load.milliseconds }))
    const ending = new AbortController()
    const elsewhere = loadElsewhere(run, ending.signal)
    const brought = [await wanted(run, 'x'), await wanted(run, 'y')]
    const { limit } = storePace
    ending.abort()
    await Promise.all([elsewhere, run.stop()])
    expect({ brought, wouldBearMore: limit > OTHER_LOADS }).toEqual({ brought: [true, true], wouldBearMore: false })
  }, 15_000)

  // A request asks for an adapter that is held and about to be evicted. The adapter was offered again and, since nobody waited for it any more,
  // chosen as the one to make way at the same moment; so the request was refused by an engine that had held its adapter all along.
  it('keep an adapter that is wanted again while it was to make way, and take another one', async () => {
    const engine = new SimulatedEngine({ slots: 2 })
    const run = start(engine)
    await wanted(run, 'x')
    await wanted(run, 'y')
    await sleep(300)
    const offered = (name: string): boolean => run.locations.holders(key(name)).size > 0
    const waits = { request: 'other', onTimeMilliseconds: undefined }
    run.loader.requestLoad(key('z'), 0, waits)
    await until(() => !offered('x') || !offered('y'))
    const [again, other] = offered('x') ? ['y', 'x'] : ['x', 'y']
    run.loader.requestLoad(key(again), 0, { request: 'r', onTimeMilliseconds: undefined })
    await until(() => { run.loader.requestLoad(key('z'), 0, waits); return offered('z') })
    await run.stop()
    expect({ unloaded: engine.unloaded, held: engine.held().toSorted() }).toEqual({ unloaded: [other], held: [again, 'z'] })
  })

  // An engine lets a run end before it drops its adapter. Asked without a pause whether it has, it is sent a hundred orders a second, each
  // of which takes processor time from the requests of the instance.
  it('ask an engine now and then whether an adapter has left that a request still runs', async () => {
    const engine = new SimulatedEngine({ slots: 1 })
    const run = start(engine, new Map(), 1)
    await wanted(run, 'x')
    await sleep(300)
    engine.use('x')
    run.loader.requestLoad(key('y'), 0, { request: 'r', onTimeMilliseconds: undefined })
    await until(() => engine.orderCount('unload') > 0)
    const before = engine.orderCount('unload')
    await sleep(500)
    const during = engine.orderCount('unload') - before
    engine.release('x')
    const brought = await wanted(run, 'y')
    await run.stop()
    expect({ few: during <= 500 / 40 + 2, brought }).toEqual({ few: true, brought: true })
  })

  // Ten requests wait for ten adapters on an engine whose slots all hold something idle. Hidden one after the other, each
  // for the time in which peers hear of it, the tenth adapter would come after ten such times.
  it('make room for several loads at the same time', async () => {
    const engine = new SimulatedEngine({ slots: 4 })
    const run = start(engine, new Map(), 4)
    for (const name of ['a', 'b', 'c', 'd']) await wanted(run, name)
    await sleep(300)
    const asked = performance.now()
    for (const name of ['e', 'f', 'g', 'h']) run.loader.requestLoad(key(name), 0, { request: name, onTimeMilliseconds: 600 })
    await until(() => engine.unloaded.length === 4)
    const milliseconds = performance.now() - asked
    await run.stop()
    expect({ unloaded: engine.unloaded.length, together: milliseconds < 4 * NOTICE_MILLISECONDS, most: engine.mostOccupied }).toEqual({ unloaded: 4, together: true, most: 4 })
  })

  it('never take more slots than there are, whatever orders are lost or late (seeds are kept)', async () => {
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

  // A crowd asks for several adapters at once while answers are lost: which load comes next changes between two orders without
  // an answer.
  it('never take more slots than there are while a crowd asks for several adapters at once', async () => {
    const fates = fc.array(fc.constantFrom<OrderFate>('done', 'lost', 'silent', 'silent'), { minLength: 10, maxLength: 30 })
    const crowd = fc.array(fc.record({ name: fc.constantFrom<string>('a', 'b', 'c', 'd'), waiters: fc.integer({ min: 1, max: 4 }), pause: fc.integer({ min: 0, max: 40 }) }), { minLength: 10, maxLength: 20 })
    await fc.assert(fc.asyncProperty(fates, crowd, async (next, asked) => {
      const engine = new SimulatedEngine({ slots: 2, next })
      const run = start(engine)
      for (const { name, waiters, pause } of asked) {
        for (let waiter = 0; waiter < waiters; waiter += 1) run.loader.requestLoad(key(name), 0, { request: `${name}${waiter}`, onTimeMilliseconds: waiter % 2 === 0 ? 600 : undefined })
        await sleep(pause)
      }
      await sleep(600)
      await run.stop()
      expect(engine.mostOccupied).toBeLessThanOrEqual(2)
    }), { seed: 31, numRuns: CROWD_RUNS, examples: [[LOST_FATES, LOST_CROWD]] })
  }, CROWD_RUNS * 5_000)
})
