/** Shares the time of the event loop among connections whose bytes cost much to parse: they are read one at a time. */
import { setImmediate as nextLoop } from 'node:timers/promises'
import type { Clock } from '@limpetwinch/core'

/** Time between two turns, as a multiple of the time that the earlier one took. */
const REST_PER_TURN = 3

/** A connection from which nothing is read until its turn. */
export interface ReadInTurns {
  /** Reads from the connection again. */
  readonly takeReadTurn: () => void
}

/** Gives turns to connections, in the order in which they began to wait. */
export class ReadTurns<Connection extends ReadInTurns> {
  private readonly clock: Clock
  private readonly waiting = new Set<Connection>()
  private isGiving = false

  /** @param clock - measures the turns */
  constructor (clock: Clock) {
    this.clock = clock
  }

  /** Called when a connection is to be read in its turn only. */
  wait (connection: Connection): void {
    this.waiting.add(connection)
    if (!this.isGiving) void this.give()
  }

  /** Called when a connection has been closed. */
  forget (connection: Connection): void {
    this.waiting.delete(connection)
  }

  private async give (): Promise<void> {
    const { clock } = this
    this.isGiving = true
    let beganAt = clock.now()
    while (this.waiting.size > 0) {
      // What was read from a connection is parsed to its end first.
      await nextLoop()
      await clock.sleep((clock.now() - beganAt) * REST_PER_TURN)
      const [next] = this.waiting
      if (next === undefined) break
      this.waiting.delete(next)
      beganAt = clock.now()
      next.takeReadTurn()
      await nextLoop()
    }
    this.isGiving = false
  }
}
