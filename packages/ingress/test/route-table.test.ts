import { describe, expect, it } from 'vitest'
import { pickTarget, RouteTable } from '../src/routes/route-table.js'
import { route } from './support/samples.js'

describe('a route table', () => {
  const table = new RouteTable([
    route({ name: 'short', pathPrefix: '/a/' }), route({ name: 'long', pathPrefix: '/a/b/' }), route({ name: 'other host', host: 'other.example', pathPrefix: '/' })
  ])

  it('matches the longest prefix of the path, on the requested host', () => {
    const asked = [['listings.example', '/a/b/c?x=/z/'], ['listings.example', '/a/bc'], ['LISTINGS.example:80', '/a/'], ['other.example', '/a/b/'], ['listings.example', '/'], ['third.example', '/a/']]
    expect(asked.map(([host, path]) => table.match(host ?? '', path ?? '')?.name)).toMatchInlineSnapshot(`
      [
        "long",
        "short",
        "short",
        "other host",
        undefined,
        undefined,
      ]
    `)
  })

  it('does not match a prefix within the query', () => {
    expect(table.match('listings.example', '/?next=/a/b/')).toBeUndefined()
  })

  it('distributes requests by weight and sends none to a target of weight 0', () => {
    const { targets } = route({ targets: [{ service: 'old', weight: 0 }, { service: 'new', weight: 3 }, { service: 'next', weight: 1 }] })
    expect([0, 0.5, 0.74, 0.76, 0.999].map((random) => pickTarget(targets, random)?.service)).toEqual(['new', 'new', 'new', 'next', 'next'])
  })
})
