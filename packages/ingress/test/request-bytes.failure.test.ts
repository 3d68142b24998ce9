// Guards against long request bodies that together take a process over its memory, so that the platform kills it with all that it serves.
import { Agent, request } from 'node:http'
import { connect } from 'node:net'
import { afterEach, describe, expect, it } from 'vitest'
import { HeldRequestBytes, requestBytesFor } from '../src/relay/held-request-bytes.js'
import { IngressUnderTest } from './support/ingress-under-test.js'
import { chunk, framed, RawEndpoint, silence } from './support/raw-endpoint.js'
import type { RawAnswer } from './support/raw-endpoint.js'
import { route } from './support/samples.js'

const MEGABYTE = 1_048_576
/** A body that has arrived. */
const ARRIVED = { heldBytes: 11 * MEGABYTE, isArriving: false, arrivedAt: 0, drop: () => {} }
const stops: (() => void)[] = []

afterEach(() => {
  for (const stop of stops.splice(0)) stop()
})

async function ingress (...answers: readonly RawAnswer[]): Promise<{ readonly under: IngressUnderTest, readonly raw: RawEndpoint }> {
  const raw = await RawEndpoint.start(...answers)
  const under = await IngressUnderTest.start({ routes: [route({ kind: 'unsafe', mostAttempts: 1 })], endpoints: [{ id: 'p', raw }], requestBytes: 1_500 })
  stops.push(() => raw.stop(), () => under.listener.destroy())
  return { under, raw }
}

/** Sends a request on the connection of the agent. @returns the status */
async function post ({ port }: IngressUnderTest, agent: Agent, bytes: number): Promise<{ readonly status: number, readonly localPort: number | undefined }> {
  return await new Promise((resolve, reject) => {
    const outgoing = request({ host: '127.0.0.1', port, method: 'POST', path: '/', agent, headers: { host: 'listings.example', 'x-request-id': `r${bytes}`, 'content-length': bytes } }, (answer) => {
      const { localPort } = answer.socket
      answer.resume().once('end', () => resolve({ status: answer.statusCode ?? 0, localPort }))
    })
    outgoing.on('error', reject)
    outgoing.end('x'.repeat(bytes))
  })
}

describe('a request whose body does not fit beside those in progress', () => {
  it('is refused at once as not run, while a shorter one is served, and is served after the others have ended', async () => {
    const { under, raw } = await ingress(silence, framed(200, 'ok'))
    const first = under.ask('/', {}, 'x'.repeat(900))
    await expect.poll(() => raw.requests.length).toBe(1)
    const [refused, shorter] = [await under.ask('/', { 'x-request-id': 'two' }, 'x'.repeat(900)), await under.ask('/', { 'x-request-id': 'three' }, 'x'.repeat(300))]
    raw.reset()
    await first
    const later = await under.ask('/', { 'x-request-id': 'four' }, 'x'.repeat(900))
    expect({
      refused: [refused.status, JSON.parse(refused.body).error.outcome, refused.headers['retry-after'] !== undefined], shorter: shorter.status, later: later.status, arrived: raw.requests.filter((each) => each.includes('two')).length
    }).toEqual({ refused: [503, 'not_run', true], shorter: 200, later: 200, arrived: 0 })
  })

  // Guards against callers that never see the refusal: a connection that is closed with unread bytes is reset.
  it('keeps its connection for the next one', async () => {
    const { under, raw } = await ingress(silence, framed(200, 'ok'))
    void under.ask('/', {}, 'x'.repeat(900)).catch(() => {})
    await expect.poll(() => raw.requests.length).toBe(1)
    const agent = new Agent({ keepAlive: true, maxSockets: 1 })
    stops.push(() => agent.destroy())
    const [refused, next] = [await post(under, agent, 900), await post(under, agent, 200)]
    expect({ statuses: [refused.status, next.status], isKept: refused.localPort === next.localPort }).toEqual({ statuses: [503, 200], isKept: true })
  })

  // Guards against the same where the refusal comes in the middle of the body: the rest is read, more of it than is buffered.
  it('keeps its connection for the next one when its length is not announced', async () => {
    const { under, raw } = await ingress(silence, framed(200, 'ok'))
    void under.ask('/', {}, 'x'.repeat(900)).catch(() => {})
    await expect.poll(() => raw.requests.length).toBe(1)
    let received = ''
    const caller = connect(under.port, '127.0.0.1')
    stops.push(() => caller.destroy())
    caller.on('data', (bytes) => { received += String(bytes) })
    const head = 'host: listings.example\r\nx-request-id: two\r\n'
    caller.write(`POST / HTTP/1.1\r\n${head}transfer-encoding: chunked\r\n\r\n${chunk('x'.repeat(300))}`)
    await expect.poll(() => received).toContain('HTTP/1.1 503')
    caller.write(`${chunk('x'.repeat(900)).repeat(300)}0\r\n\r\n`)
    caller.write(`POST / HTTP/1.1\r\n${head}content-length: 2\r\n\r\nok`)
    await expect.poll(() => received).toContain('HTTP/1.1 200')
  })
})

describe('the bytes of request bodies', () => {
  it('leave room for small bodies beside large ones', () => {
    const held = new HeldRequestBytes(20 * MEGABYTE)
    held.hold(ARRIVED, 11 * MEGABYTE)
    expect({ large: held.fits(2 * MEGABYTE, 0), small: held.fits(50_000, 0), restOfLarge: held.fits(2 * MEGABYTE, MEGABYTE) }).toEqual({ large: false, small: true, restOfLarge: false })
  })

  it('are bounded by the memory of the process beside its own needs, and not at all where it is unknown', () => {
    expect([350, 210, 100, undefined].map((memory) => requestBytesFor(memory) / MEGABYTE)).toEqual([146.25, 41.25, 16, Infinity])
  })
})
