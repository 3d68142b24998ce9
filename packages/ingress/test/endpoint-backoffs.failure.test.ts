// Guards against an endpoint that gets requests within the backoff that it asked for, or none although that is over: answers that name other
// times, values that cannot be read, answers of another endpoint, and endpoints that start again.
import { afterEach, describe, expect, it } from 'vitest'
import type { EndpointId, EndpointBackoffFrame, InstanceId } from '@limpetwinch/core'
import { EndpointBackoffs } from '../src/rate-limits/endpoint-backoffs.js'
import { endpointId, IngressUnderTest } from './support/ingress-under-test.js'
import type { CallerView } from './support/ingress-under-test.js'
import { ManualClock } from './support/manual-clock.js'
import { framed, RawEndpoint } from './support/raw-endpoint.js'
import type { RawAnswer } from './support/raw-endpoint.js'
import { recordingLogger } from './support/recording-logger.js'
import type { RecordedLine } from './support/recording-logger.js'
import { key, responseFacts, route } from './support/samples.js'

const ENDPOINT = 'i-1' as EndpointId
const PLAIN = route({ kind: 'safe' })
const STREAM = route({ kind: 'stream', targets: [{ service: 'engines', weight: 1 }], timeoutMilliseconds: 1_500 })
const HELD = [{ key: key('a1'), version: 1 }]
const ending: { stop: () => void }[] = []

afterEach(() => {
  for (const each of ending.splice(0)) each.stop()
})

interface BackoffsUnderTest {
  readonly clock: ManualClock
  readonly backoffs: EndpointBackoffs
  readonly lines: RecordedLine[]
  readonly born: Map<EndpointId, number>
  /** Notices to other instances. */
  readonly sent: (readonly [InstanceId, EndpointBackoffFrame])[]
}

function backoffsUnderTest (clock = new ManualClock()): BackoffsUnderTest {
  const sent: (readonly [InstanceId, EndpointBackoffFrame])[] = []
  const lines: RecordedLine[] = []
  const born = new Map([[ENDPOINT, 100]])
  return { clock, lines, born, sent, backoffs: new EndpointBackoffs({ clock, logger: recordingLogger(lines), bornOf: (endpoint) => born.get(endpoint), notify: (to, frame) => { sent.push([to, frame]) } }) }
}

const asking = (backoffMilliseconds: number | 'malformed', answeredBy?: string): ReturnType<typeof responseFacts> => responseFacts({ backoffMilliseconds, answeredBy })

describe('the backoff that an endpoint asks for', () => {
  it('lasts until the latest end that any answer named', async () => {
    const { clock, backoffs } = backoffsUnderTest()
    backoffs.recordResponse(ENDPOINT, asking(3_000), 100)
    backoffs.recordResponse(ENDPOINT, asking(500), 100)
    expect([backoffs.isBackingOff(ENDPOINT), backoffs.millisecondsLeft(ENDPOINT)]).toEqual([true, 3_000])
    await clock.advance(2_000)
    backoffs.recordResponse(ENDPOINT, asking(4_000), 100)
    expect(backoffs.millisecondsLeft(ENDPOINT)).toBe(4_000)
    await clock.advance(4_000)
    expect([backoffs.isBackingOff(ENDPOINT), [...backoffs.backingOff()]]).toEqual([false, []])
  })

  it('ends when the endpoint starts again, and an answer of the earlier process begins none', () => {
    const { backoffs, born } = backoffsUnderTest()
    backoffs.recordResponse(ENDPOINT, asking(3_000), 100)
    backoffs.forget(ENDPOINT)
    expect(backoffs.isBackingOff(ENDPOINT)).toBe(true)
    born.set(ENDPOINT, 200)
    backoffs.forget(ENDPOINT)
    backoffs.recordResponse(ENDPOINT, asking(3_000), 100)
    expect(backoffs.isBackingOff(ENDPOINT)).toBe(false)
  })

  it('is none when the value cannot be read, which is logged once, or when another endpoint answered', () => {
    const { backoffs, lines } = backoffsUnderTest()
    backoffs.recordResponse(ENDPOINT, asking('malformed'), 100)
    backoffs.recordResponse(ENDPOINT, asking('malformed'), 100)
    backoffs.recordResponse(ENDPOINT, asking(3_000, 'i-2'), 100)
    expect([backoffs.isBackingOff(ENDPOINT), lines.length]).toEqual([false, 1])
  })

  it('makes the endpoint a worse choice for some time after its end, and less so as time passes', async () => {
    const { clock, backoffs } = backoffsUnderTest()
    backoffs.recordResponse(ENDPOINT, asking(1_000), 100)
    const penalties: number[] = []
    for (let step = 0; step < 4; step++) {
      await clock.advance(1_000)
      penalties.push(backoffs.penalty(ENDPOINT))
    }
    expect(penalties).toEqual([1, 0.5, 0, 0])
  })
})

