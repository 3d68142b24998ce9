// A loader takes a turn for each load, with a signal that lives as long as the loader. A listener that each turn leaves on
// the signal keeps the closure of the turn: memory grows with every load, and Node.js warns of a leak after the eleventh.
import { getEventListeners } from 'node:events'
import { SystemClock } from '@limpetwinch/core'
import { describe, expect, it } from 'vitest'
import { PacedLoadTurns } from '../../src/loads/paced-load-turns.js'

describe('load turns', () => {
  it('leave no listener on the signal of the loader', async () => {
    const turns = new PacedLoadTurns(() => 1_000, new SystemClock())
    const loader = new AbortController()
    for (let turn = 0; turn < 20; turn++) {
      const release = await turns.acquire(1, loader.signal)
      release()
    }
    expect(getEventListeners(loader.signal, 'abort')).toEqual([])
  })

  it('leave the queue when their wait is cancelled, and the next turn is granted', async () => {
    const turns = new PacedLoadTurns(() => 1_000, new SystemClock())
    const release = await turns.acquire(1, new AbortController().signal)
    const cancelling = new AbortController()
    const cancelled = turns.acquire(9, cancelling.signal)
    const next = turns.acquire(1, new AbortController().signal)
    cancelling.abort()
    await expect(cancelled).rejects.toThrow('the wait for a load turn was cancelled')
    release()
    expect(typeof await next).toBe('function')
  })
})
