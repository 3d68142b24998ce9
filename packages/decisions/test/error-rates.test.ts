// Three endpoints of one service, which itself answers one request in seven with an error. One endpoint begins to fail almost
// half of its requests while its health check passes. Callers of what may not be repeated see those failures; the others
// must take its work, and it must be tried again after a while.
import type { EndpointId } from '@limpetwinch/core'
import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { ErrorRates } from '../src/routing/error-rates.js'

const [one, two, three] = ['one', 'two', 'three'] as unknown as [EndpointId, EndpointId, EndpointId]
const all = [one, two, three]

function answers (rates: ErrorRates, endpoint: EndpointId, shareOfErrors: number, count: number): void {
  for (let index = 0; index < count; index++) rates.observe(endpoint, Math.floor((index + 1) * shareOfErrors) > Math.floor(index * shareOfErrors))
}

describe('error rates', () => {
  it('find the one that fails more often than its peers, and no other', () => {
    const rates = new ErrorRates()
    answers(rates, one, 0.45, 60)
    for (const endpoint of [two, three]) answers(rates, endpoint, 0.14, 60)
    expect(all.map((endpoint) => rates.isOutlier(endpoint, all))).toEqual([true, false, false])
  })

  it('find none where all fail alike', () => {
    const rates = new ErrorRates()
    for (const endpoint of all) answers(rates, endpoint, 0.45, 60)
    expect(all.map((endpoint) => rates.isOutlier(endpoint, all))).toEqual([false, false, false])
  })

  it('let it return after a while without work', () => {
    const rates = new ErrorRates()
    answers(rates, one, 0.45, 60)
    for (let second = 0; second < 3; second++) rates.decay(0.8)
    expect(rates.isOutlier(one, all)).toBe(false)
  })

  it('never find the only endpoint of a service', () => {
    fc.assert(fc.property(fc.array(fc.boolean()), (errors) => {
      const rates = new ErrorRates()
      for (const error of errors) rates.observe(one, error)
      expect(rates.isOutlier(one, [one])).toBe(false)
    }), { seed: 3 })
  })
})
