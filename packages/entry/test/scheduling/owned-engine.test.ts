import { afterEach, describe, expect, it, vi } from 'vitest'
import { HttpEngineClient, LimpetwinchError } from '@limpetwinch/core'
import type { AdapterOrder, EndpointId, InstanceId, LoadedName } from '@limpetwinch/core'
import { errAsync } from 'neverthrow'
import type { ResultAsync } from 'neverthrow'
import { OwnedEngine, plainName } from './owned-engine.js'
import type { OwnedEngineOptions } from './owned-engine.js'

/** Loses the answer of the first unload, whose order reaches the engine only later. */
class LateUnloads extends HttpEngineClient {
  private late: AdapterOrder | undefined

  override unload (order: AdapterOrder): ResultAsync<void, LimpetwinchError> {
    if (this.late !== undefined) return super.unload(order)
    this.late = order
    return errAsync(new LimpetwinchError('endpoint-failed', { endpoint: 'engine-1', reason: 'no answer' }))
  }

  async carryOutLate (): Promise<void> {
    if (this.late !== undefined) await super.unload(this.late)
  }
}

const owned: OwnedEngine[] = []
const WAIT = { timeout: 20_000 }

async function start (options: OwnedEngineOptions = {}, token = 1): Promise<OwnedEngine> {
  const engine = new OwnedEngine(options)
  owned.push(engine)
  await engine.start(token)
  return engine
}

afterEach(async () => {
  await Promise.all(owned.splice(0).map(async (engine) => await engine.stop()))
})

