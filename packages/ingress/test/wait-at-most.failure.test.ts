// An instance is told to stop while the store is silent. Its last call to the store is never answered; waiting for it, the
// instance would be killed at the end of its grace, with its last log lines unwritten.
import { describe, expect, it } from 'vitest'
import { waitAtMost } from '../src/runtime/wait-at-most.js'

describe('waiting for something that may take too long', () => {
  it('ends with the work, or with its time when the work hangs', async () => {
    const ended: string[] = []
    const work = Promise.resolve().then(() => { ended.push('work') })
    await waitAtMost(10_000, work)
    await waitAtMost(20, new Promise(() => { /* Never settled, as a call to a silent store. */ }))
    ended.push('hung')
    expect(ended).toEqual(['work', 'hung'])
  })

  it('does not wait at all when no time is left', async () => {
    await expect(waitAtMost(-5, new Promise(() => { /* Never settled. */ }))).resolves.toBeUndefined()
  })
})
