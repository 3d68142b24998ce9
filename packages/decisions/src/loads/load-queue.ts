/** Queue of the adapters to be loaded on one engine. It decides which adapter is loaded next. */
import { compareClaims, MOST_URGENT_PRIORITY, strongerClaim, UNKNOWN_SHARE } from './load-claim.js'
import type { LoadClaim } from './load-claim.js'

/**
 * For each request that waits for an adapter, a load request is sent to the queue and repeated every 300 ms. A waiting request whose
 * load request was not repeated for this long is removed from the queue, as it is assumed not to wait any more.
 */
const REQUEST_EXPIRY_MILLISECONDS = 800
/**
 * A waiting request whose load request was not repeated for this long is overdue: it was served elsewhere or refused, or the
 * repetition is delayed. A load for an overdue request would usually serve nobody and take a slot from requests that wait. The
 * overdue request stays in the queue, since its load request may still be repeated.
 */
const REQUEST_OVERDUE_MILLISECONDS = 450
/**
 * Weight of a load for which only overdue requests wait. The load with the highest weight runs first; any load with a request
 * that is not overdue weighs more.
 */
const OVERDUE_WEIGHT = 0.1
/** Time for which a response counts as on time if the request has no known latency objective; usual objectives are near a second. */
const DEFAULT_ON_TIME_MILLISECONDS = 1_000
/**
 * Weight that a request whose response will be late adds to its load; one that can be on time adds 1. To callers, a late response is
 * worth a third to a half of one on time, and both values give the same order of loads.
 */
const LATE_WEIGHT = 0.5
/**
 * Weight that a load gains per second since it was first requested. Within the longest time that a request waits, a load for one late
 * request thereby overtakes a new load for one request that can be on time, so that no adapter is passed over for ever.
 */
const WEIGHT_PER_SECOND = 0.35
/**
 * Factor on the weight of a load whose adapter is in the engine's cache. Such a load takes a tenth of the time and no capacity of
 * the weight store.
 */
const CACHED_FACTOR = 3

/** Reason why a load has not started yet. */
export type LoadDelayReason = 'nothing' | 'travelling loads' | 'slots in use' | 'memory in use' | 'a silent engine' | 'runs of the old version'

/** A request that waits for an adapter. */
interface WaitingRequest extends LoadClaim {
  /** Monotonic time after which the response to this request is late, milliseconds. */
  readonly onTimeUntil: number
  /** Monotonic time at which the refused caller was told to return, milliseconds; undefined for a request that waits. */
  readonly returnsAt: number | undefined
  /** Monotonic time of the latest load request for this request, milliseconds. */
  requestedAt: number
}

/** The waiting request on whose behalf a load is requested. */
export interface WaitingRequestFacts {
  /** Id of the request. */
  readonly request: string
  /** Time from this load request until the response is late, milliseconds; undefined if the request has no known latency objective. */
  readonly onTimeMilliseconds: number | undefined
  /** Priority of the request, 0 being the most urgent; 0 by default. */
  readonly priority?: number | undefined
  /** Recent service of the request's team divided by its share; 1 is fair, and assumed by default. */
  readonly shareUsed?: number | undefined
  /** Time until the caller, who was refused, was told to return; undefined for a request that waits. Until then the pending load and its age are kept, but it goes last. */
  readonly returnsInMilliseconds?: number | undefined
}

/** Adapter that waits to be loaded. */
export interface PendingLoad<Key extends string = string> {
  readonly key: Key
  /** Lowest version of the adapter that serves all requests that wait for it. */
  version: number
  /** Monotonic time of the first load request for the adapter, milliseconds. */
  readonly firstRequestedAt: number
  /** Reason why the load was last passed over; logged when the load is ordered. */
  heldUpBy: LoadDelayReason
  /** Priority of the most urgent request that waited for the load when it was last chosen; undefined if none did. */
  priority?: number | undefined
}

interface QueueEntry<Key extends string> extends PendingLoad<Key> {
  readonly waitingRequests: Map<string, WaitingRequest>
  /** Monotonic time of the latest load request for another copy or a newer version, without a waiting request; milliseconds. */
  copyRequestedAt: number
}

