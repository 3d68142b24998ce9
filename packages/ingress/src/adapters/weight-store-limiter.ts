/**
 * Limits the number of concurrent adapter loads from the weight store to all engines.
 *
 * Workload it is designed for: a burst of requests for rare adapters, far more of them than the store delivers. Up to some number
 * of concurrent loads, each takes the same time; beyond this number, all take proportionally longer. With fewer loads in flight,
 * the store idles while requests wait. With more, each new load slows down the earlier ones, whose requests have waited longest.
 * Neither the number nor the time is configured, so both are learned, from all loads of all instances.
 *
 * The duration of a load is the weaker signal: a message about its completion that arrives late makes the load look slow. The
 * number of completed loads is the stronger signal, because late messages still count. The limit therefore never stays below the
 * number of loads seen to complete within the duration of one load.
 */
import { StoreThroughput } from './store-throughput.js'

/**
 * Initial limit on concurrent loads, per engine: the number of loads that one engine accepts. The capacity of a store, which is the
 * number of concurrent loads that it serves at full speed, is between a fraction of a load and several loads per engine. If the limit
 * starts below the capacity, the store idles while a burst of requests waits, and the limit grows by one load at a time. If the limit
 * starts above the capacity, the first loads of a burst take longer, but the capacity can be computed from their durations at once.
 */
const INITIAL_LIMIT_PER_ENGINE = 4
/** Lowest limit, in concurrent loads. One engine accepts four; below this limit a single engine could not fill its slots. */
const MINIMUM_LIMIT = 4
/** Highest limit, in concurrent loads, whatever the completed loads suggest. */
const MAXIMUM_LIMIT = 1_000
/** Initial estimate of the duration of a load from an idle store, for an adapter of some tens of megabytes. */
const INITIAL_LOAD_MILLISECONDS = 250
/**
 * The estimated load duration is a moving average. This is the lowest factor by which the latest load moves the estimate; the first
 * loads move it more, since the initial estimate is only a guess.
 */
const SMOOTHING = 0.1
/**
 * Bounds on the ratio of the duration of one load to the estimated duration, applied before the load changes the estimate. A shorter
 * load may have come from the engine's cache; during a longer one, the engine may have hung.
 */
const FASTEST_LOAD_RATIO = 0.8
const SLOWEST_LOAD_RATIO = 2.5
/**
 * Ratio of the duration of a load to the usual duration above which the load indicates a congested store. Completion is checked
 * every 40 ms, so a load from an idle store can appear up to a sixth too long. A third too long is no coincidence, and tolerating
 * up to a third costs at most a third of the duration of a load.
 */
const CONGESTED_LOAD_RATIO = 1.35
/**
 * Highest and lowest number of recent loads that a decision to lower the limit is based on. A congested store slows all loads
 * alike. A single late load was delayed elsewhere: its order was carried out late, its engine was paused, or the message about it
 * arrived late. If each such load lowered the limit, the store would idle while callers wait. The limit is therefore lowered only if
 * three in four recent loads were slow.
 */
const RECENT_LOADS = 8
const MINIMUM_RECENT_LOADS = 3
const LOWER_QUARTILE = 0.25
/** Time for which a load counts as recent, in multiples of the duration of one load. */
const RECENT_LOAD_TIMES = 4
/**
 * After a load that was not slowed although the limit was reached, the limit grows by `INCREASE` loads plus `INCREASE_SHARE` of the
 * limit. It grows at most once per load duration.
 */
const INCREASE = 0.25
const INCREASE_SHARE = 0.05
/**
 * A slowed load shows the capacity of the store: the loads in flight, divided by the ratio of its duration to the usual one. The
 * limit is set slightly above the capacity, by `CAPACITY_MARGIN`, so that the store never idles between the completion of a load and the
 * message about it. One load lowers the limit to no less than half.
 */
const CAPACITY_MARGIN = 1.15
const MINIMUM_REMAINING_SHARE = 0.5
/**
 * The duration of one load is learned only while the loads in flight are below both `IDLE_SHARE` of the limit and
 * `IDLE_PER_ENGINE` loads per engine. Otherwise, with a limit that is too high, slowed loads would pass for usual ones, and the
 * limit would stay too high.
 */
const IDLE_SHARE = 0.4
const IDLE_PER_ENGINE = 0.25

/** A completed load from the weight store. */
export interface CompletedLoad {
  /** Time from the order until the engine reported that it holds the adapter. */
  readonly milliseconds: number
  /** Highest number of other loads in progress on all engines at any time during this load. */
  readonly mostOthersInFlight: number
  /** Monotonic time of completion, milliseconds. */
  readonly now: number
}

/** A completed load in relation to an idle store. */
interface RecentLoad {
  /** Ratio of its duration to that of a load from an idle store. */
  readonly slowness: number
  readonly mostOthersInFlight: number
  readonly now: number
}

