// Guards against a plain service with few slots before many instances of which each sends about a request a second: queues at its endpoints
// that make everybody late, a slow endpoint that nobody knows of, and instances that are lost with places.
import { LimpetwinchError } from '@limpetwinch/core'
import type { EndpointId } from '@limpetwinch/core'
import { describe, expect, it } from 'vitest'
import { PlaceFleet, SERVICE } from './support/place-fleet.js'
import type { FewSlotsEndpoint, PlaceInstance } from './support/place-fleet.js'

const INSTANCES = 12
/** Requests a second that three endpoints of six slots run at 80 ms each. */
const CAPACITY = 225
/** The same while one of them takes four times as long. */
const CAPACITY_WITH_SLOW = 168.75
const LOAD = 0.7
/** Most requests at an endpoint at one time: its slots, and four. */
const MOST_PRESENT = 10
const SLOW_MILLISECONDS = 320
const NORMAL_MILLISECONDS = 80
const SEEDS = [1, 2]

function seeded (seed: number): () => number {
  let state = seed
  return () => {
    state = (state * 1_664_525 + 1_013_904_223) % 4_294_967_296
    return state / 4_294_967_296
  }
}

function mostPresent (fleet: PlaceFleet): number {
  return Math.max(...fleet.endpoints.map(({ most }) => most))
}

function slowDown (fleet: PlaceFleet, slow: number): void {
  for (const [index, endpoint] of fleet.endpoints.entries()) endpoint.workMilliseconds = index === slow ? SLOW_MILLISECONDS : NORMAL_MILLISECONDS
}

/** @returns an instance that does not lend the places */
function holderOf (fleet: PlaceFleet): PlaceInstance {
  const { owner } = fleet
  return fleet.instances.find((instance) => instance !== owner) as PlaceInstance
}

describe.each(SEEDS)('few places of a plain service, seed %i', (seed) => {
  it('are all used, and no request is refused while places are free', async () => {
    const fleet = new PlaceFleet(INSTANCES, seeded(seed))
    await fleet.run(LOAD * CAPACITY, 5_000)
    expect(fleet.inTime()).toBeGreaterThan(0.98)
    expect(fleet.results.filter(({ outcome }) => outcome !== 'served')).toEqual([])
    expect(fleet.frames / fleet.results.length).toBeLessThan(4)
  })

  // An endpoint that takes four times as long as the others and says nothing of it.
  it('leave out a slow endpoint', async () => {
    const fleet = new PlaceFleet(INSTANCES, seeded(seed))
    slowDown(fleet, 0)
    await fleet.run(LOAD * CAPACITY_WITH_SLOW, 10_000)
    expect(fleet.inTime()).toBeGreaterThan(0.96)
    expect(mostPresent(fleet)).toBeLessThanOrEqual(MOST_PRESENT)
  })

  // The slow endpoint changes each five seconds: the new one is found out, and the mended one gets its share back.
  it('follow a slow endpoint that changes', async () => {
    const fleet = new PlaceFleet(INSTANCES, seeded(seed))
    for (let shift = 0; shift < 3; shift++) {
      slowDown(fleet, shift)
      await fleet.run(LOAD * CAPACITY_WITH_SLOW, 5_000)
    }
    expect(fleet.inTime()).toBeGreaterThan(0.96)
    expect(mostPresent(fleet)).toBeLessThanOrEqual(MOST_PRESENT)
  })

  // More requests than the endpoints can run: some are refused at once instead of all being late.
  it('are given to those that can be on time when there are too many requests', async () => {
    const fleet = new PlaceFleet(INSTANCES, seeded(seed))
    await fleet.run(LOAD * CAPACITY, 7_000)
    await fleet.run(1.6 * CAPACITY, 6_000)
    await fleet.run(LOAD * CAPACITY, 7_000)
    expect(fleet.inTime()).toBeGreaterThan(0.75)
    expect(fleet.quantile(0.95, 'refused')).toBeLessThanOrEqual(100)
    expect(mostPresent(fleet)).toBeLessThanOrEqual(MOST_PRESENT)
  })
})

