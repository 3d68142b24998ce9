import { describe, expect, it } from 'vitest'
import { POLICY_BOUNDS } from '../../src/policy/results/policy-bounds.js'
import { checkPolicy } from '../../src/policy/results/policy-check.js'

describe('bench check', () => {
  it('meets every committed bound', { timeout: 300_000 }, () => {
    const worse = checkPolicy(POLICY_BOUNDS).filter((bound) => !bound.holds)
    expect(worse).toEqual([])
  })

  it('reports a figure that is worse than its bound', () => {
    const [checked] = checkPolicy([{
      trace: 'three times slots',
      policy: 'limpetwinch',
      figure: 'stall p99',
      against: 'better baseline',
      kind: 'at most',
      bound: 0.01
    }])
    expect(checked).toMatchObject({ holds: false, bound: 0.01 })
  })
})
