// Peers receive the adapters that an engine holds as occasional full notices and as deltas between them. Guards against a delta that
// is applied to a notice other than its predecessor: requests would be sent to engines that do not hold their adapter, or kept from
// engines that do.
import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import type { AdaptersHeldFrame, EndpointId, FencingToken, InstanceId } from '@limpetwinch/core'
import { applyDelta, deltaBetween, HeldAdapterBaselines } from '../src/adapters/held-adapter-deltas.js'

const PEER = 'peer' as InstanceId

function notice (sequence: number, held: Readonly<Record<string, number>>, waiting: readonly string[] = [], inFlight: readonly string[] = []): AdaptersHeldFrame {
  return { kind: 'adapters-held', endpoint: 'e' as EndpointId, born: 1, token: 3 as FencingToken, sequence, held: Object.entries(held), inFlight, waiting, waitMilliseconds: sequence }
}

const holdings = fc.dictionary(fc.constantFrom('a', 'b', 'c', 'd', 'e'), fc.integer({ min: 0, max: 3 }))
const names = fc.uniqueArray(fc.constantFrom('p', 'q', 'r', 's'))

function sorted (frame: AdaptersHeldFrame): unknown {
  return { ...frame, held: [...frame.held].sort(), waiting: [...frame.waiting ?? []].sort() }
}

describe('a delta of the adapters that an engine holds', () => {
  it('leads from any full notice to any other', () => {
    fc.assert(fc.property(holdings, holdings, names, names, (held, next, waiting, nextWaiting) => {
      const [before, after] = [notice(1, held, waiting), notice(2, next, nextWaiting, ['x'])]
      expect(sorted(applyDelta(before, deltaBetween(before, after)))).toEqual(sorted(after))
    }), { seed: 11 })
  })

  it('is ignored when its predecessor was not received, or came from another process, until the next full notice', () => {
    const baselines = new HeldAdapterBaselines()
    const [first, second, third] = [notice(1, { a: 1 }), notice(2, { a: 1, b: 1 }), notice(3, { b: 1 })]
    baselines.setFull(PEER, first)
    const skipped = baselines.apply(PEER, deltaBetween(second, third))
    const foreign = baselines.apply('other' as InstanceId, deltaBetween(first, second))
    baselines.setFull(PEER, second)
    const applied = baselines.apply(PEER, deltaBetween(second, third))
    expect([skipped, foreign, applied?.held]).toEqual([undefined, undefined, [['b', 1]]])
  })
})
