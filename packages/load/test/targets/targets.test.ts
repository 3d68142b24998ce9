import { createServer } from 'node:http'
import type { RequestListener } from 'node:http'
import type { AddressInfo } from 'node:net'
import { StandInEngine } from '@limpetwinch/stand-ins'
import { describe, expect, it, onTestFinished } from 'vitest'
import { EngineTarget } from '../../src/targets/engine-target.js'
import { EntryTarget } from '../../src/targets/entry-target.js'
import { readEvents } from '../../src/targets/event-reader.js'
import type { LoadEnd, LoadRequest, LoadTarget } from '../../src/targets/load-target.js'

const REQUEST: LoadRequest = {
  id: 'r1',
  team: 'team',
  adapter: 'poet',
  version: '1',
  priorityClass: 'normal',
  prompt: 'prompt',
  maximumTokens: 3,
  seed: 1,
  idempotent: false,
  key: 'key-1'
}
const SERVED = { 'x-limpetwinch-team': 'team', 'x-limpetwinch-adapter': 'poet', 'x-limpetwinch-version': '1' }

async function entryTargetFor (answers: RequestListener): Promise<EntryTarget> {
  const server = createServer(answers)
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const target = new EntryTarget(`http://127.0.0.1:${(server.address() as AddressInfo).port}`, () => 'secret')
  onTestFinished(async () => {
    await target.close()
    server.closeAllConnections()
    server.close()
  })
  return target
}

async function send (target: LoadTarget): Promise<{ end: LoadEnd, texts: string[] }> {
  const texts: string[] = []
  const end = await target.send(REQUEST, (text) => { texts.push(text) })
  return { end, texts }
}

describe('load through limpetwinch', () => {
  it('sends the fields of the trace and reads the complete response', async () => {
    let seen: unknown
    const target = await entryTargetFor((request, response) => {
      let body = ''
      request.on('data', (chunk) => { body += chunk })
      request.on('end', () => {
        seen = { headers: request.headers, body: JSON.parse(body) }
        response.writeHead(200, SERVED).end('data: {"choices":[{"text":"a"}]}\n\ndata: {"choices":[{"text":" b"}]}\n\ndata: [DONE]\n\n')
      })
    })
    expect(await send(target)).toEqual({ texts: ['a', ' b'], end: { outcome: 'answered', adapter: 'team/poet', version: '1' } })
    expect(seen).toMatchObject({
      headers: { authorization: 'Bearer secret', 'x-limpetwinch-idempotent': 'false', 'idempotency-key': 'key-1' },
      body: { model: 'team/poet@1', prompt: 'prompt', max_tokens: 3, seed: 1, stream: true }
    })
  })

  it('reports an unknown outcome for a stream without its end marker', async () => {
    const target = await entryTargetFor((_, response) => { response.writeHead(200, SERVED).end('data: {"choices":[{"text":"a"}]}\n\n') })
    expect((await send(target)).end).toEqual({ outcome: 'unknown', code: 'connection-lost' })
  })

  it('reads outcome and code of an error before and during a stream', async () => {
    const error = JSON.stringify({ error: { code: 'overloaded', outcome: 'not_run' } })
    const refused = await entryTargetFor((_, response) => { response.writeHead(503).end(error) })
    expect((await send(refused)).end).toEqual({ outcome: 'not_run', code: 'overloaded' })
    const failing = await entryTargetFor((_, response) => { response.writeHead(200, SERVED).end(`data: ${error.replace('not_run', 'unknown')}\n\n`) })
    expect((await send(failing)).end).toEqual({ outcome: 'unknown', code: 'overloaded' })
  })

  it('distinguishes a connection that was never established from a lost one', async () => {
    const lost = await entryTargetFor((request) => { request.socket.destroy() })
    expect((await send(lost)).end).toEqual({ outcome: 'unknown', code: 'connection-lost' })
    const server = createServer()
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
    const { port } = server.address() as AddressInfo
    await new Promise((resolve) => { server.close(resolve) })
    const refused = new EntryTarget(`http://127.0.0.1:${port}`, () => '')
    onTestFinished(async () => { await refused.close() })
    expect((await send(refused)).end.outcome).toBe('not_run')
  })
})

describe('load sent directly to the engine', () => {
  it('reads the complete response and reports a refusal as not run', async () => {
    const engine = new StandInEngine({ stepMilliseconds: 1 })
    const target = new EngineTarget(await engine.listen())
    onTestFinished(async () => {
      await target.close()
      await engine.close()
    })
    expect(await send(target)).toMatchObject({ end: { outcome: 'answered' }, texts: { length: 3 } })
    engine.setFaults({ refuse: true })
    expect((await send(target)).end.outcome).toBe('not_run')
  })
})

describe('event reader', () => {
  it('reads events that are split at any byte, including inside a character', async () => {
    const bytes = Buffer.from('data: ẹ̀kọ́\n\n: comment\n\ndata: two\n\n')
    for (let cut = 0; cut <= bytes.length; cut += 1) {
      const seen: string[] = []
      await readEvents((async function * () { yield bytes.subarray(0, cut); yield bytes.subarray(cut) })(), (data) => seen.push(data))
      expect(seen).toEqual(['ẹ̀kọ́', 'two'])
    }
  })
})
