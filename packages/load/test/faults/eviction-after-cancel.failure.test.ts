// A caller leaves in the middle of an answer, and its request is cancelled. The engine answers the cancellation and
// goes on for a while, as one does that ends a sequence with its next steps, or that missed it. The owner took that
// answer for the end of the run, so that the adapter was evicted while the run still used it (found by seed 16142).
import { setTimeout as sleep } from 'node:timers/promises'
import { request } from 'undici'
import { afterAll, beforeAll, describe, expect, it } from 'vitest'
import { Deployment } from '../../src/faults/deployment.js'
import { keyOf } from '../../src/faults/sample-deployment.js'
import { HistoryChecker, standInAnswer } from '../../src/history/index.js'

const LONG_TOKENS = 400

describe('a cancelled run', () => {
  const deployment = new Deployment({ instances: 1, fencing: ['refuses'], processes: false, mutant: undefined })

  beforeAll(async () => { await deployment.start() })

  afterAll(async () => { await deployment.close() })

  async function complete (adapter: string, tokens: number, signal?: AbortSignal): Promise<number> {
    const body = JSON.stringify({ model: `athletics/${adapter}`, prompt: adapter, max_tokens: tokens, seed: 1 })
    const headers = { authorization: `Bearer ${keyOf('athletics')}` }
    const answer = await request(`${deployment.entries[0]!.caller}/v1/completions`, { method: 'POST', headers, body, ...(signal === undefined ? {} : { signal }) })
    await answer.body.dump()
    return answer.statusCode
  }

  async function untilRuns (): Promise<void> {
    while (!deployment.history().some((event) => event.event === 'run-started')) await sleep(5)
  }

  it('keeps its adapter on the engine until it has ended', async () => {
    deployment.engines[0]!.setFaults({ ignoreCancel: true })
    const leaving = new AbortController()
    const left = complete('essay@1', LONG_TOKENS, leaving.signal).catch(() => 'left')
    await untilRuns()
    leaving.abort()
    expect(await left).toBe('left')
    for (const adapter of ['notes@1', 'blurb@1', 'notes@2', 'blurb@2']) expect(await complete(adapter, 1)).toBe(200)
    const violations = new HistoryChecker(standInAnswer).check(deployment.history())
    expect(violations.map(({ message }) => message)).toEqual([])
  })
})
