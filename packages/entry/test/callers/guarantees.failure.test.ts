import { afterEach, describe, expect, it, vi } from 'vitest'
import { request } from 'undici'
import { expectedAnswer } from '@limpetwinch/stand-ins'
import { ADMINISTRATOR_KEY, KEY, RunningEntry } from '../support/running-entry.js'
import type { RunningEntryOptions } from '../support/running-entry.js'

const WAIT = { timeout: 30_000, interval: 10 }
let running: RunningEntry

async function start (options: RunningEntryOptions = {}): Promise<RunningEntry> {
  running = new RunningEntry(options)
  await running.start()
  return running
}

afterEach(async () => { await running.stop() })

const NOT_IDEMPOTENT = { 'x-limpetwinch-idempotent': 'false' }
const answerText = (tokens: number): string => expectedAnswer({ adapter: 'history/essays@v2', prompt: 'Why?', seed: 7 }, tokens)

const COMPLETION = JSON.stringify({ model: 'history/essays', prompt: 'Why?', max_tokens: 8, seed: 7 })

/** Sends a request with an idempotency key and disconnects before the store has answered the claim of the key. */
async function leaveDuringClaim (path: string, body: string): Promise<string> {
  const disconnect = new AbortController()
  const headers = { ...NOT_IDEMPOTENT, 'idempotency-key': `left ${path}` }
  const answer = running.call(path, body, headers, disconnect.signal).then(() => 'answered', () => 'left')
  setTimeout(() => disconnect.abort(), 200)
  return await answer
}

async function requestsInProgress (): Promise<number> {
  const response = await request(`${running.admin}/admin/status`, { headers: { authorization: `Bearer ${ADMINISTRATOR_KEY}` } })
  return (await response.body.json() as { requestsInProgress: number }).requestsInProgress
}

describe('an instance', () => {
  // Guards against a cancellation after a complete answer, streamed or not: a cancel call to the engine for each answered
  // request would cost as much as the request, and the router would never learn that the engine answers.
  it('cancels nothing after a complete answer', async () => {
    await start()
    for (const stream of [true, false, true]) expect((await running.complete({ stream })).status).toBe(200)
    const disconnect = new AbortController()
    const left = running.complete({ max_tokens: 100_000 }, {}, disconnect.signal).catch(() => undefined)
    await vi.waitFor(() => expect(running.runs).toBe(4), WAIT)
    disconnect.abort()
    await left
    // The abandoned run is cancelled, and resumed once to learn that it has ended, since until then it pins its adapter.
    await vi.waitFor(() => expect(running.engine.calls.resume).toBeGreaterThan(0), WAIT)
    expect(running.engine.calls).toEqual({ generate: 4, resume: 1, cancel: 1 })
  })

  // Guards against text that is missing or sent twice: the engine restarts cold in the middle of an idempotent request. The
  // request runs again with the same seed, and text that the caller has already received is compared and not sent again.
  it('continues an idempotent answer after a cold restart of the engine', async () => {
    await start({ engine: { stepMilliseconds: 5 } })
    const answer = running.complete({ max_tokens: 100, stream: true })
    await vi.waitFor(() => expect(running.runs).toBe(1), WAIT)
    running.engine.restart()
    const { status, text } = await answer
    expect(status).toBe(200)
    const texts = text.split('\n\n').filter((event) => event.startsWith('data: {')).map((event) => JSON.parse(event.slice(6)).choices[0].text)
    expect(texts.join('')).toBe(answerText(100))
    expect(text.endsWith('data: [DONE]\n\n')).toBe(true)
  })

  // Guards against work that is done twice: the engine restarts in the middle of a non-idempotent request. The caller
  // receives the outcome `unknown`, and the engine runs the request only once.
  it('never runs a non-idempotent request again', async () => {
    await start({ engine: { stepMilliseconds: 5 } })
    const answer = running.complete({ max_tokens: 100 }, NOT_IDEMPOTENT)
    await vi.waitFor(() => expect(running.runs).toBe(1), WAIT)
    running.engine.restart()
    const { text } = await answer
    expect(JSON.parse(text)).toMatchObject({ error: { code: 'endpoint_failed', outcome: 'unknown' } })
    expect((await running.complete()).status).toBe(200)
    expect(running.runs).toBe(2)
  })

  // Guards against a request that waits for weights until its deadline: every load of its adapter fails at the engine. The
  // caller receives the outcome `not_run` and the time to retry after.
  it('reports the time to retry after when the weights cannot be loaded', async () => {
    await start({ engine: { faults: { failLoadsOf: ['history/essays@v2'] } } })
    const answer = await running.complete()
    expect(answer.status).toBe(503)
    expect(JSON.parse(answer.text)).toMatchObject({ error: { code: 'load_failed', outcome: 'not_run' } })
    expect(Number(answer.headers['retry-after'])).toBeGreaterThanOrEqual(1)
    expect(running.runs).toBe(0)
  })

  // Guards against work that is done twice: a caller retries an answered request with its idempotency key, and the retry is
  // refused because the key was already used.
  it('runs the request of an idempotency key once and refuses its retry', async () => {
    await start()
    const headers = { ...NOT_IDEMPOTENT, 'idempotency-key': 'invoice-17' }
    const first = await running.complete({}, headers)
    const second = await running.complete({}, headers)
    expect(first.status).toBe(200)
    expect(JSON.parse(second.text)).toMatchObject({ error: { code: 'key_already_used', outcome: 'unknown' } })
    expect(running.runs).toBe(1)
  })

  // Guards against work for a caller that disconnected while its key was claimed: the `close` event of the connection is
  // emitted only once, before the delivery adds its listener.
  it('runs nothing for a caller that disconnected while its key was claimed', async () => {
    await start()
    running.platform.store.faults.slowness = 500
    const left = await Promise.all([leaveDuringClaim('/v1/completions', COMPLETION), leaveDuringClaim('/services/echo/bill', '{}')])
    expect(left).toEqual(['left', 'left'])
    await vi.waitFor(async () => expect(await requestsInProgress()).toBe(0), WAIT)
    expect(running.runs).toBe(0)
    expect(running.service.history.all().filter((event) => event.event === 'run-started')).toEqual([])
  })

  // Guards against a repeated non-idempotent service call: the service does its work and the connection breaks before the
  // answer. The caller receives the outcome `unknown`, and the service runs the call once.
  it('makes a non-idempotent service call only once', async () => {
    await start()
    running.service.setFaults({ failAfter: 1 })
    const answer = await running.call('/services/echo/bill', '{}')
    expect(JSON.parse(answer.text)).toMatchObject({ error: { code: 'endpoint_failed', outcome: 'unknown' } })
    expect(running.service.history.all().filter((event) => event.event === 'run-started')).toHaveLength(1)
  })

  // Guards against a failover that ends after the broken connection of the only endpoint, although its fault may have
  // passed: an idempotent service call is retried at the same endpoint and answered.
  it('retries an idempotent service call at its only endpoint', async () => {
    await start()
    running.service.setFaults({ failAfter: 1 })
    const answer = await running.call('/services/echo/bill', '{}', { 'x-limpetwinch-idempotent': 'true' })
    expect(answer.status, answer.text).toBe(200)
    expect(running.service.history.all().filter((event) => event.event === 'run-started')).toHaveLength(2)
  })

  // Guards against requests above the rate of a team that wait or run: they are refused at once with the time to retry after.
  it('refuses requests above the limits of the team immediately', async () => {
    await start({ teamLimits: { requestsPerSecond: 1, tokensPerSecond: 100_000, inFlight: 10, queued: 10 } })
    const answers = await Promise.all(Array.from({ length: 8 }, async () => await running.complete()))
    const refused = answers.filter((answer) => answer.status === 429)
    expect(refused.length).toBeGreaterThan(0)
    for (const answer of refused) {
      expect(JSON.parse(answer.text)).toMatchObject({ error: { code: 'rate_limited', outcome: 'not_run' } })
      expect(Number(answer.headers['retry-after'])).toBeGreaterThanOrEqual(1)
    }
    expect(running.runs).toBe(answers.length - refused.length)
  })
})

