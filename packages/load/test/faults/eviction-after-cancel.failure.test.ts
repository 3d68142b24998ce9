// Guards against evicting an adapter that a cancelled run still uses. A caller disconnects in the middle of a response
// and its request is cancelled. The engine confirms the cancellation but continues the run, as engines do that end a
// sequence only after its next steps or that missed the cancellation. An owner that takes the confirmation for the end
// of the run evicts the adapter too early. Run seed 16142 showed this failure.
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

  async function untilRunStarted (): Promise<void> {
    while (!deployment.history().some((event) => event.event === 'run-started')) await sleep(5)
  }

  it('keeps its adapter on the engine until it has ended', async () => {
    deployment.engines[0]!.setFaults({ ignoreCancel: true })
    const disconnect = new AbortController()
    const cancelled = complete('essay@1', LONG_TOKENS, disconnect.signal).catch(() => 'left')
    await untilRunStarted()
    disconnect.abort()
    expect(await cancelled).toBe('left')
    for (const adapter of ['notes@1', 'blurb@1', 'notes@2', 'blurb@2']) expect(await complete(adapter, 1)).toBe(200)
    const violations = new HistoryChecker(standInAnswer).check(deployment.history())
    expect(violations.map(({ message }) => message)).toEqual([])
  })
})
