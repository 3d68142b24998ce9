// Guards against retries of all instances together beyond their bound while a service refuses requests, also in bursts. No network.
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

const PLAYS: Readonly<Record<string, Play>> = {
  'nobody is disturbed': { size: 6, requestsPerSecond: 60, refusedShare: NEARLY_ALL_REFUSED, disturb: () => {} },
  'refusals come in bursts 9.3 s apart': { size: 6, requestsPerSecond: 60, refusedShare: bursts(9_300), disturb: () => {} },
  'refusals come in bursts 9.1 s apart': { size: 6, requestsPerSecond: 40, refusedShare: bursts(9_100), disturb: () => {} }
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
})
