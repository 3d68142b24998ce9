// Guards against a limit of concurrent loads that is too low, which leaves the weight store idle while callers wait, and against one
// that is too high, which makes every load late. Simulated stores of different capacity serve engines whose load queues never empty.
import { describe, expect, it } from 'vitest'
import { StoreTurn } from '../src/adapters/store-turn.js'
import { WeightStoreLimiter } from '../src/adapters/weight-store-limiter.js'

/** Result of a simulated run against a store. */
interface Outcome {
  readonly limit: number
  /** Rate of loads over the second half of the run, as a share of the store's capacity. */
  readonly usedShare: number
  /** Mean duration of a load over the second half, as a multiple of the duration from an idle store. */
  readonly slowness: number
  /** Mean number of loads per engine of the first instance over the second half, as a share of the mean over all engines. */
  readonly shareOfFirst: number
}

/** Step of the simulation, milliseconds. */
const STEP = 5
/** Interval of the checks for completed loads, milliseconds. */
const CONFIRM = 40

/** Parameters of a simulated run: the store, the engines, and the instances that order their loads. */
interface Burst {
  readonly capacity: number
  readonly milliseconds: number
  readonly engines: number
  readonly instances: number
  readonly seconds: number
  /** One of this many orders is carried out late; none by default. */
  readonly lateOneIn?: number
  /** Factor by which every load appears longer to the first instance than it was; 1 by default. */
  readonly firstSlowness?: number
}

interface BurstEngine {
  readonly instance: number
  readonly turn: StoreTurn
  /** Loads that began in the second half of the run. */
  begun: number
}

/** Delay after which an engine carries out a late order. */
const LATE_MILLISECONDS = 2_500
/** Time after which such a load is taken to be lost and no longer counts. */
const LOST_LOAD_MILLISECONDS = 1_000

interface BurstLoad {
  readonly orderedAt: number
  readonly startsAt: number
  mostOthers: number
  left: number
}

/** @returns the number of loads that count as in progress */
function countOf (loads: readonly BurstLoad[], now: number): number {
  return loads.filter(({ orderedAt, startsAt }) => startsAt === orderedAt || now - orderedAt < LOST_LOAD_MILLISECONDS).length
}

/** @returns the engines, distributed over the instances that own their loads */
function burstEngines (engines: number, limiters: readonly WeightStoreLimiter[]): BurstEngine[] {
  const spread = Array.from({ length: Math.ceil(engines / limiters.length) }, () => [...limiters.entries()]).flat().slice(0, engines)
  return spread.map(([instance, limiter]) => ({ instance, turn: new StoreTurn(limiter), begun: 0 }))
}

function meanBegun (loaders: readonly BurstEngine[]): number {
  return loaders.reduce((sum, { begun }) => sum + begun, 0) / loaders.length
}

/**
 * Simulates engines whose load queues never empty, against a store that serves `capacity` concurrent loads at full speed and slows
 * all of them proportionally beyond that. Instances order loads in turn, and each receives the completions of all.
 */
function simulateBurst ({ capacity, milliseconds, engines, instances, seconds, lateOneIn = Infinity, firstSlowness = 1 }: Burst): Outcome {
  const limiters = Array.from({ length: instances }, () => new WeightStoreLimiter(() => engines))
  const loaders = burstEngines(engines, limiters)
  let inFlight: BurstLoad[] = []
  let completed = 0
  let ordered = 0
  let time = 0
  let sum = 0
  for (let now = 0; now < seconds * 1_000; now += STEP) {
    const loading = inFlight.filter(({ startsAt }) => startsAt <= now)
    for (const load of loading) load.left -= STEP * Math.min(1, capacity / loading.length)
    const others = countOf(inFlight, now) - 1
    for (const load of inFlight) load.mostOthers = Math.max(load.mostOthers, others)
    const done = inFlight.filter((load) => load.left <= 0 && (now - load.orderedAt) % CONFIRM < STEP)
    inFlight = inFlight.filter((load) => !done.includes(load))
    for (const { orderedAt, mostOthers } of done) {
      for (const [index, limiter] of limiters.entries()) {
        limiter.completed({ milliseconds: (now - orderedAt) * (index === 0 ? firstSlowness : 1), mostOthersInFlight: mostOthers, now })
      }
      if (now < seconds * 500) continue
      completed += 1
      sum += now - orderedAt
    }
    for (const index of limiters.keys()) {
      // The instances take turns, so that the limit of a single instance does not decide for all.
      if ((now / STEP) % instances !== index) continue
      for (;;) {
        const next = loaders.find(({ instance, turn }) => instance === index && turn.mayBegin(countOf(inFlight, now)))
        if (next === undefined) break
        // An engine that has just begun a load comes last.
        loaders.push(...loaders.splice(loaders.indexOf(next), 1))
        next.turn.loadBegan()
        if (now >= seconds * 500) next.begun += 1
        ordered += 1
        const startsAt = ordered % lateOneIn === 0 ? now + LATE_MILLISECONDS : now
        inFlight.push({ orderedAt: now, startsAt, mostOthers: 0, left: milliseconds })
      }
    }
    time = now
  }
  const limits = limiters.map(({ limit }) => limit).sort((left, right) => left - right)
  return {
    limit: limits[Math.floor(limits.length / 2)] ?? 0,
    usedShare: completed / (capacity * (time / 2) / milliseconds),
    slowness: sum / completed / milliseconds,
    shareOfFirst: meanBegun(loaders.filter(({ instance }) => instance === 0)) / meanBegun(loaders)
  }
}

