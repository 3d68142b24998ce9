// Guards against a limit that is taken from an older response because that one arrived last: responses are read by several instances, some
// of them seconds after they were made.
import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { NamedRateLimit } from '../src/index.js'
import type { RateLimitStatement } from '../src/index.js'

const SPACING_MILLISECONDS = 100

/** Responses of one endpoint, each read before the request of the next one was sent. */
const statements = fc.array(fc.oneof(fc.constantFrom(0, 1, 2.5, 40), fc.constant(undefined)), { minLength: 1, maxLength: 8 })
  .map((limits) => limits.map((limit, index): RateLimitStatement => ({
    limit, sentAt: (index + 1) * SPACING_MILLISECONDS, readAt: (index + 1) * SPACING_MILLISECONDS + SPACING_MILLISECONDS / 2
  })))

function known (limit = 7): NamedRateLimit {
  return new NamedRateLimit({ limit, sentAt: 0, readAt: 1 })
}

describe('a named rate limit', () => {
  it('is that of the newest response, in whatever order and however often responses become known', () => {
    fc.assert(fc.property(statements, fc.array(fc.nat(), { maxLength: 20 }), (responses, picks) => {
      const named = known()
      const arriving = [...picks.map((pick) => responses[pick % responses.length] as RateLimitStatement), ...responses].reverse()
      for (const response of arriving) named.apply(response)
      for (const pick of picks) named.apply(responses[pick % responses.length] as RateLimitStatement)
      expect(named.limit).toBe(responses.at(-1)?.limit)
    }), { seed: 41 })
  })

  it('is the lower one of two responses whose order is not known', () => {
    const overlapping = [{ limit: 3, sentAt: 100, readAt: 300 }, { limit: 2, sentAt: 200, readAt: 400 }, { limit: undefined, sentAt: 250, readAt: 350 }]
    for (const order of [[0, 1, 2], [2, 1, 0], [1, 0, 2], [1, 2, 0], [0, 2, 1], [2, 0, 1]]) {
      const named = known()
      for (const index of order) named.apply(overlapping[index] as RateLimitStatement)
      expect(named.limit).toBe(2)
    }
  })

  it('returns in steps after its end, and stays at a new limit', () => {
    const named = known(2)
    named.apply({ limit: undefined, sentAt: 1_000, readAt: 1_000 })
    expect([1_000, 1_500, 2_000, 4_999, 5_000].map((now) => named.ratePerSecond(now))).toMatchInlineSnapshot(`
      [
        4,
        8,
        16,
        512,
        undefined,
      ]
    `)
    named.apply({ limit: 1, sentAt: 2_000, readAt: 2_000 })
    expect(named.ratePerSecond(9_000)).toBe(1)
  })
})
