import { describe, expect, it } from 'vitest'
import { StoreTurn } from '../src/adapters/store-turn.js'
import { WeightStoreLimiter } from '../src/adapters/weight-store-limiter.js'

/** What a run against a store came to. */
interface Outcome {
  readonly limit: number
  /** Loads that the store handed out in a second over the last half, as a share of what it can. */
  readonly usedShare: number
  /** Mean time of a load over the last half, as a multiple of that from an idle store. */
  readonly slowness: number
  /** Loads for each engine of the first instance over the last half, as a share of the mean of all engines. */
  readonly shareOfFirst: number
}

const STEP = 5
/** Arrival is asked for at these times only. */
const CONFIRM = 40

/** A crowd and the store that it meets. */
interface Crowd {
  readonly capacity: number
  readonly milliseconds: number
  readonly engines: number
  readonly instances: number
  readonly seconds: number
  /** Of so many orders one is carried out late; none where it is not given. */
  readonly lateOneIn?: number
  /** To the first instance each load seems so many times as long as it was; as it was where it is not given. */
  readonly firstHears?: number
}

interface CrowdEngine {
  readonly instance: number
  readonly turn: StoreTurn
  /** Loads that began over the last half. */
  begun: number
}

/** An order that its engine carries out so much later. */
const LATE_MILLISECONDS = 2_500
/** Such a load is taken to be lost after this, and its place is given to another. */
const FORGOTTEN_MILLISECONDS = 1_000

interface CrowdLoad {
  readonly orderedAt: number
  readonly startsAt: number
  most: number
  left: number
}

/** @returns loads that are taken to be on their way */
function countOf (loads: readonly CrowdLoad[], now: number): number {
  return loads.filter(({ orderedAt, startsAt }) => startsAt === orderedAt || now - orderedAt < FORGOTTEN_MILLISECONDS).length
}

/** @returns engines, spread over the instances that order their loads */
function crowdEngines (engines: number, paces: readonly WeightStoreLimiter[]): CrowdEngine[] {
  const spread = Array.from({ length: Math.ceil(engines / paces.length) }, () => [...paces.entries()]).flat().slice(0, engines)
  return spread.map(([instance, pace]) => ({ instance, turn: new StoreTurn(pace), begun: 0 }))
}

function meanBegun (loaders: readonly CrowdEngine[]): number {
  return loaders.reduce((sum, { begun }) => sum + begun, 0) / loaders.length
}

/**
 * A crowd for whom loads never run out, against a store that takes `capacity` loads at full speed and slows all beyond
 * it in proportion. Instances order loads in turn, and each hears of the loads of all.
 */
function crowd ({ capacity, milliseconds, engines, instances, seconds, lateOneIn = Infinity, firstHears = 1 }: Crowd): Outcome {
  const paces = Array.from({ length: instances }, () => new WeightStoreLimiter(() => engines))
  const loaders = crowdEngines(engines, paces)
  let inFlight: CrowdLoad[] = []
  let handedOut = 0
  let ordered = 0
  let time = 0
  let sum = 0
  for (let now = 0; now < seconds * 1_000; now += STEP) {
    const loading = inFlight.filter(({ startsAt }) => startsAt <= now)
    for (const load of loading) load.left -= STEP * Math.min(1, capacity / loading.length)
    const beside = countOf(inFlight, now) - 1
    for (const load of inFlight) load.most = Math.max(load.most, beside)
    const done = inFlight.filter((load) => load.left <= 0 && (now - load.orderedAt) % CONFIRM < STEP)
    inFlight = inFlight.filter((load) => !done.includes(load))
    for (const { orderedAt, most } of done) {
      for (const [index, pace] of paces.entries()) {
        pace.completed({ milliseconds: (now - orderedAt) * (index === 0 ? firstHears : 1), mostOthersInFlight: most, now })
      }
      if (now < seconds * 500) continue
      handedOut += 1
      sum += now - orderedAt
    }
    for (const index of paces.keys()) {
      // Each instance has work now and then, so that the limit of none decides for all.
      if ((now / STEP) % instances !== index) continue
      for (;;) {
        const next = loaders.find(({ instance, turn }) => instance === index && turn.mayBegin(countOf(inFlight, now)))
        if (next === undefined) break
        // Those that have just loaded come last.
        loaders.push(...loaders.splice(loaders.indexOf(next), 1))
        next.turn.loadBegan()
        if (now >= seconds * 500) next.begun += 1
        ordered += 1
        const startsAt = ordered % lateOneIn === 0 ? now + LATE_MILLISECONDS : now
        inFlight.push({ orderedAt: now, startsAt, most: 0, left: milliseconds })
      }
    }
    time = now
  }
  const limits = paces.map(({ limit }) => limit).sort((left, right) => left - right)
  return {
    limit: limits[Math.floor(limits.length / 2)] ?? 0,
    usedShare: handedOut / (capacity * (time / 2) / milliseconds),
    slowness: sum / handedOut / milliseconds,
    shareOfFirst: meanBegun(loaders.filter(({ instance }) => instance === 0)) / meanBegun(loaders)
  }
}

