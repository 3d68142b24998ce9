/** Load shedding: refuses requests that a queue has no room for or cannot serve before their deadline. */
import type { FairQueue, QueuedRequest } from '../fairness/fair-queue.js'

/** Limits that the guard enforces on a queue. */
export interface OverloadGuardOptions {
  /** Maximum number of requests in the queue. */
  readonly maximumQueued?: number
  /**
   * Factor on the expected time until a response is complete, before that time is compared with the deadline; below 1, only
   * requests that are clearly too late are refused.
   */
  readonly waitFactor?: number
  /** Upper bound of the time after which a refused caller is told to retry. */
  readonly longestRetryAfterSeconds?: number
}

/** Expected times of a request at its position in the queue. */
export interface WaitForecast {
  /** Time until the first token, milliseconds. */
  readonly firstTokenMilliseconds: number
  /** Time from the first token to the last, milliseconds. */
  readonly serviceMilliseconds: number
}

/** Refusal of a request that was not run, with the time after which the caller should retry. */
export interface Refusal {
  readonly admitted: false
  readonly reason: 'queue full' | 'deadline cannot be met'
  /** Expected time until the response would have been complete. */
  readonly expectedMilliseconds: number
  readonly retryAfterSeconds: number
}

/** Admission of a request, possibly in place of a queued request that is refused instead. */
export interface Admission<Item> {
  readonly admitted: true
  /** Request that was removed from the queue to make room; the refusal is to be sent to its caller now. */
  readonly shed?: { readonly item: Item, readonly refusal: Refusal }
}

/**
 * Load shedding for a queue: refuses requests for which the queue has no room or that cannot meet their deadline,
 * as early as possible and with a time after which to retry.
 */
export class OverloadGuard<Item extends QueuedRequest> {
  private readonly maximumQueued: number
  private readonly waitFactor: number
  private readonly longestRetryAfterSeconds: number

  constructor (options: OverloadGuardOptions = {}) {
    this.maximumQueued = options.maximumQueued ?? 500
    this.waitFactor = options.waitFactor ?? 1
    this.longestRetryAfterSeconds = options.longestRetryAfterSeconds ?? 60
  }

  /**
   * Decides whether an arriving request may be queued. It does not add the request to the queue.
   *
   * @param item - the arriving request
   * @param queue - the queue in which the request would wait; a request may be shed from it
   * @param forecast - expected times of the request in that queue
   * @param now - monotonic milliseconds
   */
  admit (item: Item, queue: FairQueue<Item>, forecast: WaitForecast, now: number): Admission<Item> | Refusal {
    const expected = forecast.firstTokenMilliseconds + forecast.serviceMilliseconds
    // If it were queued until its deadline, the request would take the place of one that can be served, and its caller would
    // learn of the refusal only later.
    if (now + expected * this.waitFactor > item.deadlineAt) return this.refuse('deadline cannot be met', expected, item.deadlineAt - now)
    if (queue.size < this.maximumQueued) return { admitted: true }
    const candidate = queue.worst()
    if (candidate === undefined || !this.outranks(item, candidate, queue)) return this.refuse('queue full', expected, 0)
    queue.remove(candidate.requestId)
    return { admitted: true, shed: { item: candidate, refusal: this.refuse('queue full', expected, 0) } }
  }

  /**
   * Removes requests that can no longer meet their deadline from the queue.
   *
   * @param queue - the queue to check
   * @param forecast - expected times of a request if it were served next
   * @param now - monotonic milliseconds
   * @returns the removed requests with the refusals to be sent to their callers now
   */
  expire (queue: FairQueue<Item>, forecast: (item: Item) => WaitForecast, now: number): { readonly item: Item, readonly refusal: Refusal }[] {
    const expired: { item: Item, refusal: Refusal }[] = []
    for (const item of [...queue.items()]) {
      const { firstTokenMilliseconds, serviceMilliseconds } = forecast(item)
      const expected = firstTokenMilliseconds + serviceMilliseconds
      if (now + expected * this.waitFactor <= item.deadlineAt) continue
      queue.remove(item.requestId)
      expired.push({ item, refusal: this.refuse('deadline cannot be met', expected, Math.max(0, item.deadlineAt - now)) })
    }
    return expired
  }

  /** @returns whether an arriving request should replace the queued request that would be shed first */
  private outranks (item: Item, candidate: Item, queue: FairQueue<Item>): boolean {
    if (item.priority !== candidate.priority) return item.priority > candidate.priority
    if (item.team === candidate.team) return false
    return queue.shareUsed(item.team) < queue.shareUsed(candidate.team)
  }

  /**
   * @param reason - why the request is refused
   * @param expected - expected time until the response would be complete, milliseconds
   * @param acceptable - time that the caller can wait for the complete response, milliseconds
   * @returns a refusal; its retry time is the excess of the expected over the acceptable time, within bounds
   */
  private refuse (reason: Refusal['reason'], expected: number, acceptable: number): Refusal {
    const seconds = Math.ceil(Math.max(0, expected - Math.max(0, acceptable)) / 1_000)
    const retryAfterSeconds = Math.min(this.longestRetryAfterSeconds, Math.max(1, seconds))
    return { admitted: false, reason, expectedMilliseconds: expected, retryAfterSeconds }
  }
}
