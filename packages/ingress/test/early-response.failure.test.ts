// Guards against a part of a response that is taken for the complete one: an endpoint in trouble responds before it has read the request, sends a part
// of the body and resets the connection while the request is still being written.
import type { Socket } from 'node:net'
import { afterEach, describe, expect, it } from 'vitest'
import { DirectDialler } from '../src/paths/endpoint-dialler.js'
import { Attempt } from '../src/relay/attempt.js'
import { EndpointConnection } from '../src/relay/endpoint-connections.js'
import { IngressUnderTest } from './support/ingress-under-test.js'
import { chunk, RawEndpoint, requestIdOf } from './support/raw-endpoint.js'
import type { RawAnswer } from './support/raw-endpoint.js'
import { endpoint as sampleEndpoint, key, route } from './support/samples.js'
import { TestCodec } from './support/test-codec.js'

/** Larger than what the operating system takes for a connection that is not read. */
const UPLOAD_BYTES = 16_777_216
const RUNS = 5
const ending: { stop: () => void }[] = []

afterEach(() => {
  for (const each of ending.splice(0)) each.stop()
})

/** How an endpoint resets its connection. */
const RESETS: Readonly<Record<string, (socket: Socket) => void>> = {
  'is reset at once': (socket) => { socket.resetAndDestroy() },
  'is reset a moment later': (socket) => { setTimeout(() => socket.resetAndDestroy(), 20) },
  'is ended in order and reset after that': (socket) => { socket.end(() => socket.resetAndDestroy()) }
}

/** How an endpoint ends its connection while a request is being written: the operating system resets it when bytes are left unread. */
const ENDS: typeof RESETS = { ...RESETS, 'is closed with the rest of the request unread': (socket) => { socket.destroy() } }

/** What an endpoint sends of its response. */
const PARTS: Readonly<Record<string, { readonly headers: string, readonly body: string }>> = {
  'without a length': { headers: '', body: 'id: 1\ndata: part 1\n\n' },
  'that says its connection will close': { headers: 'Connection: close\r\n', body: 'id: 1\ndata: part 1\n\n' },
  'with a length': { headers: 'Content-Length: 500\r\n', body: 'id: 1\ndata: part 1\n\n' },
  'in chunks': { headers: 'Transfer-Encoding: chunked\r\n', body: chunk('id: 1\ndata: part 1\n\n') }
}

/** @returns an answer to the first bytes of each request; nothing more of the request is read */
function early (head: string, body: string, end: (socket: Socket) => void): RawAnswer {
  return (socket, request) => {
    if (socket.isPaused()) return
    socket.pause()
    socket.write(`${head}X-Request-Id: ${requestIdOf(request)}\r\nX-Server-Signature: s\r\n\r\n${body}`, () => end(socket))
  }
}

async function upload (answer: RawAnswer): Promise<string> {
  const raw = await RawEndpoint.start(answer)
  const connection = new EndpointConnection(sampleEndpoint('p', { address: raw.address }), new DirectDialler())
  ending.push(raw, { stop: () => connection.destroy() })
  const attempt = new Attempt(connection, new TestCodec())
  const end = await attempt.run(
    { requestId: 'one', method: 'POST', target: '/a', headers: ['x-request-id', 'one'], body: Buffer.alloc(UPLOAD_BYTES) },
    { head: () => {}, data: () => 'part' }
  )
  return `${end.kind}${attempt.reusable && end.kind === 'whole' ? ', reusable' : ''}`
}

async function uploads (answer: RawAnswer): Promise<readonly string[]> {
  const kinds = []
  for (let run = 0; run < RUNS; run++) kinds.push(await upload(answer))
  return [...new Set(kinds)]
}

describe.each(Object.entries(ENDS))('when the connection %s', (_name, end) => {
  it.each(Object.entries(PARTS))('a part of a response %s to an upload is not the complete one', async (_part, { headers, body }) => {
    expect(await uploads(early(`HTTP/1.1 200 OK\r\n${headers}`, body, end))).toEqual(['broken'])
  })

  it('an interim status is no response', async () => {
    for (const status of ['100 Continue', '101 Switching Protocols', '103 Early Hints']) {
      expect(await uploads(early(`HTTP/1.1 ${status}\r\n`, '', end))).toEqual(['broken'])
    }
  })
})

describe.each(Object.entries(RESETS))('when the connection %s', (_name, end) => {
  it.each(Object.entries(PARTS))('the caller of a stream whose response is one %s gets no complete one', async (_part, { headers, body }) => {
    const raw = await RawEndpoint.start(early(`HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n${headers}`, body, end))
    const once = route({ kind: 'stream', mostAttempts: 1, resumable: false, targets: [{ service: 'engines', weight: 1 }] })
    const under = await IngressUnderTest.start({ routes: [once], endpoints: [{ id: 'a', raw, adapters: [{ key: key('poem'), version: 1 }] }] })
    ending.push(under, raw)
    const { status, whole } = await under.ask('/', { 'x-adapter': 'poem' }, 'x'.repeat(900))
    expect(whole && status < 500).toBe(false)
  })
})
