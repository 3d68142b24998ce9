/** An adapter in a slot of an engine. */
export interface SlotView {
  /** `team/adapter@version`. */
  readonly adapter: string
  /** Running requests that use the adapter; it must not be evicted while this is above 0. */
  readonly pins: number
  readonly loadedAt: number
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
   * @param tokens - expected service in tokens
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
   * Estimates the cost of evicting an adapter for one more load. A policy that has no estimate omits this method.
   *
   * @param slots - the adapters loaded on one engine that has no free slot
   * @param pendingLoads - other loads that already need a slot of this engine
   * @param now - monotonic milliseconds
   * @returns the number of requests that the eviction is expected to stall; Infinity when no adapter can be evicted
   */
  cost? (slots: readonly SlotView[], pendingLoads: number, now: number): number
}
