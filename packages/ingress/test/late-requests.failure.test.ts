// An instance that stops ends its last requests shortly before the end of its grace period. A request that it passes on so late that its
// endpoint cannot finish it is lost if it may not be repeated. Its caller would have been served by another instance, had it been told
// at once that the request did not run.
import { request } from 'node:http'
import { connect } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { silentLogger, SystemClock } from '@limpetwinch/core'
import { afterEach, describe, expect, it } from 'vitest'
import { stopGracefully } from '../src/runtime/graceful-stop.js'
import { IngressUnderTest } from './support/ingress-under-test.js'
import type { CallerView, IngressSetup } from './support/ingress-under-test.js'
import { framed, RawEndpoint, silence, stream } from './support/raw-endpoint.js'
import type { RawAnswer } from './support/raw-endpoint.js'
import { key, route } from './support/samples.js'

/** Half of it is left to the load balancer, and 0.7 s before its end the requests in progress are ended. */
const GRACE_MILLISECONDS = 2_000
/** The instance accepts no more requests by then, and ends none yet. */
const AFTER_ROTATION_MILLISECONDS = 1_150
const SLOW_MILLISECONDS = 500
/** In this grace period, less than {@link LONG_MILLISECONDS} are left after {@link LATE_MILLISECONDS}, and requests are still accepted. */
const LONG_GRACE_MILLISECONDS = 4_000
const LONG_MILLISECONDS = 1_700
const LATE_MILLISECONDS = 1_800
/** A second run that begins when a request leaves a slow endpoint would not end in time. */
const HALF_LONG_MILLISECONDS = 1_000
const TWO = Array.from({ length: 2 })
const SIX = Array.from({ length: 6 })

const ending: { stop: () => void }[] = []

afterEach(() => {
  for (const each of ending.splice(0)) each.stop()
})

async function start (setup: IngressSetup): Promise<IngressUnderTest> {
  const under = await IngressUnderTest.start(setup)
  ending.push(under, ...setup.endpoints.map(({ raw }) => raw))
  return under
}

function delayed (milliseconds: number): RawAnswer {
  return (socket, text) => { setTimeout(() => framed(200, 'whole')(socket, text), milliseconds) }
}

async function stop ({ listener }: IngressUnderTest, graceMilliseconds = GRACE_MILLISECONDS): Promise<void> {
  await stopGracefully({ listener, tunnels: { count: 0, startStopping: () => {}, destroy: () => {} }, clock: new SystemClock(), logger: silentLogger(), graceMilliseconds })
}

/** Sends a request whose body is complete only after some time. */
async function askSlowly (port: number, milliseconds: number): Promise<number | string> {
  return await new Promise((resolve) => {
    const outgoing = request({ host: '127.0.0.1', port, method: 'POST', agent: false, headers: { host: 'listings.example', 'x-request-id': 'slow', 'content-length': 4 } }, (answer) => {
      answer.resume()
      answer.on('error', () => { /* The status has arrived. */ })
      resolve(answer.statusCode ?? 0)
    })
    outgoing.on('error', (error: NodeJS.ErrnoException) => resolve(error.code ?? 'error'))
    outgoing.write('be')
    setTimeout(() => outgoing.end('en'), milliseconds)
  })
}

async function outcome (asking: Promise<CallerView>): Promise<string> {
  return await asking.then(({ status, whole }) => `${status} ${whole ? 'whole' : 'cut'}`, (error: NodeJS.ErrnoException) => error.code ?? 'error')
}

