/** Which adapter leaves an engine when a slot is needed. */

/** One slot of an engine. */
export interface SlotView {
  /** `team/adapter@version`. */
  readonly adapter: string
  /** Requests that use it; above 0 it may not be evicted. */
  readonly pins: number
  readonly loadedAt: number
  readonly lastUsedAt: number
  /** Requests that wait for it now. */
  readonly waiting: number
  /** Copies on other engines of the data centre. */
  readonly otherCopies: number
}

/** Chooses victims. A policy learns from uses; it is shared by all engines of one owner. */
export abstract class EvictionPolicy {
  /** Tells of one request for the adapter, served or waiting. */
  abstract recordUse (adapter: string, team: string, tokens: number, now: number): void

  /**
   * @param slots - the adapters of one engine
   * @param incoming - the adapter that wants the slot
   * @param now - monotonic milliseconds
   * @returns an adapter with no pins, or undefined when all are pinned or worth more than the incoming one
   */
  abstract victim (slots: readonly SlotView[], incoming: string, now: number): string | undefined

  /**
   * @param slots - the adapters of one engine, none of them free
   * @param wanted - other loads that already want a slot of this engine
   * @param now - monotonic milliseconds
   * @returns how many requests the eviction for one more load is expected to stall; Infinity when none can leave.
   *   Absent where a policy cannot tell
   */
  cost? (slots: readonly SlotView[], wanted: number, now: number): number
}
