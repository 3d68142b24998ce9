import { describe, expect, it } from 'vitest'
import { PopularityLoadAhead, StallEvictionPolicy } from '@limpetwinch/decisions'
import type { SlotView } from '@limpetwinch/decisions'

function slot (adapter: string, rest: Partial<SlotView> = {}): SlotView {
  return { adapter, pins: 0, loadedAt: 0, lastUsedAt: 0, waiting: 0, otherCopies: 0, ...rest }
}

/** Uses an adapter at a steady pace. */
function use (policy: StallEvictionPolicy, adapter: string, from: number, until: number, every: number): void {
  for (let at = from; at < until; at += every) policy.recordUse(adapter, 'team', 100, at)
}

describe('expected-stall eviction', () => {
  // The top hundred change: callers of the new ones wait while the old ones hold their slots by what they once were.
  // Thirty expected uses that did not come say that the popularity has ended, long before a decayed count does.
  it('takes an adapter that fell silent before a seldom but steadily used one', () => {
    const policy = new StallEvictionPolicy()
    use(policy, 'was-popular', 0, 60_000, 500)
    use(policy, 'steady', 0, 90_000, 10_000)
    expect(policy.victim([slot('was-popular'), slot('steady')], 'new', 90_000)).toBe('was-popular')
  })

  it('keeps what came again a moment ago before what came once', () => {
    const policy = new StallEvictionPolicy()
    policy.recordUse('once', 'team', 100, 0)
    use(policy, 'again', 0, 4_000, 2_000)
    expect(policy.victim([slot('once'), slot('again')], 'new', 5_000)).toBe('once')
  })

  it('takes one that other engines hold too before an only copy', () => {
    const policy = new StallEvictionPolicy()
    use(policy, 'copied', 0, 10_000, 500)
    use(policy, 'single', 0, 10_000, 600)
    const slots = [slot('copied', { otherCopies: 2 }), slot('single')]
    expect(policy.victim(slots, 'new', 10_000)).toBe('copied')
  })

  it('finds no victim while all slots are pinned, and says what one would cost', () => {
    const policy = new StallEvictionPolicy()
    const pinned = [slot('a', { pins: 1 }), slot('b', { pins: 3 })]
    expect(policy.victim(pinned, 'new', 0)).toBeUndefined()
    expect(policy.cost(pinned, 0, 0)).toBeGreaterThanOrEqual(1)
    expect(policy.cost(pinned, 2, 0)).toBe(Infinity)
  })

  // The working set is larger than all slots: were an adapter evicted before its waiters ran, its load would have served
  // nobody, and the same adapters would be loaded for ever.
  it('lets a load serve its waiters before its slot goes to the next', () => {
    const policy = new StallEvictionPolicy({ minimumResidenceMilliseconds: 10_000 })
    const slots = [slot('fresh', { waiting: 1, loadedAt: 5_000 }), slot('served', { loadedAt: 6_000 })]
    use(policy, 'served', 0, 6_000, 100)
    expect(policy.victim(slots, 'new', 7_000)).toBe('served')
  })
})

describe('load ahead', () => {
  it('suggests the most used adapter that is held nowhere, and none that is hardly used', () => {
    const ahead = new PopularityLoadAhead({ minimumUsesPerMinute: 3 })
    for (let at = 0; at < 10_000; at += 500) ahead.recordUse('popular', at)
    for (let at = 0; at < 10_000; at += 2_000) ahead.recordUse('second', at)
    ahead.recordUse('rare', 9_000)
    expect(ahead.suggest(() => false, 10_000)).toBe('popular')
    expect(ahead.suggest((adapter) => adapter === 'popular', 10_000)).toBe('second')
    expect(ahead.suggest((adapter) => adapter !== 'rare', 10_000)).toBeUndefined()
  })
})
