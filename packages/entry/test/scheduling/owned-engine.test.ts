import { afterEach, describe, expect, it, vi } from 'vitest'
import { HttpEngineClient, LimpetwinchError } from '@limpetwinch/core'
import type { AdapterOrder, EndpointId, InstanceId, LoadedName } from '@limpetwinch/core'
import { errAsync } from 'neverthrow'
import type { ResultAsync } from 'neverthrow'
import { OwnedEngine, plainName } from './owned-engine.js'
import type { OwnedEngineOptions } from './owned-engine.js'

/** Loses the response to the first unload order, which reaches the engine only later. */
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
  // Guards against an eviction that makes the engine end running requests: both slots are pinned by running requests when a
  // third adapter is requested. The slot whose request ends first is evicted.
  it('never evicts an adapter in use, however long another one waits', async () => {
    const engine = await start()
    const first = await engine.requestAdmission('first')
    const second = await engine.requestAdmission('second')
    expect(first.isOk() && second.isOk()).toBe(true)
    const third = engine.requestAdmission('third')
    await engine.report()
    await engine.report()
    expect(engine.orders('unload')).toEqual([])
    engine.scheduler.done('request-2', 'answered', 10)
    expect((await third)._unsafeUnwrap().loadedName).toBe(plainName('third'))
    expect(engine.orders('unload')).toEqual([plainName('second')])
  })

  // Guards against a pin that is dropped by settings newer than its request, so that its adapter is evicted in use: the
  // longest request time becomes shorter than the patience of the running request.
  it('keeps a pin until its request has ended, even when the settings change', async () => {
    const engine = await start()
    expect((await engine.requestAdmission('first', 30_000)).isOk()).toBe(true)
    await new Promise((resolve) => setTimeout(resolve, 50))
    engine.scheduler.dropEndedPins(() => undefined, await engine.report(), 10)
    expect([...engine.scheduler.running.keys()]).toEqual(['request-1'])
  })

  // Guards against one load for each request: all requests for one adapter are admitted after one load.
  it('lets requests for one adapter share one load', async () => {
    const engine = await start()
    const grants = await Promise.all(['essays', 'essays', 'essays'].map(async (adapter) => await engine.requestAdmission(adapter)))
    expect(grants.every((grant) => grant.isOk())).toBe(true)
    expect(engine.orders('load')).toEqual([plainName('essays')])
  })

  // Guards against a loader that retries a failing load at once and without end, so that all other adapters wait. The request
  // for the broken adapter is refused with outcome `not_run` and a retry time.
  it('is not blocked by a load that fails', async () => {
    const engine = await start({ faults: { failLoadsOf: [plainName('broken')] } })
    const broken = engine.requestAdmission('broken')
    const good = await engine.requestAdmission('good')
    expect(good.isOk()).toBe(true)
    expect((await broken)._unsafeUnwrapErr()).toMatchObject({ kind: 'load-failed', outcome: 'not_run', retryAfterSeconds: 2 })
    // The next caller does not start the failing load again before its back-off is over.
    const again = await engine.requestAdmission('broken', 200)
    expect(again._unsafeUnwrapErr().kind).toBe('deadline-unreachable')
    expect(engine.loadAttempts(plainName('broken'))).toBe(3)
  })

  // Guards against admitting requests to adapters that the engine lost in a restart.
  it('loads an adapter again after the engine restarted without it', async () => {
    const engine = await start()
    expect((await engine.requestAdmission('essays')).isOk()).toBe(true)
    engine.scheduler.done('request-1', 'answered', 10)
    engine.engine.restart()
    await engine.report()
    expect((await engine.requestAdmission('essays')).isOk()).toBe(true)
    expect(engine.orders('load')).toEqual([plainName('essays'), plainName('essays')])
  })

  // Guards against admitting requests to an adapter that the engine turned out not to hold. The rejected request ends as
  // `not-run`, its slot becomes unverified, and the next request is admitted only after a load order confirmed the adapter.
  it('verifies a slot again after the engine did not hold its adapter', async () => {
    const engine = await start()
    expect((await engine.requestAdmission('essays')).isOk()).toBe(true)
    engine.engine.restart()
    engine.scheduler.done('request-1', 'not-run', 0)
    expect((await engine.requestAdmission('essays')).isOk()).toBe(true)
    expect(engine.orders('load')).toEqual([plainName('essays'), plainName('essays')])
  })

  // Guards against evicting an adapter in use after a change of owner: the new owner does not know yet which requests run, so
  // it may only load into free slots. The request that needs an eviction is refused with outcome `not_run`.
  it('loads into free slots and evicts nothing without the right to', async () => {
    const engine = await start({ mayEvict: false })
    expect((await engine.requestAdmission('first')).isOk()).toBe(true)
    expect((await engine.requestAdmission('second')).isOk()).toBe(true)
    engine.scheduler.done('request-1', 'answered', 1)
    const third = await engine.requestAdmission('third', 300)
    expect(third._unsafeUnwrapErr()).toMatchObject({ kind: 'deadline-unreachable', outcome: 'not_run' })
    expect(engine.orders('unload')).toEqual([])
  })

  // Guards against evicting an adapter that a request admitted by an earlier owner still uses.
  it('keeps adapters in use by requests of an earlier owner', async () => {
    const engine = await start({ earlierPins: new Set([plainName('first') as LoadedName]) })
    expect((await engine.requestAdmission('first')).isOk()).toBe(true)
    expect((await engine.requestAdmission('second')).isOk()).toBe(true)
    engine.scheduler.done('request-1', 'answered', 1)
    engine.scheduler.done('request-2', 'answered', 1)
    expect((await engine.requestAdmission('third')).isOk()).toBe(true)
    expect(engine.orders('unload')).toEqual([plainName('second')])
  })

  // Guards against a late unload order of an earlier owner on an engine that ignores fencing tokens. Each owner uses loaded
  // names that contain its own token, so such an order names nothing that the current owner uses.
  it('loads under its own token where the engine ignores tokens', async () => {
    const engine = await start({ fencing: 'ignores' }, 7)
    const grant = await engine.requestAdmission('essays')
    expect(grant._unsafeUnwrap().loadedName).toBe(`${plainName('essays')}~7`)
  })

  // Guards against a running request that loses its adapter to a late unload order: the engine was paused when the order
  // arrived, and the response was lost. If the adapter were loaded again under the same name, the engine would confirm it and
  // later unload it while a request uses it.
  it('does not reuse a name whose unload may still be carried out', async () => {
    let client: LateUnloads | undefined
    const engine = await start({ slots: 1, clientOf: (url) => (client = new LateUnloads('engine-1' as EndpointId, url)) })
    expect((await engine.requestAdmission('first')).isOk()).toBe(true)
    engine.scheduler.done('request-1', 'answered', 1)
    expect((await engine.requestAdmission('second')).isOk()).toBe(true)
    engine.scheduler.done('request-2', 'answered', 1)
    const again = (await engine.requestAdmission('first'))._unsafeUnwrap()
    await client?.carryOutLate()
    expect((await engine.report()).loaded).toContain(again.loadedName)
  })

  // Guards against evicting an adapter in use because of an old report: an instance sends its request just before it ends,
  // so the latest report does not list the request yet. A report made later, with an empty queue, frees the pin.
  it('keeps the pin of an ended instance until a report made afterwards', async () => {
    const engine = await start()
    expect((await engine.requestAdmission('essays')).isOk()).toBe(true)
    const report = await engine.report()
    const endedAt = report.madeAt + 500
    engine.scheduler.dropEndedPins(() => endedAt, { ...report, madeAt: endedAt + 1_000 }, 600_000)
    expect(engine.scheduler.slots.pinnedCount).toBe(1)
    engine.scheduler.dropEndedPins(() => endedAt, { ...report, madeAt: endedAt + 3_000, queued: 1 }, 600_000)
    expect(engine.scheduler.slots.pinnedCount).toBe(1)
    engine.scheduler.dropEndedPins(() => endedAt, { ...report, madeAt: endedAt + 3_000 }, 600_000)
    expect(engine.scheduler.slots.pinnedCount).toBe(0)
  })

  // Guards against a slot that stays occupied because the `admission-done` message was lost with a connection: the instance is
  // alive and no longer reports the request. A grant made after the query stays, since the response cannot list it.
  it('drops pins that their instance does not hold any more', async () => {
    const engine = await start()
    expect((await engine.requestAdmission('essays')).isOk()).toBe(true)
    expect((await engine.requestAdmission('poems')).isOk()).toBe(true)
    const [holder] = engine.scheduler.holdersOfPinsOlderThan(-1)
    engine.scheduler.dropPinsNotHeld(holder as InstanceId, new Set(['request-2']), performance.now() - 60_000)
    expect(engine.scheduler.slots.pinnedCount).toBe(2)
    engine.scheduler.dropPinsNotHeld(holder as InstanceId, new Set(['request-2']), performance.now() + 1)
    expect(engine.scheduler.slots.pinnedCount).toBe(1)
  })

  // Guards against requests beyond the bound of the queue that wait until their deadlines. They are refused at once, with a
  // retry time.
  it('refuses at once when the queue is full', async () => {
    const engine = await start({ maximumQueued: 1, slots: 1, mayEvict: false })
    expect((await engine.requestAdmission('first')).isOk()).toBe(true)
    const waiting = engine.requestAdmission('second', 500)
    const refused = await engine.requestAdmission('third')
    expect(refused._unsafeUnwrapErr()).toMatchObject({ kind: 'overloaded', outcome: 'not_run', retryAfterSeconds: expect.any(Number) })
    await waiting
  })

  // Guards against queueing a request that is admitted already: the response to the first admission request was lost with a
  // connection, and the instance sends it again.
  it('admits a retried admission request at once and pins once', async () => {
    const engine = await start({ batchCapacity: 1 })
    const request = engine.request('essays')
    const signal = new AbortController().signal
    expect((await engine.scheduler.admit(request, signal)).isOk()).toBe(true)
    const others = ['essays', 'essays'].map((adapter) => engine.request(adapter))
    await Promise.all(others.map(async (other) => await engine.scheduler.admit(other, signal)))
    const again = await engine.scheduler.admit({ ...request, patience: 500 }, signal)
    expect(again.isOk()).toBe(true)
    for (const other of others) engine.scheduler.done(other.requestId, 'answered', 1)
    expect(engine.scheduler.running.size).toBe(1)
    engine.scheduler.done(request.requestId, 'answered', 1)
    await vi.waitFor(() => expect(engine.scheduler.slots.pinnedCount).toBe(0), WAIT)
  })
})