describe('the limiter of loads from the weight store', () => {
  // Callers wait for rare adapters. A limit that is too low leaves the store idle, one that is too high makes every load late. The
  // initial limit is right for none of these stores.
  it.each([
    ['with a sixth of the capacity first assumed', { capacity: 8, milliseconds: 250, engines: 13, instances: 6 }],
    ['with most of the capacity first assumed', { capacity: 40, milliseconds: 288, engines: 13, instances: 6 }],
    ['of many engines', { capacity: 20, milliseconds: 288, engines: 63, instances: 40 }],
    ['that is slow', { capacity: 12, milliseconds: 600, engines: 13, instances: 6 }],
    ['with twice the capacity first assumed', { capacity: 104, milliseconds: 288, engines: 13, instances: 6 }]
  ])('finds the capacity of a store %s', (_name, store) => {
    const { usedShare, slowness } = simulateBurst({ ...store, seconds: 60 })
    expect(usedShare).toBeGreaterThan(0.85)
    expect(slowness).toBeLessThan(1.6)
  })

  // A burst of requests after an idle period meets the initial limit. If that were far below the store's capacity, callers would wait
  // for tens of seconds until the limit has grown; a limit above the capacity is lowered by the first loads.
  it.each([[8, 13], [16, 6], [40, 63], [104, 78]])('serves a burst from its first seconds, from a store that serves %i loads to %i engines', (capacity, engines) => {
    const { usedShare } = simulateBurst({ capacity, milliseconds: 250, engines, instances: 8, seconds: 4 })
    expect(usedShare).toBeGreaterThan(0.85)
  })

  // Engines carry out some orders seconds late while requests wait. If each such load counted as a sign of a congested store, the limit
  // would drop to its minimum, and callers would be refused although the store delivers only a third of what it can.
  it.each([
    [8, 13], [16, 6], [32, 55], [24, 55], [32, 50], [32, 60]
  ])('keeps the full rate while one order in four is carried out late, from a store that serves %i loads to %i engines', (capacity, engines) => {
    const { usedShare } = simulateBurst({ capacity, milliseconds: 250, engines, instances: 8, seconds: 20, lateOneIn: 4 })
    expect(usedShare).toBeGreaterThan(0.8)
  })

  // An instance that lacks processor time for a while receives all completions late, and the store appears congested to it. It would
  // defer the loads its callers wait for long after that, since its limit grows by only a load or two per second.
  it('allows what the store delivers again as soon as completions are received on time', () => {
    const limiter = new WeightStoreLimiter(() => 78)
    const receive = (from: number, to: number, milliseconds: number): void => {
      for (let now = from; now < to; now += 1_000 / 150) limiter.completed({ milliseconds, mostOthersInFlight: 45, now })
    }
    receive(0, 4_000, 3_000)
    receive(4_000, 5_000, 280)
    expect(limiter.limit).toBeGreaterThanOrEqual(150 * 0.25)
  })

  // An instance that always lacks processor time receives all completions late, and loads appear slow to it alone. Its engines receive
  // requests like all others; without loads they refuse them. Turns give its engines about half of the loads of other engines.
  it.each([
    [1.6, 8, 13, 6], [1.6, 40, 13, 6], [3, 104, 78, 45], [10, 20, 63, 40]
  ])('leaves an instance to which loads appear %d times as long its share of a store that serves %i loads to %i engines', (firstSlowness, capacity, engines, instances) => {
    const { shareOfFirst, usedShare, slowness } = simulateBurst({ capacity, milliseconds: 288, engines, instances, seconds: 30, firstSlowness })
    expect(shareOfFirst).toBeGreaterThan(0.4)
    expect(usedShare).toBeGreaterThan(0.85)
    expect(slowness).toBeLessThan(1.6)
  })

  it('does not grow while no load is deferred', () => {
    const limiter = new WeightStoreLimiter(() => 13)
    const before = limiter.limit
    for (let now = 0; now < 600_000; now += 500) limiter.completed({ milliseconds: 260, mostOthersInFlight: 3, now })
    expect(limiter.limit).toBe(before)
  })

  it('is lowered once by loads that were slowed at the same time', () => {
    const limiter = new WeightStoreLimiter(() => 50)
    for (let load = 0; load < 30; load += 1) limiter.completed({ milliseconds: 500, mostOthersInFlight: 201, now: 1_000 + load })
    expect(limiter.limit).toBe(116)
  })

  it('expects a load beyond the limit to take longer', () => {
    const limiter = new WeightStoreLimiter(() => 16)
    expect(limiter.expectedMilliseconds(3)).toBe(250)
    expect(limiter.expectedMilliseconds(128)).toBeCloseTo(250 * 128 / 64)
  })
})
