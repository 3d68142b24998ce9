// Guards against an endpoint that crashes from refusing too many requests: the rate must fall far enough within seconds wherever its real
// capacity lies, and must not stay low once there is room again.
import { describe, expect, it } from 'vitest'
import { BrittleThrottle } from '../src/limits/brittle-throttle.js'

const SLOTS = 6
const DURATION_MILLISECONDS = 100
const BEARABLE = 5

/** Plays an endpoint that refuses whatever exceeds its capacity. @returns refusals in each second */
function play (throttle: BrittleThrottle, capacityPerSecond: number, from: number, seconds: number): number[] {
  return Array.from({ length: seconds }, (_, second) => {
    const now = from + second * 1_000
    const refusals = Math.max(0, Math.round(throttle.ratePerSecond(SLOTS, now) - capacityPerSecond))
    throttle.recordRefusals(refusals, BEARABLE, now)
    return refusals
  })
}

describe('the throttle of a brittle endpoint', () => {
  it('uses most of the capacity that slots and durations show while nothing is refused', () => {
    const throttle = new BrittleThrottle(0)
    for (let count = 0; count < 100; count += 1) throttle.recordDuration(DURATION_MILLISECONDS)
    expect(throttle.ratePerSecond(SLOTS, 1_000)).toBeCloseTo(48)
  })

  it('comes below the capacity of an endpoint that lost half of its room within seconds, and stays about there', () => {
    const throttle = new BrittleThrottle(0)
    for (let count = 0; count < 100; count += 1) throttle.recordDuration(DURATION_MILLISECONDS)
    const refusals = play(throttle, 30, 0, 20)
    expect(Math.max(...refusals.slice(2))).toBeLessThanOrEqual(BEARABLE)
    expect(throttle.ratePerSecond(SLOTS, 20_000)).toBeGreaterThan(20)
  })

  it('returns to the full rate after refusals have ended', () => {
    const throttle = new BrittleThrottle(0)
    throttle.recordRefusals(1_000, 0, 0)
    expect([0, 10_000, 20_000].map((now) => throttle.ratePerSecond(SLOTS, now))).toMatchInlineSnapshot(`
      [
        1.2000000000000002,
        13.200000000000003,
        24.000000000000004,
      ]
    `)
  })
})
