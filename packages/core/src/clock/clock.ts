/** An abstract clock, so that tests and experiments can replace the system clock. */
import { setTimeout as sleepFor } from 'node:timers/promises'

/** A source of time. */
export abstract class Clock {
  /** @returns milliseconds since the Unix epoch, for times that are compared between instances */
  abstract wallTime (): number

  /** @returns monotonic milliseconds, for measuring durations; changes of the wall clock do not affect this time */
  abstract now (): number

  /**
   * Waits for the given time.
   *
   * @param milliseconds - duration of the wait
   * @param signal - ends the wait early; the promise then resolves and does not reject
   */
  abstract sleep (milliseconds: number, signal?: AbortSignal): Promise<void>
}

/** The system clock. */
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
      // The signal ended the wait early. Callers check the signal themselves.
    }
  }
}
