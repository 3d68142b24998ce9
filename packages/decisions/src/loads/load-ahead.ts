/**
 * Suggests adapters to load before any request waits for them, while the weight store is idle and a slot is free. No adapter is
 * evicted for such a load.
 */
export abstract class LoadAhead {
  /** Records one request for the adapter. */
  abstract recordUse (adapter: string, now: number): void

  /**
   * @param isHeld - returns whether an adapter is loaded or being loaded on any engine of the data centre
   * @param now - monotonic milliseconds
   * @returns the adapter to load into a free slot, or undefined when no load is worthwhile
   */
  abstract suggest (isHeld: (adapter: string) => boolean, now: number): string | undefined
}
