import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import type { EndpointId } from '@limpetwinch/core'
import { OutlierEjection, ShareRetryBudget, StallEvictionPolicy, TokenBucketTeamLimiter, VirtualTimeFairQueue } from '@limpetwinch/decisions'
import type { QueuedRequest, SlotView } from '@limpetwinch/decisions'

const SEED = 20_260
const settings = { seed: SEED, numRuns: 200 }

function request (team: string, number: number, cost: number, enqueuedAt = 0): QueuedRequest {
  return { requestId: `${team}-${number}`, team, priority: 5, adapter: undefined, cost, enqueuedAt, deadlineAt: 1e9 }
}

/** Queues enough requests that every team stays backlogged, and serves some. @returns the tokens that each team received */
function serveBacklog (weights: readonly number[], costs: readonly number[], rounds: number): number[] {
  const queue = new VirtualTimeFairQueue<QueuedRequest>()
  const served = weights.map(() => 0)
  weights.forEach((weight, team) => queue.setWeight(`team${team}`, weight))
  let number = 0
  weights.forEach((_, team) => {
    for (let index = 0; index < rounds; index++) queue.push(request(`team${team}`, number++, costs[index % costs.length] ?? 1))
  })
  for (let round = 0; round < rounds; round++) {
    const item = queue.next(() => true, 0)
    if (item === undefined) break
    const team = Number(item.team.slice(4))
    served[team] = (served[team] ?? 0) + item.cost
  }
  return served
}

describe('eviction', () => {
  it('never evicts a pinned adapter, one just loaded that requests wait for, or the incoming one', () => {
    const slot = fc.record({
      adapter: fc.constantFrom('a', 'b', 'c', 'd', 'e'),
      pins: fc.nat(2),
      loadedAt: fc.nat(1000),
      lastUsedAt: fc.nat(1000),
      waiting: fc.nat(2),
      otherCopies: fc.nat(3)
    })
    const slotLists = fc.uniqueArray(slot, { selector: (view) => view.adapter, maxLength: 5 })
    fc.assert(fc.property(slotLists, fc.array(fc.constantFrom('a', 'b', 'c', 'd', 'e')), (slots: SlotView[], uses) => {
      const policy = new StallEvictionPolicy({ minimumResidenceMilliseconds: 500 })
      uses.forEach((adapter, index) => policy.recordUse(adapter, 'team', 1, index))
      const victim = policy.victim(slots, 'a', 1000)
      const free = slots.filter((view) => view.pins === 0 && (view.waiting === 0 || view.loadedAt <= 500) && view.adapter !== 'a')
      if (free.length === 0) expect(victim).toBeUndefined()
      else expect(free.map((view) => view.adapter)).toContain(victim)
    }), settings)
  })
})

describe('fair queue', () => {
  it('keeps backlogged teams within two requests of their weighted shares', () => {
    const weights = fc.array(fc.integer({ min: 1, max: 8 }), { minLength: 2, maxLength: 6 })
    const costs = fc.array(fc.integer({ min: 1, max: 200 }), { minLength: 1, maxLength: 20 })
    fc.assert(fc.property(weights, costs, (teamWeights, teamCosts) => {
      const served = serveBacklog(teamWeights, teamCosts, 300)
      const times = served.map((tokens, team) => tokens / (teamWeights[team] ?? 1))
      expect(Math.max(...times) - Math.min(...times)).toBeLessThanOrEqual(2 * Math.max(...teamCosts))
    }), settings)
  })

  it('gives no credit for idling', () => {
    fc.assert(fc.property(fc.integer({ min: 1, max: 200 }), fc.integer({ min: 1, max: 50 }), (rounds, cost) => {
      const queue = new VirtualTimeFairQueue<QueuedRequest>()
      for (let index = 0; index < rounds + 100; index++) queue.push(request('busy', index, cost))
      for (let index = 0; index < rounds; index++) queue.next(() => true, 0)
      for (let index = 0; index < 100; index++) queue.push(request('idle', index, cost))
      const next = Array.from({ length: 20 }, () => queue.next(() => true, 0)?.team)
      const ofIdle = next.filter((team) => team === 'idle').length
      expect(ofIdle).toBeGreaterThanOrEqual(9)
      expect(ofIdle).toBeLessThanOrEqual(11)
    }), settings)
  })
})

