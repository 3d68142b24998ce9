import { SystemClock } from '@limpetwinch/core'
import { CoordinatedLoadTurns, PacedLoadTurns, rendezvousRank } from '@limpetwinch/entry'
import { afterEach, describe, expect, it } from 'vitest'
import { Cluster, until } from './support/cluster.js'
import type { TestInstance } from './support/cluster.js'

const NEVER = new AbortController().signal

let cluster: Cluster

afterEach(async () => { await cluster.end() })

function turnsOf (instance: TestInstance): CoordinatedLoadTurns {
  const { peers, membership } = instance
  const fallback = new PacedLoadTurns(() => 1_000, new SystemClock())
  return new CoordinatedLoadTurns({ peers, membership, fallback, logger: cluster.logger, scope: 'data-centre', longestTurnMilliseconds: 3_600_000 })
}

async function threeInstances (): Promise<CoordinatedLoadTurns[]> {
  cluster = new Cluster()
  return (await cluster.startAll(['one', 'two', 'three'])).map(turnsOf)
}

describe('load turns', () => {
  // Guards against loads of several instances that share the weight store at once, and against an urgent load that waits
  // behind less urgent ones: all instances share one turn, and the most urgent request gets it next.
  it('are held by one instance at a time, the most urgent first', async () => {
    const [one, two, three] = await threeInstances() as [CoordinatedLoadTurns, CoordinatedLoadTurns, CoordinatedLoadTurns]
    const release = await one.acquire(1, NEVER)
    const order: string[] = []
    const take = async (name: string, turns: CoordinatedLoadTurns, urgency: number): Promise<void> => {
      const done = await turns.acquire(urgency, NEVER)
      order.push(name)
      done()
    }
    const turnRequests = (): number => cluster.instances.reduce((sum, instance) => sum + (instance.peers.counts()['load-turn-ask']?.received ?? 0), 0)
    const before = turnRequests()
    const all = [take('little', two, 10), take('much', three, 1_000_000), take('some', one, 500_000)]
    await until(() => turnRequests() >= before + 2)
    expect(order).toEqual([])
    release()
    await Promise.all(all)
    expect(order).toEqual(['much', 'some', 'little'])
    expect([one, two, three].map((turns) => turns.turnsWithoutCoordinator)).toEqual([0, 0, 0])
  })

  // Guards against loads that wait for ever after an instance was killed. The turn of a killed holder ends with its
  // connection. When the coordinator is killed, turns come from the next coordinator, or from each instance's share of the rate.
  it('end with their holder, and are still granted after the loss of the coordinator', async () => {
    const turns = await threeInstances()
    const ranked = rendezvousRank('load-turns place', cluster.instances.map((instance) => instance.id))
    const [coordinator, holder, other] = ranked.map((id) => cluster.instances.findIndex((instance) => instance.id === id)) as [number, number, number]
    const turnsAt = (index: number): CoordinatedLoadTurns => turns[index] as CoordinatedLoadTurns
    await turnsAt(holder).acquire(1, NEVER)
    const afterHolder = turnsAt(other).acquire(1, NEVER)
    await cluster.instances[holder]?.kill()
    const release = await afterHolder
    const afterCoordinator = turnsAt(other).acquire(1, NEVER)
    await cluster.instances[coordinator]?.kill()
    release()
    const last = await afterCoordinator
    last()
  })
})
