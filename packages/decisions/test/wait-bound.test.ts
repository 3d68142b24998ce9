// Guards against a wait limit that depends on the deadline alone. When all load queues are long, a request with a distant deadline
// would wait longer than its caller does, who abandons a stream after some seconds without an event and gets no response or error.
import { describe, expect, it } from 'vitest'
import fc from 'fast-check'
import { longestAdapterWait } from '../src/index.js'

const milliseconds = (min: number, max: number): fc.Arbitrary<number> => fc.integer({ min, max })

describe('the longest wait for an adapter', () => {
  it('is a part of the time to a near deadline', () => {
    expect(longestAdapterWait({ timeToDeadline: 5_000, objective: 1_000, gap: 400 })).toBe(1_250)
  })

  it('ends before the caller of a request with a distant deadline leaves, with time to retry', () => {
    expect(longestAdapterWait({ timeToDeadline: 15_000, objective: 800, gap: 400 })).toBe(1_920)
  })

  it('lasts at least as long as a response can be on time, but not beyond the deadline', () => {
    expect([
      longestAdapterWait({ timeToDeadline: 3_000, objective: 1_000, gap: 400 }),
      longestAdapterWait({ timeToDeadline: 500, objective: 1_000, gap: 400 })
    ]).toEqual([1_000, 500])
  })

  it('ends well before the caller leaves, unless a response could still be on time', () => {
    fc.assert(fc.property(milliseconds(1, 60_000), milliseconds(50, 5_000), milliseconds(50, 2_000), (timeToDeadline, objective, gap) => {
      const patience = Math.max(2_000, 4 * objective, 8 * gap)
      const wait = longestAdapterWait({ timeToDeadline, objective, gap })
      expect(wait).toBeLessThanOrEqual(timeToDeadline)
      expect(wait).toBeLessThanOrEqual(patience * 0.7)
    }))
  })
})
