// Who orders an engine's loads knows what runs there from digests, told every 150 ms. A run that ended after the last one
// keeps its slot from the loads that wait; one that began after it is not seen, and its adapter is evicted under it: the
// engine then takes no order until that run ends. So ends are told apart from digests, and an instance knows its own runs.
import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import type { EndpointId, InstanceId, RelayedLoad } from '@limpetwinch/core'
import { EndpointWorkTracker } from '../src/routing/endpoint-work-tracker.js'
import { key } from './support/samples.js'

const ENGINE = 'e' as EndpointId

function begin (board: EndpointWorkTracker, name: string): () => void {
  return board.begin(ENGINE, { prefillTokens: 10, memoryTokens: 20, adapter: key(name) }).ended
}

describe('work in hand', () => {
  it('tells when the last own run of an adapter has ended, and only then', () => {
    const board = new EndpointWorkTracker()
    const released: EndpointId[] = []
    board.onReleased((endpoint) => released.push(endpoint))
    const [first, second] = [begin(board, 'x'), begin(board, 'x')]
    first()
    const before = released.length
    second()
    second()
    expect({ before, after: released, own: board.ownRunning(ENGINE, key('x')) }).toEqual({ before: 0, after: [ENGINE], own: 0 })
  })

  it('tells one peer what runs without taking uses from the digest for all', () => {
    const board = new EndpointWorkTracker()
    begin(board, 'x')
    const present = board.present()[0]?.adapters
    expect([present, board.digest()[0]?.adapters]).toEqual([[['base/x', 1, 0]], [['base/x', 1, 1]]])
  })

  // Hundreds of peers tell their work, stop speaking, come back. Kept sums that were off by one word would send callers to a
  // crowded engine, or keep a slot from the loads that wait for it, for good.
  it('comes to what the last words of all peers add up to, those that are old left out', () => {
    const load = fc.record({
      endpoint: fc.constantFrom('e', 'f').map((id) => id as EndpointId),
      requests: fc.nat(5),
      prefillTokens: fc.nat(100),
      memoryTokens: fc.nat(100),
      adapters: fc.dictionary(fc.constantFrom('base/x', 'base/y'), fc.nat(3)).map((running) => Object.entries(running).map(([key, count]): [string, number, number] => [key, count, 0]))
    })
    const told = fc.record({ peer: fc.constantFrom('p', 'q', 'r'), after: fc.nat(3_000), loads: fc.uniqueArray(load, { selector: ({ endpoint }) => endpoint }) })
    fc.assert(fc.property(fc.array(told, { maxLength: 20 }), (words) => {
      const board = new EndpointWorkTracker()
      const last = new Map<string, { readonly at: number, readonly loads: readonly RelayedLoad[] }>()
      let now = 0
      for (const { peer, after, loads } of words) {
        now += after
        board.applyPeerReport(peer as InstanceId, loads, now)
        last.set(peer, { at: now, loads })
      }
      const there = [...last.values()].filter(({ at }) => now - at < 5_000).flatMap(({ loads }) => loads).filter(({ endpoint }) => endpoint === ENGINE)
      const running = there.flatMap(({ adapters }) => adapters).filter(([, count]) => count > 0)
      expect({ inHand: board.outstanding(ENGINE, now), x: board.running(ENGINE, key('x'), now), inUse: board.adaptersInUse(ENGINE, now) }).toEqual({
        inHand: {
          requests: sum(there.map(({ requests }) => requests)),
          prefillTokens: sum(there.map(({ prefillTokens }) => prefillTokens)),
          memoryTokens: sum(there.map(({ memoryTokens }) => memoryTokens))
        },
        x: sum(running.filter(([name]) => name === 'base/x').map(([, count]) => count)),
        inUse: new Set(running.map(([name]) => name)).size
      })
    }), { seed: 8, numRuns: 300 })
  })
})

function sum (numbers: readonly number[]): number {
  return numbers.reduce((total, each) => total + each, 0)
}