describe('the backoff that an endpoint asks for through a tunnel', () => {
  const [ASKER, CARRIER, THIRD] = ['asker' as InstanceId, 'carrier' as InstanceId, 'third' as InstanceId]
  const FRAME: EndpointBackoffFrame = { kind: 'endpoint-backoff', endpoint: ENDPOINT, born: 100, milliseconds: 3_000 }

  it('is kept by the instance that asked and by the one that carries the tunnel, which is told', () => {
    const [asker, carrier] = [backoffsUnderTest(), backoffsUnderTest()]
    asker.backoffs.recordResponse(ENDPOINT, asking(3_000), 100, CARRIER)
    expect(asker.sent).toEqual([[CARRIER, FRAME]])
    carrier.backoffs.handleNotice(FRAME)
    expect([asker.backoffs.isBackingOff(ENDPOINT), carrier.backoffs.isBackingOff(ENDPOINT)]).toEqual([true, true])
  })

  it('is told to each instance whose tunnels there are carried, and does not go round', async () => {
    const clock = new ManualClock()
    const [asker, carrier] = [backoffsUnderTest(clock), backoffsUnderTest(clock)]
    asker.backoffs.connect(() => [CARRIER])
    carrier.backoffs.connect(() => [ASKER, THIRD])
    asker.backoffs.handleNotice(FRAME)
    await clock.advance(3)
    carrier.backoffs.handleNotice(FRAME)
    await clock.advance(3)
    asker.backoffs.handleNotice(FRAME)
    expect([asker.sent.map(([to]) => to), carrier.sent.map(([to]) => to)]).toEqual([[CARRIER], [ASKER, THIRD]])
  })
})

async function raw (...answers: readonly RawAnswer[]): Promise<RawEndpoint> {
  const endpoint = await RawEndpoint.start(...answers)
  ending.push(endpoint)
  return endpoint
}

function askingToBackOff (milliseconds: number): RawAnswer {
  return framed(503, '', `X-Not-Run: 1\r\nX-Backoff: ${milliseconds}\r\n`)
}

function errorOf ({ body }: CallerView): { readonly code?: string, readonly outcome?: string } {
  return JSON.parse(body).error
}

describe('a service whose endpoints ask to back off', () => {
  it('is served by the other endpoints', async () => {
    const [one, two] = [await raw(askingToBackOff(60_000)), await raw(framed(200, 'served'))]
    const under = await IngressUnderTest.start({ routes: [PLAIN], endpoints: [{ id: 'a', raw: one }, { id: 'b', raw: two }] })
    ending.push(under)
    const statuses: number[] = []
    for (let time = 0; time < 8; time++) statuses.push((await under.ask('/')).status)
    expect([statuses, one.requests.length]).toEqual([Array(8).fill(200), 1])
  })

  it.each([['a plain service', PLAIN, {}], ['engines', STREAM, { adapters: HELD }]])('refuses at once and says when to come back while all ask for it: %s', async (_what, eachRoute, shape) => {
    const only = await raw(askingToBackOff(60_000))
    const under = await IngressUnderTest.start({ routes: [eachRoute], endpoints: [{ id: 'a', raw: only, ...shape }] })
    ending.push(under)
    const headers = { 'x-adapter': 'a1' }
    await under.ask('/', headers)
    const startedAt = performance.now()
    const second = await under.ask('/', headers)
    expect({ status: second.status, ...errorOf(second) }).toMatchObject({ status: 503, code: 'endpoints_backing_off', outcome: 'not_run' })
    expect(Number(second.headers['retry-after'])).toBeGreaterThan(0.5)
    expect([only.requests.length, performance.now() - startedAt < 500]).toEqual([1, true])
  })

  it('loads the adapter of an engine that asks to back off on another one', async () => {
    const [one, two] = [await raw(askingToBackOff(60_000)), await raw(framed(200, 'served'))]
    const under = await IngressUnderTest.start({ routes: [STREAM], endpoints: [{ id: 'a', raw: one, adapters: HELD }, { id: 'b', raw: two, adapters: [] }] })
    ending.push(under)
    const answer = under.ask('/', { 'x-adapter': 'a1' })
    await expect.poll(() => under.asked.map(({ endpoint }) => endpoint)).toContain(endpointId('b'))
    await answer
    expect(under.asked.map(({ endpoint }) => endpoint)).not.toContain(endpointId('a'))
  })
})
