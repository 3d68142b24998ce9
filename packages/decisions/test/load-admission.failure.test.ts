// Guards against refusals that come too late or hit the wrong callers, under this load: a flood of requests for adapters that no engine holds.
import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { decideLoadAdmission } from '../src/index.js'
import type { LoadAdmissionDecision, LoadAdmissionFacts } from '../src/index.js'

const BASE: LoadAdmissionFacts = {
  readyMilliseconds: 300,
  firstEventMilliseconds: 500,
  isRoomFree: false,
  joinsLoad: false,
  onTimeMilliseconds: 1_000,
  longestWaitMilliseconds: 1_250,
  priority: 0,
  moreUrgentReturnMilliseconds: undefined
}

function decide (facts: Partial<LoadAdmissionFacts>): LoadAdmissionDecision {
  return decideLoadAdmission({ ...BASE, ...facts })
}

const milliseconds = fc.integer({ min: 0, max: 10_000 })
const load = fc.record({ readyMilliseconds: milliseconds, firstEventMilliseconds: milliseconds, onTimeMilliseconds: milliseconds, longestWaitMilliseconds: milliseconds, priority: fc.nat(4) })

describe('a flood of requests for adapters that no engine holds', () => {
  it.each<[string, Partial<LoadAdmissionFacts>]>([
    ['the search ends before the adapter can be used', { readyMilliseconds: 2_000, firstEventMilliseconds: 2_200 }],
    ['a less urgent request would be late and others wait', { priority: 2, readyMilliseconds: 900, firstEventMilliseconds: 1_100 }],
    ['callers of more urgent requests have not returned', { priority: 2, moreUrgentReturnMilliseconds: 700 }]
  ])('refuses at once when %s', (_what, facts) => {
    expect(decide(facts)).toMatchSnapshot()
  })

  it('admits the most urgent request although it will be late, since its caller has no better way', () => {
    expect(decide({ readyMilliseconds: 900, firstEventMilliseconds: 1_100 })).toEqual({ admitted: true })
  })

  it('refuses nothing while room is free, while a load for the adapter is pending, or while no engine can load', () => {
    fc.assert(fc.property(load, fc.constantFrom<Partial<LoadAdmissionFacts>>({ isRoomFree: true }, { joinsLoad: true }, { readyMilliseconds: Infinity }), (facts, free) => {
      expect(decide({ ...facts, moreUrgentReturnMilliseconds: 500, ...free })).toEqual({ admitted: true })
    }))
  })

  it('names a time after which the adapter can be used, however the load is', () => {
    fc.assert(fc.property(load, (facts) => {
      const decision = decide(facts)
      if (!decision.admitted) expect(decision.returnMilliseconds).toBeGreaterThanOrEqual(facts.readyMilliseconds)
    }))
  })
})

describe('urgent requests beside less urgent ones that may wait longer', () => {
  // Without this rule, the request that may wait longest would be admitted at a wait at which more urgent ones are refused.
  it('refuses the less urgent ones as long as a more urgent one is to return', () => {
    const urgent = decide({ readyMilliseconds: 2_000, longestWaitMilliseconds: 1_250 })
    const moreUrgentReturnMilliseconds = urgent.admitted ? undefined : urgent.returnMilliseconds
    const patient = { priority: 2, readyMilliseconds: 1_900, firstEventMilliseconds: 1_950, onTimeMilliseconds: 2_000, longestWaitMilliseconds: 3_750 }
    expect([decide(patient).admitted, decide({ ...patient, moreUrgentReturnMilliseconds }).admitted]).toEqual([true, false])
  })
})
