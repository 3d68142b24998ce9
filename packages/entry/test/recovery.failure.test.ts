import type { EndpointId, FencingToken, LoadedName, RequestId, TeamId, AdapterName, AdapterVersion } from '@limpetwinch/core'
import { loadedNameOf } from '@limpetwinch/core'
import { setTimeout as sleep } from 'node:timers/promises'
import { afterEach, describe, expect, it } from 'vitest'
import { ownAllAndAgree, Cluster, until } from './support/cluster.js'
import type { TestInstance } from './support/cluster.js'
import type { EngineInMemory } from './support/engine-in-memory.js'

const E0 = 'e0' as EndpointId
const ADAPTER = { team: 'history' as TeamId, adapter: 'essays' as AdapterName, version: '1' as AdapterVersion }

let cluster: Cluster

afterEach(async () => { await cluster.end() })

async function ownedEngine (fencing: 'refuses' | 'ignores'): Promise<{ owner: TestInstance, others: TestInstance[], engine: EngineInMemory }> {
  cluster = new Cluster()
  const all = await cluster.startAll(['one', 'two', 'three'])
  cluster.setEngines(1, fencing)
  await until(() => ownAllAndAgree(cluster, all))
  const owner = all.find((instance) => instance.ownership.owned().length === 1) as TestInstance
  await until(() => owner.recoveries.recovered(E0))
  const engine = cluster.engineClients.get('e0') as EngineInMemory
  return { owner, others: all.filter((instance) => instance !== owner), engine }
}

async function nextOwner (others: readonly TestInstance[]): Promise<TestInstance> {
  await until(() => others.some((instance) => instance.ownership.owned().length === 1))
  return others.find((instance) => instance.ownership.owned().length === 1) as TestInstance
}

function rightsOf (instance: TestInstance): { mayAdmit: boolean, mayEvict: boolean } {
  const record = instance.ownership.recordOf(E0)
  return record === undefined ? { mayAdmit: false, mayEvict: false } : instance.ownership.rights(record)
}

