import { afterEach, describe, expect, it } from 'vitest'
import { HttpEngineClient } from '@limpetwinch/core'
import type { EndpointId, FencingToken, LoadedName, RequestId } from '@limpetwinch/core'
import { expectedAnswer, StandInEngine } from '@limpetwinch/stand-ins'
import type { EngineFaults } from '@limpetwinch/stand-ins'
import { EngineAnswer } from '../../src/delivery/engine-answer.js'
import type { AnswerEvent } from '../../src/delivery/engine-answer.js'
import { Relay } from '../support/relay.js'

const ADAPTER = 'history/essays@v1' as LoadedName
const TOKENS = 40
const engines: StandInEngine[] = []
const clients: HttpEngineClient[] = []

async function startEngine (faults: EngineFaults): Promise<{ engine: StandInEngine, client: HttpEngineClient }> {
  const engine = new StandInEngine({ name: 'engine-1', faults, stepMilliseconds: 2, loadMilliseconds: 1 })
  const url = await engine.listen()
  const client = new HttpEngineClient('engine-1' as EndpointId, url)
  engines.push(engine)
  clients.push(client)
  const source = { team: 'history', adapter: 'essays', version: 'v1' } as unknown as Parameters<HttpEngineClient['load']>[1]
  const loaded = await client.load({ name: ADAPTER, token: 1 as FencingToken }, source)
  expect(loaded.isOk()).toBe(true)
  return { engine, client }
}

function answerOf (client: HttpEngineClient): EngineAnswer {
  const request = { requestId: 'request-1' as RequestId, adapter: ADAPTER, prompt: 'Why?', maximumTokens: TOKENS, priority: 5, seed: 7 }
  return new EngineAnswer('engine-1' as EndpointId, client, request, { idleTimeoutMilliseconds: 300, resumesWithoutProgress: 3 })
}

async function collect (events: AsyncIterable<AnswerEvent>, onText: (tokens: number) => void = () => undefined): Promise<{ text: string, last: AnswerEvent | undefined }> {
  let tokens = 0
  let text = ''
  let last: AnswerEvent | undefined
  for await (const event of events) {
    last = event
    if (event.kind !== 'text') continue
    text += event.texts.join('')
    tokens += event.texts.length
    onText(tokens)
  }
  return { text, last }
}

function runsOf (engine: StandInEngine): number {
  return engine.history.all().filter((event) => event.event === 'run-started').length
}

const completeResponse = expectedAnswer({ adapter: ADAPTER, prompt: 'Why?', seed: 7 }, TOKENS)

afterEach(async () => {
  await Promise.all(clients.splice(0).map(async (client) => await client.close()))
  await Promise.all(engines.splice(0).map(async (engine) => await engine.close()))
})

describe('the complete response of an engine', () => {
  // Guards against repeated and swapped words in the response: the engine sends every third part twice and every fourth
  // part after the one that follows it.
  it('puts duplicate and late parts in order', async () => {
    const { client } = await startEngine({ duplicateEvery: 3, lateEvery: 4 })
    const { text, last } = await collect(answerOf(client).events(new AbortController().signal))
    expect(text).toBe(completeResponse)
    expect(last?.kind).toBe('end')
  })

  // Guards against a truncated response or a second run when connections break: two streams in a row are cut after three
  // parts while the run continues. Each time the stream is resumed from the next position.
  it('resumes a dropped stream without running the request twice', async () => {
    const { engine, client } = await startEngine({ dropStreams: 2, dropAfterTokens: 3 })
    const { text, last } = await collect(answerOf(client).events(new AbortController().signal))
    expect(text).toBe(completeResponse)
    expect(last?.kind).toBe('end')
    expect(runsOf(engine)).toBe(1)
  })

  // Guards against waiting for ever on a connection that a network device has dropped without an error: after ten tokens no
  // data arrives any more. New connections work, so the stream is resumed on one of them after the idle timeout.
  it('leaves an unresponsive connection', async () => {
    const { engine, client } = await startEngine({})
    const { text, last } = await collect(answerOf(client).events(new AbortController().signal), (tokens) => {
      if (tokens === 10) engine.setFaults({ silenceConnections: true })
    })
    expect(text).toBe(completeResponse)
    expect(last?.kind).toBe('end')
    expect(runsOf(engine)).toBe(1)
  })

  // Guards against a run that is abandoned after a number of unresponsive connections while its engine still works on it.
  it('waits for an unresponsive engine as long as its caller does', async () => {
    const { engine, client } = await startEngine({})
    const { text, last } = await collect(answerOf(client).events(new AbortController().signal), (tokens) => {
      if (tokens === 10) engine.setFaults({ silenceConnections: true, silentConnections: 6 })
    })
    expect(text).toBe(completeResponse)
    expect(last?.kind).toBe('end')
    expect(runsOf(engine)).toBe(1)
  })

  // Guards against using up all resumes within milliseconds while the network to a running engine fails for a moment.
  it('continues after a short network failure', async () => {
    const { engine } = await startEngine({})
    const relay = new Relay(Number(new URL(engine.url).port), () => false)
    const relayed = new HttpEngineClient('engine-1' as EndpointId, `http://${await relay.listen()}`)
    clients.push(relayed)
    let restored: Promise<unknown> = Promise.resolve()
    const { text, last } = await collect(answerOf(relayed).events(new AbortController().signal), (tokens) => {
      if (tokens === 10) restored = relay.breakFor(500)
    })
    await restored
    await relay.close()
    expect(text).toBe(completeResponse)
    expect(last?.kind).toBe('end')
    expect(runsOf(engine)).toBe(1)
  })

  // Guards against counting the time in which a slow caller does not read as idle time of the engine, which would open
  // needless connections.
  it('does not mistake a slow caller for an unresponsive engine', async () => {
    const { engine, client } = await startEngine({})
    let text = ''
    for await (const event of answerOf(client).events(new AbortController().signal)) {
      if (event.kind === 'text' && text === '') await new Promise((resolve) => setTimeout(resolve, 1_000))
      if (event.kind === 'text') text += event.texts.join('')
    }
    expect(text).toBe(completeResponse)
    expect(engine.calls).toEqual({ generate: 1, resume: 0, cancel: 0 })
  })

  // Guards against the outcome `not_run` for a request that has partly run: the engine restarts in the middle of the
  // response and no longer knows the request.
  it('reports a restarted engine with outcome unknown, never not_run', async () => {
    const { engine, client } = await startEngine({})
    const { last } = await collect(answerOf(client).events(new AbortController().signal), (tokens) => {
      if (tokens === 5) engine.restart()
    })
    expect(last).toMatchObject({ kind: 'error', error: { kind: 'endpoint-failed', outcome: 'unknown' } })
  })

  // Guards against the outcome `unknown` for a request that the engine itself refused, which the caller could safely retry.
  it('reports a refusal with outcome not_run', async () => {
    const { engine, client } = await startEngine({ refuse: true })
    const { last } = await collect(answerOf(client).events(new AbortController().signal))
    expect(last).toMatchObject({ kind: 'error', error: { outcome: 'not_run' } })
    expect(runsOf(engine)).toBe(0)
  })
})
