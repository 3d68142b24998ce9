/** A clock that advances only when a test advances it. */
import { setImmediate as nextTurn } from 'node:timers/promises'
import { Clock } from '@limpetwinch/core'

interface Sleeper {
  readonly until: number
  readonly wake: () => void
}

/** Turns of the event loop in which woken tasks may continue. */
const TURNS = 5

/** Clock controlled by a test. The wall clock and the monotonic clock show the same time. */
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

  /** Advances the time in steps, so that each sleeping task wakes exactly at the time it asked for. */
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
