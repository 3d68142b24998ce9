// Guards against a failing endpoint that keeps getting requests because its health check passes. The service itself responds to one
// request in seven with an error; one endpoint then fails almost half of its requests. Requests that must not be retried would
// reach it and fail, so the other endpoints must take over, and the endpoint must be used again after a while.
import type { EndpointId } from '@limpetwinch/core'
import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { ErrorRates } from '../src/routing/error-rates.js'

const [one, two, three] = ['one', 'two', 'three'] as unknown as [EndpointId, EndpointId, EndpointId]
const all = [one, two, three]

function respond (rates: ErrorRates, endpoint: EndpointId, shareOfErrors: number, count: number): void {
  for (let index = 0; index < count; index++) rates.observe(endpoint, Math.floor((index + 1) * shareOfErrors) > Math.floor(index * shareOfErrors))
}

describe('error rates', () => {
  it('identify the endpoint that fails more often than its peers, and no other', () => {
    const rates = new ErrorRates()
    respond(rates, one, 0.45, 60)
    for (const endpoint of [two, three]) respond(rates, endpoint, 0.14, 60)
    expect(all.map((endpoint) => rates.isOutlier(endpoint, all))).toEqual([true, false, false])
  })

  it('identify no endpoint if all fail equally often', () => {
    const rates = new ErrorRates()
    for (const endpoint of all) respond(rates, endpoint, 0.45, 60)
    expect(all.map((endpoint) => rates.isOutlier(endpoint, all))).toEqual([false, false, false])
  })

  it('let an endpoint return after some time without requests', () => {
    const rates = new ErrorRates()
    respond(rates, one, 0.45, 60)
    for (let second = 0; second < 3; second++) rates.decay(0.8)
    expect(rates.isOutlier(one, all)).toBe(false)
  })

  it('never identify the only endpoint of a service', () => {
    fc.assert(fc.property(fc.array(fc.boolean()), (errors) => {
      const rates = new ErrorRates()
      for (const error of errors) rates.observe(one, error)
      expect(rates.isOutlier(one, [one])).toBe(false)
    }), { seed: 3 })
  })
})
