/**
 * Load turns: an instance waits for a turn before an engine loads an adapter. Engines fetch adapters from the weight store,
 * which serves only one load at a time at full speed.
 */

/** Grants load turns. Turns only serve speed: two loads at once are slower but still correct. */
export abstract class LoadTurns {
  /**
   * Waits for a turn.
   *
   * @param urgency - how long requests have been stalled by the missing adapter, milliseconds, weighted by the load ordering
   *   policy; the highest urgency is granted first
   * @param signal - cancels the wait; the promise then rejects
   * @returns a function that releases the turn
   */
  abstract acquire (urgency: number, signal: AbortSignal): Promise<() => void>
}
