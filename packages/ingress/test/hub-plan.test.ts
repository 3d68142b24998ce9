// Each instance plans the hubs on its own. If two plans for the same members differed, leaves would attach to instances that do
// not forward notices.
import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import type { DataCentreId, InstanceId } from '@limpetwinch/core'
import type { Member } from '../src/members/cluster-objects.js'
import { HubChoice } from '../src/overlay/hub-choice.js'
import { HubPlan } from '../src/overlay/hub-plan.js'

function member (index: number, cores = 1, dataCentre = `dc-${index % 3}`): Member {
  return { name: `host-${index}`, instance: `i-${index}` as InstanceId, address: `a-${index}`, dataCentre: dataCentre as DataCentreId, cores, version: index }
}

function members (count: number): Member[] {
  return Array.from({ length: count }, (_, index) => member(index))
}

describe('the hub plan', () => {
  it('makes all instances hubs in a small fleet, and two per data centre in a larger one', () => {
    expect([new HubPlan(members(20)), new HubPlan(members(21))].map((plan) => [plan.isMesh, plan.hubs().length])).toEqual([[true, 20], [false, 6]])
  })

  it('does not depend on the order of the members, and selects the largest hosts', () => {
    const large = [member(5, 2), member(11, 2)]
    const all = [...members(40).filter(({ name }) => !large.some((each) => each.name === name)), ...large]
    fc.assert(fc.property(fc.shuffledSubarray(all, { minLength: all.length }), (shuffled) => {
      const names = (plan: HubPlan): string[] => plan.hubs().map(({ name }) => name).sort()
      expect(names(new HubPlan(shuffled))).toEqual(names(new HubPlan(all)))
      expect(large.every(({ name }) => new HubPlan(shuffled).isHub(name))).toBe(true)
    }), { seed: 3, numRuns: 30 })
  })

  it('prefers hubs to other instances, and spreads leaves over the hubs', () => {
    const plan = new HubPlan(members(60))
    const firsts = members(60).filter(({ name }) => !plan.isHub(name)).map(({ name, dataCentre }) => plan.candidatesFor(name, dataCentre)[0]?.name ?? '')
    expect([firsts.every((name) => plan.isHub(name)), new Set(firsts).size]).toEqual([true, 6])
  })
})

describe('the choice of a hub', () => {
  const candidates = [member(0), member(3), member(6)]

  it('moves on to the next hub when one cannot be attached to, and returns to the first one after a while', () => {
    const choice = new HubChoice()
    const chosen = [0, 600, 800, 1_400, 1_600, 9_000].map((now) => choice.choose(candidates, () => false, now)?.name)
    expect(chosen).toEqual(['host-0', 'host-0', 'host-3', 'host-3', 'host-6', 'host-0'])
  })

  // All processes are killed and restarted. The member list first names the old process of a hub, which is avoided as lost. Once
  // it names the new process, the host must be chosen again at once.
  it('chooses the host of a lost hub again as soon as a new process runs there', () => {
    const choice = new HubChoice()
    const [hub, ...others] = candidates
    if (hub === undefined) throw new Error('There is no candidate.')
    choice.choose(candidates, () => false, 0)
    choice.avoid(hub, 100)
    const meanwhile = choice.choose(candidates, () => false, 100)?.name
    const again = { ...hub, instance: 'i-0-again' as InstanceId }
    expect([meanwhile, choice.choose([again, ...others], () => false, 200)?.instance]).toEqual(['host-3', 'i-0-again'])
  })

  it('keeps a hub to which it is attached', () => {
    const choice = new HubChoice()
    expect([0, 1_000, 20_000].map((now) => choice.choose(candidates, () => true, now)?.name)).toEqual(['host-0', 'host-0', 'host-0'])
  })
})
