// Guards against state that counts as current on a proof of something else: of another kind of state, of a peer's newer state, or of a
// moment before the process was paused.
import { describe, expect, it } from 'vitest'
import { StateFreshness } from '../src/cluster-state/state-freshness.js'
import { ManualClock } from './support/manual-clock.js'
import { recordingLogger } from './support/recording-logger.js'
import type { RecordedLine } from './support/recording-logger.js'

const LIMITS = { configuration: 2_000, endpoints: 2_000, announcements: 2_500, cluster: 3_000 }

function fresh (): { readonly clock: ManualClock, readonly freshness: StateFreshness, readonly lines: RecordedLine[] } {
  const clock = new ManualClock()
  const lines: RecordedLine[] = []
  return { clock, freshness: new StateFreshness(LIMITS, clock, recordingLogger(lines)), lines }
}

describe('the age of a kind of state', () => {
  it('is not made younger by a proof of another kind', async () => {
    const { clock, freshness } = fresh()
    await clock.advance(3_000)
    freshness.record('endpoints', clock.now())
    expect([freshness.isOverdue('configuration'), freshness.isOverdue('endpoints')]).toEqual([true, false])
  })

  it('is made younger by the statement of a peer once this instance has the peer\'s state, and not before', async () => {
    const { clock, freshness } = fresh()
    await clock.advance(1_000)
    freshness.recordStatement('configuration', { revision: 7, provedAt: clock.now() - 100 })
    freshness.useStatement('configuration', 6)
    const before = freshness.ageMilliseconds('configuration')
    freshness.useStatement('configuration', 7)
    expect([before, freshness.ageMilliseconds('configuration')]).toEqual([1_000, 100])
  })

  it('is unknown after a process pause', () => {
    const { clock, freshness } = fresh()
    freshness.record('cluster', clock.now())
    freshness.forget()
    expect(freshness.isOverdue('cluster')).toBe(true)
  })

  it('is reported once when it passes its limit and once when the kind is proved again', async () => {
    const { clock, freshness, lines } = fresh()
    freshness.record('announcements', clock.now())
    await clock.advance(2_100)
    for (const kind of ['endpoints', 'cluster'] as const) freshness.record(kind, clock.now())
    freshness.report()
    freshness.report()
    freshness.record('configuration', clock.now())
    freshness.report()
    expect(lines.map(({ message, fields }) => [message, fields])).toEqual([
      ['State may be out of date: it was not proved to be current in time.', { kind: 'configuration', provedMillisecondsAgo: 2_100 }],
      ['State is proved to be current again.', { kind: 'configuration', provedMillisecondsAgo: 0 }]
    ])
  })
})
