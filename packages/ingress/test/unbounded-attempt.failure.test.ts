// Guards against bytes that are no answer and that come without an end, in a head or a body: they hold a request until its deadline, or memory without a
// bound. Each test scripts the exact bytes that one endpoint sends.
import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, describe, expect, it } from 'vitest'
import { SystemClock } from '@limpetwinch/core'
import { ENDLESS_FORMS } from '@limpetwinch/stand-ins'
import type { EndlessForm } from '@limpetwinch/stand-ins'
import { DirectDialler } from '../src/paths/endpoint-dialler.js'
import { Attempt } from '../src/relay/attempt.js'
import type { AttemptEnd, AttemptSink } from '../src/relay/attempt.js'
import type { CallerExchange } from '../src/relay/caller-exchange.js'
import { EndpointConnection } from '../src/relay/endpoint-connections.js'
import { HeldResponseBytes } from '../src/relay/held-response-bytes.js'
import { StreamAttempt } from '../src/relay/stream-attempt.js'
import type { StreamAttemptResult } from '../src/relay/stream-attempt.js'
import { chunk, endless, endStream, framed, RawEndpoint, stream } from './support/raw-endpoint.js'
import type { RawAnswer } from './support/raw-endpoint.js'
import { endpoint as sampleEndpoint } from './support/samples.js'
import { TestCodec } from './support/test-codec.js'

const FLOOD = { milliseconds: 0, bytes: 1_000 }
const DRIP = { milliseconds: 10, bytes: 16 }
const FILLER_MILLISECONDS = 150
const MAXIMUM_BODY_BYTES = 1_000_000
/** Far longer than the product waits, so that a busy host does not decide a test. */
const CONNECT_MILLISECONDS = 5_000
const endpoints: RawEndpoint[] = []
const connections: EndpointConnection[] = []

afterEach(() => {
  for (const connection of connections.splice(0)) connection.destroy()
  for (const endpoint of endpoints.splice(0)) endpoint.stop()
})

async function attemptTo (answer: RawAnswer, held = new HeldResponseBytes()): Promise<{ attempt: Attempt, run: (sink: AttemptSink) => Promise<AttemptEnd> }> {
  const endpoint = await RawEndpoint.start(answer)
  endpoints.push(endpoint)
  const connection = new EndpointConnection(sampleEndpoint('p', { address: endpoint.address }), new DirectDialler(CONNECT_MILLISECONDS))
  connections.push(connection)
  const attempt = new Attempt(connection, new TestCodec(), { fillerMilliseconds: FILLER_MILLISECONDS, held })
  return { attempt, run: async (sink) => await attempt.run({ requestId: 'one', method: 'GET', target: '/', headers: ['x-request-id', 'one'], body: undefined }, sink) }
}

/** Runs a request to a plain service. */
async function plain (answer: RawAnswer, held?: HeldResponseBytes): Promise<{ end: AttemptEnd, attempt: Attempt, body: string }> {
  const { attempt, run } = await attemptTo(answer, held)
  const chunks: Buffer[] = []
  let bytes = 0
  const end = await run({
    head: () => {},
    data: (part) => {
      bytes += part.length
      if (attempt.holds(bytes, MAXIMUM_BODY_BYTES, 'body')) chunks.push(part)
      return 'part'
    }
  })
  return { end, attempt, body: Buffer.concat(chunks).toString() }
}

/** Runs a stream whose caller reads as slowly as stated. @returns the result, and what reached the caller */
async function streamed (answer: RawAnswer, callerMilliseconds = 0): Promise<{ result: StreamAttemptResult, attempt: Attempt, passedOn: string, hasBegun: boolean }> {
  const { attempt, run } = await attemptTo(answer)
  let passedOn = ''
  let hasBegun = false
  const exchange = {
    beginResponse: () => { hasBegun = true },
    write: (bytes: Buffer) => {
      passedOn += bytes.toString()
      return callerMilliseconds === 0
    },
    drained: async () => { await sleep(callerMilliseconds) },
    end: () => {}
  } as unknown as CallerExchange
  const progress = { lastEventId: undefined, firstEventAt: undefined, lastEventAt: undefined, longestGap: 0 }
  const result = await new StreamAttempt(exchange, progress, undefined, new SystemClock(), () => {}).run((sink) => ({ attempt, ended: run(sink) }))
  return { result, attempt, passedOn, hasBegun }
}

const PLAIN_FORMS = ENDLESS_FORMS.filter((form) => !['comments', 'crumbs', 'repeats'].includes(form))

