import { describe, expect, it } from 'vitest'
import { OverloadGuard, VirtualTimeFairQueue } from '@limpetwinch/decisions'
import type { QueuedRequest } from '@limpetwinch/decisions'

const QUICK = { firstTokenMilliseconds: 100, serviceMilliseconds: 100 }

function request (requestId: string, team: string, rest: Partial<QueuedRequest> = {}): QueuedRequest {
  return { requestId, team, priority: 5, adapter: undefined, cost: 100, enqueuedAt: 0, deadlineAt: 60_000, ...rest }
}

describe('overload guard', () => {
  // The caller learns at once that its deadline cannot be met, and when to come back. Held until near its deadline, the
  // request would keep a place from one that can be served.
  it('refuses what cannot make its deadline at once and says when to come back', () => {
    const guard = new OverloadGuard()
    const forecast = { firstTokenMilliseconds: 20_000, serviceMilliseconds: 4_000 }
    const refusal = guard.admit(request('a', 'team', { deadlineAt: 10_000 }), new VirtualTimeFairQueue(), forecast, 0)
    expect(refusal).toEqual({ admitted: false, reason: 'deadline cannot be met', expectedMilliseconds: 24_000, retryAfterSeconds: 14 })
  })

  it('hands out what can no longer make its deadline as soon as that is known', () => {
    const guard = new OverloadGuard()
    const queue = new VirtualTimeFairQueue<QueuedRequest>()
    queue.push(request('late', 'team', { deadlineAt: 5_000 }))
    queue.push(request('early', 'team'))
    const given = guard.expire(queue, () => ({ firstTokenMilliseconds: 0, serviceMilliseconds: 4_000 }), 1_500)
    expect(given.map(({ item }) => item.requestId)).toEqual(['late'])
    expect(given[0]?.refusal.retryAfterSeconds).toBeGreaterThanOrEqual(1)
    expect(queue.size).toBe(1)
  })

  it('sheds the lowest priority first, then the team furthest over its share', () => {
    const guard = new OverloadGuard<QueuedRequest>({ maximumQueued: 3 })
    const queue = new VirtualTimeFairQueue<QueuedRequest>()
    queue.push(request('low', 'a', { priority: 1 }))
    queue.push(request('greedy', 'b'))
    queue.push(request('modest', 'c'))
    queue.charge('b', 5_000)
    queue.charge('c', 100)
    const first = guard.admit(request('new-1', 'd'), queue, QUICK, 0)
    expect(first).toMatchObject({ admitted: true, shed: { item: { requestId: 'low' } } })
    queue.push(request('new-1', 'd'))
    const second = guard.admit(request('new-2', 'd'), queue, QUICK, 0)
    expect(second).toMatchObject({ admitted: true, shed: { item: { requestId: 'greedy' } } })
  })

  it('never holds more than its bound, and refuses what is worth no place', () => {
    const guard = new OverloadGuard<QueuedRequest>({ maximumQueued: 2 })
    const queue = new VirtualTimeFairQueue<QueuedRequest>()
    queue.push(request('one', 'a'))
    queue.push(request('two', 'a'))
    expect(guard.admit(request('three', 'a'), queue, QUICK, 0)).toMatchObject({ admitted: false, reason: 'queue full' })
    expect(queue.size).toBe(2)
  })
})

describe('priorities', () => {
  it('put a request first within its team, and age lifts the others', () => {
    const queue = new VirtualTimeFairQueue<QueuedRequest>({ agingMilliseconds: 1_000 })
    queue.push(request('old-low', 'a', { priority: 3, enqueuedAt: 0 }))
    queue.push(request('new-high', 'a', { priority: 5, enqueuedAt: 1_000 }))
    queue.push(request('newer-high', 'a', { priority: 5, enqueuedAt: 2_500 }))
    const order = Array.from({ length: 3 }, () => queue.next(() => true, 3_000)?.requestId)
    expect(order).toEqual(['new-high', 'old-low', 'newer-high'])
  })

  it('let a team go first, but give it no more than its share in the long run', () => {
    const queue = new VirtualTimeFairQueue<QueuedRequest>({ tokensPerPriorityLevel: 200 })
    for (let index = 0; index < 200; index++) {
      queue.push(request(`high-${index}`, 'high', { priority: 9 }))
      queue.push(request(`low-${index}`, 'low', { priority: 1 }))
    }
    const order = Array.from({ length: 200 }, () => queue.next(() => true, 0)?.team)
    expect(order.slice(0, 10)).toEqual(Array.from({ length: 10 }, () => 'high'))
    expect(order.filter((team) => team === 'low').length).toBeGreaterThanOrEqual(90)
  })
})
