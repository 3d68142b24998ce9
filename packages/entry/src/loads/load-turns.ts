/**
 * Turns to load from the weight store, which serves one load at a time at full speed for the whole deployment.
 *
 * A matter of speed and never of safety: two loads at once are slower, not wrong. So a turn needs no fencing, a lost
 * holder's turn lapses, and an instance without a conductor goes on with its share of the rate.
 */

/** Gives a turn back; calling it again does nothing. */
export type Release = () => void

/** Where turns come from. */
export abstract class LoadTurns {
  /**
   * Waits for a turn.
   *
   * @param urgency - expected stall that the load ends, milliseconds; larger goes first
   * @param signal - gives up waiting; the promise then resolves as well
   * @returns what gives the turn back
   */
  abstract acquire (urgency: number, signal: AbortSignal): Promise<Release>
}
