/** A clock that stands still until a test moves it on. */
import { setImmediate as nextTurn } from 'node:timers/promises'
import { Clock } from '@limpetwinch/core'

interface Sleeper {
  readonly until: number
  readonly wake: () => void
}

/** Turns of the event loop in which what was woken may run on. */
const TURNS = 5

/** Time under a test's control; both clocks go alike. */
export class ManualClock extends Clock {
  private time = 1_000_000
  private sleepers: Sleeper[] = []

  override wallTime (): number {
    return this.time
  }

  override now (): number {
    return this.time
  }

  override async sleep (milliseconds: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted === true) return
    await new Promise<void>((resolve) => {
      const wake = (): void => {
        this.sleepers = this.sleepers.filter((other) => other !== sleeper)
        signal?.removeEventListener('abort', wake)
        resolve()
      }
      const sleeper = { until: this.time + milliseconds, wake }
      this.sleepers.push(sleeper)
      signal?.addEventListener('abort', wake)
    })
  }

  /** Moves on, step by step, so that tasks see every moment at which they wanted to wake. */
  async advance (milliseconds: number): Promise<void> {
    const end = this.time + milliseconds
    for (;;) {
      const next = this.sleepers.filter(({ until }) => until <= end).sort((one, other) => one.until - other.until)[0]
      if (next === undefined) break
      this.time = Math.max(this.time, next.until)
      next.wake()
      await this.settle()
    }
    this.time = end
    await this.settle()
  }

  private async settle (): Promise<void> {
    for (let turn = 0; turn < TURNS; turn++) await nextTurn()
  }
}
