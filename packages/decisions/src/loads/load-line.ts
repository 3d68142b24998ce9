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
const WAITER_MILLISECONDS = 800
/**
 * Whoever waits asks every 300 ms. One that is overdue has been served elsewhere or refused, or its asking is late: a load for it
 * serves nobody, as a rule, and takes a slot from those that wait. It stays in line, since it may still ask.
 */
const OVERDUE_MILLISECONDS = 450
/** A want of overdue requests alone comes after any other that somebody waits for. */
const OVERDUE_WEIGHT = 0.1
/** A request without a known objective counts as on time for so long: usual objectives are near a second. */
const USUAL_ON_TIME_MILLISECONDS = 1_000
/** A late answer is worth a third to a half of one on time to its caller, as users say; the order is the same with either. */
const LATE_WEIGHT = 0.5
/**
 * Weight that a want gains with each second of its wait. Within the time that a request waits at all, a want of one late
 * request thus overtakes one of one request on time, so no adapter is passed over for ever.
 */
const WEIGHT_FOR_SECOND = 0.35
/** What the engine caches takes a tenth of the time of a load and nothing from the weight store. */
const CACHED_FACTOR = 3

/** What a load may wait for. */
export type HeldUpBy = 'nothing' | 'travelling loads' | 'slots in use' | 'a silent engine' | 'runs of the old version'

/** A request that waits for an adapter. */
interface Waiter {
  /** Monotonic time after which its answer is late. */
  readonly onTimeUntil: number
  askedAt: number
}

/** Who asks. */
export interface WaiterFacts {
  readonly request: string
  /** Until its answer is late, milliseconds; undefined where that is not known. */
  readonly onTimeMilliseconds: number | undefined
}

/** One wanted adapter. */
export interface Want<Key extends string = string> {
  readonly key: Key
  /** The least version that is of use. */
  version: number
  readonly firstAskedAt: number
  /** What it waited for last; for the log. */
  heldUpBy: HeldUpBy
}

interface Place<Key extends string> extends Want<Key> {
  readonly waiters: Map<string, Waiter>
  /** When it was last asked for without a request that waits: a further copy, or a newer version. */
  copyAskedAt: number
}

/** Wants by adapter. */
export class LoadLine<Key extends string = string> {
  private readonly places = new Map<Key, Place<Key>>()

  /** Adapters that are wanted. */
  get length (): number {
    return this.places.size
  }

  /** Notes a want, or that it is still one. @param waiter - undefined where no request waits for it */
  ask (key: Key, version: number, waiter: WaiterFacts | undefined, now: number): void {
    let place = this.places.get(key)
    if (place === undefined) {
      place = { key, version, firstAskedAt: now, heldUpBy: 'nothing', waiters: new Map(), copyAskedAt: -Infinity }
      this.places.set(key, place)
    }
    place.version = Math.max(place.version, version)
    if (waiter === undefined) {
      place.copyAskedAt = now
      return
    }
    const known = place.waiters.get(waiter.request)
    if (known !== undefined) known.askedAt = now
    else place.waiters.set(waiter.request, { askedAt: now, onTimeUntil: now + (waiter.onTimeMilliseconds ?? USUAL_ON_TIME_MILLISECONDS) })
  }

  /** @returns the want of an adapter */
  find (key: Key): Want<Key> | undefined {
    return this.places.get(key)
  }

  /** The want is met. */
  met (key: Key): void {
    this.places.delete(key)
  }

  /** @returns the adapters that are wanted */
  keys (): readonly Key[] {
    return [...this.places.keys()]
  }

  /** Drops wants that nobody has any more. */
  expire (now: number): void {
    for (const place of this.places.values()) {
      for (const [request, waiter] of place.waiters) if (now - waiter.askedAt > WAITER_MILLISECONDS) place.waiters.delete(request)
      if (place.waiters.size === 0 && now - place.copyAskedAt > WAITER_MILLISECONDS) this.places.delete(place.key)
    }
  }

  /**
   * @param isBlocked - adapters that cannot be loaded now
   * @param isCached - adapters that the engine loads without the weight store
   * @param travelMilliseconds - until a load from the weight store is there
   * @returns the want whose load is worth most
   */
  next (isBlocked: (key: Key) => boolean, isCached: (key: Key) => boolean, travelMilliseconds: number, now: number): Want<Key> | undefined {
    let best: Place<Key> | undefined
    let bestWeight = -1
    for (const place of this.places.values()) {
      if (isBlocked(place.key)) continue
      const weight = weightOf(place, isCached(place.key), travelMilliseconds, now)
      if (weight <= bestWeight) continue
      best = place
      bestWeight = weight
    }
    return best
  }
}

function weightOf (place: Place<string>, cached: boolean, travelMilliseconds: number, now: number): number {
  // A further copy is for requests that another engine serves as well.
  if (place.waiters.size === 0) return 0
  const present = [...place.waiters.values()].filter(({ askedAt }) => now - askedAt <= OVERDUE_MILLISECONDS)
  const weight = present.length === 0 ? OVERDUE_WEIGHT : weightOfWaiters(present, cached ? now : now + travelMilliseconds) + WEIGHT_FOR_SECOND * (now - place.firstAskedAt) / 1_000
  return cached ? weight * CACHED_FACTOR : weight
}

function weightOfWaiters (waiters: readonly Waiter[], usableAt: number): number {
  return waiters.reduce((weight, { onTimeUntil }) => weight + (usableAt < onTimeUntil ? 1 : LATE_WEIGHT), 0)
}