describe('the pace of loads from the weight store', () => {
  // Callers wait for rare adapters. A limit that is too low leaves the store idle, one that is too high makes every load
  // late; the first guess is right for none of these stores.
  it.each([
    ['with a sixth of the room first guessed', { capacity: 8, milliseconds: 250, engines: 13, instances: 6 }],
    ['with most of the room first guessed', { capacity: 40, milliseconds: 288, engines: 13, instances: 6 }],
    ['of many engines', { capacity: 20, milliseconds: 288, engines: 63, instances: 40 }],
    ['that is slow', { capacity: 12, milliseconds: 600, engines: 13, instances: 6 }],
    ['with twice the room first guessed', { capacity: 104, milliseconds: 288, engines: 13, instances: 6 }]
  ])('finds the room of a store %s', (_name, store) => {
    const { usedShare, slowness } = crowd({ ...store, seconds: 60 })
    expect(usedShare).toBeGreaterThan(0.85)
    expect(slowness).toBeLessThan(1.6)
  })

  // A crowd that wakes finds the first guess. Begun at a limit far below the store's room, it would wait for tens of seconds
  // until the limit has grown; one begun above it comes down with the first loads.
  it.each([[8, 13], [16, 6], [40, 63], [104, 78]])('serves a crowd from its first seconds, from a store that takes %i loads for %i engines', (capacity, engines) => {
    const { usedShare } = crowd({ capacity, milliseconds: 250, engines, instances: 8, seconds: 4 })
    expect(usedShare).toBeGreaterThan(0.85)
  })

  // Engines carry some orders out seconds late while a crowd waits. Each such load, taken for the sign of a full store, would
  // cut the limit to the least, and callers would be refused although the store hands out a third of what it can.
  it.each([[8, 13], [16, 6], [32, 55], [24, 55], [32, 50], [32, 60]])('goes on at full pace while one order in four is carried out late, from a store that takes %i loads for %i engines', (capacity, engines) => {
    const { usedShare } = crowd({ capacity, milliseconds: 250, engines, instances: 8, seconds: 20, lateOneIn: 4 })
    expect(usedShare).toBeGreaterThan(0.8)
  })

  // An instance that lacks processor time for a while hears of all loads late and takes the store for full. Its callers wait for loads that
  // it holds back, also long after that, since its limit grows by a load or two in a second.
  it('bears what the store hands out again as soon as the news comes in time', () => {
    const pace = new WeightStoreLimiter(() => 78)
    const hear = (from: number, to: number, milliseconds: number): void => {
      for (let now = from; now < to; now += 1_000 / 150) pace.completed({ milliseconds, mostOthersInFlight: 45, now })
    }
    hear(0, 4_000, 3_000)
    hear(4_000, 5_000, 280)
    expect(pace.limit).toBeGreaterThanOrEqual(150 * 0.25)
  })

  // An instance that always lacks processor time hears of all loads late, and they seem slow to it alone. Its engines are asked like
  // all others; without loads they refuse whatever they are asked for. Its turns are worth half of what others load.
  it.each([[1.6, 8, 13, 6], [1.6, 40, 13, 6], [3, 104, 78, 45], [10, 20, 63, 40]])('leaves an instance to which loads seem %d times as long its part of a store that takes %i loads for %i engines', (firstHears, capacity, engines, instances) => {
    const { shareOfFirst, usedShare, slowness } = crowd({ capacity, milliseconds: 288, engines, instances, seconds: 30, firstHears })
    expect(shareOfFirst).toBeGreaterThan(0.4)
    expect(usedShare).toBeGreaterThan(0.85)
    expect(slowness).toBeLessThan(1.6)
  })

  it('does not grow while nothing is held back', () => {
    const pace = new WeightStoreLimiter(() => 13)
    const before = pace.limit
    for (let now = 0; now < 600_000; now += 500) pace.completed({ milliseconds: 260, mostOthersInFlight: 3, now })
    expect(pace.limit).toBe(before)
  })

  it('is lowered once by loads that were slowed together', () => {
    const pace = new WeightStoreLimiter(() => 50)
    for (let load = 0; load < 30; load += 1) pace.completed({ milliseconds: 500, mostOthersInFlight: 201, now: 1_000 + load })
    expect(pace.limit).toBe(116)
  })

  it('expects a load beyond the limit to take longer', () => {
    const pace = new WeightStoreLimiter(() => 16)
    expect(pace.expectedMilliseconds(3)).toBe(250)
    expect(pace.expectedMilliseconds(128)).toBeCloseTo(250 * 128 / 64)
  })
})
