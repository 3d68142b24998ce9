import fc from 'fast-check'
import { describe, expect, it } from 'vitest'
import { promptText } from '../../src/trace/prompt-text.js'
import { drawTrace, parseLine } from '../../src/trace/trace.js'
import type { TraceDrawOptions } from '../../src/trace/trace.js'

const DRAW: TraceDrawOptions = {
  seed: 7,
  requestsPerSecond: 100,
  seconds: 20,
  models: ['a/popular@1', 'a/middling', 'b/rare@2'],
  skew: 1,
  promptTokens: 8,
  outputTokens: 4,
  onceShare: 0.25,
  priorityClass: 'normal'
}

describe('trace', () => {
  it('is identical for the same seed and different for another seed', () => {
    expect(drawTrace(DRAW)).toEqual(drawTrace(DRAW))
    expect(drawTrace({ ...DRAW, seed: 8 })).not.toEqual(drawTrace(DRAW))
  })

  it('has the requested rate, popularity and share of requests that run at most once', () => {
    const lines = drawTrace(DRAW)
    const shareOf = (adapter: string): number => lines.filter((line) => line.adapter === adapter).length / lines.length
    expect(lines.length / 20).toBeCloseTo(100, -1)
    expect(shareOf('popular')).toBeCloseTo(6 / 11, 1)
    expect(shareOf('rare')).toBeCloseTo(2 / 11, 1)
    expect(lines.filter((line) => !line.idempotent).length / lines.length).toBeCloseTo(0.25, 1)
    expect(lines.find((line) => line.adapter === 'middling')).not.toHaveProperty('version')
  })

  it('is in order of time within its duration for any drawn options', () => {
    fc.assert(fc.property(fc.integer(), fc.integer({ min: 1, max: 200 }), (seed, requestsPerSecond) => {
      const times = drawTrace({ ...DRAW, seed, requestsPerSecond, seconds: 2 }).map((line) => line.at_ms)
      expect(times).toEqual([...times].sort((one, other) => one - other))
      expect(times.every((at) => at >= 0 && at < 2000)).toBe(true)
    }), { seed: 1, numRuns: 50 })
  })

  it('parses valid lines and rejects others', () => {
    const line = '{"at_ms": 5, "team": "a", "adapter": "b", "prompt_tokens": 3, "output_tokens": 2}'
    expect(parseLine(line)._unsafeUnwrap()).toMatchObject({ class: 'normal', idempotent: true })
    expect(parseLine('{').isErr()).toBe(true)
    expect(parseLine(line.replace('5', '-5'))._unsafeUnwrapErr()).toContain('at_ms')
  })
})

describe('prompts of the load', () => {
  it('share a prefix for one adapter, end unique and have the requested length', () => {
    const one = promptText('a/b', 'id-1', 100)
    const other = promptText('a/b', 'id-2', 100)
    expect(one).toHaveLength(400)
    expect(one.slice(0, 390)).toBe(other.slice(0, 390))
    expect(one).not.toBe(other)
    expect(promptText('a/b', 'long-id', 1)).toContain('long-id')
  })
})
