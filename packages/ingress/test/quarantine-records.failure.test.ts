// Verdicts in the store, for instances that start when all others have ended.
import { silentLogger } from '@limpetwinch/core'
import { joinFingerprint } from '@limpetwinch/decisions'
import type { FingerprintPrefix, QuarantineDecision } from '@limpetwinch/decisions'
import { describe, expect, it } from 'vitest'
import { decodeClusterObject } from '../src/members/cluster-objects.js'
import { QuarantineRecords } from '../src/quarantine/quarantine-records.js'
import { ManualClock } from './support/manual-clock.js'
import { MemoryStore } from './support/memory-store.js'

const GUILTY = joinFingerprint('guilty' as FingerprintPrefix, 'body')
const SECONDS = 1_000

function setUp (): { store: MemoryStore, clock: ManualClock, records: QuarantineRecords, told: string[], ending: AbortController, list: () => void } {
  const store = new MemoryStore()
  const clock = new ManualClock()
  const told: string[] = []
  const records = new QuarantineRecords(store, {
    applyDecision: ({ fingerprint, strikes }) => told.push(`${fingerprint} held, ${strikes}`),
    release: (fingerprint) => told.push(`${fingerprint} released`)
  }, clock, silentLogger())
  const ending = new AbortController()
  void records.run(ending.signal)
  const list = (): void => {
    records.apply([...store.objects.values()].flatMap((object) => {
      const decoded = decodeClusterObject(object)
      return decoded?.kind === 'verdict' ? [decoded.verdict] : []
    }))
  }
  return { store, clock, records, told, ending, list }
}

function verdict (clock: ManualClock, strikes = 1): QuarantineDecision {
  return { fingerprint: GUILTY, crashes: 3, strikes, certain: true, until: clock.now() + 3_600 * SECONDS }
}

describe('a verdict', () => {
  // Guards against one that is lost with its instance since the store was down at its time.
  it('is written down once the store is back', async () => {
    const { store, clock, records, told, ending, list } = setUp()
    store.isDown = true
    records.keep(verdict(clock), true)
    await clock.advance(3 * SECONDS)
    expect(store.writes).toBe(0)
    store.isDown = false
    await clock.advance(3 * SECONDS)
    ending.abort()
    list()
    expect({ writes: store.writes, told }).toEqual({ writes: 1, told: [`${GUILTY} held, 1`] })
  })

  // Guards against one write of each instance that came to the same verdict.
  it('is left to the instance that saw the last crash', async () => {
    const { store, clock, records, ending, list } = setUp()
    await store.put({ path: `limpetwinch-cluster/verdict.${GUILTY}`, ifVersion: 0, value: { crashes: 3, strikes: 1, certain: true, untilWallTime: clock.wallTime() + SECONDS } })
    records.keep(verdict(clock), false)
    list()
    await clock.advance(10 * SECONDS)
    ending.abort()
    expect(store.writes).toBe(1)
  })

  // Guards against a request that stays held back though an operator has taken the verdict out of the store.
  it('ends when its object is deleted', () => {
    const { store, told, list } = setUp()
    store.objects.set('x', { path: `limpetwinch-cluster/verdict.${GUILTY}`, version: 1, value: { crashes: 3, strikes: 1, certain: true, untilWallTime: 0 } })
    list()
    store.objects.clear()
    list()
    expect(told).toEqual([`${GUILTY} held, 1`, `${GUILTY} released`])
  })
})
