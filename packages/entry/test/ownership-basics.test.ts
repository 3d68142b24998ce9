import { afterEach, describe, expect, it } from 'vitest'
import { ownAllAndAgree, Cluster, until } from './support/cluster.js'
import type { TestInstance } from './support/cluster.js'

let cluster: Cluster

afterEach(async () => { await cluster.end() })

describe('instances of one data centre', () => {
  it('share the endpoints and agree on the owner of each', async () => {
    cluster = new Cluster()
    const [one, two] = await cluster.startAll(['one', 'two']) as [TestInstance, TestInstance]
    cluster.setEngines(6)
    await until(() => ownAllAndAgree(cluster, [one, two]))
    const owners = cluster.engines.map((engine) => one.ownership.recordOf(engine.endpoint))
    expect(cluster.engines.map((engine) => two.ownership.recordOf(engine.endpoint))).toEqual(owners)
    expect(new Set(owners.map((record) => record?.owner)).size).toBe(2)
    expect(new Set(owners.map((record) => record?.token)).size).toBe(6)
  })

  it('write nothing to the store while no owner changes', async () => {
    cluster = new Cluster()
    cluster.setEngines(4)
    const one = await cluster.start('one')
    const two = await cluster.start('two')
    await until(() => one.ownership.owned().length + two.ownership.owned().length === 4)
    const writes = cluster.store.calls.writes
    const heartbeats = (): number => one.peers.counts().heartbeat?.received ?? 0
    const before = heartbeats()
    await until(() => heartbeats() > before + 20)
    expect(cluster.store.calls.writes).toBe(writes)
  })

  it('answer calls, and distinguish a call that was certainly not sent from one that may have been handled', async () => {
    cluster = new Cluster()
    const one = await cluster.start('one')
    const two = await cluster.start('two')
    two.peers.onCall('load-turn-ask', async () => ({ kind: 'accepted' }))
    await until(() => one.peers.connected().includes(two.id))
    const body = { kind: 'load-turn-ask', turn: 'a', urgency: 1 } as const
    expect((await one.peers.call(two.id, body, 5_000))._unsafeUnwrap()).toEqual({ kind: 'accepted' })
    two.peers.onCall('load-turn-ask', async () => await new Promise(() => {}))
    const outstanding = one.peers.call(two.id, body, 30_000)
    await until(() => (two.peers.counts()['load-turn-ask']?.received ?? 0) === 2)
    await two.kill()
    expect((await outstanding)._unsafeUnwrapErr().kind).toBe('peer-silent')
    expect((await one.peers.call(two.id, body, 5_000))._unsafeUnwrapErr().kind).toBe('peer-unreachable')
  })
})
