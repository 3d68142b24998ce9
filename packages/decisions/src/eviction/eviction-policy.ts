/** Contract of the policies that choose which adapter an engine evicts. */

/** An adapter that is loaded in one of the slots of an engine, as the eviction policy sees it. */
export interface SlotView {
  /** `team/adapter@version`. */
  readonly adapter: string
  /** Running requests that use the adapter; it must not be evicted while this is above 0. */
  readonly pins: number
  /** Time at which the adapter was loaded into this slot, monotonic milliseconds. */
  readonly loadedAt: number
  /** Time at which a request last used the adapter in this slot, monotonic milliseconds. */
  readonly lastUsedAt: number
  /** Requests that currently wait for the adapter. */
  readonly waiting: number
  /** Copies of the adapter on other engines of the data centre. */
  readonly otherCopies: number
}

/** Chooses which adapter to evict when an engine needs a slot. All engines with the same owner share one policy, which learns from adapter use. */
export abstract class EvictionPolicy {
  /**
   * Records one request for the adapter, whether it is served at once or waits.
   *
   * @param adapter - `team/adapter@version`
   * @param team - the team that sent the request
   * @param tokens - expected work of the request in tokens
   * @param now - monotonic milliseconds
   */
  abstract recordUse (adapter: string, team: string, tokens: number, now: number): void

  /**
   * @param slots - the adapters loaded on one engine
   * @param incoming - the adapter to be loaded
   * @param now - monotonic milliseconds
   * @returns the unpinned adapter to evict, or undefined when all are pinned or worth more than the incoming one
   */
  abstract victim (slots: readonly SlotView[], incoming: string, now: number): string | undefined

  /**
   * Estimates how many requests would be delayed if the engine evicted an adapter to make room for one more load. A policy that
   * has no estimate omits this method.
   *
   * @param slots - the adapters loaded on one engine that has no free slot
   * @param pendingLoads - other loads that already need a slot of this engine
   * @param now - monotonic milliseconds
   * @returns the expected number of requests that would wait for the evicted adapter to be loaded again; Infinity when no adapter
   *   can be evicted
   */
  cost? (slots: readonly SlotView[], pendingLoads: number, now: number): number
}
