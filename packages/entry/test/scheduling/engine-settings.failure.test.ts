import { afterEach, describe, expect, it, vi } from 'vitest'
import { request } from 'undici'
import { ADMINISTRATOR_KEY, RunningEntry } from '../support/running-entry.js'

const WAIT = { timeout: 20_000, interval: 10 }
let running: RunningEntry

afterEach(async () => { await running.stop() })

/** Changes the batch capacity of the only engine through the admin API, as an operator does. */
async function changeBatch (batchCapacity: number): Promise<void> {
  const document = {
    engines: { 'engine-1': { url: running.engine.url, dataCentre: 'north', baseModel: 'base-1', slots: 1, batchCapacity, fencing: 'refuses' } },
    services: { echo: { endpoints: { 'echo-1': { url: running.service.url, dataCentre: 'north' } } } }
  }
  const response = await request(`${running.admin}/admin/settings/endpoints`, {
    method: 'PUT',
    headers: { authorization: `Bearer ${ADMINISTRATOR_KEY}`, 'content-type': 'application/json', 'if-match': '"1"' },
    body: JSON.stringify(document)
  })
  const text = await response.body.text()
  expect(response.statusCode, text).toBe(200)
}

describe('an engine whose settings change', () => {
  // Guards against an owner that loses its pins when the settings of an engine change, and evicts an adapter in use. The
  // running request must complete, and the request for the other adapter is served after it.
  it('completes the request that it is running', async () => {
    running = new RunningEntry({ engine: { slots: 1, stepMilliseconds: 10 }, slots: 1 })
    await running.start()
    // The second request needs an eviction, so its response shows that the owner has finished recovery and may evict.
    for (const version of ['v1', 'v2']) expect((await running.complete({ model: `history/essays@${version}` })).status).toBe(200)
    const inProgress = running.complete({ max_tokens: 400 }, { 'x-limpetwinch-idempotent': 'false' })
    await vi.waitFor(() => expect(running.runs).toBe(3), WAIT)
    await changeBatch(8)
    const other = await running.complete({ model: 'history/essays@v1' })
    const { status, text } = await inProgress
    expect(status, text).toBe(200)
    expect(other.status, other.text).toBe(200)
    const ends = running.engine.history.all().flatMap((event) => event.event === 'run-ended' ? [event.result] : [])
    expect(ends).toEqual(['finished', 'finished', 'finished', 'finished'])
  })
})
