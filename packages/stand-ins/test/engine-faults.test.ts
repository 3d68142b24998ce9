import { expectedAnswer, StandInPlatform } from '@limpetwinch/stand-ins'
import { describe, expect, it, onTestFinished, vi } from 'vitest'
import { ADAPTER, forever, order, question, receive, setFaults, sourceOf, startEngine, textOf } from './engine-fixture.js'

const LONG = { adapter: undefined, maximumTokens: 100_000 }

describe('faults of the stand-in engine', () => {
  it('rejects unknown faults', async () => {
    const { engine } = await startEngine()
    expect(await setFaults(engine.url, { refused: true } as never)).toBe(400)
  })

  it('fails a number of loads, or the loads of one adapter', async () => {
    const { engine, client } = await startEngine()
    await setFaults(engine.url, { failLoads: 1, failLoadsOf: ['team/bad@1'] })
    expect((await client.load(order(ADAPTER), sourceOf(ADAPTER)))._unsafeUnwrapErr().kind).toBe('load-failed')
    expect((await client.load(order(ADAPTER), sourceOf(ADAPTER))).isOk()).toBe(true)
    expect((await client.load(order('team/bad@1'), sourceOf('team/bad@1')))._unsafeUnwrapErr().kind).toBe('load-failed')
  })

  it('fails loads of weights that the platform does not have, and delays others', async () => {
    const platform = new StandInPlatform({ loadsPerSecond: 1000, faults: { missingWeights: ['team/none@1'] } })
    onTestFinished(async () => { await platform.close() })
    const { engine, client } = await startEngine({ platform: await platform.listen() })
    expect((await client.load(order('team/none@1'), sourceOf('team/none@1')))._unsafeUnwrapErr().kind).toBe('load-failed')
    expect((await client.load(order(ADAPTER), sourceOf(ADAPTER))).isOk()).toBe(true)
    await setFaults(engine.url, { slowLoads: 3_600_000 })
    const slow = client.load(order('team/slow@1'), sourceOf('team/slow@1'))
    // A restart aborts a load of any duration. The restart is repeated, because the load order may not have arrived at the first one.
    const restarts = setInterval(() => engine.restart(), 20)
    expect((await slow).isErr()).toBe(true)
    clearInterval(restarts)
  })

  it('refuses requests without running them', async () => {
    const { engine, client } = await startEngine({ faults: { refuse: true } })
    const refused = await receive(client.generate(question('r1', LONG), forever()))
    expect(refused.error).toMatchObject({ kind: 'endpoint-refused', outcome: 'not_run' })
    expect(engine.history.all()).toEqual([])
  })

  // Guards against a load owner that evicts an adapter in use without being noticed. The caller's stream ends with an error, and the
  // history contains the unload order between start and end of the run, by which a checker detects the wrong eviction.
  it('unloads an adapter in use, and the run is lost', async () => {
    const { engine, client } = await startEngine()
    await client.load(order(ADAPTER), sourceOf(ADAPTER))
    const stream = receive(client.generate(question('r1', { maximumTokens: 100_000 }), forever()))
    await vi.waitFor(() => expect(engine.history.all()).toHaveLength(2))
    await client.unload(order(ADAPTER))
    expect((await stream).error).toMatchObject({ kind: 'endpoint-failed', outcome: 'unknown' })
    expect(engine.history.all().map((line) => line.event)).toEqual(['order', 'run-started', 'order', 'run-ended'])
    expect(engine.history.all().at(-1)).toMatchObject({ result: 'lost' })
  })

  // The connection of the stream is closed after three tokens while the request keeps running. The rest can be resumed from the next
  // position; no token is lost and the request does not run twice.
  it('closes a stream early, and the rest can be resumed', async () => {
    const { engine, client } = await startEngine({ faults: { dropStreams: 1, dropAfterTokens: 3 } })
    const asked = question('r1', { adapter: undefined })
    const cut = await receive(client.generate(asked, forever()))
    expect(cut.error).toMatchObject({ kind: 'endpoint-failed', outcome: 'unknown' })
    const rest = await receive(client.resume(asked.requestId, cut.parts.length, forever()))
    expect(textOf([...cut.parts, ...rest.parts])).toBe(expectedAnswer({ prompt: asked.prompt }, 10))
    expect(engine.history.all().filter((line) => line.event === 'run-started')).toHaveLength(1)
  })

  it('sends parts twice and out of order', async () => {
    const { engine, client } = await startEngine()
    await setFaults(engine.url, { duplicateEvery: 2, lateEvery: 3 })
    const { parts } = await receive(client.generate(question('r1', { adapter: undefined, maximumTokens: 4 }), forever()))
    expect(parts.map((part) => part.position)).toEqual([0, 1, 1, 3, 3, 2])
  })

  // Simulates a network device that drops the state of an open connection in the middle of a stream. The reader receives neither parts
  // nor an end; a new connection receives the rest at once.
  it('makes open connections unresponsive while new ones work', async () => {
    const { engine, client } = await startEngine({ stepMilliseconds: 3 })
    const asked = question('r1', { adapter: undefined, maximumTokens: 30 })
    const waiting = new AbortController()
    const silent = receive(client.generate(asked, waiting.signal))
    await vi.waitFor(() => expect(engine.history.all()).toHaveLength(1))
    await setFaults(engine.url, { silenceConnections: true })
    const fresh = await receive(client.resume(asked.requestId, 0, forever()))
    expect(fresh.end?.outputTokens).toBe(30)
    waiting.abort()
    const seen = await silent
    expect(seen.end).toBeUndefined()
    expect(seen.parts.length).toBeLessThan(30)
  })

  it('accepts a connection and never responds on it', async () => {
    const { engine, client } = await startEngine({ faults: { silentConnections: 1 } })
    const waiting = new AbortController()
    const silent = receive(client.generate(question('r1', LONG), waiting.signal))
    await vi.waitFor(async () => expect((await client.report()).isOk()).toBe(true))
    waiting.abort()
    expect(await silent).toMatchObject({ parts: [], end: undefined })
    expect(engine.history.all()).toEqual([])
  })

  it('ignores cancellations', async () => {
    const { client, engine } = await startEngine({ faults: { ignoreCancel: true } })
    const asked = question('r1', { adapter: undefined, maximumTokens: 50 })
    const stream = receive(client.generate(asked, forever()))
    await vi.waitFor(() => expect(engine.history.all()).toHaveLength(1))
    expect((await client.cancel(asked.requestId)).isOk()).toBe(true)
    expect((await stream).end?.outputTokens).toBe(50)
  })

  // The engine restarts cold during a running request. The caller's stream ends with an error, no adapter is loaded any more, and the
  // report contains another run id of the engine, by which the load owner detects the restart.
  it('restarts cold', async () => {
    const { engine, client } = await startEngine()
    await client.load(order(ADAPTER, 9), sourceOf(ADAPTER))
    await vi.waitFor(async () => expect((await client.report())._unsafeUnwrap().loaded).toEqual([ADAPTER]))
    const before = (await client.report())._unsafeUnwrap()
    const stream = receive(client.generate(question('r1', { maximumTokens: 100_000 }), forever()))
    await vi.waitFor(() => expect(engine.history.all()).toHaveLength(2))
    await fetch(`${engine.url}/control/restart`, { method: 'POST', body: '{}' })
    expect((await stream).error).toBeDefined()
    await vi.waitFor(async () => expect((await client.report())._unsafeUnwrap().loaded).toEqual([]))
    expect((await client.report())._unsafeUnwrap().engineRun).not.toBe(before.engineRun)
    expect((await receive(client.generate(question('r2'), forever()))).error?.kind).toBe('adapter-not-loaded')
    expect(engine.history.all().map((line) => line.event)).toContain('endpoint-restarted')
  })

  it('refuses requests while it restarts', async () => {
    const { engine, client } = await startEngine()
    engine.restart(3_600_000)
    expect((await receive(client.generate(question('r1', LONG), forever()))).error?.outcome).toBe('not_run')
  })

  it('unloads all adapters when the base model changes', async () => {
    const { client } = await startEngine()
    await client.load(order(ADAPTER), sourceOf(ADAPTER))
    await client.configure({ baseModel: 'base-2', role: 'drafts' }, order(ADAPTER).token)
    await vi.waitFor(async () => expect((await client.report())._unsafeUnwrap()).toMatchObject({ baseModel: 'base-2', role: 'drafts', loaded: [] }))
  })
})
