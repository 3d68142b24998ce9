/** Time behind an abstract class, so that tests and experiments can run on a clock of their own. */
import { setTimeout as sleepFor } from 'node:timers/promises'

/** A source of time. */
export abstract class Clock {
  /** @returns milliseconds since 1970, for what is compared between instances */
  abstract wallTime (): number

  /** @returns milliseconds that never go back, for durations; a jump of the wall clock does not change it */
  abstract now (): number

  /**
   * Waits.
   *
   * @param milliseconds - how long
   * @param signal - ends the wait early; the promise then resolves as well
   */
  abstract sleep (milliseconds: number, signal?: AbortSignal): Promise<void>
}

/** The machine's clock. */
export class SystemClock extends Clock {
  override wallTime (): number {
    return Date.now()
  }

  override now (): number {
    return performance.now()
  }

  override async sleep (milliseconds: number, signal?: AbortSignal): Promise<void> {
    try {
      await sleepFor(milliseconds, undefined, signal === undefined ? {} : { signal })
    } catch {
      // The wait was ended early, which callers read from their signal.
    }
  }
}
