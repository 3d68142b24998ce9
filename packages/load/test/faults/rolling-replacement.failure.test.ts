// Callers see nothing while every instance is replaced: each request gets its whole answer, none is refused.
// One after another a new instance joins the balancer and an old one is told to stop under steady load. It hands its
// engines over with what is loaded and pinned there, so that adapters are not loaded anew by each new owner.
import { setTimeout as sleep } from 'node:timers/promises'
import { request } from 'undici'
import { afterAll, beforeAll, describe, expect, it } from 'vitest'
import { Deployment } from '../../src/faults/deployment.js'
import { keyOf } from '../../src/faults/sample-deployment.js'
import { HistoryChecker, standInAnswer } from '../../src/history/index.js'

const CALLERS = 6
const TOKENS = 40
/** A queue may ask for another copy meanwhile; the six adapters in use loaded anew would be six. */
const MOST_NEW_COPIES = 3
const MODELS = ['essay@1', 'notes@1']

describe('replacing every instance under load', () => {
  const deployment = new Deployment({ instances: 3, fencing: ['refuses', 'ignores', 'refuses'], processes: false, mutant: undefined })
  const refusals: string[] = []
  const state = { answered: 0, calling: true }

  beforeAll(async () => { await deployment.start() })

  afterAll(async () => { await deployment.close() })

  async function callAgainAndAgain (caller: number): Promise<void> {
    for (let turn = 0; state.calling; turn += 1) {
      const instances = deployment.entries.filter((entry) => entry.receivesRequests)
      const entry = instances[(caller + turn) % instances.length]
      const model = `athletics/${MODELS[turn % MODELS.length]}`
      const answer = await request(`${entry?.caller}/v1/completions`, {
        method: 'POST',
        headers: { authorization: `Bearer ${keyOf('athletics')}` },
        body: JSON.stringify({ model, prompt: `${caller} ${turn}`, max_tokens: TOKENS, seed: 1 })
      })
      const text = await answer.body.text()
      if (answer.statusCode === 200) state.answered += 1
      else refusals.push(text)
    }
  }

  async function untilAnswered (requests: number): Promise<void> {
    while (state.answered < requests) await sleep(10)
  }

  it('cuts off, refuses and loads nothing anew', async () => {
    const callers = Array.from({ length: CALLERS }, async (_, caller) => await callAgainAndAgain(caller))
    await untilAnswered(4 * CALLERS)
    const loads = (): number => deployment.history().filter((event) => event.event === 'order' && event.order === 'load' && event.result === 'done').length
    const before = loads()
    for (const old of [...deployment.entries]) {
      await deployment.addEntry()
      await deployment.stopEntry(old)
    }
    await untilAnswered(state.answered + 4 * CALLERS)
    state.calling = false
    await Promise.all(callers)
    expect(refusals).toEqual([])
    // Without a hand-over the next owner takes over as after a loss, and its record names no earlier token.
    expect(deployment.ownershipRecords().filter((record) => record.handedOverFrom === undefined)).toEqual([])
    // What was handed over is granted at once; a new owner that had to ask would order each adapter again.
    expect(loads() - before).toBeLessThanOrEqual(MOST_NEW_COPIES)
    const violations = new HistoryChecker(standInAnswer).check(deployment.history())
    expect(violations.map(({ message }) => message)).toEqual([])
  })
})
