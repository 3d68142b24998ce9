import { getEventListeners } from 'node:events'
import { describe, expect, it } from 'vitest'
import { SystemClock } from '@limpetwinch/core'
import type { InstanceId } from '@limpetwinch/core'
import { LoadTurnCoordinator } from '../../src/loads/load-turn-coordinator.js'

const HOLDER = 'one' as InstanceId

describe('the coordinator of load turns', () => {
  it('grants the most urgent turn next', async () => {
    const coordinator = new LoadTurnCoordinator(new SystemClock(), 10_000)
    const { signal } = new AbortController()
    await coordinator.acquire(HOLDER, 'first', 1, signal)
    const granted: string[] = []
    const waiting = [['small', 10], ['large', 100_000]] as const
    const ends = waiting.map(async ([turn, urgency]) => { if (await coordinator.acquire(HOLDER, turn, urgency, signal)) granted.push(turn) })
    coordinator.done(HOLDER, 'first')
    await ends[1]
    coordinator.done(HOLDER, 'large')
    await Promise.all(ends)
    expect(granted).toEqual(['large', 'small'])
    coordinator.done(HOLDER, 'small')
  })

  // Guards against a memory leak at the coordinating instance: each granted turn left a listener on the signal of its
  // holder's connection, so memory grew with each load for as long as the connection lasted.
  it('keeps no listeners of ended turns', async () => {
    const coordinator = new LoadTurnCoordinator(new SystemClock(), 10_000)
    const { signal } = new AbortController()
    for (let turn = 0; turn < 20; turn += 1) {
      await coordinator.acquire(HOLDER, `turn-${turn}`, 1, signal)
      coordinator.done(HOLDER, `turn-${turn}`)
    }
    expect(getEventListeners(signal, 'abort')).toHaveLength(0)
  })

  // Guards against loads that wait for a turn whose holder has left without releasing it.
  it('ends a turn when the connection of its holder ends', async () => {
    const coordinator = new LoadTurnCoordinator(new SystemClock(), 10_000)
    const lost = new AbortController()
    await coordinator.acquire(HOLDER, 'first', 1, lost.signal)
    const next = coordinator.acquire('two' as InstanceId, 'second', 1, new AbortController().signal)
    lost.abort()
    expect(await next).toBe(true)
    coordinator.done('two' as InstanceId, 'second')
  })
})
