// Guards against service by chance, under this load: requests of teams and priorities compete for the adapter slots of one engine.
import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { LoadQueue, QuotaLedger, QueuePace } from '../src/index.js'
import type { WaitingRequestFacts } from '../src/index.js'

const none = (): boolean => false
const LOAD = 250

function orderOf (queue: LoadQueue, now: number): string[] {
  const order: string[] = []
  for (let next = queue.next(none, none, LOAD, now)?.key; next !== undefined; next = queue.next(none, none, LOAD, now)?.key) {
    order.push(next)
    queue.met(next)
  }
  return order
}

/** Asks for an adapter for some requests. */
function ask (queue: LoadQueue, key: string, requests: number, facts: Partial<WaitingRequestFacts>, now = 0): void {
  for (let index = 0; index < requests; index += 1) queue.requestLoad(key, 0, { request: `${key} ${index}`, onTimeMilliseconds: 1_000, ...facts }, now)
}

describe('urgent requests beside less urgent ones', () => {
  it('loads for the urgent ones first, however many of the others one load would serve', () => {
    const queue = new LoadQueue()
    ask(queue, 'many', 9, { priority: 2 })
    ask(queue, 'some', 3, { priority: 1 })
    ask(queue, 'urgent', 1, { priority: 0 })
    expect(orderOf(queue, 0)).toEqual(['urgent', 'some', 'many'])
  })

  it('counts an adapter by its most urgent request', () => {
    const queue = new LoadQueue()
    ask(queue, 'both', 1, { priority: 2 })
    queue.requestLoad('both', 0, { request: 'urgent', onTimeMilliseconds: 1_000, priority: 0 }, 0)
    ask(queue, 'middle', 2, { priority: 1 })
    expect(orderOf(queue, 0)).toEqual(['both', 'middle'])
  })

  it('forecasts longer waits for less urgent loads while more urgent ones keep coming', () => {
    const pace = new QueuePace()
    const before = pace.waitsByPriority([1, 0, 1], 2, 0)
    for (let load = 0; load < 8; load += 1) pace.recordLoadStart(0, 0, load % 2 === 0 ? 0 : 2)
    const after = pace.waitsByPriority([1, 0, 1], 2, 0)
    expect([after[0], (after[2] ?? 0) > 1.2 * (before[2] ?? 0)]).toEqual([before[0], true])
  })

  it('forecasts the wait of each priority behind the loads that go before it', () => {
    const queue = new LoadQueue()
    ask(queue, 'a', 1, { priority: 0 })
    ask(queue, 'b', 1, { priority: 2 })
    ask(queue, 'c', 1, { priority: 2 })
    const pace = new QueuePace()
    pace.recordLength(queue.length, 0)
    expect(pace.waitsByPriority(queue.lengthsByPriority(0), queue.length, 0)).toEqual([80, 80, 160])
  })
})

describe('one team that floods beside fifteen small ones', () => {
  it('loads for the small teams first', () => {
    const queue = new LoadQueue()
    for (let adapter = 0; adapter < 15; adapter += 1) ask(queue, `flood ${adapter}`, 4, { shareUsed: 6 })
    for (let team = 0; team < 15; team += 1) ask(queue, `small ${team}`, 1, { shareUsed: 0.4 })
    expect(orderOf(queue, 0).slice(0, 15).every((key) => key.startsWith('small'))).toBe(true)
  })

  it('is told by the use of its quota over all instances, which fades', () => {
    const [flood, small] = [0, 0].map(() => new QuotaLedger({ tokensPerSecond: 1_000, capacity: 10_000 }, 0)) as [QuotaLedger, QuotaLedger]
    for (let now = 0; now < 6_000; now += 100) flood.answer(`instance ${now / 100 % 10}`, { held: 0, returned: 0, needs: [400], wanted: 0 }, now)
    small.answer('instance 1', { held: 0, returned: 0, needs: [400], wanted: 0 }, 5_900)
    expect([flood.usedShare(6_000), small.usedShare(6_000), flood.usedShare(30_000)].map((share) => Math.round(share * 10) / 10)).toMatchInlineSnapshot(`
      [
        0.8,
        0.1,
        0,
      ]
    `)
  })

  it('does not let the share outweigh urgency, nor small differences the number of requests that a load serves', () => {
    const queue = new LoadQueue()
    ask(queue, 'nearly fair', 3, { shareUsed: 1.2 })
    ask(queue, 'fair', 1, { shareUsed: 1 })
    ask(queue, 'urgent flood', 1, { priority: 0, shareUsed: 9 })
    ask(queue, 'less urgent', 1, { priority: 1, shareUsed: 0.1 })
    expect(orderOf(queue, 0)).toEqual(['nearly fair', 'fair', 'urgent flood', 'less urgent'])
  })
})

describe('callers who return as told', () => {
  it('find their adapter first in line, ahead of new requests that are as urgent', () => {
    const queue = new LoadQueue()
    ask(queue, 'kept', 1, { priority: 1, returnsInMilliseconds: 1_500 })
    queue.expire(1_600)
    ask(queue, 'new', 1, { priority: 1 }, 1_600)
    queue.requestLoad('kept', 0, { request: 'returned', onTimeMilliseconds: 1_000, priority: 1 }, 1_600)
    expect(orderOf(queue, 1_600)).toEqual(['kept', 'new'])
  })

  // A load for a caller that is not there takes a slot that others need in the meantime.
  it('take no room from others before they return, nor when they do not come', () => {
    const early = new LoadQueue()
    ask(early, 'kept', 1, { returnsInMilliseconds: 1_500 })
    ask(early, 'waits', 1, { priority: 2 })
    const late = new LoadQueue()
    ask(late, 'kept', 1, { returnsInMilliseconds: 1_500 })
    late.expire(2_400)
    expect([orderOf(early, 0), late.length]).toEqual([['waits', 'kept'], 0])
  })
})

describe('requests of equal priority without teams', () => {
  it('are loaded in the order of their weights alone', () => {
    const asks = fc.array(fc.record({ key: fc.constantFrom('a', 'b', 'c', 'd'), request: fc.nat(9), onTimeMilliseconds: fc.integer({ min: -2_000, max: 2_000 }), at: fc.nat(700) }), { maxLength: 30 })
    fc.assert(fc.property(asks, fc.nat(4), (requests, priority) => {
      const [plain, stated] = [new LoadQueue(), new LoadQueue()]
      for (const { key, request, onTimeMilliseconds, at } of requests.toSorted((one, other) => one.at - other.at)) {
        plain.requestLoad(key, 0, { request: `${request}`, onTimeMilliseconds }, at)
        stated.requestLoad(key, 0, { request: `${request}`, onTimeMilliseconds, priority, shareUsed: 1 }, at)
      }
      expect(orderOf(stated, 700)).toEqual(orderOf(plain, 700))
    }))
  })

  it('are all loaded in the end, whatever their size and number', () => {
    const queue = new LoadQueue()
    ask(queue, 'rare', 1, { onTimeMilliseconds: -500 })
    let loaded: string | undefined
    let waited = 0
    for (; loaded !== 'rare' && waited < 10_000; waited += 300) {
      ask(queue, 'rare', 1, { onTimeMilliseconds: -500 }, waited)
      ask(queue, `new ${waited}`, 1, {}, waited)
      loaded = queue.next(none, none, LOAD, waited)?.key
      queue.met(loaded ?? '')
    }
    expect(waited).toBeLessThan(3_000)
  })
})
