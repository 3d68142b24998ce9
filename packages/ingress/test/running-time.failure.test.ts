// Guards against an answer that counts as long because this process was paused before it read the end: a crashing part would be taken for sound.
import { setTimeout as sleep } from 'node:timers/promises'
import { SystemClock } from '@limpetwinch/core'
import { afterEach, describe, expect, it } from 'vitest'
import { RunningTime } from '../src/quarantine/running-time.js'

const BLOCKED_MILLISECONDS = 600
const TICK_MILLISECONDS = 50

let time: RunningTime | undefined

afterEach(() => time?.keepOn(false))

describe('the running time', () => {
  it('stands still while the event loop is blocked, and while it is off', async () => {
    time = new RunningTime(new SystemClock())
    time.keepOn(true)
    const before = time.now()
    for (const end = performance.now() + BLOCKED_MILLISECONDS; performance.now() < end;);
    await sleep(0)
    expect(time.now() - before).toBeLessThanOrEqual(TICK_MILLISECONDS)
    await time.elapsed(4 * TICK_MILLISECONDS)
    expect(time.now() - before).toBeGreaterThanOrEqual(4 * TICK_MILLISECONDS)
    time.keepOn(false)
    const off = time.now()
    await sleep(2 * TICK_MILLISECONDS)
    expect(time.now()).toBe(off)
  })
})
