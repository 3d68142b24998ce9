/** Whose turn it is to load from the weight store, which serves one load at a time at full speed. */

/** Gives turns. It is a matter of speed alone: two loads at once are slower, never wrong. */
export abstract class LoadTurns {
  /**
   * Waits for a turn.
   *
   * @param urgency - the stall that the load ends; higher goes first
   * @param signal - gives up waiting; the promise then rejects
   * @returns gives the turn back
   */
  abstract acquire (urgency: number, signal: AbortSignal): Promise<() => void>
}
