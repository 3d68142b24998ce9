// Guards against an endpoint that gets more requests than the rate limit that it names, over all instances of a fleet, and against one that is
// left unused below its limit or after its end: under cuts, kills, restarts, late responses and limits that change. No network.
import fc from 'fast-check'
import { afterEach, describe, expect, it } from 'vitest'
import { NamedRateLimits } from '../src/rate-limits/named-rate-limits.js'
import type { ResponseFacts } from '../src/relay/request-codec.js'
import { RateLimitFleet } from './support/rate-limit-fleet.js'
import type { FleetBehaviour, LimitingInstance } from './support/rate-limit-fleet.js'

const DATA_CENTRES = 3
const PER_DATA_CENTRE = 4
const FLOOD_PER_SECOND = 40
const fleets: RateLimitFleet[] = []

afterEach(() => {
  for (const fleet of fleets.splice(0)) fleet.end()
})

/** @returns a generator of numbers from 0 to 1 that repeats for the same seed */
function seeded (seed: number): () => number {
  let state = seed >>> 0
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0
    return state / 2 ** 32
  }
}

/** @returns a fleet that has found its connections */
async function startFleet (seed = 1, behaviour: Partial<FleetBehaviour> = {}, perDataCentre = PER_DATA_CENTRE): Promise<RateLimitFleet> {
  const fleet = new RateLimitFleet(DATA_CENTRES, perDataCentre, seeded(seed), behaviour)
  fleets.push(fleet)
  await fleet.flood(0, 3_000)
  return fleet
}

function anyInstance (fleet: RateLimitFleet, place: number): LimitingInstance {
  return fleet.instances[place % fleet.instances.length] as LimitingInstance
}

/** @returns the part of the limit that was used in the last milliseconds */
function usedShare (fleet: RateLimitFleet, milliseconds: number): number {
  const now = fleet.clock.now()
  return fleet.arrivedBetween(now - milliseconds, now) / ((fleet.limit ?? Infinity) * milliseconds / 1_000)
}

describe('an endpoint that names a rate limit', () => {
  it.each([0.3, 1, 1.6, 8])('of %f a second gets no more from all instances together, and gets it', async (limit) => {
    const fleet = await startFleet()
    await fleet.flood(FLOOD_PER_SECOND, 2_000)
    fleet.limit = limit
    await fleet.flood(FLOOD_PER_SECOND, 23_000)
    expect(fleet.excess).toBe(0)
    expect(usedShare(fleet, 20_000)).toBeGreaterThan(0.9)
    expect(usedShare(fleet, 20_000)).toBeLessThan(1.2)
  })

  it('gets no more from a fleet with hubs', async () => {
    const fleet = await startFleet(2, {}, 16)
    fleet.limit = 2
    await fleet.flood(100, 12_000)
    expect(fleet.excess).toBe(0)
    expect(usedShare(fleet, 8_000)).toBeGreaterThan(0.8)
  })

  it('of 0 is asked now and then, and gets requests again after its end', async () => {
    const fleet = await startFleet()
    fleet.limit = 0
    await fleet.flood(FLOOD_PER_SECOND, 22_000)
    expect(fleet.excess).toBe(0)
    expect(fleet.arrivedBetween(fleet.clock.now() - 20_000, fleet.clock.now())).toBeGreaterThan(0)
    fleet.limit = undefined
    await fleet.flood(FLOOD_PER_SECOND, 20_000)
    expect(fleet.arrivedBetween(fleet.clock.now() - 2_000, fleet.clock.now())).toBe(2 * FLOOD_PER_SECOND)
  })

  it('gets its share back in steps after the limit has ended', async () => {
    const fleet = await startFleet()
    fleet.limit = 2
    await fleet.flood(FLOOD_PER_SECOND, 8_000)
    fleet.limit = undefined
    const from = fleet.clock.now()
    await fleet.flood(FLOOD_PER_SECOND, 8_000)
    const second = (number: number): number => fleet.arrivedBetween(from + number * 1_000, from + (number + 1) * 1_000)
    expect(second(0)).toBeLessThan(second(2))
    expect(second(2)).toBeLessThanOrEqual(FLOOD_PER_SECOND)
    expect(second(7)).toBe(FLOOD_PER_SECOND)
  })

  it('gives its few places to the more urgent requests', async () => {
    const fleet = await startFleet()
    fleet.limit = 2
    await fleet.flood(FLOOD_PER_SECOND, 3_000)
    const { limiter } = anyInstance(fleet, 0)
    const admitted = [0, 0]
    for (let round = 0; round < 60; round++) {
      for (const priority of [1, 0]) if (await settled(fleet, limiter.admit('i-limited' as never, priority))) admitted[priority]! += 1
    }
    expect(admitted[0]).toBeGreaterThan(3 * (admitted[1] ?? 0))
  })
})

