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
  // The caller waits less when it would stall longest: all instances share one turn, and the most urgent goes next.
  it('are held by one instance at a time, the most urgent first', async () => {
    const [one, two, three] = await threeInstances() as [CoordinatedLoadTurns, CoordinatedLoadTurns, CoordinatedLoadTurns]
    const release = await one.acquire(1, NEVER)
    const order: string[] = []
    const take = async (name: string, turns: CoordinatedLoadTurns, urgency: number): Promise<void> => {
      const done = await turns.acquire(urgency, NEVER)
      order.push(name)
      done()
    }
    const asks = (): number => cluster.instances.reduce((sum, instance) => sum + (instance.peers.counts()['load-turn-ask']?.received ?? 0), 0)
    const before = asks()
    const all = [take('little', two, 10), take('much', three, 1_000_000), take('some', one, 500_000)]
    await until(() => asks() >= before + 2)
    expect(order).toEqual([])
    release()
    await Promise.all(all)
    expect(order).toEqual(['much', 'some', 'little'])
    expect([one, two, three].map((turns) => turns.turnsWithoutCoordinator)).toEqual([0, 0, 0])
  })

  // The caller waits a moment longer. The holder of the turn is killed; its turn lapses with its connection, so that
  // the others' loads go on. When it was the conductor itself, they go on with another, or with their share of the rate.
  it('lapse with their holder, and go on without their conductor', async () => {
    const turns = await threeInstances()
    const ranked = rendezvousRank('load-turns place', cluster.instances.map((instance) => instance.id))
    const [conductor, holder, other] = ranked.map((id) => cluster.instances.findIndex((instance) => instance.id === id)) as [number, number, number]
    const turnsAt = (index: number): CoordinatedLoadTurns => turns[index] as CoordinatedLoadTurns
    await turnsAt(holder).acquire(1, NEVER)
    const afterHolder = turnsAt(other).acquire(1, NEVER)
    await cluster.instances[holder]?.kill()
    const release = await afterHolder
    const afterConductor = turnsAt(other).acquire(1, NEVER)
    await cluster.instances[conductor]?.kill()
    release()
    const last = await afterConductor
    last()
  })
})
