/**
 * How many adapters may be on their way from the weight store to all engines at once.
 *
 * The load it answers: a crowd asks for rare adapters, far more of them than the store hands out. Up to some number at a
 * time each load takes the same; beyond it all take longer in proportion. With fewer in flight the store idles while
 * requests wait; with more, the loads that end the longest waits are slowed down by those behind them. Neither number nor
 * time is said anywhere, so both are learnt, from all loads of all instances.
 *
 * How long a load took is the weaker sign: it is as late as the news of it. How many loads come is the stronger one, since late news
 * is news all the same. So the limit never stays below what was seen to come within the time of one load.
 */
import { StoreThroughput } from './store-throughput.js'

/**
 * In flight for each engine, before anything is learnt: what one engine takes. Stores take a fraction of a load to some loads for
 * each engine at full speed. Begun too low, the store idles while a crowd waits, and the limit grows by a load at a
 * time; begun too high, the first loads of a crowd take longer, and they say at once how much room there is.
 */
const INITIAL_LIMIT_PER_ENGINE = 4
/** One engine takes four loads at once; below this a single engine could not fill its slots. */
const LEAST_LIMIT = 4
const MOST_LIMIT = 1_000
/** Time of an adapter from an idle store before anything is learnt, milliseconds: an adapter of some tens of megabytes. */
const INITIAL_LOAD_MILLISECONDS = 250
/** Least weight of the newest load in the time of one; the first ones weigh more, since the first guess is only that. */
const SMOOTHING = 0.1
/** One load counts as no faster and no slower than this: an engine may have held the adapter in its cache, or hung. */
const FASTEST_LOAD_RATIO = 0.8
const SLOWEST_LOAD_RATIO = 2.5
/**
 * A load that took so many times the usual time met a full store. Arrival is asked for each 40 ms, so a load of an idle
 * store is seen up to a sixth late; a third beyond it is no accident, and costs a third of a load's time at most.
 */
const CONGESTED_LOAD_RATIO = 1.35
/**
 * A full store slows all loads alike. One that is late alone was held up elsewhere: its order was carried out late, its engine
 * stood still, or the news of it came late. A few of these would cut the limit at each of them, and the store would idle
 * while callers wait; so the limit is cut only when three in four of the last loads were slow.
 */
const RECENT_LOADS = 8
const LEAST_RECENT_LOADS = 3
const LOWER_QUARTILE = 0.25
/** Loads count as recent for so many times the time of one. */
const RECENT_LOAD_TIMES = 4
/** Added after a load that was not slowed while the limit was reached, at most once in the time of a load. */
const INCREASE = 0.25
const INCREASE_SHARE = 0.05
/**
 * A slowed load tells the room of the store: what was in flight, over how many times longer it took. The limit is set a
 * little above it, so that the store never idles between an arrival and the news of it, and by one load to no less than half.
 */
const CAPACITY_MARGIN = 1.15
const LEAST_REMAINING_SHARE = 0.5
/**
 * The time of one load is learnt while no more than this part of the limit, and no more than so many for each engine, are
 * on their way: with a limit that stands too high, slowed loads would pass for usual ones, and it would stay there.
 */
const IDLE_SHARE = 0.4
const IDLE_PER_ENGINE = 0.25

/** A load from the weight store that is complete. */
export interface CompletedLoad {
  /** From the order until the engine said that it holds the adapter. */
  readonly milliseconds: number
  /** Most loads that were on their way to all engines at any time meanwhile, itself left out. */
  readonly mostOthersInFlight: number
  /** Monotonic milliseconds. */
  readonly now: number
}

interface RecentLoad {
  /** How many times longer it took than a load of an idle store. */
  readonly slowness: number
  readonly mostInFlightBeside: number
  readonly now: number
}

/** The limit and the time of one load, learnt from loads. */
export class WeightStoreLimiter {
  private readonly engines: () => number
  private learnedLimit: number | undefined
  private loadMilliseconds = INITIAL_LOAD_MILLISECONDS
  private changedAt = -Infinity
  private readonly throughput = new StoreThroughput()
  private completedCount = 0
  private idleLoads = 0
  private recent: RecentLoad[] = []

