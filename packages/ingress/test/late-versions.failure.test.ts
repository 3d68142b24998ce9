// Guards against requests that begin on an older version of their adapter after the time for it, in scripted exchanges with engines.
import { afterEach, describe, expect, it } from 'vitest'
import { IngressUnderTest } from './support/ingress-under-test.js'
import { endStream, framed, RawEndpoint, stream } from './support/raw-endpoint.js'
import { key, route } from './support/samples.js'

const ROUTE = route({ kind: 'stream', resumable: true, objectiveMilliseconds: 1_000, timeoutMilliseconds: 6_000, targets: [{ service: 'engines', weight: 1 }] })
const LATE = 'A request began on an older adapter version too late.'
const ending: { stop: () => void }[] = []

afterEach(() => {
  for (const each of ending.splice(0)) each.stop()
})

/** @returns the fields of the lines of one request that is served on version 1, while version 2 has been announced */
async function linesOf (servesForMilliseconds: number): Promise<{ readonly sent: unknown, readonly late: unknown }> {
  const engine = await RawEndpoint.start(stream([1], endStream))
  const end = performance.now() + servesForMilliseconds
  const versions = { newest: () => 2, expected: () => undefined, previousServesUntil: () => end }
  const under = await IngressUnderTest.start({ routes: [ROUTE], endpoints: [{ id: 'a', raw: engine, adapters: [{ key: key('poem'), version: 1 }] }], versions })
  ending.push(engine, under)
  await under.ask('/', { 'x-adapter': 'poem' })
  const fields = (message: string): Record<string, unknown> | undefined => under.lines.find((line) => line.message === message)?.fields
  return { sent: fields('A request was sent.'), late: fields(LATE) }
}

describe('a request on an older version of its adapter', () => {
  it('is logged with the version and the time that is left', async () => {
    const { sent, late } = await linesOf(60_000)
    expect({ sent, late }).toMatchObject({ sent: { offeredVersion: 1, versionMillisecondsLeft: expect.any(Number) }, late: undefined })
  })

  it('is reported when it begins too late', async () => {
    expect((await linesOf(-1_000)).late).toMatchObject({ endpoint: 'a', version: 1, newest: 2, millisecondsLate: expect.any(Number) })
  })
})

describe('a request that an engine refused because the version for which it waited there is replaced', () => {
  // Guards against a request that is refused in the end although the engine that refused it holds the newer version by then.
  it('is sent to the same engine again', async () => {
    const engine = await RawEndpoint.start(framed(503, '', 'X-Not-Run: 1\r\n'), stream([1], endStream))
    const versions = { newest: () => 2, expected: () => undefined, previousServesUntil: () => performance.now() + 60_000 }
    const under = await IngressUnderTest.start({ routes: [ROUTE], endpoints: [{ id: 'a', raw: engine, adapters: [{ key: key('poem'), version: 1 }] }], versions })
    ending.push(engine, under)
    const answer = await under.ask('/', { 'x-adapter': 'poem' })
    expect([answer.status, engine.requests.length]).toEqual([200, 2])
  })
})
