// Guards against load orders that are based on an outdated view of an engine. The load owner learns of runs on other instances from
// digests, sent every 150 ms. A run that ended after the last digest still blocks its slot for pending loads. A run that began after
// it is not visible, so its adapter may be evicted, and the engine then accepts no order until the run ends. Therefore ends of runs are
// reported separately from digests, and each instance counts its own runs exactly.
import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import type { EndpointId, InstanceId, RelayedLoad } from '@limpetwinch/core'
import { EndpointWorkTracker } from '../src/routing/endpoint-work-tracker.js'
import { key } from './support/samples.js'

const ENGINE = 'e' as EndpointId

function begin (workTracker: EndpointWorkTracker, name: string): () => void {
  return workTracker.begin(ENGINE, { prefillTokens: 10, memoryTokens: 20, adapter: key(name) }).ended
}

describe('the outstanding work of an endpoint', () => {
  it('notifies listeners when the last run of this instance for an adapter has ended, and only then', () => {
    const workTracker = new EndpointWorkTracker()
    const released: EndpointId[] = []
    workTracker.onReleased((endpoint) => released.push(endpoint))
    const [first, second] = [begin(workTracker, 'x'), begin(workTracker, 'x')]
    first()
    const before = released.length
    second()
    second()
    expect({ before, after: released, own: workTracker.ownRunning(ENGINE, key('x')) }).toEqual({ before: 0, after: [ENGINE], own: 0 })
  })

  it('is reported to one peer without resetting the uses that the digest for all peers reports', () => {
    const workTracker = new EndpointWorkTracker()
    begin(workTracker, 'x')
    const reported = workTracker.present()[0]?.adapters
    expect([reported, workTracker.digest()[0]?.adapters]).toEqual([[['base/x', 1, 0]], [['base/x', 1, 1]]])
  })

  // Guards against totals that miss or keep one report when peers become unresponsive and return: callers would be sent to a crowded
  // engine, or a slot would stay blocked for pending loads for ever.
  it('is the sum of the latest reports of all peers, without the expired ones', () => {
    const load = fc.record({
      endpoint: fc.constantFrom('e', 'f').map((id) => id as EndpointId),
      requests: fc.nat(5),
      prefillTokens: fc.nat(100),
      memoryTokens: fc.nat(100),
      adapters: fc.dictionary(fc.constantFrom('base/x', 'base/y'), fc.nat(3)).map((running) => Object.entries(running).map(([key, count]): [string, number, number] => [key, count, 0]))
    })
    const report = fc.record({ peer: fc.constantFrom('p', 'q', 'r'), after: fc.nat(3_000), loads: fc.uniqueArray(load, { selector: ({ endpoint }) => endpoint }) })
    fc.assert(fc.property(fc.array(report, { maxLength: 20 }), (reports) => {
      const workTracker = new EndpointWorkTracker()
      const last = new Map<string, { readonly at: number, readonly loads: readonly RelayedLoad[] }>()
      let now = 0
      for (const { peer, after, loads } of reports) {
        now += after
        workTracker.applyPeerReport(peer as InstanceId, loads, now)
        last.set(peer, { at: now, loads })
      }
      const current = [...last.values()].filter(({ at }) => now - at < 5_000).flatMap(({ loads }) => loads).filter(({ endpoint }) => endpoint === ENGINE)
      const running = current.flatMap(({ adapters }) => adapters).filter(([, count]) => count > 0)
      expect({ inHand: workTracker.outstanding(ENGINE, now), x: workTracker.running(ENGINE, key('x'), now), inUse: workTracker.adaptersInUse(ENGINE, now) }).toEqual({
        inHand: {
          requests: sum(current.map(({ requests }) => requests)),
          prefillTokens: sum(current.map(({ prefillTokens }) => prefillTokens)),
          memoryTokens: sum(current.map(({ memoryTokens }) => memoryTokens))
        },
        x: sum(running.filter(([name]) => name === 'base/x').map(([, count]) => count)),
        inUse: new Set(running.map(([name]) => name)).size
      })
    }), { seed: 8, numRuns: 300 })
  })

  // Reports of peers are older than a prompt takes to be read. Every engine that read a prompt half a second ago would still count as
  // occupied, and prompts would go to engines that are busier.
  it('counts reported prompts as read after the time that the engine needs for them', () => {
    const workTracker = new EndpointWorkTracker((endpoint) => endpoint === ENGINE ? 40 : undefined)
    const unread = (now: number): number => workTracker.outstanding(ENGINE, now).prefillTokens
    const report = (peer: string, prefillTokens: number, now: number): void => {
      workTracker.applyPeerReport(peer as InstanceId, [{ endpoint: ENGINE, requests: 1, prefillTokens, memoryTokens: 0, adapters: [] }], now)
    }
    report('p', 8_000, 1_000)
    const [begun, half, read] = [unread(1_000), unread(1_100), unread(1_500)]
    report('q', 4_000, 1_500)
    report('p', 8_000, 1_500)
    expect([begun, half, read, unread(1_500), unread(1_900)]).toEqual([8_000, 4_000, 0, 12_000, 0])
  })
})

function sum (numbers: readonly number[]): number {
  return numbers.reduce((total, each) => total + each, 0)
}
