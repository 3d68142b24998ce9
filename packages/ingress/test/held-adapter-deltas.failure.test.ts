// Peers hear what an engine holds as a whole word now and then and as changes between. A change that is applied to another
// word than the one it goes on from would send callers to adapters that are not there, or keep them from those that are.
import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import type { AdaptersHeldFrame, EndpointId, FencingToken, InstanceId } from '@limpetwinch/core'
import { applyDelta, deltaBetween, HeldAdapterBaselines } from '../src/adapters/held-adapter-deltas.js'

const PEER = 'peer' as InstanceId

function word (sequence: number, held: Readonly<Record<string, number>>, waiting: readonly string[] = [], inFlight: readonly string[] = []): AdaptersHeldFrame {
  return { kind: 'adapters-held', endpoint: 'e' as EndpointId, born: 1, token: 3 as FencingToken, sequence, held: Object.entries(held), inFlight, waiting, waitMilliseconds: sequence }
}

const holdings = fc.dictionary(fc.constantFrom('a', 'b', 'c', 'd', 'e'), fc.integer({ min: 0, max: 3 }))
const names = fc.uniqueArray(fc.constantFrom('p', 'q', 'r', 's'))

function sorted (frame: AdaptersHeldFrame): unknown {
  return { ...frame, held: [...frame.held].sort(), waiting: [...frame.waiting ?? []].sort() }
}

describe('a change of what an engine holds', () => {
  it('leads from any word to any other', () => {
    fc.assert(fc.property(holdings, holdings, names, names, (held, next, waiting, nextWaiting) => {
      const [before, after] = [word(1, held, waiting), word(2, next, nextWaiting, ['x'])]
      expect(sorted(applyDelta(before, deltaBetween(before, after)))).toEqual(sorted(after))
    }), { seed: 11 })
  })

  it('is passed over when the word before it was not heard, or came from another process, until the next whole word', () => {
    const words = new HeldAdapterBaselines()
    const [first, second, third] = [word(1, { a: 1 }), word(2, { a: 1, b: 1 }), word(3, { b: 1 })]
    words.setFull(PEER, first)
    const skipped = words.apply(PEER, deltaBetween(second, third))
    const foreign = words.apply('other' as InstanceId, deltaBetween(first, second))
    words.setFull(PEER, second)
    const taken = words.apply(PEER, deltaBetween(second, third))
    expect([skipped, foreign, taken?.held]).toEqual([undefined, undefined, [['b', 1]]])
  })
})