describe('a planned stop', () => {
  // Guards against a truncated answer: the instance is told to stop while a long answer streams. It reports at once that it
  // is not ready, and exits only after the answer is complete.
  it('truncates no answer in progress', async () => {
    await start({ engine: { stepMilliseconds: 40 } })
    const answer = running.complete({ max_tokens: 200, stream: true })
    await vi.waitFor(() => expect(running.runs).toBe(1), WAIT)
    const stopped = running.entry.stop()
    const ready = await request(`${running.admin}/ready`)
    await ready.body.dump()
    expect(ready.statusCode).toBe(503)
    const { text } = await answer
    expect(text.endsWith('data: [DONE]\n\n')).toBe(true)
    expect(await stopped).toBe(0)
  })
})

describe('a leaving endpoint', () => {
  // Guards against new work for the only engine after the instance list shows it as leaving: new requests receive the outcome
  // `not_run` and the time to retry after, and the request in progress completes.
  it('gets no new work and completes its requests in progress', async () => {
    await start({ engine: { stepMilliseconds: 10 } })
    const inProgress = running.complete({ max_tokens: 150 })
    await vi.waitFor(() => expect(running.runs).toBe(1), WAIT)
    const line = { id: 'engine-1', kind: 'endpoint', address: running.engine.url, dataCentre: 'north', state: 'leaving' }
    const put = await request(`${running.platform.url}/control/instances`, { method: 'PUT', headers: { 'content-type': 'application/json' }, body: JSON.stringify(line) })
    await put.body.dump()
    await vi.waitFor(async () => expect((await running.complete()).status).toBe(503), WAIT)
    const before = running.runs
    const refused = await running.complete()
    expect(JSON.parse(refused.text)).toMatchObject({ error: { outcome: 'not_run', retry_after_seconds: 1 } })
    expect(running.runs).toBe(before)
    expect((await inProgress).status).toBe(200)
  })
})

describe('the list of models', () => {
  it("contains only the models of the key's team", async () => {
    await start()
    const response = await request(`${running.url}/v1/models`, { headers: { authorization: `Bearer ${KEY}` } })
    const { data } = await response.body.json() as { data: { id: string }[] }
    expect(data.map((model) => model.id)).toEqual(['history/essays@v1', 'history/essays@v2'])
  })
})
