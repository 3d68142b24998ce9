// A dozen tasks of one tree wait at the same time. On a signal that they share, Node.js counts their waits as a leak and warns,
// which fails a run of tests here and hides a leak that is one.
import { getEventListeners } from 'node:events'
import { silentLogger, SystemClock } from '@limpetwinch/core'
import { describe, expect, it } from 'vitest'
import { Wake } from '../../src/concurrency/wake.js'
import { Supervisor } from '../../src/runtime/supervisor.js'

describe('a supervisor', () => {
  it('gives each task a signal of its own, and ends them all', async () => {
    const supervisor = new Supervisor(silentLogger(), new SystemClock())
    const signals: AbortSignal[] = []
    const ended = Array.from({ length: 12 }, async (_, index) => await supervisor.start(`task ${index}`, async (signal) => {
      signals.push(signal)
      await new Wake().wait(60_000, signal)
    }))
    expect(signals.map((signal) => getEventListeners(signal, 'abort').length)).toEqual(signals.map(() => 1))
    expect(new Set(signals).size).toBe(12)
    await supervisor.stop()
    await Promise.all(ended)
  })
})
