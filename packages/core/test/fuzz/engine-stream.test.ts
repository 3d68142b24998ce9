// Guards against streams of a faulty engine or intermediary that are truncated, garbled, endless or contain wrong types. The
// caller would get text that the engine never generated, or the instance would hang or run out of memory. The client must
// deliver only complete parts, finish with exactly one end or error, and never claim that a sent request was not run.
import fc from 'fast-check'
import { afterAll, beforeAll, beforeEach, describe, expect, it } from 'vitest'
import { HttpEngineClient } from '@limpetwinch/core'
import type { EndpointId, GenerationEventResult, RequestId } from '@limpetwinch/core'
import { respondWith, endlessBody, MAXIMUM_SENT_BYTES, RawServer } from './raw-server.js'

const RUNS = { seed: 61_202, numRuns: 150 }
const MAXIMUM_BYTES_TAKEN = MAXIMUM_SENT_BYTES / 4

const part = fc.record({ position: fc.nat(100), text: fc.string({ unit: 'grapheme', maxLength: 12 }) })
const end = fc.record({ end: fc.record({ finishReason: fc.constant('length'), promptTokens: fc.nat(), outputTokens: fc.nat(), adapter: fc.constant('a/b@c') }) })
const stream = fc.tuple(fc.array(part, { maxLength: 6 }), end)

function bytesOf (events: readonly unknown[]): Buffer {
  return Buffer.from(events.map((event) => `data: ${JSON.stringify(event)}\n\n`).join(''))
}

function piecesOf (bytes: Buffer, cuts: readonly number[]): Buffer[] {
  const at = [...new Set(cuts.map((cut) => cut % (bytes.length + 1)))].sort((left, right) => left - right)
  return [0, ...at].map((from, index) => bytes.subarray(from, at[index] ?? bytes.length)).filter((piece) => piece.length > 0)
}

