// Guards against places that a relay takes and does not give back, whatever becomes of the request, and against attempts without a place.
import { LimpetwinchError } from '@limpetwinch/core'
import type { EndpointId } from '@limpetwinch/core'
import { afterEach, describe, expect, it } from 'vitest'
import type { PlaceNeed } from '../src/places/service-places.js'
import type { ServiceRelayDependencies } from '../src/relay/service-relay.js'
import { IngressUnderTest } from './support/ingress-under-test.js'
import { framed, RawEndpoint, silence } from './support/raw-endpoint.js'
import type { RawAnswer } from './support/raw-endpoint.js'
import { route } from './support/samples.js'

const SAFE = route({ kind: 'safe', mostAttempts: 2, objectiveMilliseconds: 200, timeoutMilliseconds: 600 })
const UNSAFE = route({ kind: 'unsafe', objectiveMilliseconds: 200, timeoutMilliseconds: 600 })
const ANSWER = framed(200, 'served')
const FULL = framed(503, 'full', 'X-Not-Run: 1\r\nX-Full: 1\r\n')
const REFUSAL = new LimpetwinchError('places-taken', { service: 'guide' }, { retryAfterSeconds: 0.12 })
const ending: { stop: () => void }[] = []

afterEach(() => {
  for (const each of ending.splice(0)) each.stop()
})

/** Grants places in the order of the endpoints and records what becomes of them. */
class RecordedPlaces implements Pick<ServiceRelayDependencies['places'], 'isDivided' | 'take'> {
  readonly taken: string[] = []
  readonly returned: string[] = []
  private readonly endpoints: readonly string[]

  constructor (...endpoints: readonly string[]) {
    this.endpoints = endpoints
  }

  isDivided (): boolean {
    return true
  }

  async take ({ excluded }: PlaceNeed): ReturnType<ServiceRelayDependencies['places']['take']> {
    const endpoint = this.endpoints.find((each) => !excluded.has(each as EndpointId)) as EndpointId | undefined
    if (endpoint === undefined) return await Promise.resolve(REFUSAL)
    this.taken.push(endpoint)
    return { endpoint, giveBack: (end) => this.returned.push(`${endpoint} ${end}`) }
  }
}

async function ingress (kind: typeof SAFE, places: RecordedPlaces, ...answers: readonly RawAnswer[]): Promise<IngressUnderTest> {
  const endpoints = await Promise.all(answers.map(async (answer, index) => ({ id: 'abc'.charAt(index), raw: await RawEndpoint.start(answer) })))
  const under = await IngressUnderTest.start({ routes: [kind], endpoints, places })
  ending.push(under, ...endpoints.map(({ raw }) => raw))
  return under
}

describe('a place for an attempt', () => {
  it.each<[string, typeof SAFE, readonly RawAnswer[], number, readonly string[]]>([
    ['that is answered', UNSAFE, [ANSWER], 200, ['a answered']],
    ['that the endpoint answers with an error of its own', UNSAFE, [framed(500, 'no')], 500, ['a error']],
    ['that the endpoint refuses, and for the next one', UNSAFE, [FULL, ANSWER], 200, ['a full', 'b answered']],
    ['that breaks', UNSAFE, [(socket) => socket.destroy()], 502, ['a failed']],
    ['that breaks, and for the retry', SAFE, [(socket) => socket.destroy(), ANSWER], 200, ['a failed', 'b answered']],
    ['that gets no answer', UNSAFE, [silence], 504, ['a failed']],
    ['that is replaced because it is slow', SAFE, [silence, ANSWER], 200, ['a abandoned', 'b answered']]
  ])('%s is given back once', async (_what, kind, answers, status, returned) => {
    const places = new RecordedPlaces('a', 'b')
    const under = await ingress(kind, places, ...answers)
    expect((await under.ask('/', { 'x-milliseconds': '500' })).status).toBe(status)
    expect(places.returned).toEqual(returned)
    expect(places.taken).toHaveLength(returned.length)
  })

  it('is given back when the rate limit of the endpoint has no room, and another one is taken', async () => {
    const places = new RecordedPlaces('a', 'b')
    const under = await ingress(UNSAFE, places, ANSWER, ANSWER)
    under.nameLimit('a', 0)
    await under.ask('/')
    await under.ask('/')
    expect(places.returned).toContain('a abandoned')
    expect(places.returned).toHaveLength(places.taken.length)
    expect(places.returned.filter((each) => each === 'b answered').length).toBeGreaterThanOrEqual(1)
  })

  it('is given back when the endpoint cannot be reached', async () => {
    const places = new RecordedPlaces('a', 'b')
    const under = await ingress(UNSAFE, places, ANSWER, ANSWER)
    ending.filter((each) => each instanceof RawEndpoint)[0]?.stop()
    expect((await under.ask('/')).status).toBe(200)
    expect(places.returned).toEqual(['a failed', 'b answered'])
  })

  it('that nobody grants in time is a refusal that says not run and when to return', async () => {
    const under = await ingress(UNSAFE, new RecordedPlaces(), ANSWER)
    const { status, headers, body } = await under.ask('/')
    expect({ status, retryAfter: headers['retry-after'], ...JSON.parse(body).error }).toMatchObject({ status: 503, code: 'places_taken', outcome: 'not_run', retryAfter: '0.12' })
  })

  // An unsafe request that may have run must not be answered as refused because no other place was free.
  it('that nobody grants for a retry leaves the outcome of the first attempt', async () => {
    const places = new RecordedPlaces('a')
    const under = await ingress(SAFE, places, (socket) => socket.destroy(), ANSWER)
    expect((await under.ask('/')).status).toBe(502)
    expect(places.returned).toEqual(['a failed'])
  })
})
