import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { QueuePace, LoadQueue, QueuePosition } from '../src/index.js'

const nothing = (): boolean => false
const TRAVEL = 250

describe('the line of adapters that wait for a load', () => {
  it('puts the adapter first whose load serves more requests on time', () => {
    const line = new LoadQueue()
    line.requestLoad('one', 0, { request: 'a', onTimeMilliseconds: 600 }, 0)
    line.requestLoad('two', 0, { request: 'b', onTimeMilliseconds: 600 }, 0)
    line.requestLoad('two', 0, { request: 'c', onTimeMilliseconds: 600 }, 0)
    line.requestLoad('late', 0, { request: 'd', onTimeMilliseconds: 100 }, 0)
    const order: (string | undefined)[] = []
    for (let turn = 0; turn < 4; turn += 1) {
      const next = line.next(nothing, nothing, TRAVEL, 0)?.key
      order.push(next)
      if (next !== undefined) line.met(next)
    }
    expect(order).toEqual(['two', 'one', 'late', undefined])
  })

  it('counts a request that asks again once', () => {
    const line = new LoadQueue()
    for (let now = 0; now < 600; now += 300) line.requestLoad('again', 0, { request: 'a', onTimeMilliseconds: 5_000 }, now)
    line.requestLoad('both', 0, { request: 'b', onTimeMilliseconds: 5_000 }, 600)
    line.requestLoad('both', 0, { request: 'c', onTimeMilliseconds: 5_000 }, 600)
    expect(line.next(nothing, nothing, TRAVEL, 600)?.key).toBe('both')
  })

  it('takes what the engine caches before a load of equal use', () => {
    const line = new LoadQueue()
    line.requestLoad('far', 0, { request: 'a', onTimeMilliseconds: 600 }, 0)
    line.requestLoad('near', 0, { request: 'b', onTimeMilliseconds: 600 }, 0)
    expect(line.next(nothing, (key) => key === 'near', TRAVEL, 0)?.key).toBe('near')
  })

  it('drops what nobody asks for any more, and serves a further copy last', () => {
    const line = new LoadQueue()
    line.requestLoad('copy', 0, undefined, 0)
    line.requestLoad('wanted', 0, { request: 'a', onTimeMilliseconds: -5_000 }, 0)
    const first = line.next(nothing, nothing, TRAVEL, 0)?.key
    line.expire(801)
    expect([first, line.length]).toEqual(['wanted', 0])
  })

  // A request that was refused, or served elsewhere, has the oldest want of the line. Loaded, it serves nobody; the slot would have
  // served one that still waits.
  it('takes what somebody still asks for before what was asked for by requests that are gone', () => {
    const line = new LoadQueue()
    for (let now = 0; now <= 1_200; now += 300) for (const request of ['a', 'b']) line.requestLoad('gone', 0, { request, onTimeMilliseconds: 600 }, now)
    line.requestLoad('here', 0, { request: 'c', onTimeMilliseconds: -1_000 }, 1_700)
    const first = line.next(nothing, (key) => key === 'gone', TRAVEL, 1_700)?.key
    line.met('here')
    expect([first, line.next(nothing, nothing, TRAVEL, 1_700)?.key]).toEqual(['here', 'gone'])
  })

  // Twenty-five requests a second for as many adapters, before an engine that loads ten of them; who has waited for 1.5 s is refused.
  it('loads hardly anything for requests that are gone while a crowd waits', () => {
    const line = new LoadQueue()
    const waiting = new Map<string, number>()
    let [loads, forNobody] = [0, 0]
    for (let now = 0; now < 20_000; now += 20) {
      if (now % 40 === 0) waiting.set(`adapter ${now}`, now)
      for (const [key, cameAt] of waiting) {
        if (now - cameAt >= 1_500) waiting.delete(key)
        else if ((now - cameAt) % 300 === 0) line.requestLoad(key, 0, { request: key, onTimeMilliseconds: 550 - (now - cameAt) }, now)
      }
      line.expire(now)
      const next = now % 100 === 0 ? line.next(nothing, nothing, TRAVEL, now) : undefined
      if (next === undefined) continue
      loads += 1
      if (!waiting.delete(next.key)) forNobody += 1
      line.met(next.key)
    }
    expect(forNobody / loads).toBeLessThan(0.1)
  })

  it('passes over no adapter for ever, whatever else is asked for', () => {
    fc.assert(fc.property(fc.array(fc.integer({ min: 1, max: 3 }), { minLength: 40, maxLength: 40 }), (crowds) => {
      const line = new LoadQueue()
      let served = false
      for (const [turn, crowd] of crowds.entries()) {
        const now = turn * 300
        line.requestLoad('old', 0, { request: 'old', onTimeMilliseconds: -1_000 }, now)
        for (let each = 0; each < crowd; each += 1) line.requestLoad(`new${turn}`, 0, { request: `${turn}.${each}`, onTimeMilliseconds: 600 }, now)
        const next = line.next(nothing, nothing, TRAVEL, now)
        if (next?.key === 'old') served = true
        if (next !== undefined) line.met(next.key)
        line.expire(now)
      }
      expect(served).toBe(true)
    }), { seed: 7, numRuns: 200 })
  })
})

describe('the forecast of a line', () => {
  it('grows with the line and with the time that it stands still', () => {
    const pace = new QueuePace()
    pace.recordLength(4, 0)
    for (let now = 100; now <= 2_000; now += 100) pace.recordLoadStart(4, now)
    const moving = pace.waitMilliseconds(4, 2_000)
    expect(moving).toBeGreaterThan(350)
    expect(moving).toBeLessThan(450)
    expect(pace.waitMilliseconds(4, 3_000)).toBeGreaterThan(moving + 800)
    expect(pace.waitMilliseconds(0, 3_000)).toBe(0)
  })
})

describe('the place of a request', () => {
  it('is left once at most, whatever the lines of engines do', () => {
    fc.assert(fc.property(fc.array(fc.array(fc.integer({ min: 0, max: 3_000 }), { minLength: 4, maxLength: 4 }), { maxLength: 20 }), (looks) => {
      const place = new QueuePosition()
      const chosen: number[] = []
      for (const [turn, costs] of looks.entries()) {
        const now = turn * 300
        const biased = costs.map((cost, engine) => cost + place.bias(`e${engine}`, now, now))
        const best = biased.indexOf(Math.min(...biased))
        place.join(`e${best}`, now)
        if (chosen.at(-1) !== best) chosen.push(best)
      }
      expect(chosen.length).toBeLessThanOrEqual(2)
    }), { seed: 3 })
  })

  it('is left when nobody speaks for the engine any more', () => {
    const place = new QueuePosition()
    place.join('silent', 1_000)
    expect(place.bias('silent', 990, 1_500)).toBeLessThan(0)
    expect(place.bias('silent', 990, 2_000)).toBeGreaterThan(0)
    expect(place.bias('silent', 1_500, 2_000)).toBeLessThan(0)
  })
})
