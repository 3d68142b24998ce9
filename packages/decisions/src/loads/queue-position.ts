/**
 * The place of one request in the lines of engines that should load its adapter.
 *
 * A request that weighed all engines anew at each look left every line before its turn came, and each line was fed by
 * requests that had gone: in a crowd three engines loaded what one was asked for. So a request keeps its place, and
 * leaves it once at most for a line that is shorter by more than its own load takes.
 *
 * What it buys, with the order of the line: fewer askings and fewer refusals in a crowd.
 */

/** Another line has to be this much shorter: a load from the weight store is lost by a move, and some time in line. */
const MINIMUM_MOVE_GAIN_MILLISECONDS = 400
/** A request that has moved once stays. */
const STAY_PREFERENCE_MILLISECONDS = 5_000
/** One that orders an engine's loads speaks at each change of its line; silent for so long it does not order them any more. */
const UNRESPONSIVE_MILLISECONDS = 900
const UNRESPONSIVE_PENALTY_MILLISECONDS = 1_000

interface JoinedQueue {
  readonly endpoint: string
  readonly since: number
}

/** Places of one request, the present one last. */
export class QueuePosition {
  private readonly joined: JoinedQueue[] = []

  /** The request asks this engine's line now. */
  join (endpoint: string, now: number): void {
    if (this.joined.at(-1)?.endpoint !== endpoint) this.joined.push({ endpoint, since: now })
  }

  /**
   * @param endpoint - an engine that might load the adapter
   * @param heardAt - when its line was last heard of; undefined if never
   * @returns milliseconds by which the engine is nearer (below 0) or farther to this request than to others
   */
  bias (endpoint: string, heardAt: number | undefined, now: number): number {
    const present = this.joined.at(-1)
    if (present === undefined) return 0
    const asked = this.joined.find((place) => place.endpoint === endpoint)
    if (asked !== undefined && now - asked.since > UNRESPONSIVE_MILLISECONDS && (heardAt ?? -Infinity) < asked.since) return UNRESPONSIVE_PENALTY_MILLISECONDS
    if (present.endpoint !== endpoint) return 0
    return this.joined.length > 1 ? -STAY_PREFERENCE_MILLISECONDS : -MINIMUM_MOVE_GAIN_MILLISECONDS
  }
}
