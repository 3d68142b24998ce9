// Guards against losing a quarantine decision when no instance that knows it is left: it has to be in the store.
import { silentLogger } from '@limpetwinch/core'
import { joinFingerprint, partFingerprint } from '@limpetwinch/decisions'
import type { FingerprintPrefix, QuarantineDecision } from '@limpetwinch/decisions'
import { okAsync } from 'neverthrow'
import { describe, expect, it } from 'vitest'
import { decodeClusterObject } from '../src/members/cluster-objects.js'
import { QuarantineRecords } from '../src/quarantine/quarantine-records.js'
import { ManualClock } from './support/manual-clock.js'
import { MemoryStore } from './support/memory-store.js'

const CRASHING = joinFingerprint('guilty' as FingerprintPrefix, 'body')
const SECONDS = 1_000

function setUp (isRemembered = true): { store: MemoryStore, clock: ManualClock, records: QuarantineRecords, events: string[], ending: AbortController, list: () => void } {
  const store = new MemoryStore()
  const clock = new ManualClock()
  const events: string[] = []
  const records = new QuarantineRecords(store, {
    applyDecision: ({ fingerprint, strikes }) => events.push(`${fingerprint} held, ${strikes}`),
    release: (fingerprint) => events.push(`${fingerprint} released`),
    reconsider: (part, { crashes, strikes }) => events.push(`${part} may be tried until ${crashes} crashes or ${strikes} strikes`)
  }, clock, silentLogger(), () => isRemembered)
  const ending = new AbortController()
  void records.run(ending.signal)
  const list = (): void => {
    records.apply([...store.objects.values()].flatMap((object) => {
      const decoded = decodeClusterObject(object)
      return decoded?.kind === 'verdict' ? [decoded.verdict] : []
    }))
  }
  return { store, clock, records, events, ending, list }
}

function decision (clock: ManualClock, strikes = 1): QuarantineDecision {
  return { fingerprint: CRASHING, crashes: 3, strikes, certain: true, until: clock.now() + 3_600 * SECONDS }
}

describe('a quarantine decision', () => {
  // Guards against a decision that is lost with its instance because the store was unreachable when it was made.
  it('is written once the store is reachable again', async () => {
    const { store, clock, records, events, ending, list } = setUp()
    store.isDown = true
    records.keep(decision(clock), true)
    await clock.advance(3 * SECONDS)
    expect(store.writes).toBe(0)
    store.isDown = false
    await clock.advance(3 * SECONDS)
    ending.abort()
    list()
    expect({ writes: store.writes, events }).toEqual({ writes: 1, events: [`${CRASHING} held, 1`] })
  })

  // Guards against calls to the store four times a second, each of which is paid, for one expired record until the next listing.
  it('is removed once when it has expired long ago, however late the next listing is', async () => {
    const { store, clock, ending, list } = setUp()
    let removals = 0
    store.remove = () => { removals += 1; return okAsync(undefined) }
    await store.put({ path: `limpetwinch-cluster/verdict.${CRASHING}`, ifVersion: 0, value: { crashes: 3, strikes: 1, certain: true, untilWallTime: clock.wallTime() - 365 * 24 * 3_600 * SECONDS } })
    list()
    await clock.advance(3 * SECONDS)
    ending.abort()
    expect(removals).toBe(1)
  })

  // Guards against one write by each instance that reached the same decision.
  it('is written by the instance that saw the deciding crash, and not again by others', async () => {
    const { store, clock, records, ending, list } = setUp()
    await store.put({ path: `limpetwinch-cluster/verdict.${CRASHING}`, ifVersion: 0, value: { crashes: 3, strikes: 1, certain: true, untilWallTime: clock.wallTime() + SECONDS } })
    records.keep(decision(clock), false)
    list()
    await clock.advance(10 * SECONDS)
    ending.abort()
    expect(store.writes).toBe(1)
  })

  // Guards against a request that stays quarantined although an operator deleted the decision from the store.
  it('ends when its object is deleted from the store', () => {
    const { store, events, list } = setUp()
    store.objects.set('x', { path: `limpetwinch-cluster/verdict.${CRASHING}`, version: 1, value: { crashes: 3, strikes: 1, certain: true, untilWallTime: 0 } })
    list()
    store.objects.clear()
    list()
    expect(events).toEqual([`${CRASHING} held, 1`, `${CRASHING} released`])
  })

  // Guards against a part that many prompts share and that is held back for an hour by a fleet that has ended: nothing that could clear it is sent.
  it.each([true, false])('on a part of prompts allows a few runs where no running process remembers its cause, and one on a request never (remembered: %s)', async (isRemembered) => {
    const { clock, records, events, ending, list } = setUp(isRemembered)
    const part = partFingerprint('f0')
    records.keep({ ...decision(clock), fingerprint: part }, true)
    records.keep(decision(clock), true)
    await clock.advance(SECONDS)
    list()
    await clock.advance(SECONDS)
    ending.abort()
    expect(new Set(events.filter((event) => event.includes('tried')))).toEqual(new Set(isRemembered ? [] : [`${part} may be tried until 3 crashes or 4 strikes`]))
  })
})
