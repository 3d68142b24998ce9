import { describe, expect, it } from 'vitest'
import { EngineSpeeds, EventSpacing } from '../src/index.js'

describe('engine speeds', () => {
  it('are distinguished by the event spacing after a few streams', () => {
    const speeds = new EngineSpeeds()
    for (let stream = 0; stream < 10; stream += 1) speeds.recordEventSpacing('fast', 28)
    speeds.recordEventSpacing('slow', 36.4)
    const before = speeds.slowness('slow')
    for (let stream = 0; stream < 10; stream += 1) speeds.recordEventSpacing('slow', 36.4)
    expect({ before, fast: speeds.slowness('fast'), slow: speeds.slowness('slow'), unknown: speeds.slowness('new') })
      .toEqual({ before: 1, fast: 1, slow: 1.3, unknown: 1 })
  })

  it.each([12, 30.6, 90])('are learnt from long prompts, at %d tokens per millisecond on the fastest engine', (rate) => {
    const speeds = new EngineSpeeds()
    for (let stream = 0; stream < 10; stream += 1) {
      speeds.recordEventSpacing('fast', 28)
      speeds.recordEventSpacing('slow', 42)
    }
    for (let prompt = 0; prompt < 25; prompt += 1) speeds.recordPrefill('slow', 9_000, 9_000 / rate * 1.5)
    expect(speeds.prefillMilliseconds('fast', 9_000) / (9_000 / rate)).toBeCloseTo(1, 1)
  })

  it('ignore short prompts, for which network delay dominates', () => {
    const speeds = new EngineSpeeds()
    const before = speeds.prefillMilliseconds('e', 1_000)
    for (let prompt = 0; prompt < 100; prompt += 1) speeds.recordPrefill('e', 600, 200)
    expect(speeds.prefillMilliseconds('e', 1_000)).toBe(before)
  })

  it('are dropped with the engine', () => {
    const speeds = new EngineSpeeds()
    for (let stream = 0; stream < 4; stream += 1) {
      speeds.recordEventSpacing('gone', 20)
      speeds.recordEventSpacing('left', 40)
    }
    speeds.forget('gone')
    expect(speeds.slowness('left')).toBe(1)
  })
})

describe('the speeds that all instances have measured', () => {
  it('take precedence over those of this instance, until they are unknown', () => {
    const speeds = new EngineSpeeds()
    for (const engine of ['fast', 'slow']) for (let stream = 0; stream < 3; stream += 1) speeds.recordEventSpacing(engine, 28)
    speeds.setShared('slow', { spacingMilliseconds: 42, prefillTokensPerMillisecond: 20 })
    const shared = [speeds.slowness('slow'), speeds.prefillMilliseconds('fast', 3_000), speeds.prefillMilliseconds('slow', 3_000)]
    speeds.setShared('slow', undefined)
    expect([shared, speeds.slowness('slow')]).toEqual([[1.5, 100, 150], 1])
  })

  // Two services may run models of different sizes. An engine of the larger model is not slow.
  it('are compared within a service only', () => {
    const speeds = new EngineSpeeds((endpoint) => endpoint.slice(0, 1))
    for (const [engine, spacingMilliseconds] of [['a1', 20], ['b1', 60], ['b2', 90]] as const) speeds.setShared(engine, { spacingMilliseconds, prefillTokensPerMillisecond: undefined })
    expect(['a1', 'b1', 'b2'].map((engine) => speeds.slowness(engine))).toEqual([1, 1, 1.5])
  })
})

describe('the event spacing of a stream', () => {
  it('excludes pauses for the prefill of other prompts and events that arrive together', () => {
    const spacing = new EventSpacing()
    for (const gap of [28, 0, 28, 320, 29, 49, 28, 0, 70, 28, 30, 51]) spacing.recordGap(gap)
    expect(spacing.milliseconds).toBe(28)
  })

  it('is reported while the stream runs, as soon as there are enough gaps', () => {
    const reported: number[] = []
    const spacing = new EventSpacing()
    spacing.onEstimate((milliseconds) => reported.push(milliseconds))
    for (let gap = 0; gap < 40; gap += 1) spacing.recordGap(gap < 6 ? 30 : 28)
    expect(reported).toEqual([30, 28])
  })

  it('is undefined after only a few events', () => {
    const spacing = new EventSpacing()
    for (const gap of [28, 28, 28]) spacing.recordGap(gap)
    expect(spacing.milliseconds).toBeUndefined()
  })
})
