// An instance stops while the store is unresponsive, so its last call to the store gets no response. If the instance waited for
// it, it would be killed at the end of the grace period without writing its last log lines.
import { describe, expect, it } from 'vitest'
import { waitAtMost } from '../src/runtime/wait-at-most.js'

describe('waiting for work with a time limit', () => {
  it('ends with the work, or when the time is over if the work hangs', async () => {
    const ended: string[] = []
    const work = Promise.resolve().then(() => { ended.push('work') })
    await waitAtMost(10_000, work)
    await waitAtMost(20, new Promise(() => { /* Never settled, like a call to an unresponsive store. */ }))
    ended.push('hung')
    expect(ended).toEqual(['work', 'hung'])
  })

  // Guards against a process that stays alive after its stop because of the timer of work that failed.
  it('leaves no timer behind when the work fails', async () => {
    const timersBefore = process.getActiveResourcesInfo().filter((name) => name === 'Timeout').length
    await expect(waitAtMost(10_000, Promise.reject(new Error('failed')))).rejects.toThrow('failed')
    expect(process.getActiveResourcesInfo().filter((name) => name === 'Timeout').length).toBe(timersBefore)
  })

  it('does not wait at all when no time is left', async () => {
    await expect(waitAtMost(-5, new Promise(() => { /* Never settled. */ }))).resolves.toBeUndefined()
  })
})
