import { afterEach, describe, expect, it } from 'vitest'
import { Cluster, until } from './support/cluster.js'
import type { TestInstance } from './support/cluster.js'

let cluster: Cluster

afterEach(async () => { await cluster.end() })

function knowsLeaving (instance: TestInstance): boolean {
  return instance.membership.leavingEndpoints().has('e0')
}

describe('an endpoint that leaves', () => {
  // The caller's request goes elsewhere. One instance cannot read the platform's list any more; the endpoint is listed
  // as leaving; its peers read that. Without their word it would send new work there until its own link is mended.
  it('is known to an instance that cannot read the list itself', async () => {
    cluster = new Cluster()
    const [one, two] = await cluster.startAll(['one', 'two', 'three']) as [TestInstance, TestInstance, TestInstance]
    cluster.list.cutOff.add(two.id)
    cluster.list.leave('e0')
    await until(() => knowsLeaving(one))
    await until(() => knowsLeaving(two))
  })

  // The caller is served by the endpoint again. It was marked as leaving by mistake and is taken back: the instance that
  // is cut off hears of that as well, and an older word that arrives late does not undo it.
  it('is used again when the mark is taken back', async () => {
    cluster = new Cluster()
    const [one, two] = await cluster.startAll(['one', 'two', 'three']) as [TestInstance, TestInstance, TestInstance]
    cluster.list.cutOff.add(two.id)
    cluster.list.leave('e0')
    await until(() => knowsLeaving(two))
    cluster.list.remove('e0')
    await until(() => !knowsLeaving(two))
    one.peers.notify(two.id, { kind: 'endpoints-leaving', leaving: ['e0'], readMillisecondsAgo: 60_000 })
    const heard = (): number => two.peers.counts()['endpoints-leaving']?.received ?? 0
    const before = heard()
    await until(() => heard() > before)
    expect(knowsLeaving(two)).toBe(false)
  })
})
