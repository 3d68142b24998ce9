// A caller sends a body that is no valid request: not JSON, a field of a wrong type, too large, or shorter than its
// content length. The instance must refuse such a body with outcome not_run and must keep serving other callers.
import { connect } from 'node:net'
import fc from 'fast-check'
import { request } from 'undici'
import { afterAll, beforeAll, describe, expect, it } from 'vitest'
import { Deployment } from '../../src/faults/deployment.js'
import type { RunningEntry } from '../../src/faults/deployment.js'
import { keyOf } from '../../src/faults/sample-deployment.js'

const RUNS = { seed: 61_206, numRuns: 150 }
const OVERSIZED_BYTES = 3 * 1024 * 1024

describe('invalid caller bodies', () => {
  const deployment = new Deployment({ instances: 1, fencing: ['refuses'], processes: false, mutant: undefined })
  let entry: RunningEntry

  beforeAll(async () => {
    await deployment.start()
    entry = deployment.entries[0]!
  })

  afterAll(async () => { await deployment.close() })

  async function post (path: string, body: string | Buffer): Promise<{ status: number, outcome: string | undefined }> {
    const headers = { authorization: `Bearer ${keyOf('athletics')}`, 'content-type': 'application/json' }
    const answer = await request(entry.caller + path, { method: 'POST', headers, body })
    const response = await answer.body.json() as { error?: { outcome?: string } }
    return { status: answer.statusCode, outcome: response.error?.outcome }
  }

  async function expectStillServing (): Promise<void> {
    const body = JSON.stringify({ model: 'athletics/essay@1', prompt: 'still there', max_tokens: 2, seed: 1 })
    expect((await post('/v1/completions', body)).status).toBe(200)
  }

  const path = fc.constantFrom('/v1/completions', '/v1/chat/completions')
  const field = fc.constantFrom('model', 'prompt', 'messages', 'max_tokens', 'stream', 'seed', 'temperature')
  const wrong = fc.oneof(fc.jsonValue(), fc.constant({ model: 'athletics/essay@1' }))

  it('are refused with outcome not_run, whatever bytes they contain', async () => {
    await fc.assert(fc.asyncProperty(path, fc.uint8Array({ maxLength: 200 }), async (where, bytes) => {
      const response = await post(where, Buffer.from(bytes))
      expect(response.status).toBeGreaterThanOrEqual(400)
      expect(response.status).toBeLessThan(500)
      expect(response.outcome).toBe('not_run')
    }), RUNS)
    await expectStillServing()
  })

  it('are refused or answered when one field has a wrong type, and cause no internal error', async () => {
    await fc.assert(fc.asyncProperty(path, field, wrong, async (where, name, value) => {
      const body = { model: 'athletics/essay@1', prompt: 'p', messages: [{ role: 'user', content: 'p' }], max_tokens: 1, [name]: value, stream: false }
      const response = await post(where, JSON.stringify(body))
      expect(response.status).toBeLessThan(500)
      if (response.status !== 200) expect(response.outcome).toBe('not_run')
    }), RUNS)
    await expectStillServing()
  })

  it('are refused when they are too large', async () => {
    const response = await post('/v1/completions', JSON.stringify({ prompt: 'x'.repeat(OVERSIZED_BYTES) })).catch(() => undefined)
    // The instance does not read the rest of the body, so the connection may close before the response arrives.
    if (response !== undefined) expect(response).toEqual({ status: 413, outcome: 'not_run' })
    await expectStillServing()
  })

  it('are abandoned when the caller disconnects in the middle of the body', async () => {
    for (const announced of [1, 10, 100]) {
      const socket = connect(Number(new URL(entry.caller).port), '127.0.0.1')
      socket.write(`POST /v1/completions HTTP/1.1\r\nhost: h\r\nauthorization: Bearer ${keyOf('athletics')}\r\ncontent-length: ${announced + 5}\r\n\r\n{"mod`)
      await new Promise<void>((resolve) => { socket.once('connect', () => { setTimeout(resolve, 20) }) })
      socket.destroy()
    }
    await expectStillServing()
  })
})
