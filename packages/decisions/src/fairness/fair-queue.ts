/** A queued request. */
export interface QueuedRequest {
  readonly requestId: string
  readonly team: string
  readonly priority: number
  /** `team/adapter@version`, or undefined for the base model alone. */
  readonly adapter: string | undefined
  /** Expected service in tokens, a weighted sum of prompt and output. */
  readonly cost: number
  /** Monotonic milliseconds. */
  readonly enqueuedAt: number
  readonly deadlineAt: number
}

/** Queue that divides service between teams in proportion to their weights. */
export abstract class FairQueue<Item extends QueuedRequest> {
  /** Adds a request. */
  abstract push (item: Item): void

  /** @returns the removed request, or undefined when it is not in the queue */
  abstract remove (requestId: string): Item | undefined

  /**
   * Removes the next request to be served and charges its cost to its team.
   *
   * @param eligible - whether a request can run now, that is, whether its adapter is loaded
   * @param now - monotonic milliseconds
   * @param freePlaces - free places in the engine's batch; if given, the queue may withhold the last ones from a team that floods it
   * @returns the next eligible request, or undefined
   */
  abstract next (eligible: (item: Item) => boolean, now: number, freePlaces?: number): Item | undefined

  /** Adjusts the service charged to a team, for example when a request used fewer tokens than expected or another owner served the team. */
  abstract charge (team: string, tokens: number): void

  /** Sets a team's weight; 1 unless set. */
  abstract setWeight (team: string, weight: number): void

  /** @returns the team's recent service divided by its weighted share of the backlogged teams' recent service; 1 is fair */
  abstract shareUsed (team: string): number

  /** @returns the request to shed first: one of the lowest priority, among these one of the team that is furthest over its share */
  abstract worst (): Item | undefined

  /**
   * Estimates the service that would be given before a new request. A queue that has no estimate omits this method.
   *
   * @param item - a request that is not in the queue yet
   * @returns service in tokens
   */
  tokensAhead? (item: Item): number

  /** @returns all queued requests, in no particular order */
  abstract items (): Iterable<Item>

  /** Number of queued requests. */
  abstract get size (): number
}
