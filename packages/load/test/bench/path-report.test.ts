import { describe, expect, it } from 'vitest'
import { benchSettings } from '../../src/bench/path/bench-settings.js'
import { slopeOf, solveCost } from '../../src/bench/path/path-report.js'

describe('figures of the path bench', () => {
  it('recovers the cost of a request and of a token', () => {
    const phase = (requestsPerSecond: number, tokensPerSecond: number): Parameters<typeof solveCost>[0] =>
      ({ requestsPerSecond, tokensPerSecond, microsecondsPerSecond: 5_000 + requestsPerSecond * 300 + tokensPerSecond * 12 })
    const cost = solveCost(phase(200, 3_200), phase(23, 2_900), 5_000)
    expect(cost.microsecondsPerRequest).toBeCloseTo(300)
    expect(cost.microsecondsPerToken).toBeCloseTo(12)
  })

  it('recovers the slope of a line', () => {
    expect(slopeOf([{ x: 3, y: 100 + 3 * 7 }, { x: 70, y: 100 + 70 * 7 }, { x: 140, y: 100 + 140 * 7 }])).toBeCloseTo(7)
  })

  it('configures the requested number of adapters, each settings object below a megabyte', () => {
    const files = benchSettings({ key: 'k', sha256: '0'.repeat(64) }, 2_500, ['http://127.0.0.1:1'])
    const teams = files.filter((file) => file.path.startsWith('/teams/'))
    const counts = teams.map((file) => Object.keys((JSON.parse(file.text) as { adapters: object }).adapters).length)
    expect(counts).toEqual([1000, 1000, 500])
    expect(Math.max(...files.map((file) => file.text.length))).toBeLessThan(1_000_000)
  })
})
