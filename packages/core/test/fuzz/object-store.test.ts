// Guards against wrong conclusions from an error page, a truncated response or an endless response to a write, sent by the
// platform or an intermediary. If the client reported that nothing was changed although the write took effect, its caller
// would write twice, or report a change as refused that is in force.
import fc from 'fast-check'
import { afterAll, beforeAll, describe, expect, it } from 'vitest'
import { HttpObjectStore, neverConnected } from '@limpetwinch/core'
import { respondWith, endlessBody, MAXIMUM_SENT_BYTES, RawServer } from './raw-server.js'

const RUNS = { seed: 61_203, numRuns: 150 }
const NOTHING_HAPPENED = new Set([413, 429, 503])

describe('untrusted responses of the object API', () => {
  const server = new RawServer()
  let store: HttpObjectStore

  beforeAll(async () => { store = new HttpObjectStore(await server.listen()) })

  afterAll(async () => {
    await store.close()
    await server.close()
  })

  const body = fc.oneof(fc.jsonValue().map((value) => JSON.stringify(value)), fc.string()).filter((text) => !text.includes('"version"'))

  it('reports a write as having had no effect only if the platform says so', async () => {
    await fc.assert(fc.asyncProperty(fc.constantFrom(200, 201, 400, 404, 409, 413, 429, 500, 502, 503, 504), body, async (status, text) => {
      server.answer = respondWith(status, [Buffer.from(text)])
      const error = (await store.put({ path: '/a', ifVersion: 0, value: 1 }))._unsafeUnwrapErr()
      const nothingHappened = error.kind === 'store-unavailable'
      if (nothingHappened) expect(NOTHING_HAPPENED).toContain(status)
      else expect(error).toMatchObject({ kind: 'store-answer-lost', outcome: 'unknown' })
    }), RUNS)
  })

  it('accepts no other JSON value as an object', async () => {
    await fc.assert(fc.asyncProperty(body, async (text) => {
      server.answer = respondWith(200, [Buffer.from(text)])
      for (const read of [store.get('/a'), store.list('/'), store.watch('/', 0, 10)]) {
        expect((await read)._unsafeUnwrapErr().kind).toBe('store-unavailable')
      }
    }), RUNS)
  })

  it('stops reading an endless response', async () => {
    const answer = endlessBody(200, '{"objects":"', 'x')
    server.answer = answer.answer
    expect((await store.list('/'))._unsafeUnwrapErr().kind).toBe('store-unavailable')
    expect(await answer.bytesTaken).toBeLessThan(MAXIMUM_SENT_BYTES)
  })

  // If a route is lost during a request, the socket fails with EHOSTUNREACH on read, after the request may have reached the
  // endpoint. Only the same code on connect proves that nothing was sent.
  it('takes a lost route as proof that nothing was sent only while connecting', () => {
    const lost = (syscall: string) => Object.assign(new Error('lost'), { code: 'EHOSTUNREACH', syscall })
    expect(neverConnected(lost('connect'))).toBe(true)
    expect(neverConnected(lost('read'))).toBe(false)
    expect(neverConnected(new AggregateError([lost('connect'), lost('connect')]))).toBe(true)
    expect(neverConnected(new AggregateError([lost('connect'), lost('write')]))).toBe(false)
    expect(neverConnected(new AggregateError([]))).toBe(false)
  })
})
