import { createHash } from 'node:crypto'
import { connect } from 'node:net'
import { afterEach, beforeEach, describe, expect, it } from 'vitest'
import { MemoryObjectStore } from '@limpetwinch/stand-ins'
import { settingsRoutes } from '@limpetwinch/entry'
import { HttpServer } from '../../src/callers/http-server.js'
import { SettingsDeployment, until } from '../settings/deployment.js'
import type { SettingsInstance } from '../settings/deployment.js'

const ADMINISTRATOR = 'administrators-key'
const OWNER = 'history-owner-key'
const CALLER = 'history-caller-key'
const LIMITS = { headerBytes: 16_384, headerSeconds: 5, bodySeconds: 5, connections: 100 }

const HISTORY = `{
  // Poems go to the newest version after review.
  "adapters": {
    "poem": { "baseModel": "base", "versions": ["v1", "v2"], "current": "v1" } // reviewed in May
  },
  "keys": [
    { "label": "head", "sha256": "${hash(OWNER)}", "role": "owner" },
    { "label": "app", "sha256": "${hash(CALLER)}" }
  ]
}
`

describe('settings routes', () => {
  let deployment = new SettingsDeployment()
  let store = new MemoryObjectStore()
  let instance: SettingsInstance
  let server: HttpServer
  let url = ''

  beforeEach(async () => {
    deployment = new SettingsDeployment()
    store = new MemoryObjectStore()
    instance = await deployment.start('one', store)
    const { follower, writer, history } = instance
    server = new HttpServer(settingsRoutes({ follower, writer, history, administratorKeySha256: hash(ADMINISTRATOR), bodySeconds: 5 }), LIMITS)
    url = await server.listen('127.0.0.1', 0)
  })

  afterEach(async () => {
    server.destroy()
    await deployment.stop()
  })

  /** Sends one request and returns the response with its body as text. */
  async function send (method: string, target: string, options: { key?: string, body?: string | Buffer, headers?: Record<string, string> } = {}): Promise<{ status: number, text: string, etag: string | null }> {
    const headers = { authorization: `Bearer ${options.key ?? ADMINISTRATOR}`, ...options.headers }
    const response = await fetch(url + target, { method, headers, ...(options.body === undefined ? {} : { body: options.body }) })
    return { status: response.status, text: await response.text(), etag: response.headers.get('etag') }
  }

  async function put (path: string, body: string, revision: number, key = ADMINISTRATOR): Promise<{ status: number, text: string, etag: string | null }> {
    return await send('PUT', `/admin/settings${path}`, { key, body, headers: { 'if-match': `"${revision}"` } })
  }

  it('puts, gets and deletes a document on its revision', async () => {
    expect(await put('/teams/history', HISTORY, 0)).toMatchObject({ status: 200, etag: '"1"' })
    expect(await send('GET', '/admin/settings/teams/history')).toEqual({ status: 200, text: HISTORY, etag: '"1"' })
    expect((await send('DELETE', '/admin/settings/teams/history')).status).toBe(428)
    expect(await send('DELETE', '/admin/settings/teams/history', { headers: { 'if-match': '"1"' } })).toMatchObject({ status: 200, etag: '"2"' })
    expect((await send('GET', '/admin/settings/teams/history')).status).toBe(404)
    expect(await put('/teams/history', HISTORY, 0)).toMatchObject({ status: 200, etag: '"3"' })
  })

  it('refuses a change on an old revision and sends the newer text along', async () => {
    await put('/teams/history', HISTORY, 0)
    await put('/teams/history', HISTORY.replace('"v1" }', '"v2" }'), 1)
    const refused = await put('/teams/history', HISTORY, 1)
    expect(refused).toMatchObject({ status: 409, etag: '"2"' })
    expect(JSON.parse(refused.text)).toMatchObject({ error: { code: 'revision_conflict', newest: 2, text: HISTORY.replace('"v1" }', '"v2" }') } })
    expect(JSON.parse((await send('PUT', '/admin/settings/teams/history', { body: HISTORY })).text)).toMatchObject({ error: { code: 'revision_needed' } })
  })

  it('keeps comments and layout through a patch', async () => {
    // Guards against a patch that loses comments: a tool changes one value of a document with comments, and a document
    // written back as plain JSON would lose them all.
    await put('/teams/history', HISTORY, 0)
    const merged = await send('PATCH', '/admin/settings/teams/history', { headers: { 'if-match': '"1"', 'content-type': 'application/merge-patch+json' }, body: '{"adapters":{"poem":{"current":"v2"}}}' })
    expect(merged.status).toBe(200)
    expect((await send('GET', '/admin/settings/teams/history')).text).toBe(HISTORY.replace('"current": "v1"', '"current": "v2"'))
    const placed = await send('PATCH', '/admin/settings/teams/history', { headers: { 'if-match': '"2"', 'content-type': 'application/json' }, body: '[{"place":"/adapters/poem/current","value":"v1"},{"place":"/adapters/poem/versions/-","value":"v3"}]' })
    expect(placed.status).toBe(200)
    const text = (await send('GET', '/admin/settings/teams/history')).text
    expect(text).toContain('// Poems go to the newest version after review.')
    expect(text).toContain('// reviewed in May')
    expect(instance.follower.current()?.teams.get('history' as never)?.adapters['poem']).toEqual({ baseModel: 'base', versions: ['v1', 'v2', 'v3'], current: 'v1' })
  })

  it('reports every problem with its position and a remedy', async () => {
    const text = '{\n  "adaptors": {},\n  "adapters": { "poem": { "baseModel": "base", "versions": ["v1"], "current": "v3" } },\n  "limits": { "inFlight": "ten" },\n  "priorityClasses": { "panel": 9 }\n}'
    const refused = await put('/teams/history', text, 0)
    expect(refused.status).toBe(422)
    expect(JSON.parse(refused.text).error.problems).toMatchInlineSnapshot(`
      [
        {
          "column": 3,
          "key": "adaptors",
          "line": 2,
          "message": "'adaptors' is not known here; write 'adapters'",
        },
        {
          "column": 79,
          "key": "adapters.poem.current",
          "line": 3,
          "message": "'v3' is not among the versions; write 'v1' or add 'v3' to the versions",
        },
        {
          "column": 27,
          "key": "limits.inFlight",
          "line": 4,
          "message": "this has the wrong type; write a number",
        },
        {
          "column": 33,
          "key": "priorityClasses.panel",
          "line": 5,
          "message": "the operators grant this team priorities up to 5; write 5 or less, or ask them to raise it under /shares highestPriority",
        },
      ]
    `)
    const checked = await send('POST', '/admin/validate/teams/history', { body: text })
    expect(JSON.parse(checked.text).error.problems).toEqual(JSON.parse(refused.text).error.problems)
    expect((await send('POST', '/admin/validate/teams/history', { body: HISTORY })).status).toBe(200)
    expect(store.calls.writes).toBe(0)
  })

  it("lets a team's owner access the settings of the own team only", async () => {
    // Guards against an owner's key that works outside its team: reading another team's settings would reveal its key
    // hashes, and writing shares or endpoints would affect all teams.
    await put('/teams/history', HISTORY, 0)
    await put('/teams/other', '{}', 0)
    expect((await send('GET', '/admin/settings/teams/history', { key: OWNER })).status).toBe(200)
    expect((await put('/teams/history', HISTORY, 1, OWNER)).status).toBe(200)
    for (const path of ['/teams/other', '/teams/History', '/teams/history2', '/shares', '/endpoints', '/policy']) {
      expect((await send('GET', `/admin/settings${path}`, { key: OWNER })).status, path).toBe(403)
      expect((await send('GET', `/admin/settings${path}?history`, { key: OWNER })).status, path).toBe(403)
      expect((await put(path, '{}', 0, OWNER)).status, path).toBe(403)
      expect((await send('DELETE', `/admin/settings${path}`, { key: OWNER, headers: { 'if-match': '"1"' } })).status, path).toBe(403)
      expect((await send('POST', `/admin/validate${path}`, { key: OWNER, body: '{}' })).status, path).toBe(403)
    }
    expect((await send('GET', '/admin/settings/teams/history', { key: CALLER })).status).toBe(403)
    expect((await send('GET', '/admin/settings/teams/history', { key: 'wrong' })).status).toBe(401)
    expect(JSON.parse((await send('GET', '/admin/settings', { key: OWNER })).text).paths.map((each: { path: string }) => each.path)).toEqual(['/teams/history'])
    expect(JSON.parse((await send('GET', '/admin/settings/teams/history?history', { key: OWNER })).text).revisions.map((each: { author: string }) => each.author)).toEqual(['history/head', 'administrator'])
  })

  it('rejects paths that try to bypass the authorization check', async () => {
    // Guards against a path that the authorization check and the store interpret differently, which would give access to
    // another team's settings. Targets are sent raw, as a malicious client would send them.
    await put('/teams/history', HISTORY, 0)
    await put('/teams/other', '{ "priorityClasses": { "secret-of-other": 1 } }', 0)
    const tricks = [
      '/teams/history/../other', '/teams/history/%2e%2e/other', '/teams/history%2f..%2fother', '/teams/history%2F%2E%2E%2Fother',
      '/teams/history/..%2fother', '/teams//other', '//teams/other', '/teams/other/', '/teams/./other', '/teams/%6fther', '/Teams/other',
      '/teams/history;/../other', '/teams/history\\..\\other', '/teams/history%00/../other', '/teams/history/../../settings/teams/other',
      '/teams/history?/../other', '/teams/history#/../other', '/teams/history/../../../admin/settings/teams/other'
    ]
    for (const trick of tricks) {
      const { text, body } = await raw('GET', `/admin/settings${trick}`, OWNER)
      expect(text, trick).not.toContain('secret-of-other')
      if (!/^\/teams\/history[?]/.test(trick)) expect(body, trick).not.toContain('baseModel')
      await raw('DELETE', `/admin/settings${trick}`, OWNER, 'if-match: "1"\r\n')
    }
    expect(instance.follower.revisions().get('/teams/other' as never)).toBe(1)
  })

  it('returns the history, earlier revisions and diffs', async () => {
    await put('/teams/history', HISTORY, 0)
    for (let revision = 1; revision < 40; revision += 1) await put('/teams/history', HISTORY.replace('May', `week ${revision}`), revision)
    const { revisions } = JSON.parse((await send('GET', '/admin/settings/teams/history?history')).text) as { revisions: { revision: number }[] }
    expect(revisions.map((each) => each.revision)).toEqual(Array.from({ length: 33 }, (_, index) => 40 - index))
    expect((await send('GET', '/admin/settings/teams/history?revision=39')).text).toContain('week 38')
    expect((await send('GET', '/admin/settings/teams/history?revision=3')).status).toBe(404)
    expect((await send('GET', '/admin/settings/teams/history?diff=30&to=31')).text).toMatchInlineSnapshot(`
      "@@ -1 +1 @@
       {
         // Poems go to the newest version after review.
         "adapters": {
      -    "poem": { "baseModel": "base", "versions": ["v1", "v2"], "current": "v1" } // reviewed in week 29
      +    "poem": { "baseModel": "base", "versions": ["v1", "v2"], "current": "v1" } // reviewed in week 30
         },
         "keys": [
           { "label": "head", "sha256": "c8b7de3b4a3aeed8a50c5e16df4bc36e662e27106286190365006fcb334b421e", "role": "owner" },
      "
    `)
  })

  it('refuses a body that is not UTF-8, too large, or not JSON', async () => {
    expect((await send('PUT', '/admin/settings/policy', { body: Buffer.from([0x7b, 0xff, 0x7d]), headers: { 'if-match': '"0"' } })).status).toBe(400)
    expect((await put('/policy', `{} // ${'x'.repeat(1_100_000)}`, 0)).status).toBe(413)
    expect((await put('/policy', `{} // ${'\\'.repeat(600_000)}`, 0)).status).toBe(422)
    expect((await put('/policy', '[', 0)).status).toBe(422)
    expect((await put('/policy', '['.repeat(100_000), 0)).status).toBe(422)
    expect((await put('/policy', '{ "__proto__": { "loadsPerSecond": 1 } }', 0)).status).toBe(422)
    expect(store.calls.writes).toBe(0)
  })

  it('streams the state and each change to a watching client, limited to the paths that its key may access', async () => {
    await put('/teams/history', HISTORY, 0)
    await put('/teams/other', '{}', 0)
    const ending = new AbortController()
    const response = await fetch(`${url}/admin/watch?prefix=/teams`, { headers: { authorization: `Bearer ${OWNER}` }, signal: ending.signal })
    let seen = ''
    const reading = (async () => { for await (const chunk of response.body!) seen += Buffer.from(chunk).toString() })().catch(() => undefined)
    await until(() => seen.includes('"revision":1'))
    await put('/teams/other', '{ "priorityClasses": {} }', 1)
    await put('/teams/history', HISTORY, 1)
    await until(() => seen.includes('"revision":2'))
    ending.abort()
    await reading
    expect(seen).not.toContain('/teams/other')
  })

  /** Sends a request with the target unchanged; fetch would normalize it. */
  async function raw (method: string, target: string, key: string, headers = ''): Promise<{ text: string, body: string }> {
    const { hostname, port } = new URL(url)
    const socket = connect(Number(port), hostname)
    socket.write(`${method} ${target} HTTP/1.1\r\nhost: ${hostname}\r\nauthorization: Bearer ${key}\r\n${headers}connection: close\r\n\r\n`)
    let text = ''
    for await (const chunk of socket) text += String(chunk)
    return { text, body: text.split('\r\n\r\n').slice(1).join() }
  }
})

function hash (key: string): string {
  return createHash('sha256').update(key).digest('hex')
}