/** Lets time pass in which an admission is decided. */
async function settled (fleet: RateLimitFleet, admission: Promise<boolean>): Promise<boolean> {
  await fleet.clock.advance(100)
  return await admission
}

/** What happens to the fleet, each for some time. */
type Event = { readonly kind: 'limit', readonly limit: number | undefined } | { readonly kind: 'cut' | 'heal' | 'kill' | 'restart', readonly place: number }

const events = fc.array(fc.oneof(
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('limit' as const), limit: fc.constantFrom(0, 0.3, 1, 1.6, 3, 10, undefined) }) },
  { weight: 4, arbitrary: fc.record({ kind: fc.constantFrom('cut' as const, 'heal' as const, 'kill' as const, 'restart' as const), place: fc.nat(11) }) }
), { minLength: 3, maxLength: 7 })

/** Runs that exceeded a limit before. */
const FOUND: [number, Event[]][] = [
  // A process that had just started sent requests before it knew of the limit.
  [374_409, [{ kind: 'kill', place: 11 }, { kind: 'limit', limit: undefined }, { kind: 'limit', limit: 1 }, { kind: 'restart', place: 11 }, { kind: 'heal', place: 0 }]]
]

async function happen (fleet: RateLimitFleet, event: Event): Promise<void> {
  if (event.kind === 'limit') fleet.limit = event.limit
  else if (event.kind === 'cut') fleet.network.cut(`dc-${event.place % DATA_CENTRES}` as never)
  else if (event.kind === 'heal') fleet.network.heal()
  else if (event.kind === 'restart') fleet.restart(anyInstance(fleet, event.place))
  else if (fleet.instances.length > 6) fleet.kill(anyInstance(fleet, event.place))
  await fleet.flood(FLOOD_PER_SECOND, 2_500)
}

describe('a fleet before an endpoint that names rate limits', () => {
  it('never exceeds them under cuts, kills, restarts, late responses and limits that change', async () => {
    await fc.assert(fc.asyncProperty(fc.nat(1_000_000), events, async (seed, story) => {
      const fleet = await startFleet(seed)
      const random = seeded(seed + 1)
      fleet.responseMilliseconds = () => random() < 0.1 ? 1_500 * random() : 100 * random()
      fleet.limit = 1
      await fleet.flood(FLOOD_PER_SECOND, 3_000)
      for (const event of story) await happen(fleet, event)
      fleet.end()
      expect(fleet.excess).toBe(0)
    }), { numRuns: 12, seed: 7, endOnFailure: true, examples: FOUND })
  })
})

/** Forgets each limit after some time without a word of it. */
class ForgetfulLimits extends NamedRateLimits {
  override maintain (): void {
    super.maintain()
    for (const endpoint of this.limited()) this.forget(endpoint)
  }
}

/** Takes each response for a new one, whenever its request was sent. */
class CredulousLimits extends NamedRateLimits {
  override recordResponse (endpoint: Parameters<NamedRateLimits['recordResponse']>[0], facts: ResponseFacts): void {
    super.recordResponse(endpoint, facts, Infinity)
  }
}

describe('the check of the fleet', () => {
  it.each<[string, Partial<FleetBehaviour>]>([
    ['each instance keeps the whole limit by itself', { dividesAlone: true, believedShare: 1 }],
    ['each instance keeps a part, and the bursts add up', { dividesAlone: true, believedShare: 0.25 }],
    ['limits are forgotten after some time', { createLimits: (parts) => new ForgetfulLimits(parts) }]
  ])('fails when %s', async (_fault, behaviour) => {
    const fleet = await startFleet(3, behaviour)
    fleet.limit = 1
    await fleet.flood(FLOOD_PER_SECOND, 12_000)
    expect(fleet.excess).toBeGreaterThan(0)
  })

  it.each([[true, CredulousLimits], [false, NamedRateLimits]])('fails when a late response from before the limit ends it (%s)', async (fails, Limits) => {
    const fleet = await startFleet(4, { createLimits: (parts) => new Limits(parts) })
    fleet.responseMilliseconds = () => 6_000
    await fleet.flood(FLOOD_PER_SECOND, 4_000)
    fleet.responseMilliseconds = () => 50
    fleet.limit = 1
    await fleet.flood(FLOOD_PER_SECOND, 8_000)
    expect(fleet.excess > 0).toBe(fails)
  })
})
