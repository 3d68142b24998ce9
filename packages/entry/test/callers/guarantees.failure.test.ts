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

/** Sends a request with a key, which is claimed slowly, and leaves before the claim is answered. */
async function leaveDuringClaim (path: string, body: string): Promise<string> {
  const gone = new AbortController()
  const headers = { ...NOT_IDEMPOTENT, 'idempotency-key': `left ${path}` }
  const answer = running.call(path, body, headers, gone.signal).then(() => 'answered', () => 'left')
  setTimeout(() => gone.abort(), 200)
  return await answer
}

async function requestsInProgress (): Promise<number> {
  const response = await request(`${running.admin}/admin/status`, { headers: { authorization: `Bearer ${ADMINISTRATOR_KEY}` } })
  return (await response.body.json() as { requestsInProgress: number }).requestsInProgress
}

describe('what a caller is told', () => {
  // The caller has its whole answer, streamed or not. Nothing is left to cancel: an order to the engine for each
  // answered request would cost as much as the request, and the router would never hear that the engine answers.
  it('is the end of the request: nothing is cancelled behind it', async () => {
    await start()
    for (const stream of [true, false, true]) expect((await running.complete({ stream })).status).toBe(200)
    const gone = new AbortController()
    const left = running.complete({ max_tokens: 100_000 }, {}, gone.signal).catch(() => undefined)
    await vi.waitFor(() => expect(running.runs).toBe(4), WAIT)
    gone.abort()
    await left
    // The run that was left is cancelled, and taken up once to hear that it has ended, since until then it pins its adapter.
    await vi.waitFor(() => expect(running.engine.calls.resume).toBeGreaterThan(0), WAIT)
    expect(running.engine.calls).toEqual({ generate: 4, resume: 1, cancel: 1 })
  })

  // The caller of an idempotent request sees its whole answer, each word once.
  // The engine restarts cold in the middle. The request is run again with the same seed; what the caller has read
  // already is compared and not sent a second time.
  it('goes on with an idempotent answer over a cold restart of the engine', async () => {
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

  // The caller of a non-idempotent request is told `unknown`, and the engine ran it once.
  // The engine restarts in the middle of the run. Running it again could do its work twice.
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

  // The caller is told at once that its deadline cannot be met, that nothing was run, and when to come back.
  // The engine's slots are busy with others; holding the request until near its deadline would tell it no more.
  it('says when to come back when the weights cannot be had', async () => {
    await start({ engine: { faults: { failLoadsOf: ['history/essays@v2'] } } })
    const answer = await running.complete()
    expect(answer.status).toBe(503)
    expect(JSON.parse(answer.text)).toMatchObject({ error: { code: 'load_failed', outcome: 'not_run' } })
    expect(Number(answer.headers['retry-after'])).toBeGreaterThanOrEqual(1)
    expect(running.runs).toBe(0)
  })

  // The caller retries with its key and is told that the first one was answered; the work is done once.
  it('runs an idempotency key once, and refuses its retry', async () => {
    await start()
    const headers = { ...NOT_IDEMPOTENT, 'idempotency-key': 'invoice-17' }
    const first = await running.complete({}, headers)
    const second = await running.complete({}, headers)
    expect(first.status).toBe(200)
    expect(JSON.parse(second.text)).toMatchObject({ error: { code: 'key_already_used', outcome: 'unknown' } })
    expect(running.runs).toBe(1)
  })

  // The caller left while its key was claimed; neither the engine nor the service does its work.
  // Guards against work for nobody: the word that the caller is gone comes once, and came before anyone listened.
  it('runs nothing for a caller that left while its key was claimed', async () => {
    await start()
    running.platform.store.faults.slowness = 500
    const left = await Promise.all([leaveDuringClaim('/v1/completions', COMPLETION), leaveDuringClaim('/services/echo/bill', '{}')])
    expect(left).toEqual(['left', 'left'])
    await vi.waitFor(async () => expect(await requestsInProgress()).toBe(0), WAIT)
    expect(running.runs).toBe(0)
    expect(running.service.history.all().filter((event) => event.event === 'run-started')).toEqual([])
  })

  // The caller of a plain service call that may not be repeated is told `unknown`; the service ran it once.
  // The service does its work and its connection breaks before the answer.
  it('makes a service call that may not be repeated once', async () => {
    await start()
    running.service.setFaults({ failAfter: 1 })
    const answer = await running.call('/services/echo/bill', '{}')
    expect(JSON.parse(answer.text)).toMatchObject({ error: { code: 'endpoint_failed', outcome: 'unknown' } })
    expect(running.service.history.all().filter((event) => event.event === 'run-started')).toHaveLength(1)
  })

  // The caller of a service call that may be repeated is answered; the service ran it twice.
  // Guards against a search that ends with the only endpoint's broken connection although its fault may have passed.
  it('repeats a service call at its only endpoint when nobody else can take it', async () => {
    await start()
    running.service.setFaults({ failAfter: 1 })
    const answer = await running.call('/services/echo/bill', '{}', { 'x-limpetwinch-idempotent': 'true' })
    expect(answer.status, answer.text).toBe(200)
    expect(running.service.history.all().filter((event) => event.event === 'run-started')).toHaveLength(2)
  })

  // The caller over its team's rate is refused at once with the time to come back; nothing was run.
  it('refuses early what is over the limits of the team', async () => {
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
  // The callers of requests in progress see their whole answers; the instance is not ready from the first moment on.
  // It is told to stop while a long answer streams; it goes only when that has ended.
  it('cuts off no request in progress', async () => {
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
  // Callers are told `not_run` and when to come back as soon as the list shows the only engine as leaving; the engine
  // begins no request any more, and the one in progress ends whole.
  it('gets no new work, and finishes what it has', async () => {
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

describe('the key of a team', () => {
  it('is answered with its own models only', async () => {
    await start()
    const response = await request(`${running.url}/v1/models`, { headers: { authorization: `Bearer ${KEY}` } })
    const { data } = await response.body.json() as { data: { id: string }[] }
    expect(data.map((model) => model.id)).toEqual(['history/essays@v1', 'history/essays@v2'])
  })
})
