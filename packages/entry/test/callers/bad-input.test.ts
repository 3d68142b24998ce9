import { connect } from 'node:net'
import fc from 'fast-check'
import { afterAll, beforeAll, describe, expect, it } from 'vitest'
import { expectedAnswer } from '@limpetwinch/stand-ins'
import { OTHER_KEY, RunningEntry } from '../support/running-entry.js'

const SEED = 20_261

let running: RunningEntry

beforeAll(async () => {
  running = new RunningEntry({ limits: { bodySeconds: 1 } })
  await running.start()
})

afterAll(async () => { await running.stop() })

const completeText = expectedAnswer({ adapter: 'history/essays@v2', prompt: 'Why?', seed: 7 }, 8)

/** Sends a valid request and expects the complete answer, which shows that the bad input disturbed no other request. */
async function expectGoodAnswer (): Promise<void> {
  const answer = await running.complete()
  expect(answer.status).toBe(200)
  expect(JSON.parse(answer.text)).toMatchObject({ model: 'history/essays@v2', choices: [{ text: completeText }] })
}

/** Writes a text to a new connection and returns what is read until the connection closes. */
async function raw (text: string): Promise<string> {
  const { hostname, port } = new URL(running.url)
  return await new Promise((resolve, reject) => {
    const socket = connect({ host: hostname, port: Number(port) })
    let read = ''
    socket.on('data', (chunk) => { read += chunk.toString('utf8') })
    socket.on('close', () => resolve(read))
    socket.on('error', reject)
    socket.write(text)
  })
}

describe('bad input', () => {
  it.each([
    ['an unknown team', { model: 'nobody/essays' }, {}, 404, 'unknown_team'],
    ['an unknown adapter', { model: 'history/nothing' }, {}, 404, 'unknown_adapter'],
    ['an adapter named like a property of objects', { model: 'history/constructor' }, {}, 404, 'unknown_adapter'],
    ['an unknown version', { model: 'history/essays@v9' }, {}, 404, 'unknown_version'],
    ["another team's adapter", { model: 'geography/essays' }, {}, 403, 'forbidden'],
    ["another team's key", {}, { authorization: `Bearer ${OTHER_KEY}` }, 403, 'forbidden'],
    ['a wrong key', {}, { authorization: 'Bearer wrong' }, 401, 'unauthorized'],
    ['an invalid model name', { model: '../../etc' }, {}, 400, 'invalid_model_name'],
    ['too many tokens', { max_tokens: 1e300 }, {}, 400, 'invalid_request'],
    ['a token count that is not an integer', { max_tokens: 1.5 }, {}, 400, 'invalid_request'],
    ['a negative seed', { seed: -1 }, {}, 400, 'invalid_request'],
    ['a request for two completions', { n: 2 }, {}, 400, 'invalid_request'],
    ['a priority class that the team does not have', {}, { 'x-limpetwinch-class': 'royal' }, 400, 'invalid_request'],
    ['a deadline that is not a number', {}, { 'x-limpetwinch-deadline-ms': 'soon' }, 400, 'invalid_request'],
    ['an idempotency header that is neither true nor false', {}, { 'x-limpetwinch-idempotent': 'maybe' }, 400, 'invalid_request']
  ])('refuses %s with a specific error', async (_what, fields, headers, status, code) => {
    const before = running.runs
    const answer = await running.complete(fields, headers)
    expect(answer.status).toBe(status)
    expect(answer.headers['x-limpetwinch-outcome']).toBe('not_run')
    expect(JSON.parse(answer.text)).toMatchObject({ error: { code, outcome: 'not_run', message: expect.any(String) } })
    expect(running.runs).toBe(before)
  })

  it.each([
    ['malformed JSON', '{"model": ', 400, 'malformed_json'],
    ['invalid UTF-8 inside good JSON', Buffer.concat([Buffer.from('{"model":"history/essays","prompt":"'), Buffer.from([0xff, 0xfe]), Buffer.from('"}')]), 400, 'malformed_json'],
    ['an oversize body', `{"prompt": "${'x'.repeat(70_000)}"}`, 413, 'body_too_large'],
    ['a body that is not an object', '17', 400, 'invalid_request']
  ])('refuses %s', async (_what, body, status, code) => {
    const answer = await running.call('/v1/completions', body)
    expect(answer.status).toBe(status)
    expect(JSON.parse(answer.text)).toMatchObject({ error: { code, outcome: 'not_run' } })
    await expectGoodAnswer()
  })

  // Guards against a connection that is held forever: a caller sends the head and half of the body and then nothing. It
  // receives a timeout error, nothing is run, and other callers are served meanwhile.
  it('times out on a body that is only half sent', async () => {
    const half = raw('POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer key-of-history\r\ncontent-length: 100\r\n\r\n{"model":')
    await expectGoodAnswer()
    const read = await half
    expect(read).toContain('408')
    expect(read).toContain('body_timeout')
  })

  it('refuses an oversize body without a content length', async () => {
    const head = 'POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer key-of-history\r\ntransfer-encoding: chunked\r\n\r\n'
    const read = await raw(`${head}11170\r\n${'x'.repeat(0x11170)}\r\n0\r\n\r\n`)
    expect(read).toContain('body_too_large')
    await expectGoodAnswer()
  })

  it('refuses a head that is too large', async () => {
    const read = await raw(`GET /v1/models HTTP/1.1\r\nhost: x\r\nx-long: ${'y'.repeat(20_000)}\r\n\r\n`)
    expect(read).toMatch(/^HTTP\/1\.1 431/)
  })

  // Guards against a run that goes on after its caller has disconnected in the middle of the answer: the run is cancelled at
  // the engine, and other requests are served.
  it('cancels the request of a caller that disconnects', async () => {
    const controller = new AbortController()
    const { request } = await import('undici')
    const response = await request(`${running.url}/v1/completions`, {
      method: 'POST',
      headers: { authorization: 'Bearer key-of-history', 'content-type': 'application/json' },
      body: JSON.stringify({ model: 'history/essays', prompt: 'Long', max_tokens: 50_000, stream: true }),
      signal: controller.signal
    })
    for await (const chunk of response.body) {
      if (chunk.length > 0) break
    }
    controller.abort()
    await expect.poll(() => running.engine.history.all().some((event) => event.event === 'run-ended' && event.result === 'cancelled'), { timeout: 20_000 }).toBe(true)
    await expectGoodAnswer()
  })

  it('answers arbitrary JSON with an error and keeps serving requests', async () => {
    await fc.assert(fc.asyncProperty(fc.json(), async (body) => {
      const answer = await running.call('/v1/chat/completions', body)
      expect([400, 403, 404, 413]).toContain(answer.status)
      expect(JSON.parse(answer.text).error.outcome).toBe('not_run')
    }), { seed: SEED, numRuns: 100 })
    await expectGoodAnswer()
  })

  it('answers arbitrary bytes with an error and keeps serving requests', async () => {
    await fc.assert(fc.asyncProperty(fc.uint8Array({ minLength: 1, maxLength: 200 }), async (bytes) => {
      const answer = await running.call('/v1/completions', Buffer.from(bytes))
      expect(answer.status).toBe(400)
    }), { seed: SEED, numRuns: 100 })
    await expectGoodAnswer()
  })
})
