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

const whole = expectedAnswer({ adapter: ADAPTER, prompt: 'Why?', seed: 7 }, TOKENS)

afterEach(async () => {
  await Promise.all(clients.splice(0).map(async (client) => await client.close()))
  await Promise.all(engines.splice(0).map(async (engine) => await engine.close()))
})

describe('the whole answer of an engine', () => {
  // The caller sees the whole answer, each token once and in order.
  // The engine sends every third part twice and every fourth after the one that follows it; without the assembler
  // the caller would read doubled and swapped words.
  it('puts doubled and late parts in order', async () => {
    const { client } = await startEngine({ duplicateEvery: 3, lateEvery: 4 })
    const { text, last } = await collect(answerOf(client).events(new AbortController().signal))
    expect(text).toBe(whole)
    expect(last?.kind).toBe('end')
  })

  // The caller sees the whole answer, with a pause in the middle.
  // Two streams in a row are cut after three parts while the request runs on; each time the stream is taken up again
  // from the next position, and the engine has run the request once.
  it('takes a dropped stream up again without running it twice', async () => {
    const { engine, client } = await startEngine({ dropStreams: 2, dropAfterTokens: 3 })
    const { text, last } = await collect(answerOf(client).events(new AbortController().signal))
    expect(text).toBe(whole)
    expect(last?.kind).toBe('end')
    expect(runsOf(engine)).toBe(1)
  })

  // The caller sees the whole answer, with a pause of the silence limit.
  // After ten tokens something on the way loses track of the connection: nothing comes any more, and no error either.
  // New connections work, so the answer is taken up on one; waiting on the old one would last for ever.
  it('leaves a connection that has gone silent', async () => {
    const { engine, client } = await startEngine({})
    const { text, last } = await collect(answerOf(client).events(new AbortController().signal), (tokens) => {
      if (tokens === 10) engine.setFaults({ silenceConnections: true })
    })
    expect(text).toBe(whole)
    expect(last?.kind).toBe('end')
    expect(runsOf(engine)).toBe(1)
  })

  // The caller sees the whole answer, with a long pause: its deadline is far, and the run may not be begun elsewhere.
  // Guards against a run that is given up after a number of silent connections while its engine works on it.
  it('waits for a silent engine as long as its caller does', async () => {
    const { engine, client } = await startEngine({})
    const { text, last } = await collect(answerOf(client).events(new AbortController().signal), (tokens) => {
      if (tokens === 10) engine.setFaults({ silenceConnections: true, silentConnections: 6 })
    })
    expect(text).toBe(whole)
    expect(last?.kind).toBe('end')
    expect(runsOf(engine)).toBe(1)
  })

  // The caller sees the whole answer, with a pause in the middle.
  // Guards against resumes that are all spent within milliseconds while the way to a living engine is broken for a moment.
  it('goes on when the way to the engine is broken for a moment', async () => {
    const { engine } = await startEngine({})
    const relay = new Relay(Number(new URL(engine.url).port), () => false)
    const way = new HttpEngineClient('engine-1' as EndpointId, `http://${await relay.listen()}`)
    clients.push(way)
    let mended: Promise<unknown> = Promise.resolve()
    const { text, last } = await collect(answerOf(way).events(new AbortController().signal), (tokens) => {
      if (tokens === 10) mended = relay.breakFor(500)
    })
    await mended
    await relay.close()
    expect(text).toBe(whole)
    expect(last?.kind).toBe('end')
    expect(runsOf(engine)).toBe(1)
  })

  // The caller, which reads slowly, sees the whole answer; the engine sees one connection.
  // Guards against taking the time in which the caller does not read for silence of the engine.
  it('does not take a slow caller for a silent engine', async () => {
    const { engine, client } = await startEngine({})
    let text = ''
    for await (const event of answerOf(client).events(new AbortController().signal)) {
      if (event.kind === 'text' && text === '') await new Promise((resolve) => setTimeout(resolve, 1_000))
      if (event.kind === 'text') text += event.texts.join('')
    }
    expect(text).toBe(whole)
    expect(engine.calls).toEqual({ generate: 1, resume: 0, cancel: 0 })
  })

  // The caller is told that its request may have run.
  // The engine restarts cold in the middle of the answer and knows the request no more; it did run, in part.
  it('tells of a restarted engine as unknown, never as not run', async () => {
    const { engine, client } = await startEngine({})
    const { last } = await collect(answerOf(client).events(new AbortController().signal), (tokens) => {
      if (tokens === 5) engine.restart()
    })
    expect(last).toMatchObject({ kind: 'error', error: { kind: 'endpoint-failed', outcome: 'unknown' } })
  })

  // The caller may be told that nothing was run, since the engine itself refused it.
  it('tells of a refusal as not run', async () => {
    const { engine, client } = await startEngine({ refuse: true })
    const { last } = await collect(answerOf(client).events(new AbortController().signal))
    expect(last).toMatchObject({ kind: 'error', error: { outcome: 'not_run' } })
    expect(runsOf(engine)).toBe(0)
  })
})
