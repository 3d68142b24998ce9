import { describe, expect, it } from 'vitest'
import { PopularityLoadAhead, StallEvictionPolicy } from '@limpetwinch/decisions'
import type { SlotView } from '@limpetwinch/decisions'

function slot (adapter: string, rest: Partial<SlotView> = {}): SlotView {
  return { adapter, pins: 0, loadedAt: 0, lastUsedAt: 0, waiting: 0, otherCopies: 0, ...rest }
}

/** Records uses of an adapter at a constant interval. */
function use (policy: StallEvictionPolicy, adapter: string, from: number, until: number, every: number): void {
  for (let at = from; at < until; at += every) policy.recordUse(adapter, 'team', 100, at)
}

describe('expected-stall eviction', () => {
  // When the popular adapters change, requests for the new ones must not wait while the old ones keep their slots through their
  // decayed counts. Many expected uses that did not happen show much earlier than the count that an adapter is out of use.
  it('evicts a formerly popular adapter before one that is used rarely but steadily', () => {
    const policy = new StallEvictionPolicy()
    use(policy, 'was-popular', 0, 60_000, 500)
    use(policy, 'steady', 0, 90_000, 10_000)
    expect(policy.victim([slot('was-popular'), slot('steady')], 'new', 90_000)).toBe('was-popular')
  })

  it('keeps an adapter that was used repeatedly and evicts one that was used once', () => {
    const policy = new StallEvictionPolicy()
    policy.recordUse('once', 'team', 100, 0)
    use(policy, 'again', 0, 4_000, 2_000)
    expect(policy.victim([slot('once'), slot('again')], 'new', 5_000)).toBe('once')
  })

  it('evicts an adapter with copies on other engines before an only copy', () => {
    const policy = new StallEvictionPolicy()
    use(policy, 'copied', 0, 10_000, 500)
    use(policy, 'single', 0, 10_000, 600)
    const slots = [slot('copied', { otherCopies: 2 }), slot('single')]
    expect(policy.victim(slots, 'new', 10_000)).toBe('copied')
  })

  it('finds no victim while all slots are pinned, and reports the cost of a slot', () => {
    const policy = new StallEvictionPolicy()
    const pinned = [slot('a', { pins: 1 }), slot('b', { pins: 3 })]
    expect(policy.victim(pinned, 'new', 0)).toBeUndefined()
    expect(policy.cost(pinned, 0, 0)).toBeGreaterThanOrEqual(1)
    expect(policy.cost(pinned, 2, 0)).toBe(Infinity)
  })

  // Guards against thrashing when the working set is larger than all slots: if an adapter is evicted before its waiting requests
  // run, its load serves nobody, and the same adapters are loaded again and again.
  it('keeps a loaded adapter until its waiting requests are served', () => {
    const policy = new StallEvictionPolicy({ minimumResidenceMilliseconds: 10_000 })
    const slots = [slot('fresh', { waiting: 1, loadedAt: 5_000 }), slot('served', { loadedAt: 6_000 })]
    use(policy, 'served', 0, 6_000, 100)
    expect(policy.victim(slots, 'new', 7_000)).toBe('served')
  })
})

describe('load ahead', () => {
  it('suggests the most used adapter that is on no engine, and none that is rarely used', () => {
    const ahead = new PopularityLoadAhead({ minimumUsesPerMinute: 3 })
    for (let at = 0; at < 10_000; at += 500) ahead.recordUse('popular', at)
    for (let at = 0; at < 10_000; at += 2_000) ahead.recordUse('second', at)
    ahead.recordUse('rare', 9_000)
    expect(ahead.suggest(() => false, 10_000)).toBe('popular')
    expect(ahead.suggest((adapter) => adapter === 'popular', 10_000)).toBe('second')
    expect(ahead.suggest((adapter) => adapter !== 'rare', 10_000)).toBeUndefined()
  })
})
