import { getEventListeners } from 'node:events'
import { describe, expect, it } from 'vitest'
import { SystemClock } from '@limpetwinch/core'
import type { InstanceId } from '@limpetwinch/core'
import { LoadTurnCoordinator } from '../../src/loads/load-turn-coordinator.js'

const HOLDER = 'one' as InstanceId

describe('the conductor of load turns', () => {
  it('grants the most urgent turn next', async () => {
    const conductor = new LoadTurnCoordinator(new SystemClock(), 10_000)
    const { signal } = new AbortController()
    await conductor.acquire(HOLDER, 'first', 1, signal)
    const granted: string[] = []
    const waiting = [['small', 10], ['large', 100_000]] as const
    const ends = waiting.map(async ([turn, urgency]) => { if (await conductor.acquire(HOLDER, turn, urgency, signal)) granted.push(turn) })
    conductor.done(HOLDER, 'first')
    await ends[1]
    conductor.done(HOLDER, 'large')
    await Promise.all(ends)
    expect(granted).toEqual(['large', 'small'])
    conductor.done(HOLDER, 'small')
  })

  // Operators see the memory of the conducting instance grow with each load of a peer, for as long as its connection
  // lasts: each granted turn left a listener on the connection's signal. A turn that is over leaves none.
  it('keeps nothing of turns that are over', async () => {
    const conductor = new LoadTurnCoordinator(new SystemClock(), 10_000)
    const { signal } = new AbortController()
    for (let turn = 0; turn < 20; turn += 1) {
      await conductor.acquire(HOLDER, `turn-${turn}`, 1, signal)
      conductor.done(HOLDER, `turn-${turn}`)
    }
    expect(getEventListeners(signal, 'abort')).toHaveLength(0)
  })

  // The next load begins although the holder of the turn is gone: its connection has ended.
  it('takes a turn back when the connection of its holder ends', async () => {
    const conductor = new LoadTurnCoordinator(new SystemClock(), 10_000)
    const lost = new AbortController()
    await conductor.acquire(HOLDER, 'first', 1, lost.signal)
    const next = conductor.acquire('two' as InstanceId, 'second', 1, new AbortController().signal)
    lost.abort()
    expect(await next).toBe(true)
    conductor.done('two' as InstanceId, 'second')
  })
})
