import { describe, expect, it } from 'vitest'
import { BASELINE_POLICIES, PRODUCT_POLICIES } from '../../src/policy/policies/policies-under-test.js'
import { generateTraces, runPolicy } from '../../src/policy/policy-experiment.js'
import { clairvoyantReferenceOf } from '../../src/policy/results/clairvoyant.js'
import { reportOf } from '../../src/policy/results/run-report.js'
import { Simulation } from '../../src/policy/simulation/simulation.js'
import type { PolicyUnderTest } from '../../src/policy/simulation/policy-bundle.js'
import type { Trace, TraceRequest } from '../../src/policy/traces/trace.js'

const SEED = 7
const [product] = PRODUCT_POLICIES as [PolicyUnderTest]
const [, sticky] = BASELINE_POLICIES as [PolicyUnderTest, PolicyUnderTest]

function request (atMilliseconds: number, team: string, adapter: string, outputTokens = 20): TraceRequest {
  return { atMilliseconds, team, adapter, version: '1', priorityClass: 'interactive', promptTokens: 50, outputTokens, idempotent: true }
}

function trace (requests: readonly TraceRequest[], engines = 1, slots = 2): Trace {
  return {
    name: 'test',
    size: { engines, slots, loadsPerSecond: 4 },
    requests,
    weights: new Map(),
    restarts: [],
    measuredFromMilliseconds: 0
  }
}

function steady (adapter: string, from: number, until: number, every: number, outputTokens = 20): TraceRequest[] {
  const count = Math.floor((until - from) / every)
  return Array.from({ length: count }, (_, index) => request(from + index * every, 'team', adapter, outputTokens))
}

function merge (...streams: readonly TraceRequest[][]): TraceRequest[] {
  return streams.flat().sort((left, right) => left.atMilliseconds - right.atMilliseconds)
}

describe('simulation', () => {
  it('gives the same figures for the same seed and different figures for another seed', () => {
    const size = { engines: 3, slots: 4, loadsPerSecond: 4 }
    const run = (seed: number) => generateTraces(seed, size, 15).map((generated) => runPolicy(generated, product))
    const first = run(SEED)
    expect(run(SEED)).toEqual(first)
    expect(run(SEED + 1)).not.toEqual(first)
  })

  it('accounts for every request of every trace', () => {
    const size = { engines: 3, slots: 4, loadsPerSecond: 4 }
    for (const generated of generateTraces(SEED, size, 15)) {
      for (const policy of [product, sticky]) {
        const report = runPolicy(generated, policy)
        const known = report.completed + report.refused + report.waiting_at_end + report.lost
        expect(known).toBe(generated.requests.length)
      }
    }
  })

  it('counts a request whose adapter was never loaded with its wait up to the end of the run', () => {
    const test = trace([request(0, 'team', 'a'), request(1_000, 'team', 'b')])
    const result = new Simulation(test, product.make(test.size), { loadFails: (adapter) => adapter.includes('/b@') }).run()
    const report = reportOf(test, 'product', result)
    expect(report.completed).toBe(1)
    expect(report.load_stall_ms.max).toBeGreaterThanOrEqual(result.endedAt - 1_000)
  })

  it('reports no longer stalls for the clairvoyant reference than for the policies', () => {
    const [panel] = generateTraces(SEED, undefined, 60) as [Trace]
    expect(clairvoyantReferenceOf(panel).load_stall_ms.p95).toBeLessThanOrEqual(runPolicy(panel, product).load_stall_ms.p95)
  })
})

describe('failures', () => {
  // Guards against one adapter whose weights never load delaying the loads of others. Each failed attempt occupies the
  // weight store, which runs one load at a time; without a backoff, immediate retries would occupy it permanently.
  it('lets other loads proceed while one keeps failing', () => {
    const others = Array.from({ length: 6 }, (_, index) => request(1_000 + index * 2_000, 'team', `good-${index}`))
    const test = trace(merge(steady('bad', 0, 14_000, 500), others), 2, 4)
    const result = new Simulation(test, product.make(test.size), { loadFails: (adapter) => adapter.includes('/bad@') }).run()
    const good = result.requests.filter((item) => item.adapter.includes('/good-'))
    expect(good.every((item) => item.state === 'completed')).toBe(true)
    expect(Math.max(...good.map((item) => item.endedStallMilliseconds))).toBeLessThanOrEqual(1_000)
    expect(result.loads.failedLoads).toBeGreaterThan(0)
    expect(result.loads.failedLoads).toBeLessThan(12)
  })

  // Guards against running an interrupted request without its adapter. After a cold restart, the request must wait for
  // its adapter again, which takes one more load; otherwise it would run on an engine that does not hold the adapter.
  it('answers requests of an engine that restarts cold', () => {
    const test = { ...trace(steady('a', 0, 6_000, 300, 60)), restarts: [{ engine: 0, atMilliseconds: 3_000 }] }
    const result = new Simulation(test, product.make(test.size)).run()
    expect(result.requests.every((item) => item.state === 'completed')).toBe(true)
    expect(result.loads.loads).toBe(2)
  })

  // Guards against slots kept by adapters that were popular but are no longer used. The adapters that became popular
  // would evict each other from the remaining slots and be loaded again and again.
  it('gives the slots of adapters that became idle to adapters that became popular', () => {
    const before = merge(steady('old-1', 0, 30_000, 400), steady('old-2', 200, 30_000, 400))
    const after = merge(steady('new-1', 30_000, 60_000, 400), steady('new-2', 30_200, 60_000, 400))
    const test = trace([...before, ...after])
    const result = new Simulation(test, product.make(test.size)).run()
    expect(result.loads.loads).toBeLessThanOrEqual(8)
    expect(result.requests.every((item) => item.state === 'completed')).toBe(true)
  })

  // Guards against evicting a pinned adapter when all slots are pinned and another adapter must be loaded. The pinned
  // request would be answered by another adapter, so the load waits until a request has ended. An eviction of a pinned
  // slot makes the run throw.
  it('waits for a pin to end when all slots are pinned', () => {
    const test = trace([request(0, 'team', 'a', 200), request(10, 'team', 'b', 200), request(1_500, 'team', 'c')])
    const result = new Simulation(test, product.make(test.size)).run()
    expect(result.requests.map((item) => item.state)).toEqual(['completed', 'completed', 'completed'])
    const [first, , last] = result.requests
    expect(last?.endedStallMilliseconds).toBeGreaterThan((first?.endedAt ?? 0) - 1_500)
  })

  // Guards against a team that sends more than all engines can serve and so delays the other teams. Virtual time orders
  // the requests of the other teams first, and reserved batch places are not available to the flooding team.
  it('protects the other teams from a flood of one team', () => {
    const flood = Array.from({ length: 4_000 }, (_, index) => request(index * 10, 'flood', 'f', 80))
    const calm = Array.from({ length: 80 }, (_, index) => request(250 + index * 500, 'calm', 'c', 40))
    const test = trace(merge(flood, calm), 2, 4)
    const result = new Simulation(test, product.make(test.size)).run()
    const waits = result.requests.filter((item) => item.team === 'calm').map((item) => item.firstTokenAt - item.enqueuedAt)
    const delayed = waits.slice(20).filter((wait) => wait < 0 || wait > 1_000)
    expect(delayed).toEqual([])
    expect(result.requests.filter((item) => item.team === 'flood' && item.state === 'refused').length).toBeGreaterThan(0)
  })
})
