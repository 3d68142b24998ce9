/**
 * The line of adapters that wait for a load on one engine, and which of them comes next.
 *
 * The load it answers: in a crowd on cold slots more adapters are asked for than can come at once. First come, first served
 * then makes every answer late: each adapter comes when the time of those that asked first has already passed. Those that
 * can still be answered on time go first, by how many requests one load serves; the others follow in the order they came.
 *
 * What it buys: a crowd gets more answers on time than first come, first served gives, and no fewer in all; where slots suffice
 * nothing changes (`crowd-on-cold-slots`).
 */

/** Whoever waits asks again and again; a request that was not repeated in this time waits no more. */
const REQUEST_EXPIRY_MILLISECONDS = 800
/**
 * Whoever waits asks every 300 ms. One that is overdue has been served elsewhere or refused, or its asking is late: a load for it
 * serves nobody, as a rule, and takes a slot from those that wait. It stays in line, since it may still ask.
 */
const REQUEST_OVERDUE_MILLISECONDS = 450
/** A want of overdue requests alone comes after any other that somebody waits for. */
const OVERDUE_WEIGHT = 0.1
/** A request without a known objective counts as on time for so long: usual objectives are near a second. */
const DEFAULT_ON_TIME_MILLISECONDS = 1_000
/** A late answer is worth a third to a half of one on time to its caller, as users say; the order is the same with either. */
const LATE_WEIGHT = 0.5
/**
 * Weight that a want gains with each second of its wait. Within the time that a request waits at all, a want of one late
 * request thus overtakes one of one request on time, so no adapter is passed over for ever.
 */
const WEIGHT_PER_SECOND = 0.35
/** What the engine caches takes a tenth of the time of a load and nothing from the weight store. */
const CACHED_FACTOR = 3

/** What a load may wait for. */
export type LoadDelayReason = 'nothing' | 'travelling loads' | 'slots in use' | 'a silent engine' | 'runs of the old version'

/** A request that waits for an adapter. */
interface WaitingRequest {
  /** Monotonic time after which its answer is late. */
  readonly onTimeUntil: number
  requestedAt: number
}

/** Who asks. */
export interface WaitingRequestFacts {
  readonly request: string
  /** Until its answer is late, milliseconds; undefined where that is not known. */
  readonly onTimeMilliseconds: number | undefined
}

/** One wanted adapter. */
export interface PendingLoad<Key extends string = string> {
  readonly key: Key
  /** The least version that is of use. */
  version: number
  readonly firstRequestedAt: number
  /** What it waited for last; for the log. */
  heldUpBy: LoadDelayReason
}

interface QueueEntry<Key extends string> extends PendingLoad<Key> {
  readonly waitingRequests: Map<string, WaitingRequest>
  /** When it was last asked for without a request that waits: a further copy, or a newer version. */
  copyRequestedAt: number
}

/** Wants by adapter. */
export class LoadQueue<Key extends string = string> {
  private readonly entries = new Map<Key, QueueEntry<Key>>()

  /** Adapters that are wanted. */
  get length (): number {
    return this.entries.size
  }

  /** Notes a want, or that it is still one. @param waiter - undefined where no request waits for it */
  requestLoad (key: Key, version: number, waiter: WaitingRequestFacts | undefined, now: number): void {
    let place = this.entries.get(key)
    if (place === undefined) {
      place = { key, version, firstRequestedAt: now, heldUpBy: 'nothing', waitingRequests: new Map(), copyRequestedAt: -Infinity }
      this.entries.set(key, place)
    }
    place.version = Math.max(place.version, version)
    if (waiter === undefined) {
      place.copyRequestedAt = now
      return
    }
    const known = place.waitingRequests.get(waiter.request)
    if (known !== undefined) known.requestedAt = now
    else place.waitingRequests.set(waiter.request, { requestedAt: now, onTimeUntil: now + (waiter.onTimeMilliseconds ?? DEFAULT_ON_TIME_MILLISECONDS) })
  }

  /** @returns the want of an adapter */
  find (key: Key): PendingLoad<Key> | undefined {
    return this.entries.get(key)
  }

  /** The want is met. */
  met (key: Key): void {
    this.entries.delete(key)
  }

  /** @returns the adapters that are wanted */
  keys (): readonly Key[] {
    return [...this.entries.keys()]
  }

  /** Drops wants that nobody has any more. */
  expire (now: number): void {
    for (const place of this.entries.values()) {
      for (const [request, waiter] of place.waitingRequests) if (now - waiter.requestedAt > REQUEST_EXPIRY_MILLISECONDS) place.waitingRequests.delete(request)
      if (place.waitingRequests.size === 0 && now - place.copyRequestedAt > REQUEST_EXPIRY_MILLISECONDS) this.entries.delete(place.key)
    }
  }

  /**
   * @param isBlocked - adapters that cannot be loaded now
   * @param isCached - adapters that the engine loads without the weight store
   * @param travelMilliseconds - until a load from the weight store is there
   * @returns the want whose load is worth most
   */
  next (isBlocked: (key: Key) => boolean, isCached: (key: Key) => boolean, travelMilliseconds: number, now: number): PendingLoad<Key> | undefined {
    let best: QueueEntry<Key> | undefined
    let bestWeight = -1
    for (const place of this.entries.values()) {
      if (isBlocked(place.key)) continue
      const weight = weightOf(place, isCached(place.key), travelMilliseconds, now)
      if (weight <= bestWeight) continue
      best = place
      bestWeight = weight
    }
    return best
  }
}

function weightOf (place: QueueEntry<string>, cached: boolean, travelMilliseconds: number, now: number): number {
  // A further copy is for requests that another engine serves as well.
  if (place.waitingRequests.size === 0) return 0
  const present = [...place.waitingRequests.values()].filter(({ requestedAt: askedAt }) => now - askedAt <= REQUEST_OVERDUE_MILLISECONDS)
  const weight = present.length === 0 ? OVERDUE_WEIGHT : weightOfRequests(present, cached ? now : now + travelMilliseconds) + WEIGHT_PER_SECOND * (now - place.firstRequestedAt) / 1_000
  return cached ? weight * CACHED_FACTOR : weight
}

function weightOfRequests (waiters: readonly WaitingRequest[], usableAt: number): number {
  return waiters.reduce((weight, { onTimeUntil }) => weight + (usableAt < onTimeUntil ? 1 : LATE_WEIGHT), 0)
}
