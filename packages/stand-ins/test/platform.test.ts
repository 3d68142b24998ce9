import { HttpInstanceList, HttpObjectStore } from '@limpetwinch/core'
import { StandInPlatform } from '@limpetwinch/stand-ins'
import type { PlatformFaults, StandInPlatformOptions } from '@limpetwinch/stand-ins'
import { describe, expect, it, onTestFinished, vi } from 'vitest'
import { WeightStore } from '../src/platform/weight-store.js'

async function startPlatform (options: Partial<StandInPlatformOptions> = {}): Promise<{ platform: StandInPlatform, store: HttpObjectStore, list: HttpInstanceList }> {
  const platform = new StandInPlatform({ listLag: 0, ...options })
  const url = await platform.listen()
  const store = new HttpObjectStore(url)
  const list = new HttpInstanceList(url)
  onTestFinished(async () => {
    await Promise.all([store.close(), list.close()])
    await platform.close()
  })
  return { platform, store, list }
}

async function setFaults (platform: StandInPlatform, faults: PlatformFaults): Promise<void> {
  const answer = await fetch(`${platform.url}/control/faults`, { method: 'POST', body: JSON.stringify(faults) })
  expect(answer.status).toBe(200)
}

async function putInstance (platform: StandInPlatform, state: 'live' | 'leaving'): Promise<void> {
  const instance = { id: 'engine-1', kind: 'endpoint', address: 'http://127.0.0.1:1', dataCentre: 'north', state }
  await fetch(`${platform.url}/control/instances`, { method: 'PUT', body: JSON.stringify(instance) })
}