  /** @param engines - how many engines load from the store */
  constructor (engines: () => number) {
    this.engines = engines
  }

  /** Engines that load from the store. */
  get engineCount (): number {
    return this.engines()
  }

  /** Loads from the store that were seen to be complete, on all engines. */
  get completedLoadCount (): number {
    return this.completedCount
  }

  /** Loads that may be on their way to all engines at once. */
  get limit (): number {
    return Math.floor(this.exactLimit)
  }

  /** @returns milliseconds that a load takes while so many are on their way */
  expectedMilliseconds (inFlight: number): number {
    return this.loadMilliseconds * Math.max(1, inFlight / this.exactLimit)
  }

  /** Learns from a load. */
  completed (load: CompletedLoad): void {
    const { exactLimit: before } = this
    this.completedCount += 1
    this.throughput.record(load.now, RECENT_LOAD_TIMES * this.loadMilliseconds)
    // At the least limit nothing more can be held back; a store that is slow for one load would else seem full for ever.
    const idle = Math.max(LEAST_LIMIT, Math.min(before * IDLE_SHARE, this.engines() * IDLE_PER_ENGINE))
    if (load.mostOthersInFlight < idle) this.learnLoadTime(load.milliseconds)
    const quick = this.lowerQuartileOfRecent(load)
    // All loads of one moment meet the same store; changed once for each of them, the limit would swing.
    if (load.now - this.changedAt < this.loadMilliseconds) return
    const limit = Math.max(this.limitFromLoadTimes(load, quick, idle), this.throughput.expectedWithin(this.loadMilliseconds) * CAPACITY_MARGIN)
    if (limit !== before) this.change(limit, load.now)
  }

  /** @returns the limit as the times of loads have it */
  private limitFromLoadTimes (load: CompletedLoad, { slowness, mostInFlightBeside }: RecentLoad, idle: number): number {
    const { exactLimit: limit } = this
    if (slowness > CONGESTED_LOAD_RATIO && mostInFlightBeside >= idle) {
      if (this.recent.length < LEAST_RECENT_LOADS) return limit
      const room = (mostInFlightBeside + 1) / slowness * CAPACITY_MARGIN
      return Math.min(limit, Math.max(limit * LEAST_REMAINING_SHARE, room))
    }
    // Raised only where the limit held something back; else it would grow through any quiet hour.
    const heldBack = slowness <= CONGESTED_LOAD_RATIO && load.mostOthersInFlight + 1 >= Math.floor(limit)
    return heldBack ? limit + INCREASE + INCREASE_SHARE * limit : limit
  }

  /** @returns the load that a quarter of the recent ones were not slower than */
  private lowerQuartileOfRecent ({ milliseconds, mostOthersInFlight: mostInFlightBeside, now }: CompletedLoad): RecentLoad {
    const newest = { slowness: milliseconds / this.loadMilliseconds, mostInFlightBeside, now }
    const since = now - RECENT_LOAD_TIMES * this.loadMilliseconds
    this.recent = [...this.recent.filter((load) => load.now >= since), newest].slice(-RECENT_LOADS)
    const bySlowness = this.recent.toSorted((left, right) => left.slowness - right.slowness)
    return bySlowness[Math.floor(bySlowness.length * LOWER_QUARTILE)] ?? newest
  }

  private get initialLimit (): number {
    return Math.max(LEAST_LIMIT, this.engines() * INITIAL_LIMIT_PER_ENGINE)
  }

  private get exactLimit (): number {
    return this.learnedLimit ?? this.initialLimit
  }

  private change (limit: number, now: number): void {
    this.learnedLimit = Math.min(MOST_LIMIT, Math.max(LEAST_LIMIT, limit))
    this.changedAt = now
    // What was loaded before met another limit.
    this.recent = []
  }

  private learnLoadTime (milliseconds: number): void {
    const before = this.loadMilliseconds
    const bounded = Math.min(before * SLOWEST_LOAD_RATIO, Math.max(before * FASTEST_LOAD_RATIO, milliseconds))
    this.idleLoads += 1
    this.loadMilliseconds = before + Math.max(SMOOTHING, 1 / (this.idleLoads + 1)) * (bounded - before)
  }
}
