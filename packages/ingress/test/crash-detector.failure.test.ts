// Guards against mistaking a lost connection for a crashed endpoint and the reverse: a truncated response looks the same in both cases.
import { silentLogger, SystemClock } from '@limpetwinch/core'
import { afterEach, describe, expect, it } from 'vitest'
import { CrashDetector, incarnationOf, witnessBy } from '../src/quarantine/crash-detector.js'
import { fingerprintOf } from '../src/quarantine/fingerprint.js'
import { IngressUnderTest } from './support/ingress-under-test.js'
import { RawEndpoint, silence, stream } from './support/raw-endpoint.js'
import { endpoint, key, route } from './support/samples.js'

const ENGINES = [{ service: 'engines', weight: 1 }]

let ingress: IngressUnderTest | undefined
let raw: RawEndpoint | undefined

afterEach(() => {
  ingress?.stop()
  raw?.stop()
})

describe('a truncated response', () => {
  // Guards against reporting a crash after a mere connection reset, and the reverse.
  it('is attributed to a crash only when its endpoint refuses new connections', async () => {
    raw = await RawEndpoint.start(silence)
    const detector = new CrashDetector(new SystemClock(), silentLogger())
    const alive = endpoint('alive', { address: raw.address })
    expect(await detector.hasCrashed({ endpoint: alive, life: incarnationOf(alive) })).toBe(false)
    raw.stop()
    const crashed = endpoint('crashed', { address: alive.address })
    expect(await detector.hasCrashed({ endpoint: crashed, life: incarnationOf(crashed) })).toBe(true)
  })

  // Guards against one probe connection for each of the many responses that a crash truncates.
  it('shares one probe with all responses that are truncated together', async () => {
    let probes = 0
    const detector = new CrashDetector(new SystemClock(), silentLogger(), async () => {
      probes += 1
      return 'refused'
    })
    const crashed = endpoint('crashed')
    const results = await Promise.all([1, 2, 3].map(async () => await detector.hasCrashed({ endpoint: crashed, life: incarnationOf(crashed) })))
    expect({ results, probes }).toEqual({ results: [true, true, true], probes: 1 })
  })

  // Guards against a cut link that is taken for the crash of each endpoint behind it, and then for the fault of whatever all of them were running.
  it.each([
    ['is not attributed to a crash where the other endpoints of its data centre refuse connections as well', ['crashed', 'second', 'third'], false],
    ['is attributed to a crash where another endpoint of its data centre accepts connections', ['crashed', 'second'], true],
    ['is attributed to a crash where endpoints of other data centres alone refuse connections', ['crashed', 'elsewhere'], true]
  ] as const)('%s', async (_name, refusing: readonly string[], hasCrashed) => {
    const crashed = endpoint('crashed', { dataCentre: 'there' })
    const all = [crashed, endpoint('second', { dataCentre: 'there' }), endpoint('third', { dataCentre: 'there' }), endpoint('elsewhere', { dataCentre: 'here' })]
    const probe = async ({ id }: { readonly id: string }): Promise<'refused' | 'accepted'> => refusing.includes(id) ? 'refused' : 'accepted'
    const detector = new CrashDetector(new SystemClock(), silentLogger(), probe, witnessBy(() => all))
    expect(await detector.hasCrashed({ endpoint: crashed, life: incarnationOf(crashed) })).toBe(hasCrashed)
  })

  it('is attributed to a crash where its data centre has no other endpoint', async () => {
    const crashed = endpoint('crashed')
    const detector = new CrashDetector(new SystemClock(), silentLogger(), async () => 'refused', witnessBy(() => [crashed]))
    expect(await detector.hasCrashed({ endpoint: crashed, life: incarnationOf(crashed) })).toBe(true)
  })

  // Guards against a log that does not show which arrivals were the same request.
  it('is logged with a fingerprint that is equal for all arrivals of its request', async () => {
    raw = await RawEndpoint.start(stream([1], () => setTimeout(() => raw?.stop(), 20)))
    ingress = await IngressUnderTest.start({
      routes: [route({ kind: 'stream', targets: ENGINES, mostAttempts: 1 })],
      endpoints: [{ id: 'engine', raw, adapters: [{ key: key('a1'), version: 1 }] }]
    })
    await ingress.ask('/draft', { 'x-adapter': 'a1', 'x-request-id': 'first' }, 'body')
    const { lines } = ingress
    await expect.poll(() => lines.some(({ message }) => message === 'A request was aboard a crashed endpoint.')).toBe(true)
    const fingerprints = lines.filter(({ message }) => message === 'A request was aboard a crashed endpoint.').map(({ fields }) => fields.fingerprint)
    const facts = { caller: undefined, adapter: { key: key('a1'), model: 'base', name: 'a1' } }
    const again = { method: 'POST', target: '/draft', route: { host: 'listings.example' }, body: Buffer.from('body'), facts } as unknown as Parameters<typeof fingerprintOf>[0]
    expect(fingerprints).toEqual([fingerprintOf(again)])
    expect(fingerprintOf({ ...again, body: Buffer.from('BODY') })).not.toBe(fingerprints[0])
    expect(fingerprintOf({ ...again, facts: { ...again.facts, caller: 'somebody' } })).not.toBe(fingerprints[0])
  })
})
