// Guards against a request that asks one full endpoint after the other, again and again, until its caller leaves: with many endpoints the
// first refusal is forgotten before the last endpoint has answered. And against a second place for a request that waits for its load.
import { describe, expect, it } from 'vitest'
import { PlaceSearch } from '../src/rate-limits/place-search.js'
import type { EndpointRateLimiter } from '../src/rate-limits/endpoint-rate-limiter.js'
import { endpointId } from './support/ingress-under-test.js'

const ENDPOINTS = ['a', 'b', 'c'].map(endpointId)

/** @returns a limiter that forgets each refusal at once, with places at some endpoints, and the endpoints that it was asked for */
function limiterWith (places: readonly string[]): { readonly limiter: EndpointRateLimiter, readonly asked: string[] } {
  const asked: string[] = []
  const limiter = {
    isLimited: () => true,
    backoffs: { isBackingOff: () => false },
    withoutRoom: () => new Set(),
    admit: async (endpoint: string) => {
      asked.push(endpoint)
      return places.includes(endpoint)
    }
  }
  return { limiter: limiter as unknown as EndpointRateLimiter, asked }
}

describe('the search for a place', () => {
  it('asks each endpoint once until the request has waited', async () => {
    const { limiter, asked } = limiterWith([])
    const places = new PlaceSearch(limiter, 0)
    for (const endpoint of ENDPOINTS) expect(await places.take(endpoint)).toBe(false)
    expect([...places.full]).toEqual(ENDPOINTS)
    places.waited()
    expect([places.full.size, asked.length]).toEqual([0, 3])
  })

  it('keeps the place that it has taken', async () => {
    const { limiter, asked } = limiterWith(['b'])
    const places = new PlaceSearch(limiter, 0)
    const taken = [await places.take(endpointId('b')), await places.take(endpointId('b'))]
    expect({ taken, asked, hasPlace: places.hasPlace }).toEqual({ taken: [true, true], asked: ['b'], hasPlace: true })
  })
})
