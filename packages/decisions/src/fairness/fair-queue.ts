/** Who is served next when requests wait. */

/** A request in the queue. */
export interface QueuedRequest {
  readonly requestId: string
  readonly team: string
  readonly priority: number
  /** `team/adapter@version`, or undefined for the base model alone. */
  readonly adapter: string | undefined
  /** Expected service in tokens, prompt and output weighed. */
  readonly cost: number
  /** Monotonic milliseconds. */
  readonly enqueuedAt: number
  readonly deadlineAt: number
}

/** A queue that shares service between teams by weight. */
export abstract class FairQueue<Item extends QueuedRequest> {
  /** Adds a request. */
  abstract push (item: Item): void

  /** @returns the request taken out, or undefined when it is not in the queue */
  abstract remove (requestId: string): Item | undefined

  /**
   * Takes out the next request.
   *
   * @param eligible - whether an item could run now (its adapter is loaded)
   * @param now - monotonic milliseconds
   * @param freePlaces - places left in the engine's batch; given, a queue may keep the last ones from a team that floods
   * @returns the next eligible request, or undefined
   */
  abstract next (eligible: (item: Item) => boolean, now: number, freePlaces?: number): Item | undefined

  /** Corrects the service charged to a team, as when fewer tokens came than expected, or another owner served it. */
  abstract charge (team: string, tokens: number): void

  /** Sets a team's weight; 1 unless set. */
  abstract setWeight (team: string, weight: number): void

  /** @returns a team's service divided by its weighted share of the backlogged teams' service; 1 is fair */
  abstract shareUsed (team: string): number

  /** @returns the request to shed first: lowest priority, then of the team furthest over its share */
  abstract worst (): Item | undefined

  /**
   * @param item - a request that is not in the queue yet
   * @returns the service in tokens that the queue would give before it; absent where a queue cannot tell
   */
  tokensAhead? (item: Item): number

  /** @returns all requests, in no order */
  abstract items (): Iterable<Item>

  /** Requests in the queue. */
  abstract get size (): number
}
