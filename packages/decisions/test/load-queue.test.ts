import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { QueuePace, LoadQueue, QueuePosition } from '../src/index.js'

const none = (): boolean => false
const LOAD = 250

describe('load queue', () => {
  it('returns the adapter first whose load serves the most requests on time', () => {
    const queue = new LoadQueue()
    queue.requestLoad('one', 0, { request: 'a', onTimeMilliseconds: 600 }, 0)
    queue.requestLoad('two', 0, { request: 'b', onTimeMilliseconds: 600 }, 0)
    queue.requestLoad('two', 0, { request: 'c', onTimeMilliseconds: 600 }, 0)
    queue.requestLoad('late', 0, { request: 'd', onTimeMilliseconds: 100 }, 0)
    const order: (string | undefined)[] = []
    for (let turn = 0; turn < 4; turn += 1) {
      const next = queue.next(none, none, LOAD, 0)?.key
      order.push(next)
      if (next !== undefined) queue.met(next)
    }
    expect(order).toEqual(['two', 'one', 'late', undefined])
  })

  it('counts a request once if it repeats its load request', () => {
    const queue = new LoadQueue()
    for (let now = 0; now < 600; now += 300) queue.requestLoad('again', 0, { request: 'a', onTimeMilliseconds: 5_000 }, now)
    queue.requestLoad('both', 0, { request: 'b', onTimeMilliseconds: 5_000 }, 600)
    queue.requestLoad('both', 0, { request: 'c', onTimeMilliseconds: 5_000 }, 600)
    expect(queue.next(none, none, LOAD, 600)?.key).toBe('both')
  })

  it('prefers an adapter in the engine cache to one that serves as many requests', () => {
    const queue = new LoadQueue()
    queue.requestLoad('far', 0, { request: 'a', onTimeMilliseconds: 600 }, 0)
    queue.requestLoad('near', 0, { request: 'b', onTimeMilliseconds: 600 }, 0)
    expect(queue.next(none, (key) => key === 'near', LOAD, 0)?.key).toBe('near')
  })

  it('drops load requests that are not repeated, and loads another copy last', () => {
    const queue = new LoadQueue()
    queue.requestLoad('copy', 0, undefined, 0)
    queue.requestLoad('wanted', 0, { request: 'a', onTimeMilliseconds: -5_000 }, 0)
    const first = queue.next(none, none, LOAD, 0)?.key
    queue.expire(801)
    expect([first, queue.length]).toEqual(['wanted', 0])
  })

  // Guards against loading the adapter that was requested first when its requests have since been refused or served elsewhere. The load
  // would serve nobody and take a slot from a request that still waits.
  it('prefers an adapter that is still requested to one whose requests have left', () => {
    const queue = new LoadQueue()
    for (let now = 0; now <= 1_200; now += 300) for (const request of ['a', 'b']) queue.requestLoad('gone', 0, { request, onTimeMilliseconds: 600 }, now)
    queue.requestLoad('here', 0, { request: 'c', onTimeMilliseconds: -1_000 }, 1_700)
    const first = queue.next(none, (key) => key === 'gone', LOAD, 1_700)?.key
    queue.met('here')
    expect([first, queue.next(none, none, LOAD, 1_700)?.key]).toEqual(['here', 'gone'])
  })

  // Simulates 25 requests per second, each for another adapter, on an engine that loads 10 adapters per second. A request is refused
  // after a wait of 1.5 s, so most pending loads lose their request before their turn.
  it('loads hardly any adapter for requests that have left while many wait', () => {
    const queue = new LoadQueue()
    const waiting = new Map<string, number>()
    let [loads, unneeded] = [0, 0]
    for (let now = 0; now < 20_000; now += 20) {
      if (now % 40 === 0) waiting.set(`adapter ${now}`, now)
      for (const [key, arrivedAt] of waiting) {
        if (now - arrivedAt >= 1_500) waiting.delete(key)
        else if ((now - arrivedAt) % 300 === 0) queue.requestLoad(key, 0, { request: key, onTimeMilliseconds: 550 - (now - arrivedAt) }, now)
      }
      queue.expire(now)
      const next = now % 100 === 0 ? queue.next(none, none, LOAD, now) : undefined
      if (next === undefined) continue
      loads += 1
      if (!waiting.delete(next.key)) unneeded += 1
      queue.met(next.key)
    }
    expect(unneeded / loads).toBeLessThan(0.1)
  })

  it('passes over no adapter for ever, whatever else is requested', () => {
    fc.assert(fc.property(fc.array(fc.integer({ min: 1, max: 3 }), { minLength: 40, maxLength: 40 }), (arrivals) => {
      const queue = new LoadQueue()
      let served = false
      for (const [turn, count] of arrivals.entries()) {
        const now = turn * 300
        queue.requestLoad('old', 0, { request: 'old', onTimeMilliseconds: -1_000 }, now)
        for (let each = 0; each < count; each += 1) queue.requestLoad(`new${turn}`, 0, { request: `${turn}.${each}`, onTimeMilliseconds: 600 }, now)
        const next = queue.next(none, none, LOAD, now)
        if (next?.key === 'old') served = true
        if (next !== undefined) queue.met(next.key)
        queue.expire(now)
      }
      expect(served).toBe(true)
    }), { seed: 7, numRuns: 200 })
  })
})

describe('the forecast wait of a load queue', () => {
  it('grows with the length of the queue and with the time since the last load', () => {
    const pace = new QueuePace()
    pace.recordLength(4, 0)
    for (let now = 100; now <= 2_000; now += 100) pace.recordLoadStart(4, now)
    const steady = pace.waitMilliseconds(4, 2_000)
    expect(steady).toBeGreaterThan(350)
    expect(steady).toBeLessThan(450)
    expect(pace.waitMilliseconds(4, 3_000)).toBeGreaterThan(steady + 800)
    expect(pace.waitMilliseconds(0, 3_000)).toBe(0)
  })
})

describe('the queue position of a request', () => {
  it('moves to another queue at most once, however the queues change', () => {
    fc.assert(fc.property(fc.array(fc.array(fc.integer({ min: 0, max: 3_000 }), { minLength: 4, maxLength: 4 }), { maxLength: 20 }), (turns) => {
      const position = new QueuePosition()
      const chosen: number[] = []
      for (const [turn, costs] of turns.entries()) {
        const now = turn * 300
        const biased = costs.map((cost, engine) => cost + position.bias(`e${engine}`, now, now))
        const best = biased.indexOf(Math.min(...biased))
        position.join(`e${best}`, now)
        if (chosen.at(-1) !== best) chosen.push(best)
      }
      expect(chosen.length).toBeLessThanOrEqual(2)
    }), { seed: 3 })
  })

  it('moves when the load owner of the engine becomes unresponsive', () => {
    const position = new QueuePosition()
    position.join('silent', 1_000)
    expect(position.bias('silent', 990, 1_500)).toBeLessThan(0)
    expect(position.bias('silent', 990, 2_000)).toBeGreaterThan(0)
    expect(position.bias('silent', 1_500, 2_000)).toBeLessThan(0)
  })
})