/**
 * Adapters that wait to be loaded on one engine, and the order in which they are loaded.
 *
 * The queue is designed for this workload: more adapters are requested at once than the engine has slots. First come, first served
 * then makes every response late, since each adapter is loaded when the requests that came first are late already. So adapters whose
 * requests can still be served on time are loaded first, ordered by the number of requests that one load serves; the others
 * follow in the order of arrival. More responses are on time than with first come, first served, and no fewer are given in all.
 * If the slots suffice, the order makes no difference.
 */
export class LoadQueue<Key extends string = string> {
  private readonly entries = new Map<Key, QueueEntry<Key>>()

  /** Number of adapters that wait to be loaded. */
  get length (): number {
    return this.entries.size
  }

  /**
   * Adds a load request, or repeats an earlier one to keep the pending load in the queue.
   *
   * @param key - the adapter
   * @param version - lowest version of the adapter that is needed
   * @param waiting - the request that waits for the adapter; undefined for another copy or a newer version
   * @param now - monotonic milliseconds
   */
  requestLoad (key: Key, version: number, waiting: WaitingRequestFacts | undefined, now: number): void {
    let entry = this.entries.get(key)
    if (entry === undefined) {
      entry = { key, version, firstRequestedAt: now, heldUpBy: 'nothing', waitingRequests: new Map(), copyRequestedAt: -Infinity }
      this.entries.set(key, entry)
    }
    entry.version = Math.max(entry.version, version)
    if (waiting === undefined) {
      entry.copyRequestedAt = now
      return
    }
    const known = entry.waitingRequests.get(waiting.request)
    if (known !== undefined) known.requestedAt = now
    else entry.waitingRequests.set(waiting.request, newWaitingRequest(waiting, waiting.returnsInMilliseconds === undefined ? takeKeptPlace(entry) : undefined, now))
  }

  /** @returns the pending load of an adapter, or undefined */
  find (key: Key): PendingLoad<Key> | undefined {
    return this.entries.get(key)
  }

  /** Removes the pending load of an adapter, which was loaded or is being loaded. */
  met (key: Key): void {
    this.entries.delete(key)
  }

  /** @returns the adapters that wait to be loaded */
  keys (): readonly Key[] {
    return [...this.entries.keys()]
  }

  /** Removes waiting requests whose load request was not repeated in time, and pending loads that no load request asks for any more. */
  expire (now: number): void {
    for (const entry of this.entries.values()) {
      for (const [id, request] of entry.waitingRequests) if (now - lastHeardOf(request) > REQUEST_EXPIRY_MILLISECONDS) entry.waitingRequests.delete(id)
      if (entry.waitingRequests.size === 0 && now - entry.copyRequestedAt > REQUEST_EXPIRY_MILLISECONDS) this.entries.delete(entry.key)
    }
  }

  /** @returns number of pending loads by the most urgent priority of the requests that wait for them, from the most urgent one on */
  lengthsByPriority (now: number): readonly number[] {
    const lengths: number[] = []
    for (const entry of this.entries.values()) {
      const { priority } = claimOf(activeRequests(entry, now))
      if (!Number.isFinite(priority)) continue
      while (lengths.length <= priority) lengths.push(0)
      lengths[priority] = (lengths[priority] ?? 0) + 1
    }
    return lengths
  }

  /**
   * Chooses the load to run next. The load of the most urgent request goes first. Of equally urgent ones, that of the team that is furthest below
   * its share of the service goes first. Loads that are equal in both go by their weight. The weight of a load rises with the number of its waiting requests, more for those that
   * can still be served on time, and with the time since the load was first requested. A load from the cache of the engine weighs more.
   *
   * @param isBlocked - whether an adapter cannot be loaded now
   * @param isCached - whether the engine has the adapter in its cache and loads it without the weight store
   * @param loadMilliseconds - duration of a load from the weight store, used to tell which requests can still be served on time
   * @param now - monotonic milliseconds
   * @returns the pending load that goes first, or undefined when none can be loaded
   */
  next (isBlocked: (key: Key) => boolean, isCached: (key: Key) => boolean, loadMilliseconds: number, now: number): PendingLoad<Key> | undefined {
    let best: RankedEntry<Key> | undefined
    for (const entry of this.entries.values()) {
      if (isBlocked(entry.key)) continue
      const ranked = rank(entry, isCached(entry.key), loadMilliseconds, now)
      if (best === undefined || goesBefore(ranked, best)) best = ranked
    }
    if (best === undefined) return undefined
    best.entry.priority = Number.isFinite(best.claim.priority) ? best.claim.priority : undefined
    return best.entry
  }
}

