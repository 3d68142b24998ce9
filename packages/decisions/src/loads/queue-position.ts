/** Keeps a waiting request at the load queue that it joined, unless another engine would load its adapter much sooner. */

/**
 * Least wait that a move to another load queue must save, since the request loses the time that it spent in its queue, and
 * possibly a load from the weight store is wasted.
 */
const MINIMUM_MOVE_GAIN_MILLISECONDS = 400
/** Deducted from the expected wait in the current load queue once the request has moved, large enough that it does not move again. */
const STAY_PREFERENCE_MILLISECONDS = 5_000
/**
 * The load owner of an engine announces every change of its load queue. Without an announcement for this long, the load owner
 * counts as unresponsive.
 */
const UNRESPONSIVE_MILLISECONDS = 900
/** Extra wait assumed for an engine whose load owner is unresponsive. */
const UNRESPONSIVE_PENALTY_MILLISECONDS = 1_000

/** The load queue of an engine, and when the request joined it. */
interface JoinedQueue {
  readonly endpoint: string
  /** Monotonic time at which the request joined the queue, milliseconds. */
  readonly since: number
}

/**
 * Load queues that one request has joined while it waits for an engine to load its adapter; the current queue is the last one.
 *
 * A request that compares all engines anew before each load request leaves every queue before its turn, and each queue contains
 * loads for requests that have left: under many requests, three engines load an adapter that one should load. So a request keeps
 * its queue and moves at most once, to a queue that is shorter by more than its own load takes. Together with the order of the
 * load queue, this reduces load requests and refusals when many requests wait.
 */
export class QueuePosition {
  private readonly joined: JoinedQueue[] = []

  /** Records that the request now asks for a load on this engine. */
  join (endpoint: string, now: number): void {
    if (this.joined.at(-1)?.endpoint !== endpoint) this.joined.push({ endpoint, since: now })
  }

  /**
   * @param endpoint - an engine that might load the adapter
   * @param lastUpdateAt - monotonic time of the last update about the engine's load queue; undefined if there was none
   * @param now - monotonic milliseconds
   * @returns milliseconds to add to the expected wait on the engine when this request compares engines; negative favours the engine
   */
  bias (endpoint: string, lastUpdateAt: number | undefined, now: number): number {
    const current = this.joined.at(-1)
    if (current === undefined) return 0
    const past = this.joined.find((queue) => queue.endpoint === endpoint)
    if (past !== undefined && now - past.since > UNRESPONSIVE_MILLISECONDS && (lastUpdateAt ?? -Infinity) < past.since) return UNRESPONSIVE_PENALTY_MILLISECONDS
    if (current.endpoint !== endpoint) return 0
    return this.joined.length > 1 ? -STAY_PREFERENCE_MILLISECONDS : -MINIMUM_MOVE_GAIN_MILLISECONDS
  }
}
