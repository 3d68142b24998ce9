// Guards against failed requests and repeated adapter loads while every instance is replaced under steady load. One
// after another, a new instance starts to receive requests and an old one is stopped as planned. The old instance hands
// over its engines with their loaded adapters and pins. Without that hand-over each new owner loads the adapters again.
import { setTimeout as sleep } from 'node:timers/promises'
import { request } from 'undici'
import { afterAll, beforeAll, describe, expect, it } from 'vitest'
import { Deployment } from '../../src/faults/deployment.js'
import { keyOf } from '../../src/faults/sample-deployment.js'
import { HistoryChecker, standInAnswer } from '../../src/history/index.js'

const CALLERS = 6
const TOKENS = 40
/** A long queue may order another copy of an adapter meanwhile; loading all adapters in use again would take six loads. */
const MAXIMUM_NEW_COPIES = 3
const MODELS = ['essay@1', 'notes@1']

describe('replacing every instance under load', () => {
  const deployment = new Deployment({ instances: 3, fencing: ['refuses', 'ignores', 'refuses'], processes: false, mutant: undefined })
  const refusals: string[] = []
  const state = { answered: 0, calling: true }

  beforeAll(async () => { await deployment.start() })

  afterAll(async () => { await deployment.close() })

  async function sendRequests (caller: number): Promise<void> {
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
    const callers = Array.from({ length: CALLERS }, async (_, caller) => await sendRequests(caller))
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
    // Without a hand-over the next owner recovers as after the loss of an owner, and its record names no previous token.
    expect(deployment.ownershipRecords().filter((record) => record.handedOverFrom === undefined)).toEqual([])
    // A new owner may use the handed-over adapters immediately; without a hand-over it would order each load again.
    expect(loads() - before).toBeLessThanOrEqual(MAXIMUM_NEW_COPIES)
    const violations = new HistoryChecker(standInAnswer).check(deployment.history())
    expect(violations.map(({ message }) => message)).toEqual([])
  })
})
