// A crowd asks for rare adapters and every line is long. One kind of request has a distant deadline, but its callers give up when
// nothing comes for some seconds. Held for a share of its time it is left by its caller: served nowhere, and told nothing.
import { describe, expect, it } from 'vitest'
import fc from 'fast-check'
import { longestAdapterWait } from '../src/index.js'

const milliseconds = (least: number, most: number): fc.Arbitrary<number> => fc.integer({ min: least, max: most })

describe('the longest wait for an adapter', () => {
  it('is a part of the time where the deadline is near', () => {
    expect(longestAdapterWait({ timeToDeadline: 5_000, objective: 1_000, gap: 400 })).toBe(1_250)
  })

  it('ends while the caller of a request with a distant deadline is still there and can come back', () => {
    expect(longestAdapterWait({ timeToDeadline: 15_000, objective: 800, gap: 400 })).toBe(1_920)
  })

  it('lasts as long as an answer may be on time, and never longer than the time', () => {
    expect([longestAdapterWait({ timeToDeadline: 3_000, objective: 1_000, gap: 400 }), longestAdapterWait({ timeToDeadline: 500, objective: 1_000, gap: 400 })]).toEqual([1_000, 500])
  })

  it('is over well before the caller gives up, unless an answer could still be on time', () => {
    fc.assert(fc.property(milliseconds(1, 60_000), milliseconds(50, 5_000), milliseconds(50, 2_000), (time, objective, gap) => {
      const patience = Math.max(2_000, 4 * objective, 8 * gap)
      const wait = longestAdapterWait({ timeToDeadline: time, objective, gap })
      expect(wait).toBeLessThanOrEqual(time)
      expect(wait).toBeLessThanOrEqual(patience * 0.7)
    }))
  })
})
