// Guards against responses that are complete, wait for callers that read slowly or not at all, and count for nothing: together they take a process over its
// memory, and the requests of all other callers end with it.
import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, describe, expect, it } from 'vitest'
import { HeldRequestBytes } from '../src/relay/held-request-bytes.js'
import { HeldResponseBytes, responseBytesFor } from '../src/relay/held-response-bytes.js'
import { IngressUnderTest } from './support/ingress-under-test.js'
import { framed, RawEndpoint } from './support/raw-endpoint.js'
import { route } from './support/samples.js'

/** More than the operating system takes of one response, so that a part of each stays in the process. */
const LARGE_BYTES = 7_900_000
const RESPONSE_BYTES = 12_000_000
const SLOW_CALLERS = 4
const MEGABYTE = 1_048_576
const PAUSE_MILLISECONDS = 4_000
const APART_MILLISECONDS = 400
const stops: (() => void)[] = []

afterEach(() => {
  for (const stop of stops.splice(0)) stop()
})

describe('large responses to callers that read slowly', () => {
  it('are ended where all of them do not fit, and a small one is served beside them', async () => {
    const large = framed(200, 'x'.repeat(LARGE_BYTES))
    const raw = await RawEndpoint.start((socket, request) => (request.includes('small') ? framed(200, 'ok') : large)(socket, request))
    const under = await IngressUnderTest.start({ routes: [route({ kind: 'unsafe', mostAttempts: 1 })], endpoints: [{ id: 'p', raw }], responseBytes: RESPONSE_BYTES })
    stops.push(() => raw.stop(), () => under.stop())
    const slow: ReturnType<IngressUnderTest['askAndPause']>[] = []
    for (let count = 0; count < SLOW_CALLERS; count += 1) {
      slow.push(under.askAndPause('/', PAUSE_MILLISECONDS, { 'x-request-id': `large-${count}` }))
      await sleep(APART_MILLISECONDS)
    }
    const small = await under.ask('/', { 'x-request-id': 'small' })
    const whole = (await Promise.all(slow)).filter((answer) => answer.whole && answer.body.length === LARGE_BYTES).length
    expect({ small: small.body, whole: whole > 0, ended: whole < SLOW_CALLERS }).toEqual({ small: 'ok', whole: true, ended: true })
  })
})

describe('the bytes of responses', () => {
  // Guards against requests and responses that each keep within their bound and together pass the memory of a small process.
  it('leave less room for request bodies, and follow the memory of the process', () => {
    const responses = new HeldResponseBytes()
    const requests = new HeldRequestBytes(20 * MEGABYTE, () => responses.bytes)
    const before = requests.fits(10 * MEGABYTE, 0)
    responses.set({ drop: () => {} }, 4 * MEGABYTE)
    expect([before, requests.fits(10 * MEGABYTE, 0)]).toEqual([true, false])
    expect([350, 210, 160, undefined].map((memory) => responseBytesFor(memory) / MEGABYTE)).toEqual([32, 21.875, 16, 32])
  })
})