describe('a lost owner', () => {
  // Guards against an adapter that is evicted while a request uses it. The owner is killed; another instance takes the
  // endpoint over and asks each member what it runs there. One member is paused for longer than any wait: it may hold a grant
  // and start its request when it resumes. Nothing may be evicted until it has answered; its pin counts from then on.
  it('prevents evictions until each member has reported its pins or has left', async () => {
    const { owner, others } = await ownedEngine('refuses')
    const [paused] = others as [TestInstance]
    paused.scheduler.paused = true
    paused.scheduler.requests.push({ endpoint: E0, requestId: 'r1' as RequestId, loadedName: 'history/essays@1' as LoadedName, team: 'history' })
    await owner.kill()
    const next = await nextOwner(others)
    await until(() => rightsOf(next).mayAdmit)
    cluster.list.remove(owner.id)
    await until(() => next.membership.member(owner.id)?.state === 'gone')
    const calls = (): number => next.peers.counts()['pins-ask']?.sent ?? 0
    const before = calls()
    if (next !== paused) await until(() => calls() > before + 2)
    expect(rightsOf(next).mayEvict).toBe(false)
    paused.scheduler.paused = false
    await until(() => rightsOf(next).mayEvict)
    expect(next.recoveries.earlierPins(E0).map((pin) => pin.requestId)).toEqual(['r1'])
    expect(paused.scheduler.lowestAcceptedTokens.get(E0)).toBe(next.ownership.recordOf(E0)?.token)
  })

  // Guards against an adapter that is evicted while a request of the lost owner uses it. The owner runs a request of its own
  // and is cut off, but the platform still lists it: an unresponsive owner must not be taken for one that has ended. Once the
  // platform no longer lists it, the engine's report shows its remaining requests until they have ended.
  it('does not lose the adapters of its own running requests, neither while it is cut off nor after its end', async () => {
    const { owner, others, engine } = await ownedEngine('refuses')
    engine.running.set('r2' as RequestId, 'history/essays@1' as LoadedName)
    cluster.isolate(owner.id)
    const next = await nextOwner(others)
    await until(() => rightsOf(next).mayAdmit)
    const reads = cluster.store.calls.reads
    await until(() => cluster.store.calls.reads > reads + 2)
    expect(next.membership.member(owner.id)?.state).toBe('suspect')
    expect(rightsOf(next).mayEvict).toBe(false)
    await owner.kill()
    cluster.list.remove(owner.id)
    await until(() => rightsOf(next).mayEvict)
    expect(next.recoveries.earlierPins(E0).map((pin) => pin.requestId)).toEqual(['r2'])
    engine.running.clear()
    await until(() => next.recoveries.earlierPins(E0).length === 0)
  })

  // Guards against an adapter that is evicted while a request uses it, because operators reduce the longest request time
  // after the owner was lost: a pin must not end by settings that are newer than its request.
  it('does not lose the adapters of its running requests when the longest request time is reduced', async () => {
    const { owner, others, engine } = await ownedEngine('refuses')
    engine.running.set('r2' as RequestId, 'history/essays@1' as LoadedName)
    await owner.kill()
    cluster.list.remove(owner.id)
    const next = await nextOwner(others)
    await until(() => rightsOf(next).mayEvict)
    expect(next.recoveries.earlierPins(E0).map((pin) => pin.requestId)).toEqual(['r2'])
    cluster.longestRequestMilliseconds = 1
    await sleep(500)
    expect(next.recoveries.earlierPins(E0).map((pin) => pin.requestId)).toEqual(['r2'])
    engine.running.clear()
    await until(() => next.recoveries.earlierPins(E0).length === 0)
  })

  // Guards against a late unload of an adapter in use. An owner checks its rights, is paused before it sends its unload
  // order, and resumes after another instance has taken over and granted a request for that adapter. The engine received
  // the new token before the first grant and must refuse the late order.
  it('that was paused between its check and its order is refused by an engine that refuses old tokens', async () => {
    const { owner, others, engine } = await ownedEngine('refuses')
    const record = owner.ownership.owned()[0] as { token: FencingToken }
    const name = loadedNameOf(ADAPTER, undefined)
    await engine.load({ name, token: record.token })
    expect(rightsOf(owner).mayEvict).toBe(true)
    cluster.isolate(owner.id)
    const next = await nextOwner(others)
    await until(() => rightsOf(next).mayAdmit)
    const late = await engine.unload({ name, token: record.token })
    expect(late._unsafeUnwrapErr().kind).toBe('stale-fencing-token')
    expect(engine.loaded).toContain(name)
  })

  // The same with an engine that ignores tokens: the late unload is executed, but it names an adapter that the earlier owner
  // loaded. The new owner's requests use a name with its own token, and it may not evict the earlier owner's names.
  it('that was paused between its check and its order cannot unload adapters in use where the engine ignores tokens', async () => {
    const { owner, others, engine } = await ownedEngine('ignores')
    const earlier = owner.ownership.owned()[0] as { token: FencingToken }
    const earlierName = loadedNameOf(ADAPTER, earlier.token)
    await engine.load({ name: earlierName, token: earlier.token })
    cluster.isolate(owner.id)
    const next = await nextOwner(others)
    const record = next.ownership.owned()[0] as { token: FencingToken }
    await until(() => rightsOf(next).mayAdmit)
    expect(rightsOf(next).mayEvict).toBe(false)
    const name = loadedNameOf(ADAPTER, record.token)
    await engine.load({ name, token: record.token })
    await engine.unload({ name: earlierName, token: earlier.token })
    expect(engine.loaded).toContain(name)
    cluster.reconnect(owner.id)
    await until(() => rightsOf(next).mayEvict)
    await until(() => !rightsOf(owner).mayAdmit)
  })
})
