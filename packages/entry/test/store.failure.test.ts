import type { EndpointId } from '@limpetwinch/core'
import { rendezvousRank } from '@limpetwinch/entry'
import { afterEach, describe, expect, it } from 'vitest'
import { ownAllAndAgree, Cluster, JumpingClock, until } from './support/cluster.js'
import type { TestInstance } from './support/cluster.js'

const E0 = 'e0' as EndpointId
const PATH = '/ownership/place'

let cluster: Cluster

afterEach(async () => { await cluster.end() })

interface Stored { sequence: number, nextToken: number, records: { endpoint: string, owner: string, token: number }[] }

async function stored (): Promise<Stored> {
  const object = (await cluster.store.get(PATH))._unsafeUnwrap()
  return object?.value as Stored
}

async function started (ids: readonly string[], engines: number): Promise<TestInstance[]> {
  cluster = new Cluster()
  const all = await cluster.startAll(ids)
  cluster.setEngines(engines)
  await until(() => ownAllAndAgree(cluster, all))
  await until(() => all.every((instance) => instance.ownership.owned().every((record) => instance.ownership.rights(record).mayEvict)))
  return all
}

async function someHeartbeats (instance: TestInstance): Promise<void> {
  const beats = (): number => instance.peers.counts().heartbeat?.received ?? 0
  const before = beats()
  await until(() => beats() > before + 20)
}

function rights (instance: TestInstance): { mayAdmit: boolean, mayEvict: boolean } {
  return instance.ownership.rights(instance.ownership.recordOf(E0) as never)
}

describe('the store', () => {
  // Guards against owners that stop, or evict without confirmation, during a long outage of the store. No instance can take
  // over an endpoint and all report this in their heartbeats, so owners continue with full rights. An owner that is also cut
  // off from its peers cannot know this: it continues to admit and evicts nothing. After the outage nothing is written, since
  // nothing has changed. Callers notice nothing.
  it('may fail: owners in contact with all others continue, and an owner that is cut off stops evictions', async () => {
    const all = await started(['one', 'two', 'three'], 1)
    const owner = all.find((instance) => instance.ownership.owned().length === 1) as TestInstance
    const other = all.find((instance) => instance !== owner) as TestInstance
    const { writes } = cluster.store.calls
    cluster.store.faults.outage = true
    await someHeartbeats(owner)
    expect(rights(owner)).toEqual({ mayAdmit: true, mayEvict: true })
    cluster.isolate(owner.id)
    await until(() => !rights(owner).mayEvict)
    expect(rights(owner).mayAdmit).toBe(true)
    await until(() => other.membership.member(owner.id)?.state === 'suspect')
    cluster.reconnect(owner.id)
    await until(() => rights(owner).mayEvict && all.every((instance) => instance.membership.members().every((member) => member.state === 'alive')))
    const refused = cluster.store.calls.writes - writes
    cluster.store.faults.outage = false
    await someHeartbeats(owner)
    expect(cluster.store.calls.writes - writes).toBe(refused)
    expect((await stored()).sequence).toBe(1)
  })

  // Guards against a second write after a lost answer: the write took effect, and writing again would give the endpoints new
  // tokens and unload adapters that were loaded under the first ones. The writer reads its write back by id instead.
  it('may lose the answer to a write that took effect, which is not written again', async () => {
    cluster = new Cluster()
    const all = await cluster.startAll(['one', 'two'])
    cluster.store.faults.loseAnswers = 1
    cluster.setEngines(4)
    await until(() => ownAllAndAgree(cluster, all))
    await someHeartbeats(all[0] as TestInstance)
    expect((await stored()).sequence).toBe(1)
    expect(cluster.store.calls.writes).toBe(1)
  })

  // Guards against two owners that evict: an owner writes a hand-over, the answer is lost, and the store fails before the write
  // can be read back, so the next owner may already own the endpoint. Until the result is known, the old owner must not evict,
  // and its heartbeats must not confirm other owners with an older sequence number.
  it('may leave the result of a hand-over unknown, and the owner evicts nothing until it is known', async () => {
    const [one, two] = await started(['one', 'two'], 1) as [TestInstance, TestInstance]
    const [owner, other] = one.ownership.owned().length === 1 ? [one, two] : [two, one]
    const { writes } = cluster.store.calls
    cluster.store.faults.loseAnswers = 1
    const put = cluster.store.put.bind(cluster.store)
    cluster.store.put = (write) => {
      const answer = put(write)
      cluster.store.faults.outage = true
      return answer
    }
    const handed = owner.handOvers.handOver([E0], AbortSignal.timeout(50_000))
    await until(() => cluster.store.calls.writes === writes + 1 && cluster.store.faults.outage)
    await until(() => owner.ownership.announcedVersion() === 2)
    expect(rights(owner).mayEvict).toBe(false)
    cluster.store.put = put
    cluster.store.faults.outage = false
    expect(await handed).toBe(true)
    await until(() => rights(other).mayEvict)
    expect(cluster.store.calls.writes).toBe(writes + 1)
  })

  // Guards against owners or tokens that go back: the store is restored to a state from before a take-over, in which another
  // instance is the owner with a lower token. The instances remember the newer state and write it back, so no token is
  // assigned twice.
  it('may be restored to an older state, and neither owners nor tokens go back', async () => {
    const all = await started(['one', 'two', 'three'], 3)
    const snapshot = cluster.store.snapshot()
    const before = await stored()
    const [killed, ...left] = all as [TestInstance, ...TestInstance[]]
    await killed.kill()
    cluster.list.remove(killed.id)
    await until(() => ownAllAndAgree(cluster, left))
    const after = await stored()
    cluster.store.restore(snapshot)
    expect((await stored()).sequence).toBe(before.sequence)
    const fresh = await cluster.start('fresh')
    await until(() => fresh.peers.connected().length === 2)
    await until(() => fresh.ownership.announcedVersion() > after.sequence)
    const restored = await stored()
    expect(restored.sequence).toBeGreaterThan(after.sequence)
    expect(restored.nextToken).toBeGreaterThanOrEqual(after.nextToken)
    expect(restored.records).toEqual(after.records)
  })

  // Guards against endpoints that change owners twice: several instances see the same endpoints without an owner and write at
  // the same time. One write wins; the other instances read it and have nothing left to write.
  it('accepts one of several concurrent proposals of owners', async () => {
    cluster = new Cluster()
    const all = await cluster.startAll(['one', 'two', 'three', 'four'], { rankDelayMilliseconds: 0 })
    cluster.store.faults.slowness = 20
    cluster.setEngines(8)
    for (const instance of all) instance.ownership.reevaluate()
    await until(() => ownAllAndAgree(cluster, all))
    await someHeartbeats(all[0] as TestInstance)
    expect(cluster.store.calls.writes).toBeGreaterThan(1)
    const won = await stored()
    expect(won.sequence).toBe(1)
    expect(new Set(won.records.map((record) => record.token)).size).toBe(8)
  })
})