/** A pending load with what its place in the order depends on. */
interface RankedEntry<Key extends string> {
  readonly entry: QueueEntry<Key>
  readonly claim: LoadClaim
  readonly weight: number
}

/** @param kept - the place that was kept for the caller, who was refused before; undefined if none was */
function newWaitingRequest (
  { onTimeMilliseconds = DEFAULT_ON_TIME_MILLISECONDS, priority = MOST_URGENT_PRIORITY, shareUsed = UNKNOWN_SHARE, returnsInMilliseconds }: WaitingRequestFacts,
  kept: WaitingRequest | undefined,
  now: number
): WaitingRequest {
  return {
    requestedAt: now,
    returnsAt: returnsInMilliseconds === undefined ? undefined : now + returnsInMilliseconds,
    // To its caller, the response is late by the time of the first attempt.
    onTimeUntil: Math.min(now + onTimeMilliseconds, kept?.onTimeUntil ?? Infinity),
    priority,
    shareUsed
  }
}

/** Takes a kept place, for a request that has just arrived: its caller has returned. */
function takeKeptPlace ({ waitingRequests }: QueueEntry<string>): WaitingRequest | undefined {
  const kept = [...waitingRequests].find(([, { returnsAt }]) => returnsAt !== undefined)
  if (kept !== undefined) waitingRequests.delete(kept[0])
  return kept?.[1]
}

/** @returns time since which nothing was heard of the request; a refused caller is not expected before it was told to return */
function lastHeardOf ({ requestedAt, returnsAt = requestedAt }: WaitingRequest): number {
  return Math.max(requestedAt, returnsAt)
}

/** @returns requests that wait for the load now: those whose load request was repeated in time, but not refused callers that have not returned */
function activeRequests (entry: QueueEntry<string>, now: number): readonly WaitingRequest[] {
  return [...entry.waitingRequests.values()].filter(({ requestedAt, returnsAt }) => returnsAt === undefined && now - requestedAt <= REQUEST_OVERDUE_MILLISECONDS)
}

/** @returns the claim of the request that goes first; a load for which no request is about to come goes last */
function claimOf (requests: readonly WaitingRequest[]): LoadClaim {
  return requests.reduce<LoadClaim>(strongerClaim, { priority: Infinity, shareUsed: Infinity })
}

function rank<Key extends string> (entry: QueueEntry<Key>, cached: boolean, loadMilliseconds: number, now: number): RankedEntry<Key> {
  const active = activeRequests(entry, now)
  return { entry, claim: claimOf(active), weight: weightOf(entry, active, cached, loadMilliseconds, now) }
}

function goesBefore (one: RankedEntry<string>, other: RankedEntry<string>): boolean {
  return (compareClaims(one.claim, other.claim) || other.weight - one.weight) < 0
}

function weightOf (entry: QueueEntry<string>, active: readonly WaitingRequest[], cached: boolean, loadMilliseconds: number, now: number): number {
  // A load that no request waits for makes another copy of an adapter, and another engine serves the requests for that adapter as well.
  if (entry.waitingRequests.size === 0) return 0
  const weight = active.length === 0
    ? OVERDUE_WEIGHT
    : weightOfRequests(active, cached ? now : now + loadMilliseconds) + WEIGHT_PER_SECOND * (now - entry.firstRequestedAt) / 1_000
  return cached ? weight * CACHED_FACTOR : weight
}

function weightOfRequests (requests: readonly WaitingRequest[], usableAt: number): number {
  return requests.reduce((weight, { onTimeUntil }) => weight + (usableAt < onTimeUntil ? 1 : LATE_WEIGHT), 0)
}