describe('few places of a plain service', () => {
  // An endpoint that runs half as many requests as it says, and queues none.
  it('become fewer when the endpoint refuses requests', async () => {
    const fleet = new PlaceFleet(INSTANCES, seeded(3))
    const [endpoint] = fleet.endpoints as [FewSlotsEndpoint]
    endpoint.queue = -3
    await fleet.run(0.5 * CAPACITY, 5_000)
    expect(fleet.results.filter(({ outcome }) => outcome === 'full').length / fleet.results.length).toBeLessThan(0.04)
  })

  // An endpoint without a queue refuses what goes beyond its slots; some crash when they refuse several requests in a second.
  it('are no more than the slots of an endpoint that queues nothing', async () => {
    const fleet = new PlaceFleet(INSTANCES, seeded(8))
    for (const endpoint of fleet.endpoints) endpoint.queue = 0
    await fleet.run(1.6 * CAPACITY, 5_000)
    expect(fleet.results.filter(({ outcome }) => outcome === 'full').length).toBeLessThanOrEqual(2 * fleet.endpoints.length)
    expect(fleet.results.filter(({ outcome }) => outcome === 'served').length).toBeGreaterThan(0.85 * 5 * CAPACITY)
  })

  // An instance that is killed, paused or cut off takes the places that it holds with it.
  it.each([['killed', 1_000], ['cut off', 1_000], ['paused', 3_500]])('come back from a holder that is %s', async (fate, milliseconds) => {
    const fleet = new PlaceFleet(INSTANCES, seeded(4))
    await fleet.run(LOAD * CAPACITY, 1_000)
    const holder = holderOf(fleet)
    expect(await takePlaces(fleet, holder, 4)).toHaveLength(4)
    strike(fleet, holder, fate)
    const since = fleet.clock.now()
    await fleet.run(LOAD * CAPACITY, milliseconds)
    await fleet.run(0, 500)
    expect(fleet.owner.places.heldCount).toBe(0)
    expect(inTimeOfKept(fleet, since)).toBeGreaterThan(0.9)
  })

  // The instance that lends the places is lost: another one lends them, and nobody is blocked meanwhile.
  it.each(['killed', 'paused', 'cut off'])('are lent on when their owner is %s', async (fate) => {
    const fleet = new PlaceFleet(INSTANCES, seeded(5))
    await fleet.run(LOAD * CAPACITY, 2_000)
    const { owner } = fleet
    const since = fleet.clock.now()
    strike(fleet, owner, fate)
    await fleet.run(LOAD * CAPACITY, 3_000)
    expect(inTimeOfKept(fleet, since)).toBeGreaterThan(0.9)
    expect(mostPresent(fleet)).toBeLessThanOrEqual(12)
  })

  // An instance that reaches no other uses its own part of the slots, without a delay for each request.
  it('are taken from the own part by an instance that is cut off', async () => {
    const fleet = new PlaceFleet(INSTANCES, seeded(6))
    await fleet.run(LOAD * CAPACITY, 1_000)
    const holder = holderOf(fleet)
    holder.isCutOff = true
    const all = fleet.instances
    await fleet.run(0, 500)
    fleet.instances = [holder]
    const since = fleet.clock.now()
    await fleet.run(LOAD * CAPACITY / INSTANCES, 3_000)
    expect(fleet.inTime(since)).toBeGreaterThan(0.95)
    fleet.instances = all
  })

  // An endpoint that starts again may be another machine: it is unknown, and its requests of before are over.
  it('are counted anew when the endpoint has started again', async () => {
    const fleet = new PlaceFleet(INSTANCES, seeded(7))
    const [endpoint] = fleet.endpoints as [FewSlotsEndpoint]
    endpoint.workMilliseconds = SLOW_MILLISECONDS
    await fleet.run(0.6 * CAPACITY_WITH_SLOW, 3_000)
    endpoint.workMilliseconds = NORMAL_MILLISECONDS
    endpoint.born += 1
    const since = fleet.clock.now()
    await fleet.run(LOAD * CAPACITY, 3_000)
    expect(fleet.inTime(since)).toBeGreaterThan(0.96)
  })
})

/** Brings a failure about at an instance. */
function strike (fleet: PlaceFleet, instance: PlaceInstance, fate: string): void {
  if (fate === 'killed') fleet.kill(instance)
  else if (fate === 'paused') instance.isPaused = true
  else instance.isCutOff = true
}

/** @returns part of the requests since a time that were served on time, without those that were lost with their instance */
function inTimeOfKept (fleet: PlaceFleet, since: number): number {
  const kept = fleet.results.filter(({ at, outcome }) => at >= since && outcome !== 'lost')
  return kept.filter(({ outcome, milliseconds }) => outcome === 'served' && milliseconds <= 200).length / kept.length
}

/** @returns places that an instance has taken for requests that it has not sent yet */
async function takePlaces (fleet: PlaceFleet, { places }: PlaceInstance, count: number): Promise<readonly unknown[]> {
  const now = fleet.clock.now()
  const need = { service: SERVICE, priority: 0, excluded: new Set<EndpointId>(), onTimeAt: now + 200, endsAt: now + 1_000, signal: new AbortController().signal }
  const taking = Promise.all(Array.from({ length: count }, async () => await places.take(need)))
  await fleet.clock.advance(10)
  return (await taking).filter((place) => !(place instanceof LimpetwinchError))
}
