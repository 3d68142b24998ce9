import { StandInEngine } from '@limpetwinch/stand-ins'
import { describe, expect, it, onTestFinished } from 'vitest'
import { BareRelay, USAGE_PATH } from '../../src/bench/path/bare-relay.js'
import { runWorker } from '../../src/bench/path/run-worker.js'

describe('bare relay', () => {
  it('forwards complete responses to a load worker and reports its processor time', async () => {
    const engine = new StandInEngine({ stepMilliseconds: 1 })
    const relay = new BareRelay(await engine.listen())
    const url = await relay.listen()
    onTestFinished(async () => {
      await relay.close()
      await engine.close()
    })
    const { straight } = await runWorker({
      entry: url,
      key: '',
      engines: [url],
      models: ['team/poet@1'],
      seed: 1,
      seconds: 0.5,
      promptTokens: 8,
      outputTokens: 5,
      load: { mode: 'open', throughRate: 0, straightRate: 40 }
    })
    expect(straight.requests).toBeGreaterThan(0)
    expect(straight).toMatchObject({ outcomes: { answered: straight.requests }, tokens: 5 * straight.requests })
    expect(await (await fetch(url + USAGE_PATH)).json()).toEqual({ processorMicroseconds: expect.any(Number) })
  })
})
