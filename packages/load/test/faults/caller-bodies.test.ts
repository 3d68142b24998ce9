// A caller sends bytes that are no request: no JSON, wrong types, far too much, or half of what was announced. It must
// be told what is wrong and that nothing was run, and the next caller must be served as if nothing had been.
import { connect } from 'node:net'
import fc from 'fast-check'
import { request } from 'undici'
import { afterAll, beforeAll, describe, expect, it } from 'vitest'
import { Deployment } from '../../src/faults/deployment.js'
import type { RunningEntry } from '../../src/faults/deployment.js'
import { keyOf } from '../../src/faults/sample-deployment.js'

const RUNS = { seed: 61_206, numRuns: 150 }
const TOO_MUCH_BYTES = 3 * 1024 * 1024

describe('caller bodies from outside', () => {
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
    const told = await answer.body.json() as { error?: { outcome?: string } }
    return { status: answer.statusCode, outcome: told.error?.outcome }
  }

  async function servesOn (): Promise<void> {
    const body = JSON.stringify({ model: 'athletics/essay@1', prompt: 'still there', max_tokens: 2, seed: 1 })
    expect((await post('/v1/completions', body)).status).toBe(200)
  }

  const path = fc.constantFrom('/v1/completions', '/v1/chat/completions')
  const field = fc.constantFrom('model', 'prompt', 'messages', 'max_tokens', 'stream', 'seed', 'temperature')
  const wrong = fc.oneof(fc.jsonValue(), fc.constant({ model: 'athletics/essay@1' }))

  it('are refused as not run, whatever bytes come', async () => {
    await fc.assert(fc.asyncProperty(path, fc.uint8Array({ maxLength: 200 }), async (where, bytes) => {
      const told = await post(where, Buffer.from(bytes))
      expect(told.status).toBeGreaterThanOrEqual(400)
      expect(told.status).toBeLessThan(500)
      expect(told.outcome).toBe('not_run')
    }), RUNS)
    await servesOn()
  })

  it('are refused or answered when one field is of a wrong type, and never fail inside', async () => {
    await fc.assert(fc.asyncProperty(path, field, wrong, async (where, name, value) => {
      const body = { model: 'athletics/essay@1', prompt: 'p', messages: [{ role: 'user', content: 'p' }], max_tokens: 1, [name]: value, stream: false }
      const told = await post(where, JSON.stringify(body))
      expect(told.status).toBeLessThan(500)
      if (told.status !== 200) expect(told.outcome).toBe('not_run')
    }), RUNS)
    await servesOn()
  })

  it('are refused when they are too large', async () => {
    const told = await post('/v1/completions', JSON.stringify({ prompt: 'x'.repeat(TOO_MUCH_BYTES) })).catch(() => undefined)
    // The answer may be lost with a connection on which the rest is not read; if it comes, it says what is wrong.
    if (told !== undefined) expect(told).toEqual({ status: 413, outcome: 'not_run' })
    await servesOn()
  })

  it('are given up when the caller leaves in the middle', async () => {
    for (const announced of [1, 10, 100]) {
      const socket = connect(Number(new URL(entry.caller).port), '127.0.0.1')
      socket.write(`POST /v1/completions HTTP/1.1\r\nhost: h\r\nauthorization: Bearer ${keyOf('athletics')}\r\ncontent-length: ${announced + 5}\r\n\r\n{"mod`)
      await new Promise<void>((resolve) => { socket.once('connect', () => { setTimeout(resolve, 20) }) })
      socket.destroy()
    }
    await servesOn()
  })
})
