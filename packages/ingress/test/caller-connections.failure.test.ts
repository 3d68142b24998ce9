// Guards against callers whose connections and pipelined requests use up the memory or the descriptors of a process, although few bytes arrive.
import { connect } from 'node:net'
import type { Socket } from 'node:net'
import { afterEach, describe, expect, it } from 'vitest'
import { callerConnectionsFor, heldBackConnectionsFor, pendingConnectionsFor, waitingRequestsFor } from '../src/relay/caller-bounds.js'
import { IngressUnderTest } from './support/ingress-under-test.js'
import { framed, RawEndpoint, silence } from './support/raw-endpoint.js'
import type { RawAnswer } from './support/raw-endpoint.js'
import { route } from './support/samples.js'

const HEAD = 'host: listings.example\r\nx-request-id: one\r\n'
const PIPELINED = `GET /a HTTP/1.1\r\n${HEAD}\r\n`
const MEGABYTE = 1_048_576

const stops: (() => void)[] = []

afterEach(() => {
  for (const stop of stops.splice(0)) stop()
})

async function start (answer: RawAnswer, setup: { readonly connections?: number, readonly waiting?: number, readonly heldBack?: number } = {}): Promise<{ readonly under: IngressUnderTest, readonly raw: RawEndpoint }> {
  const raw = await RawEndpoint.start(answer)
  const under = await IngressUnderTest.start({ routes: [route({ kind: 'unsafe', mostAttempts: 1 })], endpoints: [{ id: 'p', raw }], ...setup })
  stops.push(() => raw.stop(), () => under.stop())
  return { under, raw }
}

interface RawCaller {
  readonly socket: Socket
  received: string
  isClosed: boolean
}

async function open ({ port }: IngressUnderTest): Promise<RawCaller> {
  const socket = connect(port, '127.0.0.1')
  const caller: RawCaller = { socket, received: '', isClosed: false }
  socket.on('data', (bytes) => { caller.received += String(bytes) })
  socket.on('error', () => { /* The instance may reset the connection. */ })
  socket.on('close', () => { caller.isClosed = true })
  stops.push(() => socket.destroy())
  await new Promise<void>((resolve) => { socket.once('connect', resolve) })
  return caller
}

function answersTo ({ received }: RawCaller): number {
  return received.split('HTTP/1.1 200').length - 1
}

describe('pipelined requests of one connection', () => {
  it('are all answered, however many there are, while few of them run at one time', async () => {
    let running = 0
    let most = 0
    const { under } = await start((socket, request) => {
      running += 1
      most = Math.max(most, running)
      setTimeout(() => {
        running -= 1
        framed(200, 'ok')(socket, request)
      }, 5)
    })
    const caller = await open(under)
    caller.socket.write(PIPELINED.repeat(100))
    await expect.poll(() => answersTo(caller), { timeout: 10_000 }).toBe(100)
    expect({ isBounded: most <= 2, isOpen: !caller.isClosed, inProgress: under.listener.requestsInProgress }).toEqual({ isBounded: true, isOpen: true, inProgress: 0 })
  })

  it('are no longer in progress once their caller has left', async () => {
    const { under, raw } = await start(silence)
    const caller = await open(under)
    caller.socket.write(PIPELINED.repeat(30))
    await expect.poll(() => raw.requests.length).toBe(2)
    caller.socket.destroy()
    await expect.poll(() => under.listener.requestsInProgress).toBe(0)
  })

  it('end their connection when too many wait, and others are still served', async () => {
    const { under, raw } = await start((socket, request) => { if (/\/other/.test(request)) framed(200, 'ok')(socket, request) }, { waiting: 50 })
    const [few, many] = [await open(under), await open(under)]
    few.socket.write(PIPELINED.repeat(10))
    await expect.poll(() => raw.requests.length).toBe(2)
    many.socket.write(PIPELINED.repeat(200))
    await expect.poll(() => many.isClosed).toBe(true)
    const other = await under.ask('/other')
    expect({ other: other.status, few: few.isClosed }).toEqual({ other: 200, few: false })
  })
})

describe('connections from which nothing is read because their requests wait', () => {
  it('are few: beyond their bound the first one is closed, and others are still served', async () => {
    const { under, raw } = await start((socket, request) => { if (/\/other/.test(request)) framed(200, 'ok')(socket, request) }, { heldBack: 1 })
    const [first, second] = [await open(under), await open(under)]
    first.socket.write(PIPELINED.repeat(60))
    await expect.poll(() => raw.requests.length).toBe(2)
    second.socket.write(PIPELINED.repeat(60))
    await expect.poll(() => first.isClosed).toBe(true)
    const other = await under.ask('/other')
    expect({ other: other.status, second: second.isClosed }).toEqual({ other: 200, second: false })
  })
})

describe('connections of callers beyond their bound', () => {
  it('close the one that is idle for the longest time, and neither the new one nor one whose request runs', async () => {
    const { under, raw } = await start((socket, request) => { if (/\/other/.test(request)) framed(200, 'ok')(socket, request) }, { connections: 3 })
    const busy = await open(under)
    busy.socket.write(PIPELINED)
    await expect.poll(() => raw.requests.length).toBe(1)
    const [first, second] = [await open(under), await open(under)]
    const other = await under.ask('/other')
    await expect.poll(() => first.isClosed).toBe(true)
    expect({ other: other.status, busy: busy.isClosed, second: second.isClosed }).toEqual({ other: 200, busy: false, second: false })
  })

  it('are the new ones while a request runs on each of the others', async () => {
    const { under, raw } = await start(silence, { connections: 2 })
    const busy = [await open(under), await open(under)]
    for (const { socket } of busy) socket.write(PIPELINED)
    await expect.poll(() => raw.requests.length).toBe(2)
    const refused = await open(under)
    await expect.poll(() => refused.isClosed).toBe(true)
    expect(busy.map(({ isClosed }) => isClosed)).toEqual([false, false])
  })

  it('are counted by the descriptors of the process, and the waiting requests by its memory', () => {
    expect([2_212, 3_075, 210, undefined].map((descriptors) => callerConnectionsFor(descriptors))).toMatchInlineSnapshot(`
      [
        905,
        1293,
        4,
        10000,
      ]
    `)
    expect([65 * MEGABYTE, 16 * MEGABYTE, Infinity].map((bytes) => [waitingRequestsFor(bytes), heldBackConnectionsFor(bytes), pendingConnectionsFor(bytes)])).toMatchInlineSnapshot(`
      [
        [
          1040,
          8,
          260,
        ],
        [
          256,
          4,
          64,
        ],
        [
          16384,
          64,
          1024,
        ],
      ]
    `)
  })
})
