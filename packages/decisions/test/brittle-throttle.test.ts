// Guards against an endpoint that crashes from refusing too many requests: the rate must fall far enough within seconds wherever its real
// capacity lies, and must not stay low once there is room again.
import { describe, expect, it } from 'vitest'
import { BrittleThrottle } from '../src/limits/brittle-throttle.js'

const SLOTS = 6
const DURATION_MILLISECONDS = 100
const BEARABLE = 5
const STEPS_PER_SECOND = 20

/** Plays an endpoint that refuses whatever exceeds its capacity. @returns refusals in each second */
function play (throttle: BrittleThrottle, capacityPerSecond: number, from: number, seconds: number): number[] {
  let excess = 0
  return Array.from({ length: seconds }, (_, second) => {
    let refusals = 0
    for (let step = 0; step < STEPS_PER_SECOND; step += 1) {
      const now = from + (second + step / STEPS_PER_SECOND) * 1_000
      excess += Math.max(0, throttle.ratePerSecond(SLOTS, now) - capacityPerSecond) / STEPS_PER_SECOND
      const refused = Math.floor(excess)
      excess -= refused
      refusals += refused
      throttle.recordRefusals(refused, BEARABLE, now)
    }
    return refusals
  })
}

describe('the throttle of a brittle endpoint', () => {
  it('uses more than half of the capacity that slots and durations show while nothing is refused', () => {
    const throttle = new BrittleThrottle(0)
    for (let count = 0; count < 100; count += 1) throttle.recordDuration(DURATION_MILLISECONDS)
    expect(throttle.ratePerSecond(SLOTS, 1_000)).toBeCloseTo(36)
  })

  it('comes below the capacity of an endpoint that lost half of its room before it has refused as many requests as it bears, and stays about there', () => {
    const throttle = new BrittleThrottle(0)
    for (let count = 0; count < 100; count += 1) throttle.recordDuration(DURATION_MILLISECONDS)
    const refusals = play(throttle, 30, 0, 20)
    expect(Math.max(...refusals)).toBeLessThanOrEqual(BEARABLE)
    expect(throttle.ratePerSecond(SLOTS, 20_000)).toBeGreaterThan(20)
  })

  // An endpoint that loses half of its room refuses as many requests as it bears within a quarter of a second.
  it('comes below half of the capacity with the first refusal, and not much further with those that were on their way', () => {
    const throttle = new BrittleThrottle(0)
    for (let count = 0; count < 100; count += 1) throttle.recordDuration(DURATION_MILLISECONDS)
    throttle.recordRefusals(1, BEARABLE, 1_000)
    const first = throttle.ratePerSecond(SLOTS, 1_000)
    throttle.recordRefusals(2, BEARABLE, 1_100)
    expect([first, throttle.ratePerSecond(SLOTS, 1_100)].map((rate) => Math.round(rate))).toEqual([18, 16])
  })

  it('returns to the full rate after refusals have ended', () => {
    const throttle = new BrittleThrottle(0)
    throttle.recordRefusals(1_000, 0, 0)
    expect([0, 10_000, 20_000].map((now) => throttle.ratePerSecond(SLOTS, now))).toMatchInlineSnapshot(`
      [
        0.9,
        9.9,
        17.999999999999996,
      ]
    `)
  })
})
