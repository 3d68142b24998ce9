// Guards against a shared abort signal for the tasks of one tree. When a dozen tasks wait on one signal, Node.js reports their
// listeners as a leak; the warning makes test runs fail and hides real leaks.
import { getEventListeners } from 'node:events'
import { silentLogger, SystemClock } from '@limpetwinch/core'
import { describe, expect, it } from 'vitest'
import { Wake } from '../../src/concurrency/wake.js'
import { Supervisor } from '../../src/runtime/supervisor.js'

describe('a supervisor', () => {
  it('gives each task its own signal, and stops all tasks', async () => {
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
