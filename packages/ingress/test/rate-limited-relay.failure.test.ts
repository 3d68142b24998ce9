// Guards against requests that exceed the rate limit that an endpoint names on the paths of a relay, and against callers that wait for a place
// that they cannot get: choice of the endpoint, retries, loads, and refusals.
import { afterEach, describe, expect, it } from 'vitest'
import { endpointId, IngressUnderTest } from './support/ingress-under-test.js'
import type { CallerView, IngressSetup } from './support/ingress-under-test.js'
import { endStream, framed, RawEndpoint, stream } from './support/raw-endpoint.js'
import type { RawAnswer } from './support/raw-endpoint.js'
import { key, route } from './support/samples.js'

const PLAIN = route({ kind: 'safe' })
const STREAM = route({ kind: 'stream', targets: [{ service: 'engines', weight: 1 }], mostAttempts: 2, resumable: true, timeoutMilliseconds: 1_500 })
const HELD = [{ key: key('a1'), version: 1 }]
const ending: { stop: () => void }[] = []

afterEach(() => {
  for (const each of ending.splice(0)) each.stop()
})

async function raw (...answers: readonly RawAnswer[]): Promise<RawEndpoint> {
  const endpoint = await RawEndpoint.start(...answers)
  ending.push(endpoint)
  return endpoint
}

async function ingress (setup: IngressSetup): Promise<IngressUnderTest> {
  const started = await IngressUnderTest.start(setup)
  ending.push(started)
  return started
}

function limited (limit: string, status = 200): RawAnswer {
  return framed(status, 'served', `X-Limit: ${limit}\r\n`)
}

async function askTimes (under: IngressUnderTest, times: number): Promise<CallerView[]> {
  const seen: CallerView[] = []
  for (let time = 0; time < times; time++) seen.push(await under.ask('/'))
  return seen
}

function errorOf ({ body }: CallerView): { readonly code?: string, readonly outcome?: string } {
  return body.startsWith('{') ? JSON.parse(body).error : {}
}

describe('a plain service with an endpoint that names a rate limit', () => {
  it('goes on at its other endpoints', async () => {
    const [one, two] = [await raw(limited('0')), await raw(framed(200, 'served'))]
    const under = await ingress({ routes: [PLAIN], endpoints: [{ id: 'a', raw: one }, { id: 'b', raw: two }] })
    const seen = await askTimes(under, 12)
    expect(seen.map(({ status }) => status)).toEqual(Array(12).fill(200))
    expect(one.requests.length).toBeLessThanOrEqual(2)
  })

  it('refuses a request as not run, with the time until it fits, when no endpoint has room', async () => {
    const [one, two] = [await raw(limited('0')), await raw(limited('0'))]
    const under = await ingress({ routes: [PLAIN], endpoints: [{ id: 'a', raw: one }, { id: 'b', raw: two }] })
    const last = (await askTimes(under, 6)).at(-1) as CallerView
    expect({ status: last.status, ...errorOf(last) }).toMatchObject({ status: 503, code: 'endpoints_rate_limited', outcome: 'not_run' })
    expect(Number(last.headers['retry-after'])).toBeGreaterThan(1)
    expect(one.requests.length + two.requests.length).toBeLessThanOrEqual(4)
  })

  it('counts retries, and answers with the error of the endpoint that ran the request when no other has room', async () => {
    const [one, two] = [await raw(limited('0', 500)), await raw(limited('0', 500))]
    const under = await ingress({ routes: [PLAIN], endpoints: [{ id: 'a', raw: one }, { id: 'b', raw: two }] })
    const seen = await askTimes(under, 6)
    expect(seen[0]?.status).toBe(500)
    expect(one.requests.length + two.requests.length).toBeLessThanOrEqual(4)
  })

  it.each<[string, string, number]>([
    ['a value that is no number', framedLimit('soon'), 1],
    ['a response that the endpoint has not signed', 'HTTP/1.1 503 X\r\nX-Request-Id: one\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n', 1],
    ['a signed response without a limit', framedLimit(undefined), 0]
  ])('after %s', async (_what, response, limits) => {
    const one = await raw(limited('1000'), (socket) => { socket.write(response) })
    const under = await ingress({ routes: [PLAIN], endpoints: [{ id: 'a', raw: one }] })
    await askTimes(under, 2)
    expect(under.rateLimits.limited().length).toBe(1)
    // After its end the rate returns in steps, beginning above the limit.
    expect((under.rateLimits.limit(endpointId('a')) ?? 0) > 1_000).toBe(limits === 0)
  })
})

function framedLimit (limit: string | undefined): string {
  const header = limit === undefined ? '' : `X-Limit: ${limit}\r\n`
  return `HTTP/1.1 200 X\r\nX-Request-Id: one\r\nX-Server-Signature: s\r\n${header}Content-Length: 0\r\n\r\n`
}

describe('a stream whose engine names a rate limit', () => {
  it('has its adapter loaded by an engine without one', async () => {
    const [one, two, three] = [await raw(stream([1], endStream)), await raw(stream([1], endStream)), await raw(stream([1], endStream))]
    const under = await ingress({ routes: [STREAM], endpoints: [{ id: 'a', raw: one, adapters: HELD }, { id: 'b', raw: two, adapters: [] }, { id: 'c', raw: three, adapters: [] }] })
    for (const endpoint of ['a', 'b']) under.nameLimit(endpoint, 0)
    await Promise.all([1, 2, 3].map(async () => await under.ask('/', { 'x-adapter': 'a1' })))
    expect(one.requests.length).toBeLessThanOrEqual(1)
    expect([...new Set(under.asked.map(({ endpoint }) => endpoint))]).toEqual(['c'])
  })

  // Adapters that are loaded for requests without a place evict those of the requests that have one.
  it('has its adapter loaded by an engine with a limit only where it has a place', async () => {
    const [one, two] = [await raw(stream([1], endStream)), await raw(stream([1], endStream))]
    const under = await ingress({ routes: [STREAM], endpoints: [{ id: 'a', raw: one, adapters: [] }, { id: 'b', raw: two, adapters: [] }] })
    for (const endpoint of ['a', 'b']) under.nameLimit(endpoint, 0)
    const seen = await Promise.all(['a1', 'a2', 'a3', 'a4', 'a5', 'a6'].map(async (adapter) => await under.ask('/', { 'x-adapter': adapter })))
    expect(new Set(under.asked.map(({ key: asked }) => asked)).size).toBeLessThanOrEqual(2)
    expect(seen.filter((each) => errorOf(each).code === 'endpoints_rate_limited').length).toBeGreaterThanOrEqual(4)
  })

  it('is refused at once, as not run, when all engines have reached theirs', async () => {
    const [one, two] = [await raw(stream([1], endStream)), await raw(stream([1], endStream))]
    const under = await ingress({ routes: [STREAM], endpoints: [{ id: 'a', raw: one, adapters: HELD }, { id: 'b', raw: two, adapters: HELD }] })
    for (const endpoint of ['a', 'b']) under.nameLimit(endpoint, 0)
    const seen = []
    for (let time = 0; time < 4; time++) seen.push(await under.ask('/', { 'x-adapter': 'a1' }))
    const last = seen.at(-1) as CallerView
    expect({ status: last.status, ...errorOf(last) }).toMatchObject({ status: 503, code: 'endpoints_rate_limited', outcome: 'not_run' })
    expect(under.asked).toEqual([])
    expect(one.requests.length + two.requests.length).toBeLessThanOrEqual(2)
  })
})
