/** Turns for loading from the weight store, which serves only one load at a time at full speed. */

/** Grants load turns. They only serve speed: two loads at once are slower but still correct. */
export abstract class LoadTurns {
  /**
   * Waits for a turn.
   *
   * @param urgency - the weighted stall that the load ends; the highest urgency is granted first
   * @param signal - cancels the wait; the promise then rejects
   * @returns a function that releases the turn
   */
  abstract acquire (urgency: number, signal: AbortSignal): Promise<() => void>
}
