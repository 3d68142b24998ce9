// Runs the built command line against an admin server. Guards against lost changes, exit codes and messages that operators rely on, and
// output that scripts could no longer read.
import { spawn } from 'node:child_process'
import { createHash } from 'node:crypto'
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { afterAll, beforeAll, describe, expect, it } from 'vitest'
import { startAdminServer } from './admin-server.js'
import type { TestAdminServer } from './admin-server.js'

const KEY = 'administrators-key'
const BINARY = fileURLToPath(new URL('../dist/bin/limpetwinch.js', import.meta.url))
const TEAM = `{
  // held back until the panel has met
  "adapters": { "poem": { "baseModel": "base", "versions": ["1", "2"], "current": "1" } }
}
`

describe('limpetwinch command line', () => {
  let server: TestAdminServer
  let folder = ''

  beforeAll(async () => {
    server = await startAdminServer(createHash('sha256').update(KEY).digest('hex'))
    folder = await mkdtemp(join(tmpdir(), 'limpetwinch-command-line-'))
  })

  afterAll(async () => {
    await server.stop()
    await rm(folder, { recursive: true })
  })

  /** Runs the built command line until it exits. */
  async function run (...commandArguments: string[]): Promise<{ code: number | null, output: string, errors: string }> {
    return await runWith({ LIMPETWINCH_SERVER: server.url, LIMPETWINCH_KEY: KEY }, commandArguments)
  }

  async function runWith (environment: Record<string, string>, commandArguments: readonly string[]): Promise<{ code: number | null, output: string, errors: string }> {
    const child = spawn(process.execPath, [BINARY, ...commandArguments], { env: { PATH: process.env['PATH'], COLUMNS: '400', ...environment }, stdio: ['ignore', 'pipe', 'pipe'] })
    let output = ''
    let errors = ''
    child.stdout.on('data', (part) => { output += String(part) })
    child.stderr.on('data', (part) => { errors += String(part) })
    const code = await new Promise<number | null>((resolve) => { child.once('close', resolve) })
    return { code, output, errors }
  }

  it('puts, gets, patches, lists, compares and deletes', async () => {
    const file = join(folder, 'team.jsonc')
    await writeFile(file, TEAM)
    expect(await run('settings', 'put', '/teams/history', file)).toMatchObject({ code: 0, output: '/teams/history is at revision 1.\n' })
    expect(await run('settings', 'get', '/teams/history')).toMatchObject({ code: 0, output: TEAM })
    expect(await run('settings', 'patch', '/teams/history', '--set-text', 'adapters/poem/current=2', '--set', 'limits/inFlight=7')).toMatchObject({ code: 0 })
    const { output } = await run('settings', 'get', '/teams/history', '--json')
    expect(JSON.parse(output)).toMatchObject({ revision: 2, author: 'administrator', text: expect.stringContaining('// held back until the panel has met') })
    expect(server.follower.current()?.teams.get('history' as never)).toMatchObject({ adapters: { poem: { current: '2' } }, limits: { inFlight: 7 } })
    expect(JSON.parse((await run('settings', 'history', '/teams/history', '--json')).output).revisions).toHaveLength(2)
    expect((await run('settings', 'diff', '/teams/history', '1')).output).toContain('-  "adapters": { "poem": { "baseModel": "base", "versions": ["1", "2"], "current": "1" } }')
    expect(await run('settings', 'delete', '/teams/history', '--revision', '2')).toMatchObject({ code: 0, output: '/teams/history is at revision 3, deleted.\n' })
    expect((await run('settings', 'get', '/')).output).toContain('3 (deleted)')
  })

  it('does not overwrite a revision that the operator has not seen', async () => {
    // One operator reads a path, a second operator changes it, and the first one puts an edited file. If a put without the latest
    // revision were accepted, it would silently undo the second operator's change.
    const file = join(folder, 'policy.jsonc')
    await writeFile(file, '{ "loadsPerSecond": 3 }')
    await run('settings', 'put', '/policy', file)
    expect((await run('settings', 'put', '/policy', file, '--revision', '1')).code).toBe(0)
    const unseen = await run('settings', 'put', '/policy', file)
    expect(unseen).toMatchObject({ code: 3, errors: expect.stringContaining('/policy is at revision 2 now') })
    const old = await run('settings', 'put', '/policy', file, '--revision', '1')
    expect(old).toMatchObject({ code: 3, errors: expect.stringContaining('limpetwinch settings diff /policy 1') })
    expect(server.follower.revisions().get('/policy' as never)).toBe(2)
  })

  it('reports file, line and column of each problem', async () => {
    const file = join(folder, 'wrong.jsonc')
    await writeFile(file, '{\n  "wieghts": {}\n}\n')
    const refused = await run('settings', 'put', '/shares', file)
    expect(refused).toMatchObject({ code: 1, errors: expect.stringContaining(`${file}:2:3: wieghts: 'wieghts' is not known here; write 'weights'`) })
    expect(await run('settings', 'validate', '/shares', file)).toMatchObject({ code: 1, errors: expect.stringContaining(`${file}:2:3`) })
  })

  it('exits with a separate code for each cause', async () => {
    const environment = { LIMPETWINCH_SERVER: server.url, LIMPETWINCH_KEY: KEY }
    expect((await runWith({}, ['settings', 'get', '/shares'])).code).toBe(2)
    expect((await runWith({ ...environment, LIMPETWINCH_KEY: 'wrong' }, ['settings', 'get', '/shares', '--json'])).code).toBe(4)
    expect((await runWith(environment, ['settings', 'get', '/teams/../shares', '--json'])).code).toBe(5)
    expect((await runWith({ ...environment, LIMPETWINCH_SERVER: 'http://127.0.0.1:1' }, ['settings', 'get', '/shares'])).code).toBe(6)
    server.store.faults.outage = true
    const duringOutage = await runWith(environment, ['settings', 'patch', '/shares', '--set', 'weights/history=2'])
    server.store.faults.outage = false
    expect(duringOutage.code).toBe(6)
  })

  it('shows status and explanations as tables and as JSON', async () => {
    expect((await run('status')).output).toMatchSnapshot()
    expect(JSON.parse((await run('status', '--json')).output)).toMatchObject({ ready: true, newerField: 'kept' })
    expect((await run('explain', 'request-1')).output).toMatchSnapshot()
    expect(await run('explain', 'request-2')).toMatchObject({ code: 5, errors: expect.stringContaining('remembers no such request') })
  })

  it('watches changes across a lost connection and prints each one once', async () => {
    const watching = run('settings', 'watch', '/teams/watched', '--json', '--count', '2')
    const file = join(folder, 'watched.jsonc')
    await writeFile(file, TEAM)
    await run('settings', 'put', '/teams/watched', file)
    await server.cutWatches()
    await run('settings', 'patch', '/teams/watched', '--set', 'limits/inFlight=7')
    const { code, output } = await watching
    expect(code).toBe(0)
    expect(output.trim().split('\n').map((line) => (JSON.parse(line) as { revision: number }).revision)).toEqual([1, 2])
  })
})
