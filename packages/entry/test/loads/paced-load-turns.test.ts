// One loader takes a turn for each load, with a signal that lives as long as the loader. A listener left behind by each turn
// holds the turn's closure for ever: memory grows with every load, and Node.js warns of a leak after the eleventh.
import { getEventListeners } from 'node:events'
import { SystemClock } from '@limpetwinch/core'
import { describe, expect, it } from 'vitest'
import { PacedLoadTurns } from '../../src/loads/paced-load-turns.js'

describe('load turns', () => {
  it('leave no listener on the signal of whoever took them', async () => {
    const turns = new PacedLoadTurns(() => 1_000, new SystemClock())
    const asker = new AbortController()
    for (let turn = 0; turn < 20; turn++) {
      const release = await turns.acquire(1, asker.signal)
      release()
    }
    expect(getEventListeners(asker.signal, 'abort')).toEqual([])
  })

  it('that are given up leave the queue, and the next one gets its turn', async () => {
    const turns = new PacedLoadTurns(() => 1_000, new SystemClock())
    const release = await turns.acquire(1, new AbortController().signal)
    const leaving = new AbortController()
    const givenUp = turns.acquire(9, leaving.signal)
    const next = turns.acquire(1, new AbortController().signal)
    leaving.abort()
    await expect(givenUp).rejects.toThrow('given up')
    release()
    expect(typeof await next).toBe('function')
  })
})
