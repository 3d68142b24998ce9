// The store limits the rate of calls, and the limits do not grow with the fleet. A follower that keeps running while a hub reads
// the store for its instance wastes calls; a follower that does not restart when the hub is lost leaves its instance with
// outdated state.
import { describe, expect, it } from 'vitest'
import { silentLogger } from '@limpetwinch/core'
import type { StoreFollower } from '../src/cluster-state/store-follower.js'
import { StoreGate } from '../src/runtime/store-gate.js'
import { ManualClock } from './support/manual-clock.js'

describe('the store gate', () => {
  it('runs a follower only while the store must be read, and ends when the signal aborts', async () => {
    const [clock, ending, runs] = [new ManualClock(), new AbortController(), [] as string[]]
    const follower = {
      run: async (signal: AbortSignal) => {
        runs.push('starts')
        await new Promise<void>((resolve) => { signal.addEventListener('abort', () => resolve(), { once: true }) })
        runs.push('ends')
      }
    } as unknown as StoreFollower<unknown>
    let isNeeded = false
    const gate = new StoreGate(() => isNeeded, clock, silentLogger())
    void gate.run(ending.signal)
    const following = gate.runWhileOpen(follower, ending.signal)
    const seen: string[][] = []
    for (const needed of [false, true, false, true]) {
      isNeeded = needed
      await clock.advance(1_000)
      seen.push([...runs])
    }
    ending.abort()
    await following
    expect([...seen, runs]).toEqual([[], ['starts'], ['starts', 'ends'], ['starts', 'ends', 'starts'], ['starts', 'ends', 'starts', 'ends']])
  })
})
