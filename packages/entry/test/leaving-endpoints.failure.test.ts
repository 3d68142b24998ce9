import { afterEach, describe, expect, it } from 'vitest'
import { Cluster, until } from './support/cluster.js'
import type { TestInstance } from './support/cluster.js'

let cluster: Cluster

afterEach(async () => { await cluster.end() })

function knowsLeaving (instance: TestInstance): boolean {
  return instance.membership.leavingEndpoints().has('e0')
}

describe('an endpoint that leaves', () => {
  // Guards against new work for an endpoint that is leaving. One instance can no longer read the platform's list when the
  // endpoint is listed as leaving. Without messages from its peers, which read that, it would send work there until it can
  // read the list again.
  it('is known to an instance that cannot read the list itself', async () => {
    cluster = new Cluster()
    const [one, two] = await cluster.startAll(['one', 'two', 'three']) as [TestInstance, TestInstance, TestInstance]
    cluster.list.cutOff.add(two.id)
    cluster.list.leave('e0')
    await until(() => knowsLeaving(one))
    await until(() => knowsLeaving(two))
  })

  // Guards against a usable endpoint that stays excluded. It was listed as leaving by mistake, and the mark is removed. An
  // instance that cannot read the list must learn this as well, and an older message that arrives late must not undo it.
  it('is used again after it is no longer listed as leaving', async () => {
    cluster = new Cluster()
    const [one, two] = await cluster.startAll(['one', 'two', 'three']) as [TestInstance, TestInstance, TestInstance]
    cluster.list.cutOff.add(two.id)
    cluster.list.leave('e0')
    await until(() => knowsLeaving(two))
    cluster.list.remove('e0')
    await until(() => !knowsLeaving(two))
    one.peers.notify(two.id, { kind: 'endpoints-leaving', leaving: ['e0'], readMillisecondsAgo: 60_000 })
    const received = (): number => two.peers.counts()['endpoints-leaving']?.received ?? 0
    const before = received()
    await until(() => received() > before)
    expect(knowsLeaving(two)).toBe(false)
  })
})
