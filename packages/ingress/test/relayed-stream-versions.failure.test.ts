// Guards against streams that go on at another software version of the engines than the one that began them, in scripted exchanges with engines.
import { afterEach, describe, expect, it } from 'vitest'
import type { ServiceName, SoftwareVersion } from '../src/routes/configuration.js'
import { IngressUnderTest } from './support/ingress-under-test.js'
import type { IngressSetup } from './support/ingress-under-test.js'
import { endStream, RawEndpoint, stream } from './support/raw-endpoint.js'
import type { RawAnswer } from './support/raw-endpoint.js'
import { key, route } from './support/samples.js'

/** A route whose callers wait for seconds between two events. */
const PATIENT = route({ kind: 'stream', resumable: true, objectiveMilliseconds: 1_000, timeoutMilliseconds: 6_000, targets: [{ service: 'engines', weight: 1 }] })
const held = [{ key: key('poem'), version: 1 }]
const ending: { stop: () => void }[] = []

afterEach(() => {
  for (const each of ending.splice(0)) each.stop()
})

async function raw (...answers: readonly RawAnswer[]): Promise<RawEndpoint> {
  const started = await RawEndpoint.start(...answers)
  ending.push(started)
  return started
}

async function ingress (setup: IngressSetup): Promise<IngressUnderTest> {
  const started = await IngressUnderTest.start(setup)
  ending.push(started)
  return started
}

function ids (body: string): string[] {
  return [...body.matchAll(/^id: (\d+)$/gm)].map(([, id]) => id ?? '')
}

describe('a stream of engines of two software versions', () => {
  // Guards against answers with events of two software versions, which do not fit together.
  it('that breaks goes on only at an engine of the software version that began it, and is cut at once where none is left', async () => {
    const breaks = (): RawAnswer => stream([1, 2], (socket) => { setTimeout(() => socket.resetAndDestroy(), 30) })
    const [other, same] = [await raw(stream([3, 4], endStream)), await raw(stream([3], endStream))]
    const begun = { id: 'a', raw: await raw(breaks()), adapters: held }
    const newer = { id: 'b', raw: other, adapters: held, softwareVersion: 'v1.1' }
    const both = await ingress({ routes: [PATIENT], endpoints: [begun, newer, { id: 'c', raw: same, adapters: held }] })
    expect(ids((await both.ask('/', { 'x-adapter': 'poem' })).body)).toEqual(['1', '2', '3'])
    const one = await ingress({ routes: [PATIENT], endpoints: [{ ...begun, raw: await raw(breaks()) }, newer] })
    const seen = await one.ask('/', { 'x-adapter': 'poem' })
    expect({ ids: ids(seen.body), whole: seen.whole, others: other.requests.length }).toEqual({ ids: ['1', '2'], whole: false, others: 0 })
    expect(one.lines.find(({ message }) => message === 'No engine was found.')?.fields).toMatchObject({ reason: 'no engine runs its software version' })
  })

  // Guards against a stream that goes on at another service than the one that began it, where services share a route.
  it('that a caller resumes goes to the service that began it, among those that share its route', async () => {
    const engine = await raw(stream([3], endStream))
    const shared = route({ ...PATIENT, targets: [{ service: 'guide' as ServiceName, weight: 1 }, { service: 'engines' as ServiceName, weight: 1 }] })
    const origins = { begun: () => {}, completed: () => {}, find: async () => ({ service: 'engines' as ServiceName, softwareVersion: 'v1' as SoftwareVersion }) }
    const under = await ingress({ routes: [shared], endpoints: [{ id: 'a', raw: engine, adapters: held }], origins })
    expect(ids((await under.ask('/', { 'x-adapter': 'poem', 'x-after': '2', 'x-first-attempt': 'known' })).body)).toEqual(['3'])
  })

  // Guards against a stream that is sent to another software version because nothing is known of where it began.
  it('that a caller resumes goes to the version that began it, and is refused at once with a retry time while that version is not known', async () => {
    const [older, newer] = [await raw(stream([3], endStream)), await raw(stream([3], endStream))]
    const endpoints = [{ id: 'a', raw: older, adapters: held }, { id: 'b', raw: newer, adapters: held, softwareVersion: 'v1.1' }]
    const origins = {
      begun: () => {},
      completed: () => {},
      find: async (first: { readonly requestId: string } | undefined, { name }: { readonly name: ServiceName }) => first?.requestId === 'known' ? { service: name, softwareVersion: 'v1.1' as SoftwareVersion } : undefined
    }
    const under = await ingress({ routes: [PATIENT], endpoints, origins })
    expect(ids((await under.ask('/', { 'x-adapter': 'poem', 'x-after': '2', 'x-first-attempt': 'known' })).body)).toEqual(['3'])
    expect([older.requests.length, newer.requests.length]).toEqual([0, 1])
    const refused = await under.ask('/', { 'x-adapter': 'poem', 'x-after': '2', 'x-first-attempt': 'forgotten' })
    expect({ status: refused.status, after: Number(refused.headers['retry-after']) > 0, outcome: JSON.parse(refused.body).error.outcome }).toEqual({ status: 503, after: true, outcome: 'not_run' })
    expect([older.requests.length, newer.requests.length]).toEqual([0, 1])
  })
})
