import { describe, expect, it } from 'vitest'
import { OverloadGuard, VirtualTimeFairQueue } from '@limpetwinch/decisions'
import type { QueuedRequest } from '@limpetwinch/decisions'

const QUICK = { firstTokenMilliseconds: 100, serviceMilliseconds: 100 }

function request (requestId: string, team: string, rest: Partial<QueuedRequest> = {}): QueuedRequest {
  return { requestId, team, priority: 5, adapter: undefined, cost: 100, enqueuedAt: 0, deadlineAt: 60_000, ...rest }
}

describe('overload guard', () => {
  // Guards against queueing a request until its deadline although it cannot be met. The request would take the position of one that
  // can be served, and its caller would learn too late to retry.
  it('refuses a request that cannot meet its deadline at once, with a retry time', () => {
    const guard = new OverloadGuard()
    const forecast = { firstTokenMilliseconds: 20_000, serviceMilliseconds: 4_000 }
    const refusal = guard.admit(request('a', 'team', { deadlineAt: 10_000 }), new VirtualTimeFairQueue(), forecast, 0)
    expect(refusal).toEqual({ admitted: false, reason: 'deadline cannot be met', expectedMilliseconds: 24_000, retryAfterSeconds: 14 })
  })

  it('removes a queued request as soon as it can no longer meet its deadline', () => {
    const guard = new OverloadGuard()
    const queue = new VirtualTimeFairQueue<QueuedRequest>()
    queue.push(request('late', 'team', { deadlineAt: 5_000 }))
    queue.push(request('early', 'team'))
    const expired = guard.expire(queue, () => ({ firstTokenMilliseconds: 0, serviceMilliseconds: 4_000 }), 1_500)
    expect(expired.map(({ item }) => item.requestId)).toEqual(['late'])
    expect(expired[0]?.refusal.retryAfterSeconds).toBeGreaterThanOrEqual(1)
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

  it('never queues more than its maximum, and refuses a request that outranks no queued one', () => {
    const guard = new OverloadGuard<QueuedRequest>({ maximumQueued: 2 })
    const queue = new VirtualTimeFairQueue<QueuedRequest>()
    queue.push(request('one', 'a'))
    queue.push(request('two', 'a'))
    expect(guard.admit(request('three', 'a'), queue, QUICK, 0)).toMatchObject({ admitted: false, reason: 'queue full' })
    expect(queue.size).toBe(2)
  })
})

describe('priorities', () => {
  it('order the requests of a team, and waiting raises them', () => {
    const queue = new VirtualTimeFairQueue<QueuedRequest>({ agingMilliseconds: 1_000 })
    queue.push(request('old-low', 'a', { priority: 3, enqueuedAt: 0 }))
    queue.push(request('new-high', 'a', { priority: 5, enqueuedAt: 1_000 }))
    queue.push(request('newer-high', 'a', { priority: 5, enqueuedAt: 2_500 }))
    const order = Array.from({ length: 3 }, () => queue.next(() => true, 3_000)?.requestId)
    expect(order).toEqual(['new-high', 'old-low', 'newer-high'])
  })

  it('let a team be served first, but give it no more than its share in the long run', () => {
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