describe('admission to an owned engine', () => {
  // Each caller gets its answer, the third as soon as a slot can be had.
  // Two slots, both pinned by running requests; a third adapter is asked for. Nothing is unloaded while both are in
  // use: the engine would end the running requests. The slot whose request ends first is given up.
  it('never evicts an adapter in use, however long another one waits', async () => {
    const engine = await start()
    const first = await engine.ask('first')
    const second = await engine.ask('second')
    expect(first.isOk() && second.isOk()).toBe(true)
    const third = engine.ask('third')
    await engine.report()
    await engine.report()
    expect(engine.orders('unload')).toEqual([])
    engine.scheduler.done('request-2', 'answered', 10)
    expect((await third)._unsafeUnwrap().loadedName).toBe(plainName('third'))
    expect(engine.orders('unload')).toEqual([plainName('second')])
  })

  // The caller's run goes on to its end although the longest request time is made shorter than its deadline meanwhile.
  // Guards against a pin that ends by settings newer than its request: its adapter would be evicted in use.
  it('keeps a pin until its request is over, whatever the settings say by then', async () => {
    const engine = await start()
    expect((await engine.ask('first', 30_000)).isOk()).toBe(true)
    await new Promise((resolve) => setTimeout(resolve, 50))
    engine.scheduler.dropEndedPins(() => undefined, await engine.report(), 10)
    expect([...engine.scheduler.running.keys()]).toEqual(['request-1'])
  })

  // All callers of one adapter are admitted after one load.
  it('lets requests for one adapter share one load', async () => {
    const engine = await start()
    const grants = await Promise.all(['essays', 'essays', 'essays'].map(async (adapter) => await engine.ask(adapter)))
    expect(grants.every((grant) => grant.isOk())).toBe(true)
    expect(engine.orders('load')).toEqual([plainName('essays')])
  })

  // The caller of the good adapter is served; the caller of the broken one is told `not_run` and when to come back.
  // The load of the broken adapter fails each time. Were it tried again at once, and alone, it would keep the engine's
  // loader busy and every other adapter would wait behind it.
  it('is not blocked by a load that fails', async () => {
    const engine = await start({ faults: { failLoadsOf: [plainName('broken')] } })
    const broken = engine.ask('broken')
    const good = await engine.ask('good')
    expect(good.isOk()).toBe(true)
    expect((await broken)._unsafeUnwrapErr()).toMatchObject({ kind: 'load-failed', outcome: 'not_run', retryAfterSeconds: 2 })
    // The next caller does not start the failing load again before its back-off is over.
    const again = await engine.ask('broken', 200)
    expect(again._unsafeUnwrapErr().kind).toBe('deadline-unreachable')
    expect(engine.loadAttempts(plainName('broken'))).toBe(3)
  })

  // The caller's request after the restart is served by its adapter, loaded anew.
  // The engine restarts cold and holds nothing; what the owner believed loaded is not granted before it is again.
  it('loads again what a cold restart lost', async () => {
    const engine = await start()
    expect((await engine.ask('essays')).isOk()).toBe(true)
    engine.scheduler.done('request-1', 'answered', 10)
    engine.engine.restart()
    await engine.report()
    expect((await engine.ask('essays')).isOk()).toBe(true)
    expect(engine.orders('load')).toEqual([plainName('essays'), plainName('essays')])
  })

  // The caller is served after the engine said that it does not hold the adapter which the owner believed loaded.
  // The request is told as not run, the slot is doubted, and the next grant comes only after a load order confirmed it.
  it('doubts a slot whose adapter the engine did not hold', async () => {
    const engine = await start()
    expect((await engine.ask('essays')).isOk()).toBe(true)
    engine.engine.restart()
    engine.scheduler.done('request-1', 'not-run', 0)
    expect((await engine.ask('essays')).isOk()).toBe(true)
    expect(engine.orders('load')).toEqual([plainName('essays'), plainName('essays')])
  })

  // Nothing is unloaded; the caller that needs a slot waits, and is told `not_run` when its time is over.
  // The owner has just taken over and does not know what runs, so it may load into free slots and may not evict.
  it('loads into free slots and evicts nothing without the right to', async () => {
    const engine = await start({ mayEvict: false })
    expect((await engine.ask('first')).isOk()).toBe(true)
    expect((await engine.ask('second')).isOk()).toBe(true)
    engine.scheduler.done('request-1', 'answered', 1)
    const third = await engine.ask('third', 300)
    expect(third._unsafeUnwrapErr()).toMatchObject({ kind: 'deadline-unreachable', outcome: 'not_run' })
    expect(engine.orders('unload')).toEqual([])
  })

  // The running request of an earlier owner goes on; the new owner evicts the other adapter instead.
  it('keeps what requests of an earlier owner use', async () => {
    const engine = await start({ earlierPins: new Set([plainName('first') as LoadedName]) })
    expect((await engine.ask('first')).isOk()).toBe(true)
    expect((await engine.ask('second')).isOk()).toBe(true)
    engine.scheduler.done('request-1', 'answered', 1)
    engine.scheduler.done('request-2', 'answered', 1)
    expect((await engine.ask('third')).isOk()).toBe(true)
    expect(engine.orders('unload')).toEqual([plainName('second')])
  })

  // On an engine that ignores tokens each owner uses names with its own token, so that the late unload of an earlier
  // owner names something that no request of the present owner uses.
  it('loads under its own token where the engine ignores tokens', async () => {
    const engine = await start({ fencing: 'ignores' }, 7)
    const grant = await engine.ask('essays')
    expect(grant._unsafeUnwrap().loadedName).toBe(`${plainName('essays')}~7`)
  })

  // The running request keeps its adapter to its end, although an earlier order to unload it is carried out late.
  // The engine was frozen when the unload came and its answer never did; later the adapter is wanted again. Loaded under
  // its old name it would be confirmed, granted, and taken away under the request when the engine gets to that order.
  it('grants no name whose unload may still be carried out', async () => {
    let client: LateUnloads | undefined
    const engine = await start({ slots: 1, clientOf: (url) => (client = new LateUnloads('engine-1' as EndpointId, url)) })
    expect((await engine.ask('first')).isOk()).toBe(true)
    engine.scheduler.done('request-1', 'answered', 1)
    expect((await engine.ask('second')).isOk()).toBe(true)
    engine.scheduler.done('request-2', 'answered', 1)
    const again = (await engine.ask('first'))._unsafeUnwrap()
    await client?.carryOutLate()
    expect((await engine.report()).loaded).toContain(again.loadedName)
  })

  // Callers of other adapters are served again after a few seconds, and the running request of the lost instance ends
  // whole. The instance sent its request just before it ended: the newest report was made before that and does not
  // name it. Believed, it would free the pin, and the adapter could be evicted under the run.
  it('keeps the pin of an ended instance until a report made afterwards', async () => {
    const engine = await start()
    expect((await engine.ask('essays')).isOk()).toBe(true)
    const report = await engine.report()
    const endedAt = report.madeAt + 500
    engine.scheduler.dropEndedPins(() => endedAt, { ...report, madeAt: endedAt + 1_000 }, 600_000)
    expect(engine.scheduler.slots.pinnedCount).toBe(1)
    engine.scheduler.dropEndedPins(() => endedAt, { ...report, madeAt: endedAt + 3_000, queued: 1 }, 600_000)
    expect(engine.scheduler.slots.pinnedCount).toBe(1)
    engine.scheduler.dropEndedPins(() => endedAt, { ...report, madeAt: endedAt + 3_000 }, 600_000)
    expect(engine.scheduler.slots.pinnedCount).toBe(0)
  })

  // Callers of other adapters get the slot. The word that a request is done was lost with a connection; its instance
  // lives and, asked later, does not name it. A grant made after the question stays, since the answer cannot name it.
  it('drops pins that their instance does not hold any more', async () => {
    const engine = await start()
    expect((await engine.ask('essays')).isOk()).toBe(true)
    expect((await engine.ask('poems')).isOk()).toBe(true)
    const [holder] = engine.scheduler.holdersOfPinsOlderThan(-1)
    engine.scheduler.dropPinsNotHeld(holder as InstanceId, new Set(['request-2']), performance.now() - 60_000)
    expect(engine.scheduler.slots.pinnedCount).toBe(2)
    engine.scheduler.dropPinsNotHeld(holder as InstanceId, new Set(['request-2']), performance.now() + 1)
    expect(engine.scheduler.slots.pinnedCount).toBe(1)
  })

  // The caller over the bound is refused at once, with the time to come back, and not held until its deadline.
  it('refuses at once when the queue is full', async () => {
    const engine = await start({ mostQueued: 1, slots: 1, mayEvict: false })
    expect((await engine.ask('first')).isOk()).toBe(true)
    const waiting = engine.ask('second', 500)
    const refused = await engine.ask('third')
    expect(refused._unsafeUnwrapErr()).toMatchObject({ kind: 'overloaded', outcome: 'not_run', retryAfterSeconds: expect.any(Number) })
    await waiting
  })

  // The caller is served at once. Its instance asks again, since the answer to its first ask was lost with a connection;
  // the pin is held already. Queued a second time, it would wait behind others for a place that it has.
  it('grants a repeated ask at once and pins once', async () => {
    const engine = await start({ batchCapacity: 1 })
    const ask = engine.request('essays')
    const signal = new AbortController().signal
    expect((await engine.scheduler.admit(ask, signal)).isOk()).toBe(true)
    const others = ['essays', 'essays'].map((adapter) => engine.request(adapter))
    await Promise.all(others.map(async (other) => await engine.scheduler.admit(other, signal)))
    const again = await engine.scheduler.admit({ ...ask, patience: 500 }, signal)
    expect(again.isOk()).toBe(true)
    for (const other of others) engine.scheduler.done(other.requestId, 'answered', 1)
    expect(engine.scheduler.running.size).toBe(1)
    engine.scheduler.done(ask.requestId, 'answered', 1)
    await vi.waitFor(() => expect(engine.scheduler.slots.pinnedCount).toBe(0), WAIT)
  })
})
