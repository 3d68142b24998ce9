// Guards against load orders that make all responses late. Requests need far more adapters than an engine has slots, and each is
// on time for a while, then late, then abandoned. With first come, first served, every response is late as soon as the wait in the
// load queue exceeds the time for which a request is on time.
import { describe, expect, it } from 'vitest'
import { unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand'
import { LoadQueue } from '../src/index.js'

const SLOTS = 17
/** Duration of a load from the weight store, and of the run of a response: together they let 17 slots serve 17 adapters per second. */
const LOAD = 250
const RUN = 750
const ON_TIME = 550
const ABANDONED = 1_500
const REPEAT = 300
const STEP = 5

interface Waiting {
  readonly request: string
  readonly key: string
  readonly arrivedAt: number
}

interface Outcome {
  readonly onTime: number
  readonly late: number
  readonly longestWait: number
}

type LoadOrder = 'queue' | 'first come'

/** Simulates 30 s of requests on one engine; three in ten requests are for ten popular adapters, the others for one of a thousand. */
function simulate (order: LoadOrder, requestsPerSecond: number, seed: number): Outcome {
  const random = xoroshiro128plus(seed)
  const queue = new LoadQueue()
  const slots: { key: string, loadedAt: number, freeAt: number }[] = []
  let waiting: Waiting[] = []
  let [onTime, late, longestWait, count] = [0, 0, 0, 0]
  for (let now = 0; now < 30_000; now += STEP) {
    if (unsafeUniformIntDistribution(0, 999, random) < requestsPerSecond * STEP) {
      const popularity = unsafeUniformIntDistribution(0, 9, random)
      const key = popularity < 3 ? `often${unsafeUniformIntDistribution(0, 9, random)}` : `rare${unsafeUniformIntDistribution(0, 999, random)}`
      waiting.push({ request: String(count++), key, arrivedAt: now })
    }
    for (const slot of slots) {
      if (now < slot.loadedAt) continue
      for (const { key, arrivedAt } of waiting.filter((each) => each.key === slot.key)) {
        if (now - arrivedAt <= ON_TIME) onTime += 1
        else late += 1
        longestWait = Math.max(longestWait, now - arrivedAt)
        slot.freeAt = now + RUN
        queue.met(key)
      }
      waiting = waiting.filter((each) => each.key !== slot.key)
    }
    for (let index = slots.length - 1; index >= 0; index -= 1) if (now >= (slots[index]?.freeAt ?? 0)) slots.splice(index, 1)
    waiting = waiting.filter(({ arrivedAt }) => now - arrivedAt < ABANDONED)
    for (const { request, key, arrivedAt } of waiting) {
      if ((now - arrivedAt) % REPEAT < STEP) queue.requestLoad(key, 0, { request, onTimeMilliseconds: ON_TIME }, now)
    }
    queue.expire(now)
    const isLoaded = (key: string): boolean => slots.some((slot) => slot.key === key)
    while (slots.length < SLOTS) {
      const next = order === 'queue'
        ? queue.next(isLoaded, () => false, LOAD, now)?.key
        : waiting.find(({ key }) => !isLoaded(key))?.key
      if (next === undefined) break
      slots.push({ key: next, loadedAt: now + LOAD, freeAt: now + LOAD + RUN })
      queue.met(next)
    }
  }
  return { onTime, late, longestWait }
}

describe('many requests for adapters that are not loaded', () => {
  it.each([1, 2, 3])('get twice as many responses on time as with first come, first served, and no fewer in all (seed %i)', (seed) => {
    const [first, queued] = [simulate('first come', 30, seed), simulate('queue', 30, seed)]
    expect(queued.onTime).toBeGreaterThan(2 * first.onTime)
    expect(queued.onTime + queued.late).toBeGreaterThan(0.97 * (first.onTime + first.late))
  })

  it.each([1, 2, 3])('get as many responses on time as with first come, first served if the slots suffice (seed %i)', (seed) => {
    const [first, queued] = [simulate('first come', 12, seed), simulate('queue', 12, seed)]
    expect(queued.onTime).toBeGreaterThanOrEqual(0.99 * first.onTime)
  })
})
