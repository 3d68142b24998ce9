// An instance is told to stop while a stream runs on a kept connection. The stream began before, so its head did not ask the
// caller to leave. Right after its end the caller sends the next request there. Passed on, it would be cut when the grace
// ends, and its caller could not know whether it ran. It must not reach an endpoint; told so, the caller goes elsewhere.
import { Agent, request } from 'node:http'
import type { Socket } from 'node:net'
import { silentLogger, SystemClock } from '@limpetwinch/core'
import { afterEach, describe, expect, it } from 'vitest'
import { stopGracefully } from '../src/runtime/graceful-stop.js'
import { IngressUnderTest } from './support/ingress-under-test.js'
import { chunk, endStream, framed, RawEndpoint, silence, stream } from './support/raw-endpoint.js'
import { key, route } from './support/samples.js'

const ending: { stop: () => void }[] = []

afterEach(() => {
  for (const each of ending.splice(0)) each.stop()
})

function ask (port: number, agent: Agent, path: string): Promise<{ status: number | string, body: string }> {
  return new Promise((resolve) => {
    const asked = request({ host: '127.0.0.1', port, path, agent, headers: { host: 'listings.example', 'x-request-id': 'one', 'x-adapter': 'poem' } }, (answer) => {
      let body = ''
      answer.on('data', (bytes) => { body += String(bytes) })
      answer.on('error', () => { /* The end below says enough. */ })
      answer.on('close', () => resolve({ status: answer.statusCode ?? 0, body }))
    })
    asked.on('error', (error: NodeJS.ErrnoException) => resolve({ status: error.code ?? 'error', body: '' }))
    asked.end()
  })
}

async function stoppingWhileAStreamRuns (): Promise<{ under: IngressUnderTest, engine: RawEndpoint, agent: Agent, first: Promise<{ body: string }>, finish: () => void }> {
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
  it('lets a stream run to its end, and passes nothing on that follows it on its connection', async () => {
    const { under, engine, agent, first, finish } = await stoppingWhileAStreamRuns()
    under.listener.startStopping()
    under.listener.stopAccepting()
    const next = ask(under.port, agent, '/next')
    finish()
    const { body } = await first
    const { status } = await next
    agent.destroy()
    expect({ whole: /id: 2/.test(body), passedOn: engine.requests.length - 1, refused: status === 503 || typeof status === 'string' }).toEqual({ whole: true, passedOn: 0, refused: true })
  })

  // Guards against a stop that waits out its grace for requests that have ended: one that was answered, refused or left counts no more.
  it('waits for no request that was answered or refused, or whose caller has left', async () => {
    const [plain, silent] = [await RawEndpoint.start(framed(200, 'whole'), framed(200, ''), framed(500, '')), await RawEndpoint.start(silence)]
    const under = await IngressUnderTest.start({ routes: [route(), route({ pathPrefix: '/silent/', targets: [{ service: 'engines', weight: 1 }], kind: 'stream' })], endpoints: [{ id: 'p', raw: plain }, { id: 's', raw: silent, adapters: [{ key: key('poem'), version: 1 }] }] })
    ending.push(plain, silent, under)
    const statuses = [await under.ask('/'), await under.ask('/'), await under.ask('/'), await under.ask('/', {}, 'x'.repeat(2_000))].map(({ status }) => status)
    under.leaveAfter('/silent/', 50, { 'x-adapter': 'poem' })
    under.leaveAfter('/silent/', 0, { 'x-adapter': 'poem' })
    await expect.poll(() => silent.requests.length).toBeGreaterThan(0)
    await expect.poll(() => under.listener.requestsInProgress).toBe(0)
    expect(statuses).toEqual([200, 200, 500, 413])
  })

  // Guards against a whole answer cut by a planned stop: it was written to its end, and its caller had not read it all yet.
  it('lets a caller that reads slowly have the whole answer', async () => {
    const body = 'x'.repeat(7_000_000)
    const plain = await RawEndpoint.start(framed(200, body))
    const under = await IngressUnderTest.start({ routes: [route()], endpoints: [{ id: 'p', raw: plain }] })
    ending.push(plain, under)
    const asking = under.askAndPause('/', 3_000)
    await expect.poll(() => plain.requests.length).toBe(1)
    await stopGracefully({ listener: under.listener, clock: new SystemClock(), logger: silentLogger(), graceMilliseconds: 6_000 })
    const seen = await asking
    expect({ bytes: seen.body.length, whole: seen.whole }).toEqual({ bytes: body.length, whole: true })
  }, 10_000)

  it('refuses as not run what comes on a kept connection once it takes no more', async () => {
    const { under, engine, first, finish } = await stoppingWhileAStreamRuns()
    finish()
    await first
    const agent = new Agent({ keepAlive: true, maxSockets: 1 })
    under.listener.startStopping()
    const told = await ask(under.port, agent, '/a')
    under.listener.stopAccepting()
    const other = await ask(under.port, agent, '/b')
    agent.destroy()
    expect({ before: told.status, after: other.status === 503 || typeof other.status === 'string', passedOn: engine.requests.length }).toEqual({ before: 200, after: true, passedOn: 2 })
  })
})
