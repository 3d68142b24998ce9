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
  // The caller sees nothing. The store is out for long; nobody can take over, all say so in their heartbeats, so
  // owners go on with everything. An owner that is also cut off from its peers cannot know that: it goes on admitting
  // and evicts nothing. On return nothing is written, since nothing has changed.
  it('may be out: owners that hear all others go on, one that is cut off stops evicting', async () => {
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

  // The caller sees nothing. A write takes effect and its answer is lost. The writer reads it back by its id and does
  // not write again: a second write would give the endpoints new tokens and unload what the first ones loaded.
  it('may lose the answer to a write that took effect: it is not written twice', async () => {
    cluster = new Cluster()
    const all = await cluster.startAll(['one', 'two'])
    cluster.store.faults.loseAnswers = 1
    cluster.setEngines(4)
    await until(() => ownAllAndAgree(cluster, all))
    await someHeartbeats(all[0] as TestInstance)
    expect((await stored()).sequence).toBe(1)
    expect(cluster.store.calls.writes).toBe(1)
  })

  // The caller sees its answer go on. An owner writes its hand-over, the answer is lost, and the store is out before
  // it can be read back. The next owner may have it or not. Until that is known the old owner must not evict, nor may
  // its heartbeats confirm anyone else by an older number.
  it('may leave the fate of a hand-over open: the owner evicts nothing until it knows', async () => {
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

  // The caller sees nothing. The store is restored to a state from before a take-over, in which another owner has a
  // lower token. The instances remember the newer one and write it back; no token is ever given twice.
  it('may be restored to an older state: neither owners nor tokens go back', async () => {
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

  // The caller sees nothing. Several instances find the same endpoints without an owner and write at the same time.
  // One wins; the others read what won and have nothing left to write, so that no endpoint changes hands twice.
  it('lets one of several racing proposers win', async () => {
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
  // The caller sees its answer go on. An owner is paused for longer than its rights hold and wakes: at its first look
  // it must already know that it may have been replaced, before any heartbeat or read has told it.
  it('that was paused evicts nothing until it is confirmed again', async () => {
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

  // The caller waits a few seconds for adapters of the lost owner's endpoints. An instance is cut off from all peers
  // but not from the store, and is the first to propose. It takes nothing, since the others go on: neither while it has
  // missed only the first of them, nor when it hears some of them again. An owner that is killed is replaced.
  it('that is killed is replaced, by none that is cut off itself', async () => {
    const all = await started(['one', 'two', 'three', 'four'], 8)
    const first = rendezvousRank('ownership place', all.map((instance) => instance.id))[0]
    const cut = all.find((instance) => instance.id === first) as TestInstance
    const [killed, ...left] = all.filter((instance) => instance !== cut) as [TestInstance, ...TestInstance[]]
    for (let time = 0; time < 3; time += 1) {
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