describe('a request to a plain service whose response has no end', () => {
  it.each(PLAIN_FORMS)('is ended with `%s` that come fast, and its endpoint is at fault', async (form) => {
    const { end, attempt } = await plain(endless(form, FLOOD))
    expect([end.kind, attempt.unboundedKind !== undefined, attempt.lostConnection]).toEqual(['broken', true, false])
  })

  it.each(PLAIN_FORMS.filter((form) => form !== 'body'))('is ended with `%s` that come slowly', async (form) => {
    const { end, attempt } = await plain(endless(form, DRIP))
    expect([end.kind, attempt.unboundedKind]).toEqual(['broken', 'filler-time'])
  })

  it('puts the fault with its endpoint when a body still comes at the deadline', async () => {
    const { attempt, run } = await attemptTo(endless('body', DRIP))
    const ended = run({ head: () => {}, data: () => 'part' })
    await sleep(3 * FILLER_MILLISECONDS)
    attempt.abandon('its time is over')
    expect([(await ended).kind, attempt.unboundedKind]).toEqual(['abandoned', 'body'])
  })

  it('gives way when all responses together hold too much, which is no fault of its endpoint', async () => {
    const held = new HeldResponseBytes(100_000)
    const [small, large] = await Promise.all([plain(framed(200, 'x'.repeat(20_000)), held), plain(endless('body', { milliseconds: 1, bytes: 4_000 }), held)])
    expect([small.end.kind, large.end.kind, large.attempt.unboundedKind]).toEqual(['whole', 'broken', undefined])
  })
})

describe('a stream whose response has no end', () => {
  const begun: Partial<Record<EndlessForm, string>> = { repeats: '1' }
  const forms = ENDLESS_FORMS.flatMap((form) => [[form, 'fast', FLOOD], [form, 'slowly', DRIP]] as const)

  it.each(forms)('is ended with `%s` that come %s, and nothing that is no event is passed on', async (form, _pace, pace) => {
    const { result, attempt, passedOn, hasBegun } = await streamed(endless(form, pace))
    expect([result.kind, attempt.unboundedKind !== undefined, attempt.lostConnection]).toEqual(['broken', true, false])
    const ids = [...new Set([...passedOn.matchAll(/^id: (\d+)$/gm)].map(([, id]) => id))].join()
    expect([/^: x/m.test(passedOn), ids, hasBegun]).toEqual([false, begun[form] ?? '', begun[form] !== undefined])
  })
})

describe('a response with an end', () => {
  it('is whole when comments come between events and its engine is silent meanwhile', async () => {
    const { result, passedOn, attempt } = await streamed(stream([1], (socket) => {
      socket.write(chunk(': still here\n\n'))
      setTimeout(() => { socket.write(chunk('retry: 100\n\n') + chunk(': still here\n\nid: 2\ndata: part 2\n\n')); endStream(socket) }, 4 * FILLER_MILLISECONDS)
    }))
    expect([result.kind, passedOn, attempt.unboundedKind]).toEqual(['whole', 'id: 1\ndata: part 1\n\nid: 2\ndata: part 2\n\n', undefined])
  })

  it('is whole when an event comes in many pieces, and one piece of it long after the others', async () => {
    const { result, attempt } = await streamed(stream([1], (socket) => {
      for (const piece of ['id: 2\n', 'data: a', 'b', 'c']) socket.write(chunk(piece))
      setTimeout(() => { socket.write(chunk('d\n\n')); endStream(socket) }, 2 * FILLER_MILLISECONDS)
    }))
    expect([result.kind, attempt.unboundedKind]).toEqual(['whole', undefined])
  })

  it('is whole when one large event comes over a slow link', async () => {
    const piece = 'x'.repeat(20_000)
    const { result, attempt } = await streamed((socket, request) => {
      stream([], () => {})(socket, request)
      socket.write(chunk('id: 1\ndata: '))
      for (let part = 1; part <= 30; part += 1) setTimeout(() => { socket.write(chunk(piece)) }, part * 15)
      setTimeout(() => { socket.write(chunk('\n\n')); endStream(socket) }, 500)
    })
    expect([result.kind, attempt.unboundedKind]).toEqual(['whole', undefined])
  })

  it('is whole for a caller that reads slowly while the engine sends on', async () => {
    const ids = Array.from({ length: 12 }, (_each, index) => index + 1)
    const { result, attempt } = await streamed((socket, request) => {
      stream([], () => {})(socket, request)
      for (const id of ids) setTimeout(() => { socket.write(chunk(`id: ${id}\ndata: part\n\n`)) }, id * 20)
      setTimeout(() => { endStream(socket) }, 300)
    }, 2 * FILLER_MILLISECONDS)
    expect([result.kind, attempt.unboundedKind]).toEqual(['whole', undefined])
  })

  it('leaves no connection in use on which bytes come after the end', async () => {
    const { end, attempt } = await plain((socket, request) => {
      framed(200, 'hello')(socket, request)
      endless('header-lines', FLOOD)(socket, request)
    })
    expect([end.kind, attempt.unboundedKind]).toEqual(['whole', undefined])
    await expect.poll(() => endpoints[0]?.connections).toBe(0)
  })
})
