// Guards against retries of all instances together beyond their bound: instances are killed in series, restarted, replaced and stopped while
// a service refuses requests, the store is away, refusals come in bursts, and callers move between instances. No network.
import { describe, expect, it } from 'vitest'
import { SeededRandom } from '@limpetwinch/load'
import { RetryFleet } from './support/retry-fleet.js'
import type { CreateBudgets } from './support/retry-fleet.js'

const SEEDS = 12
const END_MILLISECONDS = 40_000
const RESOLUTION = 1_000_000

/** What happens to a fleet while it serves. */
interface Play {
  readonly size: number
  readonly requestsPerSecond: number
  readonly refusedShare: (now: number) => number
  readonly disturb: (fleet: RetryFleet, random: () => number) => void
  /** @returns names of the instances that get new requests; all that run by default */
  readonly chooses?: (fleet: RetryFleet) => readonly string[]
}

const NEARLY_ALL_REFUSED = (): number => 0.9
const bursts = (intervalMilliseconds: number) => (now: number): number => now % intervalMilliseconds < 1_000 ? 0.95 : 0.01

function killAndStart (fleet: RetryFleet, names: readonly string[], at: number): void {
  fleet.at(at, () => { for (const name of names) fleet.kill(name) })
  fleet.at(at + 600, () => { for (const name of names) fleet.start(name) })
}

function halves (fleet: RetryFleet): [readonly string[], readonly string[]] {
  const { names } = fleet
  return [names.slice(0, names.length / 2), names.slice(names.length / 2)]
}

const PLAYS: Readonly<Record<string, Play>> = {
  'nobody is disturbed': { size: 6, requestsPerSecond: 60, refusedShare: NEARLY_ALL_REFUSED, disturb: () => {} },
  'refusals come in bursts 9.3 s apart': { size: 6, requestsPerSecond: 60, refusedShare: bursts(9_300), disturb: () => {} },
  'refusals come in bursts 9.1 s apart': { size: 6, requestsPerSecond: 40, refusedShare: bursts(9_100), disturb: () => {} },
  'all instances are killed at once': { size: 6, requestsPerSecond: 25, refusedShare: NEARLY_ALL_REFUSED, disturb: (fleet) => killAndStart(fleet, fleet.names, 15_000) },
  'one half is killed, then the other': {
    size: 6,
    requestsPerSecond: 25,
    refusedShare: NEARLY_ALL_REFUSED,
    disturb: (fleet) => {
      const [first, second] = halves(fleet)
      killAndStart(fleet, first, 15_000)
      killAndStart(fleet, second, 18_000)
    }
  },
  'instances are killed in series beside bursts of refusals': {
    size: 24,
    requestsPerSecond: 100,
    refusedShare: bursts(4_700),
    disturb: (fleet, random) => {
      for (let at = 12_000; at < 36_000; at += 1_500) killAndStart(fleet, fleet.names.filter(() => random() < 0.4), at)
    }
  },
  'all instances are killed while the store is away': {
    size: 6,
    requestsPerSecond: 40,
    refusedShare: NEARLY_ALL_REFUSED,
    disturb: (fleet) => {
      fleet.at(14_000, () => { fleet.isStoreAvailable = false })
      killAndStart(fleet, fleet.names, 15_000)
      fleet.at(24_000, () => { fleet.isStoreAvailable = true })
    }
  },
  'instances are replaced one by one under other names': {
    size: 6,
    requestsPerSecond: 25,
    refusedShare: bursts(3_100),
    disturb: (fleet) => {
      for (const [index, name] of fleet.names.entries()) {
        fleet.at(15_000 + index * 1_000, () => fleet.stop(name))
        fleet.at(15_500 + index * 1_000, () => fleet.start(`replacement-${index}`))
      }
    }
  },
  'all instances of a busy service are killed in series': {
    size: 8,
    requestsPerSecond: 150,
    refusedShare: bursts(4_000),
    disturb: (fleet, random) => {
      for (let at = 12_000 + 2_000 * random(); at < 36_000; at += 2_000 + 3_000 * random()) killAndStart(fleet, fleet.names, at)
    }
  },
  'one half of the instances of a busy service is killed, then the other, again and again': {
    size: 8,
    requestsPerSecond: 150,
    refusedShare: bursts(5_000),
    disturb: (fleet, random) => {
      const both = halves(fleet)
      for (let index = 0; index < 6; index++) killAndStart(fleet, both[index % 2] ?? [], 14_000 + 4_000 * index + 2_000 * random())
    }
  },
  'endpoints refuse requests just before half of the instances end for good and their callers move': {
    size: 8,
    requestsPerSecond: 150,
    refusedShare: (now) => now > 18_000 && now < 30_000 ? 0.9 : 0.01,
    disturb: (fleet) => fleet.at(20_000, () => { for (const name of halves(fleet)[0]) fleet.kill(name) })
  },
  'all callers move within a period of refusals': {
    size: 8,
    requestsPerSecond: 150,
    refusedShare: (now) => now > 18_500 && now < 32_000 ? 0.9 : 0.01,
    disturb: () => {},
    chooses: (fleet) => halves(fleet)[fleet.now < 20_000 ? 0 : 1] ?? []
  },
  'callers move from one half of the instances to the other': {
    size: 8,
    requestsPerSecond: 120,
    refusedShare: bursts(5_000),
    disturb: () => {},
    chooses: (fleet) => halves(fleet)[Math.floor(fleet.now / 5_000) % 2] ?? []
  }
}

function play ({ size, requestsPerSecond, refusedShare, disturb, chooses }: Play, seed: number, create?: CreateBudgets): RetryFleet {
  const seeded = new SeededRandom(seed)
  const random = (): number => seeded.between(0, RESOLUTION - 1) / RESOLUTION
  const fleet = new RetryFleet(size, random, create)
  disturb(fleet, random)
  fleet.run(END_MILLISECONDS, { requestsPerSecond, refusedShare }, chooses === undefined ? undefined : () => chooses(fleet))
  return fleet
}

describe('retries of all instances together stay within their bound', () => {
  for (const [name, each] of Object.entries(PLAYS)) {
    it(`while ${name}`, () => {
      const used = Array.from({ length: SEEDS }, (_, seed) => play(each, seed + 1).mostUsed)
      expect(Math.max(...used)).toBeLessThanOrEqual(1)
    })
  }

  it('and use most of it where they are wanted all the time', () => {
    const { 'nobody is disturbed': undisturbed } = PLAYS
    if (undisturbed === undefined) throw new Error('a play is missing')
    expect(play(undisturbed, 1).mostUsed).toBeGreaterThanOrEqual(0.85)
  })
})
