// An instance stops while a stream runs on a keep-alive connection. The stream started earlier, so its response headers did not
// ask the caller to close the connection, and after the stream the caller sends its next request there. If that request were
// relayed, it would be cut off at the end of the grace period, and its caller could not know whether it ran. The request must
// not reach an endpoint; when it is refused, the caller can send it to another instance.
import { Agent, request } from 'node:http'
import type { Socket } from 'node:net'
import { silentLogger, SystemClock } from '@limpetwinch/core'
import { afterEach, describe, expect, it } from 'vitest'
import { stopGracefully } from '../src/runtime/graceful-stop.js'
import { IngressUnderTest } from './support/ingress-under-test.js'
import { chunk, endStream, framed, RawEndpoint, silence, stream } from './support/raw-endpoint.js'
import { key, route } from './support/samples.js'

const NO_TUNNELS = { count: 0, startStopping: () => {}, destroy: () => {} }

const ending: { stop: () => void }[] = []

afterEach(() => {
  for (const each of ending.splice(0)) each.stop()
})

function ask (port: number, agent: Agent, path: string): Promise<{ status: number | string, body: string }> {
  return new Promise((resolve) => {
    const asked = request({ host: '127.0.0.1', port, path, agent, headers: { host: 'listings.example', 'x-request-id': 'one', 'x-adapter': 'poem' } }, (answer) => {
      let body = ''
      answer.on('data', (bytes) => { body += String(bytes) })
      answer.on('error', () => { /* The close event below ends the wait. */ })
      answer.on('close', () => resolve({ status: answer.statusCode ?? 0, body }))
    })
    asked.on('error', (error: NodeJS.ErrnoException) => resolve({ status: error.code ?? 'error', body: '' }))
    asked.end()
  })
}

async function startStream (): Promise<{ under: IngressUnderTest, engine: RawEndpoint, agent: Agent, first: Promise<{ body: string }>, finish: () => void }> {
  let running: Socket | undefined
  const engine = await RawEndpoint.start(stream([1], (socket) => { running = socket }), stream([1], endStream))
  const under = await IngressUnderTest.start({
    routes: [route({ kind: 'stream', targets: [{ service: 'engines', weight: 1 }] })],
    endpoints: [{ id: 'e', raw: engine, adapters: [{ key: key('poem'), version: 1 }] }]
  })
  ending.push(engine, under)
  const agent = new Agent({ keepAlive: true, maxSockets: 1 })
  const first = ask(under.port, agent, '/')
  await expect.poll(() => running).toBeDefined()
  const finish = (): void => {
    if (running === undefined) return
    running.write(chunk('id: 2\ndata: last\n\n'))
    endStream(running)
  }
  return { under, engine, agent, first, finish }
}

describe('an instance that stops', () => {
  it('finishes a running stream, and relays no request that follows it on the same connection', async () => {
    const { under, engine, agent, first, finish } = await startStream()
    under.listener.startStopping()
    under.listener.stopAccepting()
    const next = ask(under.port, agent, '/next')
    finish()
    const { body } = await first
    const { status } = await next
    agent.destroy()
    expect({ whole: /id: 2/.test(body), relayed: engine.requests.length - 1, refused: status === 503 || typeof status === 'string' }).toEqual({ whole: true, relayed: 0, refused: true })
  })

  // Guards against a stop that waits until the end of the grace period for requests that have ended: a request that was answered or
  // refused, or whose caller has left, is no longer in progress.
  it('does not wait for requests that were answered or refused, or whose callers have left', async () => {
    const [plain, unresponsive] = [await RawEndpoint.start(framed(200, 'whole'), framed(200, ''), framed(500, '')), await RawEndpoint.start(silence)]
    const under = await IngressUnderTest.start({ routes: [route(), route({ pathPrefix: '/silent/', targets: [{ service: 'engines', weight: 1 }], kind: 'stream' })], endpoints: [{ id: 'p', raw: plain }, { id: 's', raw: unresponsive, adapters: [{ key: key('poem'), version: 1 }] }] })
    ending.push(plain, unresponsive, under)
    const statuses = [await under.ask('/'), await under.ask('/'), await under.ask('/'), await under.ask('/', {}, 'x'.repeat(2_000))].map(({ status }) => status)
    under.leaveAfter('/silent/', 50, { 'x-adapter': 'poem' })
    under.leaveAfter('/silent/', 0, { 'x-adapter': 'poem' })
    await expect.poll(() => unresponsive.requests.length).toBeGreaterThan(0)
    await expect.poll(() => under.listener.requestsInProgress).toBe(0)
    expect(statuses).toEqual([200, 200, 500, 413])
  })

  // Guards against a planned stop that truncates a response: it was written completely, but its caller had not read all of it yet.
  it('lets a caller that reads slowly receive the complete response', async () => {
    const body = 'x'.repeat(7_000_000)
    const plain = await RawEndpoint.start(framed(200, body))
    const under = await IngressUnderTest.start({ routes: [route()], endpoints: [{ id: 'p', raw: plain }] })
    ending.push(plain, under)
    const asking = under.askAndPause('/', 3_000)
    await expect.poll(() => plain.requests.length).toBe(1)
    await stopGracefully({ listener: under.listener, tunnels: NO_TUNNELS, clock: new SystemClock(), logger: silentLogger(), graceMilliseconds: 6_000 })
    const seen = await asking
    expect({ bytes: seen.body.length, whole: seen.whole }).toEqual({ bytes: body.length, whole: true })
  }, 10_000)

  it('refuses requests on a keep-alive connection as not run once it accepts no more', async () => {
    const { under, engine, first, finish } = await startStream()
    finish()
    await first
    const agent = new Agent({ keepAlive: true, maxSockets: 1 })
    under.listener.startStopping()
    const initial = await ask(under.port, agent, '/a')
    under.listener.stopAccepting()
    const other = await ask(under.port, agent, '/b')
    agent.destroy()
    expect({ before: initial.status, after: other.status === 503 || typeof other.status === 'string', relayed: engine.requests.length }).toEqual({ before: 200, after: true, relayed: 2 })
  })
})
