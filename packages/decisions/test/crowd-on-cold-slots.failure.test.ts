// Requests come for far more adapters than an engine has slots, each with a time within which its answer is of full use and
// a longer one within which it is of half. First come, first served makes all of them late as soon as the line is longer
// than that time. Callers should see as many answers as the slots give, and as many of them on time as there can be.
import { describe, expect, it } from 'vitest'
import { unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand'
import { LoadQueue } from '../src/index.js'

const SLOTS = 17
/** An adapter from the weight store, and the run of an answer: with these 17 slots give 17 visits a second. */
const TRAVEL = 250
const RUN = 750
const ON_TIME = 550
const GIVEN_UP = 1_500
const ASK_AGAIN = 300
const STEP = 5

interface Waiting {
  readonly request: string
  readonly key: string
  readonly cameAt: number
}

interface Outcome {
  readonly onTime: number
  readonly late: number
  readonly longestPassedOver: number
}

type Picking = 'line' | 'first come'

/** Requests come for a second adapter's worth of load beyond what the slots serve; some adapters are asked for more often. */
function play (picking: Picking, requestsPerSecond: number, seed: number): Outcome {
  const random = xoroshiro128plus(seed)
  const line = new LoadQueue()
  const slots: { key: string, arrivesAt: number, freeAt: number }[] = []
  let waiting: Waiting[] = []
  let [onTime, late, longestPassedOver, count] = [0, 0, 0, 0]
  for (let now = 0; now < 30_000; now += STEP) {
    if (unsafeUniformIntDistribution(0, 999, random) < requestsPerSecond * STEP) {
      const popularity = unsafeUniformIntDistribution(0, 9, random)
      const key = popularity < 3 ? `often${unsafeUniformIntDistribution(0, 9, random)}` : `rare${unsafeUniformIntDistribution(0, 999, random)}`
      waiting.push({ request: String(count++), key, cameAt: now })
    }
    for (const slot of slots) {
      if (now < slot.arrivesAt) continue
      for (const { key, cameAt } of waiting.filter((each) => each.key === slot.key)) {
        if (now - cameAt <= ON_TIME) onTime += 1
        else late += 1
        longestPassedOver = Math.max(longestPassedOver, now - cameAt)
        slot.freeAt = now + RUN
        line.met(key)
      }
      waiting = waiting.filter((each) => each.key !== slot.key)
    }
    for (let index = slots.length - 1; index >= 0; index -= 1) if (now >= (slots[index]?.freeAt ?? 0)) slots.splice(index, 1)
    waiting = waiting.filter(({ cameAt }) => now - cameAt < GIVEN_UP)
    for (const { request, key, cameAt } of waiting) {
      if ((now - cameAt) % ASK_AGAIN < STEP) line.requestLoad(key, 0, { request, onTimeMilliseconds: ON_TIME }, now)
    }
    line.expire(now)
    const isThere = (key: string): boolean => slots.some((slot) => slot.key === key)
    while (slots.length < SLOTS) {
      const next = picking === 'line'
        ? line.next(isThere, () => false, TRAVEL, now)?.key
        : waiting.find(({ key }) => !isThere(key))?.key
      if (next === undefined) break
      slots.push({ key: next, arrivesAt: now + TRAVEL, freeAt: now + TRAVEL + RUN })
      line.met(next)
    }
  }
  return { onTime, late, longestPassedOver }
}

describe('a crowd on cold slots', () => {
  it.each([1, 2, 3])('is answered on time twice as often as first come, first served, and no less in all (seed %i)', (seed) => {
    const [first, ours] = [play('first come', 30, seed), play('line', 30, seed)]
    expect(ours.onTime).toBeGreaterThan(2 * first.onTime)
    expect(ours.onTime + ours.late).toBeGreaterThan(0.97 * (first.onTime + first.late))
  })

  it.each([1, 2, 3])('loses nothing against first come, first served where slots suffice (seed %i)', (seed) => {
    const [first, ours] = [play('first come', 12, seed), play('line', 12, seed)]
    expect(ours.onTime).toBeGreaterThanOrEqual(0.99 * first.onTime)
  })
})