describe('an instance that stops', () => {
  // Guards against requests that are checked only when their headers arrive: this one is complete when nothing is accepted any more.
  it('refuses a request as not run whose body is complete after it has ceased to accept requests', async () => {
    const raw = await RawEndpoint.start(silence)
    const under = await start({ routes: [route({ kind: 'unsafe' })], endpoints: [{ id: 'p', raw }] })
    const stopping = stop(under)
    const status = await askSlowly(under.port, AFTER_ROTATION_MILLISECONDS)
    await stopping
    expect({ status, relayed: raw.requests.length }).toEqual({ status: 503, relayed: 0 })
  })

  // Guards against requests that wait for a place, an adapter or the quarantine, and are passed on when their turn comes late.
  it('refuses a request as not run that gets its place after it has ceased to accept requests', async () => {
    const raw = await RawEndpoint.start(silence)
    const place = { endpoint: 'p' as never, giveBack: () => {} }
    const places = { isDivided: () => true, take: async () => await sleep(AFTER_ROTATION_MILLISECONDS, place) }
    const under = await start({ routes: [route({ kind: 'unsafe' })], endpoints: [{ id: 'p', raw }], places })
    const asking = outcome(under.ask('/'))
    await stop(under)
    expect({ outcome: await asking, relayed: raw.requests.length }).toEqual({ outcome: '503 whole', relayed: 0 })
  })

  // Guards against requests that are passed on while they are accepted, although such requests last longer than the time that is left.
  it('refuses requests as not run that last longer than the time that is left, and serves those that do not', async () => {
    const [slow, quick] = [await RawEndpoint.start(delayed(LONG_MILLISECONDS)), await RawEndpoint.start(framed(200, 'whole'))]
    const under = await start({
      routes: [route({ name: 'slow', kind: 'unsafe', timeoutMilliseconds: 9_000, pathPrefix: '/slow/' }), route({ name: 'quick', kind: 'unsafe', targets: [{ service: 'engines', weight: 1 }] })],
      endpoints: [{ id: 's', raw: slow }, { id: 'q', raw: quick, adapters: [] }]
    })
    await Promise.all(SIX.map(async () => await Promise.all([under.ask('/slow/'), under.ask('/')])))
    const stopping = stop(under, LONG_GRACE_MILLISECONDS)
    const early = outcome(under.ask('/slow/'))
    await sleep(LATE_MILLISECONDS)
    const late = await Promise.all([outcome(under.ask('/slow/')), outcome(under.ask('/'))])
    await stopping
    expect({ early: await early, late, relayed: slow.requests.length }).toEqual({ early: '200 whole', late: ['503 whole', '200 whole'], relayed: 7 })
  }, 15_000)

  // Guards against a safe request that leaves a slow endpoint for another one, begins anew there and does not end in time.
  it('lets a request end where it runs when another run would not end in time', async () => {
    const slow = await Promise.all(TWO.map(async () => await RawEndpoint.start(delayed(HALF_LONG_MILLISECONDS))))
    const under = await start({ routes: [route({ objectiveMilliseconds: 900, timeoutMilliseconds: 9_000 })], endpoints: slow.map((raw, index) => ({ id: `s${index}`, raw })) })
    await Promise.all(SIX.map(async () => await under.ask('/')))
    const stopping = stop(under, LONG_GRACE_MILLISECONDS)
    await sleep(LATE_MILLISECONDS)
    const answer = await outcome(under.ask('/'))
    await stopping
    expect(answer).toBe('200 whole')
  }, 15_000)

  // Guards against connections that are closed without an answer at the end of the grace period, which tells a caller nothing.
  it('answers at the end that the outcome of a request is unknown, and ends a stream after a whole event', async () => {
    const [plain, engine] = [await RawEndpoint.start(silence), await RawEndpoint.start(stream([1, 2], (socket) => { socket.write('8\r\nid: 3\nda\r\n') }))]
    const under = await start({
      routes: [route({ kind: 'unsafe', timeoutMilliseconds: 9_000 }), route({ pathPrefix: '/stream/', kind: 'stream', timeoutMilliseconds: 9_000, targets: [{ service: 'engines', weight: 1 }] })],
      endpoints: [{ id: 'p', raw: plain }, { id: 'e', raw: engine, adapters: [{ key: key('poem'), version: 1 }] }]
    })
    const asking = outcome(under.ask('/'))
    const streaming = under.ask('/stream/', { 'x-adapter': 'poem' })
    await expect.poll(() => plain.requests.length + engine.requests.length).toBe(2)
    await stop(under)
    const { whole, body } = await streaming
    expect({ outcome: await asking, whole, events: body.split('\n\n').length - 1, tail: body.split('\n\n').at(-1) }).toEqual({ outcome: '502 whole', whole: false, events: 2, tail: '' })
  })

  // Guards against a request that is passed on from a connection which the response before it closes.
  it('answers requests that were pipelined behind another one before it closes their connection', async () => {
    const raw = await RawEndpoint.start(delayed(SLOW_MILLISECONDS))
    const under = await start({ routes: [route({ kind: 'unsafe' })], endpoints: [{ id: 'p', raw }] })
    const socket = connect(under.port, '127.0.0.1')
    let received = ''
    socket.on('data', (bytes) => { received += String(bytes) })
    const head = 'GET / HTTP/1.1\r\nhost: listings.example\r\nx-request-id: one\r\n\r\n'
    socket.write(head)
    await expect.poll(() => raw.requests.length).toBe(1)
    socket.write(head)
    await expect.poll(() => raw.requests.length).toBe(2)
    await stop(under)
    expect(received.match(/HTTP\/1.1 200/g)).toHaveLength(2)
  })
})