describe('retry budget', () => {
  it('allows at most the share of first attempts plus the minimum in any window', () => {
    const events = fc.array(fc.record({ after: fc.nat(300), retry: fc.boolean() }), { maxLength: 200 })
    fc.assert(fc.property(events, (list) => {
      const budget = new ShareRetryBudget({ share: 0.2, minimumRetries: 2, windowMilliseconds: 1000 })
      const attempts: number[] = []
      const retries: number[] = []
      let now = 0
      for (const { after, retry } of list) {
        now += after
        if (!retry) {
          budget.deposit(now)
          attempts.push(now)
        } else if (budget.withdraw(now)) retries.push(now)
        const within = (at: number) => at > now - 1000
        const allowed = 2 + 0.2 * attempts.filter(within).length
        expect(retries.filter(within).length).toBeLessThanOrEqual(allowed + 1e-9)
      }
    }), settings)
  })
})

describe('outlier ejection', () => {
  it('keeps the minimum share usable however many endpoints fail', () => {
    const endpoints = Array.from({ length: 9 }, (_, index) => ({ endpoint: `e${index}` as EndpointId }))
    const failures = fc.array(fc.record({ endpoint: fc.nat(8), after: fc.nat(500) }), { maxLength: 100 })
    fc.assert(fc.property(failures, fc.integer({ min: 1, max: 10 }), (list, tenths) => {
      const ejection = new OutlierEjection({ minimumUsableShare: tenths / 10 })
      let now = 0
      for (const failure of list) {
        now += failure.after
        ejection.observe(`e${failure.endpoint}` as EndpointId, 'failed', now)
        expect(ejection.usable(endpoints, now).length).toBeGreaterThanOrEqual(Math.ceil(9 * tenths / 10))
      }
    }), settings)
  })
})

describe('team limits', () => {
  const unlimited = { requestsPerSecond: 1e6, tokensPerSecond: 1e9, inFlight: 1e6, queued: 1e6 }
  const arrivals = fc.array(fc.record({ after: fc.nat(200), tokens: fc.integer({ min: 1, max: 100 }) }), { minLength: 30, maxLength: 200 })

  it('never admits more requests and tokens than the rate and the burst', () => {
    fc.assert(fc.property(arrivals, (list) => {
      const limiter = new TokenBucketTeamLimiter({ limits: { ...unlimited, requestsPerSecond: 5, tokensPerSecond: 200 }, burstSeconds: 2 })
      let now = 0
      let requests = 0
      let tokens = 0
      for (const arrival of list) {
        now += arrival.after
        if (!limiter.admit(arrival.tokens, 0, now).admitted) continue
        requests += 1
        tokens += arrival.tokens
        expect(requests).toBeLessThanOrEqual(10 + 5 * now / 1000 + 1e-9)
        expect(tokens).toBeLessThanOrEqual(400 + 200 * now / 1000 + 1e-6)
      }
    }), settings)
  })

  it('never has more in flight or queued than allowed', () => {
    const steps = fc.array(fc.constantFrom('admit', 'admit', 'start', 'finish'), { minLength: 50, maxLength: 200 })
    fc.assert(fc.property(steps, (list) => {
      const limiter = new TokenBucketTeamLimiter({ limits: { ...unlimited, inFlight: 6, queued: 3 } })
      for (const step of list) {
        const { queued, running } = limiter.counts
        if (step === 'start' && queued > 0) limiter.start()
        else if (step === 'finish' && running > 0) limiter.finish(true, 0, 0)
        else limiter.admit(10, 10, 0)
        expect(limiter.counts.queued).toBeLessThanOrEqual(3)
        expect(limiter.counts.queued + limiter.counts.running).toBeLessThanOrEqual(6)
      }
    }), settings)
  })
})
