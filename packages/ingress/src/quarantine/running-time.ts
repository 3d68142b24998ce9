/** Measures time during which this process ran. */
import type { Clock } from '@limpetwinch/core'

/** Interval at which the time advances, and the most that it advances by. */
const TICK_MILLISECONDS = 50

/**
 * A clock that stands still while this process is paused or its event loop is blocked. By any other clock, an answer whose end waits to be read
 * after a pause would seem to have gone on all the while.
 */
export class RunningTime {
  private readonly clock: Clock
  private milliseconds = 0
  private lastTickAt = 0
  private timer: NodeJS.Timeout | undefined

  constructor (clock: Clock) {
    this.clock = clock
  }

  /** Time that the process ran while this clock was on, milliseconds. */
  now (): number {
    return this.milliseconds
  }

  /** Lets the clock run, or stops it to save its ticks while nobody needs it. */
  keepOn (isOn: boolean): void {
    if (isOn === (this.timer !== undefined)) return
    clearInterval(this.timer)
    this.lastTickAt = this.clock.now()
    this.timer = isOn ? setInterval(() => this.tick(), TICK_MILLISECONDS).unref() : undefined
  }

  /** Resolves when the process has run for some time with the clock on. */
  async elapsed (milliseconds: number): Promise<void> {
    const end = this.milliseconds + milliseconds
    while (this.milliseconds < end && this.timer !== undefined) await this.clock.sleep(TICK_MILLISECONDS)
  }

  private tick (): void {
    const now = this.clock.now()
    this.milliseconds += Math.min(TICK_MILLISECONDS, now - this.lastTickAt)
    this.lastTickAt = now
  }
}
