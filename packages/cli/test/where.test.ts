// Guards against an explanation that operators misread: a refusal shown as a choice, a disagreement of instances that is not told, or no answer taken for one.
import { spawn } from 'node:child_process'
import { createServer } from 'node:http'
import type { Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { fileURLToPath } from 'node:url'
import { afterAll, beforeAll, describe, expect, it } from 'vitest'

const BINARY = fileURLToPath(new URL('../dist/bin/limpetwinch.js', import.meta.url))
const DRAFT = ['--host', 'models.example', '--path', '/draft/1', '--model', 'base', '--adapter', 'poem', '--prompt', 'aa:6000,bb:300', '--output-tokens', '50']

const SLOW_ENGINE = {
  instance: 'ingress-north-0',
  route: 'draft',
  service: 'engines',
  priority: 2,
  configuration: 7,
  outcome: { kind: 'sent', endpoint: 'engine-1' },
  candidates: [
    { endpoint: 'engine-1', dataCentre: 'north', use: 'run', cost: 97, items: { 'first event': 94.29, 'cached tokens': 6_000, slowness: 1 }, ages: { requests: 90, slowness: 120 } },
    { endpoint: 'engine-2', dataCentre: 'north', use: 'run', cost: 446, items: { 'first event': 445.71, 'cached tokens': 0, slowness: 2.14 }, ages: { requests: 90, slowness: 120 } }
  ],
  unused: { ejected: ['engine-3'] },
  sections: { turns: { waiting: 2 } },
  newerField: 'kept'
}
const REFUSED = {
  ...SLOW_ENGINE,
  instance: 'ingress-south-1',
  outcome: { kind: 'refused', error: 'adapter_not_ready', status: 503, message: 'not ready', afterMilliseconds: 1_000, retryAfterSeconds: 0.7 },
  candidates: [],
  unused: {},
  sections: {}
}

describe('limpetwinch where', () => {
  const servers: Server[] = []
  const asked: string[] = []
  let addresses: string[] = []

  async function serve (status: number, body: unknown): Promise<string> {
    const server = createServer((request, response) => {
      asked.push(request.url ?? '')
      response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body))
    })
    servers.push(server)
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
    return `127.0.0.1:${(server.address() as AddressInfo).port}`
  }

  beforeAll(async () => {
    addresses = [await serve(200, SLOW_ENGINE), await serve(200, REFUSED), await serve(400, { error: { code: 'invalid_request', message: 'service, or host and path, are needed' } })]
  })

  afterAll(() => {
    for (const server of servers) server.close()
  })

  /** Runs the built command line until it exits. */
  async function where (instances: readonly string[], ...flags: string[]): Promise<{ code: number | null, output: string, errors: string }> {
    const child = spawn(process.execPath, [BINARY, 'where', ...instances.flatMap((each) => ['--instance', each]), ...flags], { env: { PATH: process.env['PATH'], COLUMNS: '400' }, stdio: ['ignore', 'pipe', 'pipe'] })
    let output = ''
    let errors = ''
    child.stdout.on('data', (part) => { output += String(part) })
    child.stderr.on('data', (part) => { errors += String(part) })
    const code = await new Promise<number | null>((resolve) => { child.once('close', resolve) })
    return { code, output, errors }
  }

  it('shows the choice of one instance with its reasons', async () => {
    const { code, output } = await where(addresses.slice(0, 1), ...DRAFT)
    expect([code, asked.at(-1)]).toEqual([0, '/where?host=models.example&path=%2Fdraft%2F1&model=base&adapter=poem&prompt=aa%3A6000%2Cbb%3A300&outputTokens=50'])
    expect(output).toMatchSnapshot()
  })

  it('shows a refusal, and that instances do not agree', async () => {
    const { code, output } = await where(addresses.slice(0, 2), ...DRAFT)
    expect([code, output]).toMatchSnapshot()
  })

  it('writes JSON with all fields, and names an instance that does not answer', async () => {
    const { output } = await where([addresses[0] ?? '', '127.0.0.1:1'], ...DRAFT, '--json')
    expect(JSON.parse(output)).toMatchObject({ agree: true, answers: [{ newerField: 'kept' }], unanswered: [expect.stringContaining('127.0.0.1:1')] })
  })

  it('exits with a separate code when the description is wrong, and when no instance answers', async () => {
    const [wrong, silent] = [await where(addresses.slice(2)), await where(['127.0.0.1:1'], ...DRAFT)]
    expect([wrong.code, silent.code]).toEqual([2, 6])
    // The command line wraps its errors.
    expect(wrong.errors.replaceAll(/\s+›?\s*/g, ' ')).toContain('service, or host and path, are needed')
  })
})
