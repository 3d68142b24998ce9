import { describe, expect, it } from 'vitest'
import { endsInTime, RunDurations } from '@limpetwinch/decisions'

function learnt (...durations: readonly number[]): RunDurations {
  const known = new RunDurations()
  for (const duration of durations) known.record(duration)
  return known
}

function repeated (count: number, duration: number): number[] {
  return Array.from({ length: count }, () => duration)
}

describe('the durations of runs', () => {
  it('say nothing before three runs', () => {
    expect(learnt(...repeated(2, 100)).shareLongerThan(1)).toBeUndefined()
  })

  it('give the share of longer runs, and never less than it', () => {
    const known = learnt(...repeated(15, 100), ...repeated(5, 5_000))
    expect([known.shareLongerThan(50), known.shareLongerThan(120), known.shareLongerThan(4_900), known.shareLongerThan(5_800)]).toEqual([1, 0.25, 0.25, 0])
  })

  it('follow a change of the durations', () => {
    const known = learnt(...repeated(1_000, 100), ...repeated(400, 3_000))
    expect(known.shareLongerThan(1_000)).toBeGreaterThan(0.8)
  })

  it('take any duration', () => {
    expect(learnt(...repeated(5, 0), ...repeated(5, Number.MAX_VALUE)).shareLongerThan(1)).toBe(0.5)
  })
})

describe('whether a run ends in time', () => {
  const durations = learnt(...repeated(95, 20), ...repeated(5, 60))

  it('is answered from size, forecast and durations', () => {
    const outlook = { millisecondsLeft: 5_000, forecastMilliseconds: 500, size: 150, durations }
    expect([endsInTime(outlook), endsInTime({ ...outlook, size: 300 }), endsInTime({ ...outlook, forecastMilliseconds: 2_000 })]).toEqual([true, false, false])
  })

  it('is unknown without durations, unless no time is left', () => {
    const outlook = { millisecondsLeft: 5_000, forecastMilliseconds: 500, size: 1, durations: undefined }
    expect([endsInTime(outlook), endsInTime({ ...outlook, durations: learnt(100) }), endsInTime({ ...outlook, millisecondsLeft: 500 })]).toEqual([undefined, undefined, false])
  })
})
