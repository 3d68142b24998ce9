import { describe, expect, it } from 'vitest'
import type { DataCentreId, EndpointId } from '@limpetwinch/core'
import { WeightedRoutingPolicy } from '@limpetwinch/decisions'
import type { EndpointView, RoutingRequest } from '@limpetwinch/decisions'

type HeldState = ReturnType<EndpointView['holds']>

function view (name: string, rest: Partial<EndpointView> & { readonly held?: HeldState } = {}): EndpointView {
  const { held = 'absent', ...overrides } = rest
  return {
    endpoint: name as EndpointId,
    dataCentre: 'here' as DataCentreId,
    oneWayMilliseconds: 0,
    baseModel: 'base',
    role: 'generate',
    queued: 0,
    running: 0,
    sentSinceReport: 0,
    slots: 8,
    pinnedSlots: 0,
    batchCapacity: 16,
    leaving: false,
    pendingLoads: 0,
    holds: () => held,
    cachedShare: () => 0,
    evictionCost: () => 0,
    ...overrides
  }
}

const request: RoutingRequest = {
  adapter: 'team/adapter@1',
  team: 'team',
  baseModel: 'base',
  prompt: 'text',
  promptTokens: 1_000,
  maximumTokens: 100,
  priority: 5,
  avoid: new Set()
}

function choose (views: readonly EndpointView[], overrides: Partial<RoutingRequest> = {}, policy = new WeightedRoutingPolicy()): string | undefined {
  return policy.choose({ ...request, ...overrides }, views, 0)
}

describe('weighted routing', () => {
  it('never chooses a leaving endpoint or one of another base model or role', () => {
    const none = [view('a', { leaving: true }), view('b', { baseModel: 'other' }), view('c', { role: 'embed' })]
    expect(choose(none)).toBeUndefined()
    expect(choose([...none, view('d', { queued: 400 })])).toBe('d')
  })

  it('prefers a loaded adapter to an idle engine, and an idle engine to a long queue', () => {
    expect(choose([view('idle'), view('holder', { held: 'loaded', running: 10 })])).toBe('holder')
    expect(choose([view('idle'), view('holder', { held: 'loaded', running: 16, queued: 64 })])).toBe('idle')
  })

  it('requests no copy of an adapter with a queue while the load would take longer', () => {
    expect(choose([view('idle', { pendingLoads: 60 }), view('holder', { held: 'loaded', running: 16, queued: 32 })])).toBe('holder')
    // The copy alone would be ready a little sooner, but would delay every load behind it.
    expect(choose([view('idle', { pendingLoads: 6 }), view('holder', { held: 'loaded', running: 16, queued: 16 })])).toBe('holder')
  })

  it('prefers a load in progress to another load', () => {
    expect(choose([view('a'), view('b', { held: 'loading', pendingLoads: 1 })])).toBe('b')
  })

  it('counts requests sent since the latest report', () => {
    const sent = { held: 'loaded', running: 15, sentSinceReport: 20 } as const
    const unsent = { held: 'loaded', running: 15 } as const
    expect(choose([view('a', sent), view('b', unsent)])).toBe('b')
    expect(choose([view('a', unsent), view('b', sent)])).toBe('a')
  })

  it('chooses the engine whose eviction stalls the fewest requests', () => {
    expect(choose([view('a', { evictionCost: () => 2 }), view('b', { evictionCost: () => 0.1 })])).toBe('b')
  })

  it('prefers a cached prefix and a near engine if all else is equal', () => {
    expect(choose([view('a', { held: 'loaded' }), view('b', { held: 'loaded', cachedShare: () => 0.9 })])).toBe('b')
    expect(choose([view('a', { held: 'loaded', oneWayMilliseconds: 40 }), view('b', { held: 'loaded' })])).toBe('b')
  })

  it('fills a batch or spreads requests according to the batch efficiency weight', () => {
    const views = [view('empty', { held: 'loaded' }), view('half', { held: 'loaded', running: 8 })]
    expect(choose(views, {}, new WeightedRoutingPolicy({ batchEfficiencyWeight: 1 }))).toBe('half')
    expect(choose(views, {}, new WeightedRoutingPolicy({ batchEfficiencyWeight: 0 }))).toBe('empty')
  })

  it('ignores the queue of another team that floods the engine', () => {
    const flooded = view('a', { held: 'loaded', running: 12, queued: 200, queuedBefore: () => 1 })
    expect(choose([flooded, view('b', { pendingLoads: 8 })])).toBe('a')
  })

  it('avoids an endpoint where the request failed, unless no other is left', () => {
    const avoid = new Set(['a' as EndpointId])
    expect(choose([view('a', { held: 'loaded' }), view('b')], { avoid })).toBe('b')
    expect(choose([view('a', { held: 'loaded' })], { avoid })).toBe('a')
  })

  it('ejects a failing endpoint and penalises it after its return', () => {
    const policy = new WeightedRoutingPolicy({ ejection: { ejectionMilliseconds: 1_000, recoveryMilliseconds: 10_000 } })
    const views = [view('a', { held: 'loaded' }), view('b', { held: 'loaded', running: 16, queued: 2 })]
    const chooseAt = (now: number, queued: number) =>
      policy.choose(request, [view('a', { held: 'loaded' }), view('b', { held: 'loaded', running: 16, queued })], now)
    for (let count = 0; count < 3; count++) policy.observe('a' as EndpointId, 'failed', 0)
    expect(policy.choose(request, views, 500)).toBe('b')
    expect(chooseAt(1_500, 2)).toBe('b')
    expect(chooseAt(1_500, 60)).toBe('a')
    expect(chooseAt(12_000, 2)).toBe('a')
  })
})