/** Learns the limit and the duration of one load from completed loads. */
export class WeightStoreLimiter {
  private readonly engines: () => number
  private learnedLimit: number | undefined
  private loadMilliseconds = INITIAL_LOAD_MILLISECONDS
  private changedAt = -Infinity
  private readonly throughput = new StoreThroughput()
  private completedCount = 0
  private idleLoads = 0
  private recent: RecentLoad[] = []

  /** @param engines - returns the number of engines that use the store, whether or not they are loading an adapter at the moment */
  constructor (engines: () => number) {
    this.engines = engines
  }

  /** Number of engines that use the store, whether or not they are loading an adapter at the moment. */
  get engineCount (): number {
    return this.engines()
  }

  /** Number of loads from the store that were seen to complete, on all engines. */
  get completedLoadCount (): number {
    return this.completedCount
  }

  /** Number of loads that may be in progress on all engines at once. */
  get limit (): number {
    return Math.floor(this.exactLimit)
  }

  /** @returns expected duration of a load, in milliseconds, while this many loads are in progress on all engines */
  expectedMilliseconds (inFlight: number): number {
    return this.loadMilliseconds * Math.max(1, inFlight / this.exactLimit)
  }

  /** Learns from a completed load. */
  completed (load: CompletedLoad): void {
    const { exactLimit: before } = this
    this.completedCount += 1
    this.throughput.record(load.now, RECENT_LOAD_TIMES * this.loadMilliseconds)
    // With no more loads in flight than the lowest limit allows, none can be deferred. If their durations were not learned, a store
    // that is slow even for one load would always appear congested.
    const idleBound = Math.max(MINIMUM_LIMIT, Math.min(before * IDLE_SHARE, this.engines() * IDLE_PER_ENGINE))
    if (load.mostOthersInFlight < idleBound) this.learnLoadTime(load.milliseconds)
    const lowerQuartile = this.lowerQuartileOfRecent(load)
    // Concurrent loads all measure the same congestion. If each of them changed the limit, it would oscillate.
    if (load.now - this.changedAt < this.loadMilliseconds) return
    const limit = Math.max(this.limitFromLoadTimes(load, lowerQuartile, idleBound), this.throughput.expectedWithin(this.loadMilliseconds) * CAPACITY_MARGIN)
    if (limit !== before) this.change(limit, load.now)
  }

  /** @returns the limit that follows from the durations of loads */
  private limitFromLoadTimes (load: CompletedLoad, { slowness, mostOthersInFlight }: RecentLoad, idleBound: number): number {
    const { exactLimit: limit } = this
    if (slowness > CONGESTED_LOAD_RATIO && mostOthersInFlight >= idleBound) {
      if (this.recent.length < MINIMUM_RECENT_LOADS) return limit
      const capacity = (mostOthersInFlight + 1) / slowness * CAPACITY_MARGIN
      return Math.min(limit, Math.max(limit * MINIMUM_REMAINING_SHARE, capacity))
    }
    // The limit grows only if the loads in flight reached the limit; otherwise it would grow during any period of low traffic.
    const deferred = slowness <= CONGESTED_LOAD_RATIO && load.mostOthersInFlight + 1 >= Math.floor(limit)
    return deferred ? limit + INCREASE + INCREASE_SHARE * limit : limit
  }

  /** @returns the recent load at the lower quartile of slowness */
  private lowerQuartileOfRecent ({ milliseconds, mostOthersInFlight, now }: CompletedLoad): RecentLoad {
    const latest = { slowness: milliseconds / this.loadMilliseconds, mostOthersInFlight, now }
    const since = now - RECENT_LOAD_TIMES * this.loadMilliseconds
    this.recent = [...this.recent.filter((load) => load.now >= since), latest].slice(-RECENT_LOADS)
    const bySlowness = this.recent.toSorted((left, right) => left.slowness - right.slowness)
    return bySlowness[Math.floor(bySlowness.length * LOWER_QUARTILE)] ?? latest
  }

  private get initialLimit (): number {
    return Math.max(MINIMUM_LIMIT, this.engines() * INITIAL_LIMIT_PER_ENGINE)
  }

  private get exactLimit (): number {
    return this.learnedLimit ?? this.initialLimit
  }

  private change (limit: number, now: number): void {
    this.learnedLimit = Math.min(MAXIMUM_LIMIT, Math.max(MINIMUM_LIMIT, limit))
    this.changedAt = now
    // Earlier loads ran under the previous limit.
    this.recent = []
  }

  private learnLoadTime (milliseconds: number): void {
    const before = this.loadMilliseconds
    const bounded = Math.min(before * SLOWEST_LOAD_RATIO, Math.max(before * FASTEST_LOAD_RATIO, milliseconds))
    this.idleLoads += 1
    this.loadMilliseconds = before + Math.max(SMOOTHING, 1 / (this.idleLoads + 1)) * (bounded - before)
  }
}
