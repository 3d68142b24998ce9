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
const MOVE_GAIN_MILLISECONDS = 400
/** A request that has moved once stays. */
const STAY_MILLISECONDS = 5_000
/** One that orders an engine's loads speaks at each change of its line; silent for so long it does not order them any more. */
const SILENT_MILLISECONDS = 900
const SILENCE_PENALTY_MILLISECONDS = 1_000

interface Place {
  readonly endpoint: string
  readonly since: number
}

/** Places of one request, the present one last. */
export class PlaceInLine {
  private readonly places: Place[] = []

  /** The request asks this engine's line now. */
  take (endpoint: string, now: number): void {
    if (this.places.at(-1)?.endpoint !== endpoint) this.places.push({ endpoint, since: now })
  }

  /**
   * @param endpoint - an engine that might load the adapter
   * @param heardAt - when its line was last heard of; undefined if never
   * @returns milliseconds by which the engine is nearer (below 0) or farther to this request than to others
   */
  bias (endpoint: string, heardAt: number | undefined, now: number): number {
    const present = this.places.at(-1)
    if (present === undefined) return 0
    const asked = this.places.find((place) => place.endpoint === endpoint)
    if (asked !== undefined && now - asked.since > SILENT_MILLISECONDS && (heardAt ?? -Infinity) < asked.since) return SILENCE_PENALTY_MILLISECONDS
    if (present.endpoint !== endpoint) return 0
    return this.places.length > 1 ? -STAY_MILLISECONDS : -MOVE_GAIN_MILLISECONDS
  }
}
