// Guards against long pauses of the streams on an engine when many callers send long prompts to it at once, and against prompts that never get
// their turn: behind more urgent ones, or behind one whose end was never reported.
import { describe, expect, it } from 'vitest'
import { PrefillTurnQueue } from '../src/routing/prefill-turn-queue.js'
import type { PrefillLimits, PrefillTurnRequest } from '../src/routing/prefill-turn-queue.js'

const PAUSE_MILLISECONDS = 500
const FAST: PrefillLimits = { pauseMilliseconds: PAUSE_MILLISECONDS, prefillMilliseconds: (tokens) => tokens / 40 }
const SLOW: PrefillLimits = { pauseMilliseconds: PAUSE_MILLISECONDS, prefillMilliseconds: (tokens) => tokens / 20 }
/** Read in 200 ms by the fast engine and in 400 ms by the slow one. */
const LONG_TOKENS = 8_000

function prompt (id: string, sample: Partial<PrefillTurnRequest> = {}): PrefillTurnRequest {
  return { id, tokens: LONG_TOKENS, priority: 1, onTimeUntil: 600, ...sample }
}

/** @returns a queue that was asked for these turns at time 0, in this order */
function queueOf (limits: PrefillLimits, ...prompts: readonly PrefillTurnRequest[]): PrefillTurnQueue {
  const queue = new PrefillTurnQueue()
  for (const each of prompts) queue.ask(each, limits, 0)
  return queue
}

function granted (queue: PrefillTurnQueue, limits: PrefillLimits, now: number): string[] {
  return queue.grant(limits, now).map(({ id, reason }) => `${id} ${reason}`)
}

describe('many long prompts at once on one engine', () => {
  it.each([['two at a time on a fast engine', FAST, ['a idle', 'b fits']], ['one at a time on a slow engine', SLOW, ['a idle']]])('are read %s', (_name, limits, first) => {
    const queue = queueOf(limits, prompt('a'), prompt('b'), prompt('c'), prompt('d'))
    expect(granted(queue, limits, 0)).toEqual(first)
    expect(granted(queue, limits, 50)).toEqual([])
    queue.end('a')
    expect(granted(queue, limits, 100)).toEqual([first.length === 1 ? 'b idle' : 'c fits'])
  })

  it('are read alone when each takes longer than the accepted pause', () => {
    const queue = queueOf(SLOW, prompt('a', { tokens: 30_000 }), prompt('b', { tokens: 30_000 }))
    expect(granted(queue, SLOW, 0)).toEqual(['a idle'])
    queue.end('a')
    expect(granted(queue, SLOW, 10)).toEqual(['b idle'])
  })

  it('are sent when they can wait no longer', () => {
    const queue = queueOf(SLOW, prompt('a'), prompt('b', { onTimeUntil: 300 }), prompt('c'))
    expect(granted(queue, SLOW, 0)).toEqual(['b idle'])
    expect(queue.nextChangeAt).toBe(600)
    expect(granted(queue, SLOW, 600)).toEqual(['a due', 'c due'])
  })
})

describe('the order of long prompts', () => {
  it('is by priority, then by the time that is left', () => {
    const queue = queueOf(SLOW, prompt('later', { onTimeUntil: 900 }), prompt('sooner'), prompt('less urgent', { priority: 2, onTimeUntil: 100 }), prompt('urgent', { priority: 0, onTimeUntil: 900 }))
    const order: string[] = []
    for (let now = 0; order.length < 4; now += 10) {
      for (const { id } of queue.grant(SLOW, now)) {
        order.push(id)
        queue.end(id)
      }
    }
    expect(order).toEqual(['urgent', 'sooner', 'later', 'less urgent'])
  })

  it('lets those that can be on time pass a late one, which goes after one accepted pause at the latest', () => {
    const queue = queueOf(SLOW, prompt('first'), prompt('late', { onTimeUntil: -10 }))
    queue.grant(SLOW, 0)
    for (let now = 50; now < PAUSE_MILLISECONDS; now += 50) {
      queue.ask(prompt(`next ${now}`, { onTimeUntil: now + 600 }), SLOW, now)
      queue.end(now === 50 ? 'first' : `next ${now - 50}`)
      expect(granted(queue, SLOW, now)).toEqual([`next ${now} idle`])
    }
    expect(granted(queue, SLOW, PAUSE_MILLISECONDS)).toEqual(['late due'])
  })
})

describe('a turn whose end is never reported', () => {
  it('expires, so that the next prompt gets its turn', () => {
    const queue = queueOf(SLOW, prompt('lost'), prompt('next', { onTimeUntil: 10_000 }))
    queue.grant(SLOW, 0)
    expect(queue.view).toEqual({ waiting: 1, waitingTokens: LONG_TOKENS, reading: 1, readingTokens: LONG_TOKENS })
    const expiresAt = queue.nextChangeAt ?? Infinity
    expect(queue.expire(expiresAt - 1)).toEqual([])
    expect(queue.expire(expiresAt)).toEqual(['lost'])
    expect(granted(queue, SLOW, expiresAt)).toEqual(['next idle'])
  })
})
