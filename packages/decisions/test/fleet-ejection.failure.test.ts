// Guards against an endpoint that answers with bytes without an end: it keeps its share of the requests of a fleet, or gets all of it back at once.
import { describe, expect, it } from 'vitest'
import type { EndpointId } from '@limpetwinch/core'
import { EndpointHold, FleetEjection, OutlierEjection } from '../src/index.js'

const ENDPOINT = 'a' as EndpointId
const INSTANCES = ['north-0', 'north-1', 'south-0']

function ejectedAt (now: number): FleetEjection {
  const ejection = new FleetEjection()
  for (let failure = 0; failure < 3; failure += 1) ejection.failed(ENDPOINT, now)
  return ejection
}

describe('the ejection of an endpoint at all instances', () => {
  it('needs three failures within half a minute', () => {
    const ejection = new FleetEjection()
    const decisions = [0, 1_000, 40_000, 41_000, 42_000].map((at) => ejection.failed(ENDPOINT, at))
    expect(decisions).toEqual(['counted', 'counted', 'counted', 'counted', 'ejected'])
  })

  it('ignores responses to requests that were sent before', () => {
    const ejection = ejectedAt(0)
    expect([ejection.failed(ENDPOINT, 500), ejection.phase(ENDPOINT, 1_999), ejection.phase(ENDPOINT, 2_000)]).toEqual(['ignored', 'out', 'trial'])
  })

  it('lasts twice as long after each trial that fails, up to a minute', () => {
    const ejection = ejectedAt(0)
    const lengths: number[] = []
    for (let trial = 0; trial < 7; trial += 1) {
      const from = ejection.trialFrom(ENDPOINT)
      ejection.failed(ENDPOINT, from)
      lengths.push(ejection.trialFrom(ENDPOINT) - from)
    }
    expect(lengths).toEqual([4_000, 8_000, 16_000, 32_000, 60_000, 60_000, 60_000])
  })

  it('ends after three complete responses, with a penalty that falls to nothing', () => {
    const ejection = ejectedAt(0)
    expect([1_000, 2_000, 2_100, 2_200].map((at) => ejection.answered(ENDPOINT, at))).toEqual([false, false, false, true])
    expect([2_200, 4_200, 6_200].map((at) => ejection.penalty(ENDPOINT, at))).toEqual([1, 0.5, 0])
  })

  it('is tried by one instance at a time, by the same one on all, and by each in its turn', () => {
    const ejection = ejectedAt(0)
    const turns = Array.from({ length: 40 }, (_each, turn) => ejection.trialInstance(ENDPOINT, INSTANCES, 2_000 + turn * 2_000))
    const reversed = Array.from({ length: 40 }, (_each, turn) => ejection.trialInstance(ENDPOINT, [...INSTANCES].reverse(), 2_500 + turn * 2_000))
    expect([reversed, new Set(turns).size]).toEqual([turns, INSTANCES.length])
  })

  it('is taken over by an instance that joins, which keeps what it decided itself', () => {
    const [known] = ejectedAt(0).ejected(500)
    const joined = new FleetEjection()
    expect([known === undefined ? false : joined.adopt(known, 9_000), joined.trialFrom(ENDPOINT)]).toEqual([true, 10_500])
    expect(joined.adopt({ endpoint: ENDPOINT, ejections: 9, milliseconds: 60_000 }, 9_100)).toBe(false)
  })
})

/** Holds one endpoint back. */
class OneHeld extends EndpointHold {
  override readonly isEmpty = false

  override isHeld (endpoint: EndpointId): boolean {
    return endpoint === ENDPOINT
  }

  override heldUntil (endpoint: EndpointId): number {
    return endpoint === ENDPOINT ? 500 : -Infinity
  }

  override penalty (): number {
    return 0.25
  }
}

describe('the endpoints that one instance uses', () => {
  it('are without one that is held back, unless hardly any are left', () => {
    const ejection = new OutlierEjection({ minimumUsableShare: 0.5 })
    ejection.holdWith(new OneHeld())
    const usable = (...names: string[]): string[] => ejection.usable(names.map((name) => ({ endpoint: name as EndpointId })), 0).map(({ endpoint }) => endpoint)
    expect([usable('a', 'b'), usable('a'), ejection.isEjected(ENDPOINT, 0), ejection.penalty('b' as EndpointId, 0)]).toEqual([['b'], ['a'], true, 0.25])
  })
})
