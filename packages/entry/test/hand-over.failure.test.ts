import type { EndpointId, InstanceId, LoadedName, RequestId } from '@limpetwinch/core'
import { afterEach, describe, expect, it } from 'vitest'
import { ownAllAndAgree, Cluster, until } from './support/cluster.js'
import type { TestInstance } from './support/cluster.js'

const E0 = 'e0' as EndpointId
const LOADED = 'history/essays@1' as LoadedName
const PIN = { requestId: 'r1' as RequestId, instance: 'one' as InstanceId, loadedName: LOADED, team: 'history' }

let cluster: Cluster

afterEach(async () => { await cluster.end() })

async function started (): Promise<{ owner: TestInstance, others: TestInstance[] }> {
  cluster = new Cluster()
  const all = await cluster.startAll(['one', 'two', 'three'])
  cluster.setEngines(1)
  await until(() => ownAllAndAgree(cluster, all))
  const owner = all.find((instance) => instance.ownership.owned().length === 1) as TestInstance
  owner.scheduler.loaded.set(E0, [LOADED])
  owner.scheduler.pins.set(E0, [PIN])
  return { owner, others: all.filter((instance) => instance !== owner) }
}

function mayEvict (instance: TestInstance): boolean {
  const record = instance.ownership.recordOf(E0)
  return record !== undefined && instance.ownership.rights(record).mayEvict
}

describe('an owner that leaves', () => {
  // Guards against reloads and refused requests in a planned stop. The leaving owner stops its orders, writes the new
  // owner, then sends it the loaded names and pins and redirects waiting requests to it. Nothing is loaded again, and the
  // new owner does not have to ask the members for their pins.
  it('hands over loaded names and pins, in order, and redirects waiting requests', async () => {
    const { owner, others } = await started()
    await until(() => mayEvict(owner))
    owner.membership.startLeaving()
    const left = await owner.handOvers.handOverAll(AbortSignal.timeout(30_000))
    expect(left).toEqual([])
    const next = others.find((instance) => instance.ownership.owned().length === 1) as TestInstance
    expect(owner.scheduler.events).toEqual(['freeze e0', 'state e0', 'release e0'])
    expect(owner.scheduler.releasedTo.get(E0)).toBe(next.id)
    expect(next.scheduler.loaded.get(E0)).toEqual([LOADED])
    expect(next.recoveries.earlierPins(E0).map((pin) => pin.requestId)).toEqual(['r1'])
    await until(() => mayEvict(next))
    expect(next.peers.counts()['pins-ask']?.sent ?? 0).toBe(0)
  })

  // Guards against an adapter that is evicted while a request uses it. The leaving owner itself took over from a lost owner,
  // whose pins it does not know yet. If the next owner treated the hand-over as complete, it would evict too early.
  it('tells the next owner that earlier pins are still unknown', async () => {
    const { owner: first, others } = await started()
    const [one, two] = others as [TestInstance, TestInstance]
    await until(() => mayEvict(first))
    await first.kill()
    await until(() => one.ownership.owned().length + two.ownership.owned().length === 1)
    const [second, third] = one.ownership.owned().length === 1 ? [one, two] : [two, one]
    await until(() => second.ownership.rights(second.ownership.owned()[0] as never).mayAdmit)
    second.membership.startLeaving()
    await second.handOvers.handOverAll(AbortSignal.timeout(30_000))
    expect(third.ownership.owned().length).toBe(1)
    await until(() => third.ownership.rights(third.ownership.owned()[0] as never).mayAdmit)
    expect(third.recoveries.recovered(E0)).toBe(false)
    cluster.list.remove(first.id)
    await until(() => mayEvict(third))
  })

  // Guards against an instance that does not stop. It is the last one of its data centre, so that no instance can take its
  // endpoints; waiting for a successor would delay the stop until its time limit.
  it('keeps its endpoints when no other instance can take them', async () => {
    cluster = new Cluster()
    const [owner] = await cluster.startAll(['one']) as [TestInstance]
    cluster.setEngines(1)
    await until(() => owner.ownership.owned().length === 1)
    owner.membership.startLeaving()
    const limit = AbortSignal.timeout(30_000)
    expect(await owner.handOvers.handOverAll(limit)).toEqual([E0])
    expect(limit.aborted).toBe(false)
  })

  // Guards against an owner that stops serving because its hand-over cannot be written. During an outage of the store the
  // owner must resume its orders and serve until the store is reachable again.
  it('continues to serve during an outage of the store', async () => {
    const { owner, others } = await started()
    await until(() => mayEvict(owner))
    owner.membership.startLeaving()
    cluster.store.faults.outage = true
    const leaving = owner.handOvers.handOverAll(AbortSignal.timeout(30_000))
    await until(() => owner.scheduler.events.includes('resume e0'))
    expect(owner.ownership.rights(owner.ownership.owned()[0] as never).mayAdmit).toBe(true)
    cluster.store.faults.outage = false
    expect(await leaving).toEqual([])
    expect(others.filter((instance) => instance.ownership.owned().length === 1).length).toBe(1)
  })

  // Guards against an instance that joins and stays idle while others are overloaded. All endpoints of the data centre have
  // owners; an owner above its share must hand some over, and no endpoint may be taken from a living owner.
  it('does the same to balance ownership with an instance that joined', async () => {
    cluster = new Cluster()
    cluster.setEngines(6)
    const one = await cluster.start('one', { rebalanceIntervalMilliseconds: 50 })
    await until(() => one.ownership.owned().length === 6)
    const two = await cluster.start('two', { rebalanceIntervalMilliseconds: 50 })
    const count = (instance: TestInstance, event: string): number => instance.scheduler.events.filter((each) => each.startsWith(event)).length
    await until(() => count(one, 'release') === 2 && ownAllAndAgree(cluster, [one, two]))
    expect(two.ownership.owned().length).toBe(2)
    expect(count(two, 'adopt')).toBe(2)
  })
})
