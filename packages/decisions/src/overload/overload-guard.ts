/** Who is refused when more comes than can be served in time. */
import type { FairQueue, QueuedRequest } from '../fairness/fair-queue.js'

/** Bounds of a queue. */
export interface OverloadGuardOptions {
  /** Requests in the queue at most. */
  readonly maximumQueued?: number
  /** Factor on the expected wait before it is compared with a deadline; below 1 refuses only what is hopeless. */
  readonly waitFactor?: number
  readonly longestRetryAfterSeconds?: number
}

/** What is expected for a request at its place in the queue. */
export interface WaitForecast {
  /** Until the first token, milliseconds. */
  readonly firstTokenMilliseconds: number
  /** From the first token to the last, milliseconds. */
  readonly serviceMilliseconds: number
}

/** A refusal: the request was not run, and when to come back. */
export interface Refusal {
  readonly admitted: false
  readonly reason: 'queue full' | 'deadline cannot be met'
  readonly expectedMilliseconds: number
  readonly retryAfterSeconds: number
}

/** Admission, maybe in the place of another request that is to be refused. */
export interface Admission<Item> {
  readonly admitted: true
  /** Taken out of the queue to make room; its caller gets the refusal now. */
  readonly shed?: { readonly item: Item, readonly refusal: Refusal }
}

/** Refuses early and says when to come back; a request it gave up on is handed out at once, never held. */
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
   * Decides on an arrival; does not put it into the queue.
   *
   * @param item - the request
   * @param queue - where it would wait
   * @param forecast - what is expected for it there
   * @param now - monotonic milliseconds
   */
  admit (item: Item, queue: FairQueue<Item>, forecast: WaitForecast, now: number): Admission<Item> | Refusal {
    const expected = forecast.firstTokenMilliseconds + forecast.serviceMilliseconds
    // Held until its deadline it would take a place from one that can be served, and its caller would learn no sooner.
    if (now + expected * this.waitFactor > item.deadlineAt) return this.refuse('deadline cannot be met', expected, item.deadlineAt - now)
    if (queue.size < this.maximumQueued) return { admitted: true }
    const worst = queue.worst()
    if (worst === undefined || !this.outranks(item, worst, queue)) return this.refuse('queue full', expected, 0)
    queue.remove(worst.requestId)
    return { admitted: true, shed: { item: worst, refusal: this.refuse('queue full', expected, 0) } }
  }

  /**
   * Takes out of the queue what can no longer make its deadline.
   *
   * @param queue - the queue to look through
   * @param forecast - what is expected for an item if it went next
   * @param now - monotonic milliseconds
   * @returns the requests given up on, each to be answered now
   */
  expire (queue: FairQueue<Item>, forecast: (item: Item) => WaitForecast, now: number): { readonly item: Item, readonly refusal: Refusal }[] {
    const given: { item: Item, refusal: Refusal }[] = []
    for (const item of [...queue.items()]) {
      const { firstTokenMilliseconds, serviceMilliseconds } = forecast(item)
      const expected = firstTokenMilliseconds + serviceMilliseconds
      if (now + expected * this.waitFactor <= item.deadlineAt) continue
      queue.remove(item.requestId)
      given.push({ item, refusal: this.refuse('deadline cannot be met', expected, Math.max(0, item.deadlineAt - now)) })
    }
    return given
  }

  /** @returns whether an arrival is worth the place of a waiting request */
  private outranks (item: Item, worst: Item, queue: FairQueue<Item>): boolean {
    if (item.priority !== worst.priority) return item.priority > worst.priority
    if (item.team === worst.team) return false
    return queue.shareUsed(item.team) < queue.shareUsed(worst.team)
  }

  /** @returns a refusal whose time is when the wait is expected to have fallen to what the caller can bear */
  private refuse (reason: Refusal['reason'], expected: number, bearable: number): Refusal {
    const seconds = Math.ceil(Math.max(0, expected - Math.max(0, bearable)) / 1_000)
    const retryAfterSeconds = Math.min(this.longestRetryAfterSeconds, Math.max(1, seconds))
    return { admitted: false, reason, expectedMilliseconds: expected, retryAfterSeconds }
  }
}
