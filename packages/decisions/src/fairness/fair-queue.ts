/** Contract of the queues that divide the service of an engine fairly between teams. */

/** A request as a fair queue sees it. */
export interface QueuedRequest {
  readonly requestId: string
  readonly team: string
  readonly priority: number
  /** `team/adapter@version`, or undefined for the base model alone. */
  readonly adapter: string | undefined
  /** Expected service, that is, the work of the request in tokens: a weighted sum of its prompt and output tokens. */
  readonly cost: number
  /** Time at which the request was queued, monotonic milliseconds. */
  readonly enqueuedAt: number
  /** Time at which the complete response is due, monotonic milliseconds. */
  readonly deadlineAt: number
}

/** Queue that divides service, measured in tokens, between teams in proportion to their weights. */
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
   * @param freePlaces - free places in the engine's batch; if given, the queue may withhold the last ones from a team that floods the queue
   * @returns the next eligible request, or undefined
   */
  abstract next (eligible: (item: Item) => boolean, now: number, freePlaces?: number): Item | undefined

  /**
   * Adds tokens to the service charged to a team, or subtracts them if negative, for example when a request used fewer tokens
   * than expected or another owner served the team.
   */
  abstract charge (team: string, tokens: number): void

  /** Sets the weight of a team, which is 1 unless set. Teams that compete get service in proportion to their weights. */
  abstract setWeight (team: string, weight: number): void

  /**
   * Compares the service that a team got recently, in tokens, with its fair share. The fair share is a part of the recent service of
   * all teams that have requests queued, in proportion to the team's weight.
   *
   * @returns service divided by fair share: 1 is fair, above 1 the team had more than its share
   */
  abstract shareUsed (team: string): number

  /** @returns the request to shed first: one of the lowest priority, among these one of the team with the highest {@link FairQueue.shareUsed} */
  abstract worst (): Item | undefined

  /**
   * Estimates how much service other requests would get before a new request is served. A queue that has no estimate omits this method.
   *
   * @param item - a request that is not in the queue yet
   * @returns service of the requests ahead, tokens
   */
  tokensAhead? (item: Item): number

  /** @returns all queued requests, in no particular order */
  abstract items (): Iterable<Item>

  /** Number of queued requests. */
  abstract get size (): number
}