describe('an owner', () => {
  // Guards against evictions after a process pause: an owner is paused for longer than its rights last. When it resumes, it must
  // know that it may have been replaced, before any heartbeat or read shows it.
  it('that was paused evicts nothing until its ownership is confirmed again', async () => {
    cluster = new Cluster()
    const clock = new JumpingClock()
    const all = await cluster.startAll(['one', 'two'], { clock })
    cluster.setEngines(1)
    await until(() => ownAllAndAgree(cluster, all))
    const owner = all.find((instance) => instance.ownership.owned().length === 1) as TestInstance
    await until(() => rights(owner).mayEvict)
    clock.jump(60_000)
    expect(rights(owner)).toEqual({ mayAdmit: true, mayEvict: false })
    await until(() => rights(owner).mayEvict)
  })

  // Guards against a take-over by an instance that is itself cut off: the instance ranked first to propose owners loses the
  // connections to all peers but not to the store. It takes over nothing while the others continue, neither when it has lost
  // only the first of them nor when it has reconnected to some. An owner that is killed is replaced within seconds.
  it('that is killed is replaced, but not by an instance that is itself cut off', async () => {
    const all = await started(['one', 'two', 'three', 'four'], 8)
    const first = rendezvousRank('ownership place', all.map((instance) => instance.id))[0]
    const cut = all.find((instance) => instance.id === first) as TestInstance
    const [killed, ...left] = all.filter((instance) => instance !== cut) as [TestInstance, ...TestInstance[]]
    for (let round = 0; round < 3; round += 1) {
      let most = cut.ownership.owned().length
      const before = most
      cut.ownership.onChange(() => { most = Math.max(most, cut.ownership.owned().length) })
      cluster.isolate(cut.id)
      await until(() => cut.ownership.owned().length === 0 && ownAllAndAgree(cluster, [killed, ...left]))
      await someHeartbeats(killed)
      cluster.reconnect(cut.id)
      await until(() => cut.membership.members().every((member) => member.state === 'alive') && cut.membership.mayTreatOthersAsLost())
      await someHeartbeats(cut)
      expect(most).toBe(before)
      expect(ownAllAndAgree(cluster, [killed, ...left])).toBe(true)
    }
    await killed.kill()
    await until(() => ownAllAndAgree(cluster, [cut, ...left]))
  })
})