describe('untrusted engine streams', () => {
  const server = new RawServer()
  let client: HttpEngineClient

  beforeAll(async () => { client = new HttpEngineClient('engine-0' as EndpointId, await server.listen()) })

  beforeEach(() => { server.answer = (socket) => { socket.destroy() } })

  afterAll(async () => {
    await client.close()
    await server.close()
  })

  async function generate (): Promise<GenerationEventResult[]> {
    const results: GenerationEventResult[] = []
    const request = { requestId: 'r' as RequestId, adapter: undefined, prompt: 'p', maximumTokens: 9, priority: 5 }
    for await (const result of client.generate(request, new AbortController().signal)) results.push(result)
    return results
  }

  function failureOf (results: readonly GenerationEventResult[]): unknown {
    const last = results.at(-1)
    return last?.ok === false ? { kind: last.error.kind, outcome: last.error.outcome } : last
  }

  const failedUnknown = { kind: 'endpoint-failed', outcome: 'unknown' }

  it('reads complete streams regardless of where the bytes are split', async () => {
    await fc.assert(fc.asyncProperty(stream, fc.array(fc.nat(), { maxLength: 8 }), async ([parts, last], cuts) => {
      server.answer = respondWith(200, piecesOf(bytesOf([...parts, last]), cuts))
      expect(await generate()).toEqual([
        ...parts.map((one) => ({ ok: true, event: { kind: 'part', part: one } })),
        { ok: true, event: { kind: 'end', end: last.end } }
      ])
    }), RUNS)
  })

  it('ends a truncated stream with an error after its complete parts', async () => {
    await fc.assert(fc.asyncProperty(stream, fc.nat(), async ([parts, last], at) => {
      const complete = bytesOf([...parts, last])
      server.answer = respondWith(200, [complete.subarray(0, at % complete.length)])
      const results = await generate()
      const expected = parts.map((one) => ({ ok: true, event: { kind: 'part', part: one } }))
      expect(results.slice(0, -1)).toEqual(expected.slice(0, results.length - 1))
      expect(failureOf(results)).toEqual(failedUnknown)
    }), RUNS)
  })

  it('ends at the first event of a wrong type', async () => {
    const wrong = fc.oneof(fc.jsonValue(), fc.record({ position: fc.jsonValue(), text: fc.constant('x') }), fc.record({ end: fc.jsonValue() }), fc.record({ error: fc.jsonValue() }))
      .filter((value) => !isPart(value))
    await fc.assert(fc.asyncProperty(stream, wrong, async ([parts, last], value) => {
      server.answer = respondWith(200, [bytesOf([...parts, value, last])])
      const results = await generate()
      expect(results).toHaveLength(parts.length + 1)
      expect(failureOf(results)).toEqual(failedUnknown)
    }), RUNS)
  })

  it('ends with an error on arbitrary bytes', async () => {
    await fc.assert(fc.asyncProperty(fc.array(fc.uint8Array({ maxLength: 60 }), { maxLength: 5 }), async (pieces) => {
      server.answer = respondWith(200, pieces)
      expect(failureOf(await generate())).toEqual(failedUnknown)
    }), RUNS)
  })

  it('delivers no text from invalid UTF-8', async () => {
    const event = bytesOf([{ position: 0, text: 'zebra' }])
    event[event.indexOf('b')] = 0xff
    server.answer = respondWith(200, [event, bytesOf([{ end: { finishReason: 'length', promptTokens: 1, outputTokens: 1 } }])])
    const results = await generate()
    expect(results).toHaveLength(1)
    expect(failureOf(results)).toEqual(failedUnknown)
  })

  it.each([
    ['an endless line', 200, 'data: "', 'x'],
    ['an event of endless lines', 200, '', 'data: x\n'],
    ['an endless refusal', 503, '{"error":"', 'x']
  ])('stops reading %s', async (_name, status, start, filler) => {
    const body = endlessBody(status, start, filler)
    server.answer = body.answer
    expect(failureOf(await generate())).toEqual(failedUnknown)
    expect(await body.bytesTaken).toBeLessThan(MAXIMUM_BYTES_TAKEN)
  })

  it('stops reading an endless report', async () => {
    const body = endlessBody(200, '{"baseModel":"', 'x')
    server.answer = body.answer
    expect((await client.report())._unsafeUnwrapErr().kind).toBe('endpoint-failed')
    expect(await body.bytesTaken).toBeLessThan(MAXIMUM_BYTES_TAKEN)
  })

  it('accepts no other JSON value as a report', async () => {
    await fc.assert(fc.asyncProperty(fc.jsonValue(), async (value) => {
      server.answer = respondWith(200, [Buffer.from(JSON.stringify(value))])
      expect((await client.report())._unsafeUnwrapErr().kind).toBe('endpoint-failed')
    }), RUNS)
  })

  // The connection of a running request becomes idle and the engine restarts, so the resume is refused with "unknown request".
  // If that were reported as not run, the caller would send a request again that has already run.
  it('does not report a request as not run when its resume is refused', async () => {
    const refusal = { error: { code: 'unknown-request', message: 'not known here' } }
    server.answer = respondWith(404, [Buffer.from(JSON.stringify(refusal))])
    for await (const result of client.resume('r' as RequestId, 3, new AbortController().signal)) {
      expect(result.ok === false && result.error.outcome).toBe('unknown')
    }
    const closed = new HttpEngineClient('engine-0' as EndpointId, 'http://127.0.0.1:1')
    for await (const result of closed.resume('r' as RequestId, 3, new AbortController().signal)) {
      expect(result.ok === false && result.error.outcome).toBe('unknown')
    }
    await closed.close()
  })
})

function isPart (value: unknown): boolean {
  const { position, text } = (value ?? {}) as { position?: unknown, text?: unknown }
  return Number.isSafeInteger(position) && (position as number) >= 0 && typeof text === 'string'
}
