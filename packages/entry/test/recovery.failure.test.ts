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
  // The caller sees its answer go on. The owner is killed; another takes the endpoint over and asks each member what
  // it runs there. One member is paused for longer than any wait: it may hold a grant and start its request when it
  // wakes. Until it has answered nothing may be evicted; its pin counts from then on.
  it('leaves nothing to evict until each member has told its pins or is gone', async () => {
    const { owner, others } = await ownedEngine('refuses')
    const [paused] = others as [TestInstance]
    paused.scheduler.paused = true
    paused.scheduler.requests.push({ endpoint: E0, requestId: 'r1' as RequestId, loadedName: 'history/essays@1' as LoadedName, team: 'history' })
    await owner.kill()
    const next = await nextOwner(others)
    await until(() => rightsOf(next).mayAdmit)
    cluster.list.remove(owner.id)
    await until(() => next.membership.member(owner.id)?.state === 'gone')
    const asked = (): number => next.peers.counts()['pins-ask']?.sent ?? 0
    const before = asked()
    if (next !== paused) await until(() => asked() > before + 2)
    expect(rightsOf(next).mayEvict).toBe(false)
    paused.scheduler.paused = false
    await until(() => rightsOf(next).mayEvict)
    expect(next.recoveries.earlierPins(E0).map((pin) => pin.requestId)).toEqual(['r1'])
    expect(paused.scheduler.lowestAcceptedTokens.get(E0)).toBe(next.ownership.recordOf(E0)?.token)
  })

  // The caller sees its answer go on. The owner runs a request of its own on the engine and is cut off, not ended: the
  // platform still lists it. Its silence must not be taken for its end, or its adapter is evicted under the request.
  // Once the platform lists it no more, the engine's report tells what it left running, until that has ended.
  it('keeps its own running requests safe through its silence and after its end', async () => {
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

  // The caller sees its answer go on, after its instance's owner was lost and operators made the longest request time shorter.
  // Guards against a pin that ends by settings newer than its request: its adapter would be evicted in use.
  it('keeps what it left running safe when the longest request time is made shorter', async () => {
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

  // The caller sees the right adapter answer. An owner checks its rights, is paused before its unload leaves, and
  // wakes after another instance has taken over and granted a request on that adapter. The unload arrives late; the
  // engine has seen the new token before the first grant and refuses it.
  it('that wakes between its check and its send is refused by an engine that refuses old tokens', async () => {
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

  // The same with an engine that ignores tokens: the late unload is carried out, but it names what the earlier owner
  // loaded. The new owner's requests use a name with its own token, and it may not evict the earlier owner's names.
  it('that wakes between its check and its send cannot touch what is used where the engine ignores tokens', async () => {
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