describe('stand-in platform', () => {
  it('stores objects with versions, and returns the stored value to a writer that loses a race', async () => {
    const { store } = await startPlatform()
    expect((await store.put({ path: '/a', ifVersion: 0, value: 'first' }))._unsafeUnwrap()).toBe(1)
    const lost = await store.put({ path: '/a', ifVersion: 0, value: 'second' })
    expect(lost._unsafeUnwrapErr()).toMatchObject({ kind: 'version-conflict', details: { version: 1, value: 'first' } })
    expect((await store.get('/a'))._unsafeUnwrap()).toEqual({ path: '/a', version: 1, value: 'first' })
    expect((await store.get('/b'))._unsafeUnwrap()).toBeUndefined()
  })

  it('resolves a watch with the change', async () => {
    const { store } = await startPlatform()
    const { cursor } = (await store.list('/a'))._unsafeUnwrap()
    const step = store.watch('/a', cursor, 30_000)
    await store.put({ path: '/a', ifVersion: 0, value: 1 })
    expect((await step)._unsafeUnwrap().changes).toEqual([{ path: '/a', version: 1, value: 1 }])
  })

  it('counts calls and refuses those above the rate limit', async () => {
    const { store, platform } = await startPlatform({ writesPerSecond: 1, readsPerSecond: 1 })
    const writes = await Promise.all(Array.from({ length: 20 }, (_, index) => store.put({ path: `/${index}`, ifVersion: 0, value: 1 })))
    const refused = writes.filter((write) => write.isErr()).length
    expect(refused).toBeGreaterThan(0)
    const calls = await (await fetch(`${platform.url}/control/calls`)).json()
    expect(calls).toMatchObject({ writes: 20 - refused, refused })
  })

  it('fails all calls during an outage and recovers', async () => {
    const { store, list, platform } = await startPlatform()
    await setFaults(platform, { outage: true })
    expect((await store.get('/a'))._unsafeUnwrapErr().kind).toBe('store-unavailable')
    expect((await list.read()).isErr()).toBe(true)
    await setFaults(platform, { outage: false, slowness: 1 })
    expect((await store.get('/a')).isOk()).toBe(true)
  })

  // A write takes effect and its response is lost. The writer cannot distinguish this from a write that never arrived, except by
  // reading the object.
  it('loses the response of a write that took effect', async () => {
    const { store, platform } = await startPlatform()
    await setFaults(platform, { loseAnswers: 1 })
    expect((await store.put({ path: '/a', ifVersion: 0, value: 1 }))._unsafeUnwrapErr().kind).toBe('store-answer-lost')
    expect((await store.get('/a'))._unsafeUnwrap()?.version).toBe(1)
    expect((await store.put({ path: '/a', ifVersion: 1, value: 2 })).isOk()).toBe(true)
  })

  // Reads lag behind writes. A reader sees the object before its change, while a conditional write is compared with the latest version,
  // and a watch from the cursor of the stale list returns the change that the list left out.
  it('returns stale reads', async () => {
    const { store, platform } = await startPlatform({ faults: { staleReads: 3_600_000 } })
    await store.put({ path: '/a', ifVersion: 0, value: 1 })
    const { objects, cursor } = (await store.list('/'))._unsafeUnwrap()
    expect(objects).toEqual([])
    expect((await store.get('/a'))._unsafeUnwrap()).toBeUndefined()
    expect((await store.put({ path: '/a', ifVersion: 0, value: 2 }))._unsafeUnwrapErr().kind).toBe('version-conflict')
    expect((await store.watch('/', cursor, 0))._unsafeUnwrap().changes).toHaveLength(1)
    await setFaults(platform, { staleReads: 0 })
    expect((await store.get('/a'))._unsafeUnwrap()?.version).toBe(1)
  })

  it('refuses a value of more than a megabyte', async () => {
    const { store } = await startPlatform()
    expect((await store.put({ path: '/a', ifVersion: 0, value: 'x'.repeat(1024 * 1024) })).isErr()).toBe(true)
    expect((await store.get('/a'))._unsafeUnwrap()).toBeUndefined()
  })

  it('lists instances with a delay, and records which endpoints are leaving', async () => {
    const { platform, list } = await startPlatform()
    await putInstance(platform, 'live')
    expect((await list.read())._unsafeUnwrap()).toMatchObject([{ id: 'engine-1', state: 'live' }])
    await setFaults(platform, { listLag: 3_600_000 })
    await putInstance(platform, 'leaving')
    expect((await list.read())._unsafeUnwrap()).toMatchObject([])
    await setFaults(platform, { listLag: 0 })
    expect((await list.read())._unsafeUnwrap()).toMatchObject([{ id: 'engine-1', state: 'leaving' }])
    expect(platform.history.all()).toMatchObject([{ event: 'endpoint-leaving', endpoint: 'engine-1' }])
    await fetch(`${platform.url}/control/instances?id=engine-1`, { method: 'DELETE' })
    expect((await list.read())._unsafeUnwrap()).toEqual([])
  })

  it('fails transfers of weights during an outage of the weight store', async () => {
    const { platform } = await startPlatform({ loadsPerSecond: 1000, faults: { weightsOutage: true } })
    const ask = async (): Promise<number> => (await fetch(`${platform.url}/weights?adapter=team/poet@1`)).status
    expect(await ask()).toBe(503)
    await setFaults(platform, { weightsOutage: false, missingWeights: ['team/none@1'] })
    expect(await ask()).toBe(200)
    expect((await fetch(`${platform.url}/weights?adapter=team/none@1`)).status).toBe(404)
  })
})

describe('weight store', () => {
  /** @returns the duration in milliseconds, measured with fake timers */
  async function timeOf (work: (store: WeightStore) => Promise<unknown>): Promise<number> {
    vi.useFakeTimers({ toFake: ['setTimeout', 'clearTimeout', 'performance'] })
    try {
      const began = performance.now()
      const done = work(new WeightStore({ loadsPerSecond: 4, sharingPenalty: 0.3 })).then(() => performance.now() - began)
      await vi.runAllTimersAsync()
      return await done
    } finally {
      vi.useRealTimers()
    }
  }

  it('completes four consecutive transfers in a second, and takes longer for four concurrent ones', async () => {
    const signal = new AbortController().signal
    const consecutive = await timeOf(async (store) => { for (let load = 0; load < 4; load += 1) await store.transfer(signal) })
    const concurrent = await timeOf((store) => Promise.all([1, 2, 3, 4].map(() => store.transfer(signal))))
    expect(Math.round(consecutive)).toBe(1000)
    expect(Math.round(concurrent)).toBe(1900)
  })
})
