import { expectedAnswer } from '@limpetwinch/stand-ins'
import type { RequestId } from '@limpetwinch/core'
import { describe, expect, it, vi } from 'vitest'
import { ADAPTER, forever, order, question, receive, sourceOf, startEngine, textOf } from './engine-fixture.js'

describe('stand-in engine', () => {
  it('generates a text determined by adapter, prompt and seed, and a different text with another adapter', async () => {
    const { client } = await startEngine()
    await client.load(order('team/poet@1~7'), sourceOf('team/poet@1'))
    await client.load(order('team/poet@2'), sourceOf('team/poet@2'))
    const first = await receive(client.generate(question('r1', { adapter: order('team/poet@1~7').name, prompt: 'same', seed: 3 }), forever()))
    const second = await receive(client.generate(question('r2', { adapter: order('team/poet@2').name, prompt: 'same', seed: 3 }), forever()))
    expect(textOf(first.parts)).toBe(expectedAnswer({ adapter: 'team/poet@1', prompt: 'same', seed: 3 }, 10))
    expect(textOf(second.parts)).toBe(expectedAnswer({ adapter: 'team/poet@2', prompt: 'same', seed: 3 }, 10))
    expect(textOf(first.parts)).not.toBe(textOf(second.parts))
    expect(first.end).toMatchObject({ finishReason: 'length', outputTokens: 10, adapter: 'team/poet@1~7' })
  })

  it('refuses a request for an adapter that is not loaded', async () => {
    const { client, engine } = await startEngine()
    const refused = await receive(client.generate(question('r1'), forever()))
    expect(refused.error).toMatchObject({ kind: 'adapter-not-loaded', outcome: 'not_run' })
    expect(engine.history.all()).toEqual([])
  })

  it('refuses loads when all slots are in use, and a second load of one name waits for the first', async () => {
    const { client } = await startEngine({ slots: 1 })
    const both = await Promise.all([client.load(order(ADAPTER), sourceOf(ADAPTER)), client.load(order(ADAPTER), sourceOf(ADAPTER))])
    expect(both.map((result) => result.isOk())).toEqual([true, true])
    const other = await client.load(order('team/other@1'), sourceOf('team/other@1'))
    expect(other._unsafeUnwrapErr().kind).toBe('no-free-slot')
    await client.unload(order(ADAPTER))
    expect((await client.load(order('team/other@1'), sourceOf('team/other@1'))).isOk()).toBe(true)
  })

  it('refuses stale fencing tokens, or ignores all tokens', async () => {
    const strict = await startEngine({ fencing: 'refuses' })
    await strict.client.load(order(ADAPTER, 5), sourceOf(ADAPTER))
    expect((await strict.client.unload(order(ADAPTER, 4)))._unsafeUnwrapErr().kind).toBe('stale-fencing-token')
    const lax = await startEngine({ fencing: 'ignores' })
    await lax.client.load(order(ADAPTER, 5), sourceOf(ADAPTER))
    expect((await lax.client.unload(order(ADAPTER, 4))).isOk()).toBe(true)
  })

  it('serves higher priorities first and limits its queue', async () => {
    const { client, engine } = await startEngine({ batchCapacity: 1, queueLimit: 2 })
    const base = { adapter: undefined, maximumTokens: 20 }
    const running = receive(client.generate(question('running', { ...base, maximumTokens: 100_000 }), forever()))
    await vi.waitFor(() => expect(engine.history.all()).toHaveLength(1))
    const low = receive(client.generate(question('low', { ...base, priority: 1 }), forever()))
    const high = receive(client.generate(question('high', { ...base, priority: 9 }), forever()))
    await vi.waitFor(async () => expect((await client.report())._unsafeUnwrap().queued).toBe(2))
    const excess = await receive(client.generate(question('excess', base), forever()))
    expect(excess.error).toMatchObject({ kind: 'endpoint-refused', outcome: 'not_run' })
    await client.cancel('running' as RequestId)
    await Promise.all([running, low, high])
    const started = engine.history.all().flatMap((line) => line.event === 'run-started' ? [line.request] : [])
    expect(started).toEqual(['running', 'high', 'low'])
  })

  it('cancels a running request', async () => {
    const { client, engine } = await startEngine()
    const stream = receive(client.generate(question('r1', { adapter: undefined, maximumTokens: 100_000 }), forever()))
    await vi.waitFor(() => expect(engine.history.all()).toHaveLength(1))
    await client.cancel('r1' as RequestId)
    expect((await stream).end?.finishReason).toBe('cancelled')
    expect(engine.history.all().at(-1)).toMatchObject({ event: 'run-ended', result: 'cancelled' })
  })

  it('resumes running and ended requests from a position, and refuses unknown ones', async () => {
    const { client } = await startEngine()
    const asked = question('r1', { adapter: undefined })
    const away = new AbortController()
    for await (const result of client.generate(asked, away.signal)) {
      if (result.ok && result.event.kind === 'part' && result.event.part.position === 2) away.abort()
    }
    for (const round of ['running or ended', 'ended']) {
      const rest = await receive(client.resume(asked.requestId, 3, forever()))
      expect(rest.parts.map((part) => part.position), round).toEqual([3, 4, 5, 6, 7, 8, 9])
      expect(textOf(rest.parts), round).toBe(expectedAnswer({ prompt: asked.prompt }, 10).slice(expectedAnswer({ prompt: asked.prompt }, 3).length))
    }
    expect((await receive(client.resume('other' as RequestId, 0, forever()))).error).toBeDefined()
  })

  it('publishes its report with a delay', async () => {
    const { client } = await startEngine({ reportLag: 3_600_000 })
    await client.load(order(ADAPTER), sourceOf(ADAPTER))
    expect((await client.report())._unsafeUnwrap().loaded).toEqual([])
    const prompt = await startEngine()
    await prompt.client.load(order(ADAPTER), sourceOf(ADAPTER))
    await vi.waitFor(async () => expect((await prompt.client.report())._unsafeUnwrap().loaded).toEqual([ADAPTER]))
  })

  it('publishes cache events with gaps, evicts the oldest prefixes and delays events', async () => {
    const ask = question('r1', { adapter: undefined, prompt: 'p'.repeat(256 * 4) })
    const { client } = await startEngine({ cacheEventLag: 0, cacheGapEvery: 3, cacheEntries: 2 })
    await receive(client.generate(ask, forever()))
    const events = (await client.cacheEvents(0))._unsafeUnwrap()
    expect(events.map((event) => [event.sequence, event.kind])).toEqual([[1, 'stored'], [2, 'stored'], [4, 'evicted'], [5, 'stored']])
    expect((await client.cacheEvents(4))._unsafeUnwrap().map((event) => event.sequence)).toEqual([5])
    const late = await startEngine({ cacheEventLag: 3_600_000 })
    await receive(late.client.generate(ask, forever()))
    expect((await late.client.cacheEvents(0))._unsafeUnwrap()).toEqual([])
  })
})
