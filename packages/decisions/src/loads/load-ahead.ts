/** What is loaded before anybody waits for it, when the weight store is idle and a slot is free. */

/** Suggests loads; it never takes a slot from another adapter. */
export abstract class LoadAhead {
  /** Tells of one request for the adapter. */
  abstract recordUse (adapter: string, now: number): void

  /**
   * @param isHeld - whether the adapter is loaded or being loaded somewhere in the data centre
   * @param now - monotonic milliseconds
   * @returns the adapter to load into a free slot, or undefined when none is worth it
   */
  abstract suggest (isHeld: (adapter: string) => boolean, now: number): string | undefined
}
