/**
 * Load turns without a coordinator. The instance spaces its loads in time, so that all instances together keep to the
 * configured load rate.
 */
import type { Clock } from '@limpetwinch/core'
import { LoadTurns } from './load-turns.js'

interface Waiting {
  readonly urgency: number
  readonly begin: () => void
}

/** Grants one load at a time, the most urgent first, at the instance's share of the configured load rate. */
export class PacedLoadTurns extends LoadTurns {
  private readonly loadsPerSecond: () => number
  private readonly clock: Clock
  private waiting: Waiting[] = []
  private busy = false
  private nextAt = 0

  /**
   * @param loadsPerSecond - returns this instance's share of the configured load rate, loads per second
   * @param clock - the clock to use
   */
  constructor (loadsPerSecond: () => number, clock: Clock) {
    super()
    this.loadsPerSecond = loadsPerSecond
    this.clock = clock
  }

  override async acquire (urgency: number, signal: AbortSignal): Promise<() => void> {
    await new Promise<void>((resolve, reject) => {
      // The signal lives as long as the loader, so the listener is removed when a turn is granted. Otherwise listeners would accumulate.
      const cancel = (): void => {
        this.waiting = this.waiting.filter((other) => other !== entry)
        reject(new Error('the wait for a load turn was cancelled'))
      }
      const begin = (): void => {
        signal.removeEventListener('abort', cancel)
        resolve()
      }
      const entry: Waiting = { urgency, begin }
      this.waiting.push(entry)
      signal.addEventListener('abort', cancel, { once: true })
      this.grant()
    })
    return () => {
      this.busy = false
      this.grant()
    }
  }

  private grant (): void {
    if (this.busy || this.waiting.length === 0) return
    this.busy = true
    const now = this.clock.now()
    const pause = Math.max(0, this.nextAt - now)
    this.nextAt = Math.max(now, this.nextAt) + 1000 / this.loadsPerSecond()
    void this.clock.sleep(pause).then(() => this.beginMostUrgent())
  }

  private beginMostUrgent (): void {
    const [first] = this.waiting.sort((one, other) => other.urgency - one.urgency)
    if (first === undefined) {
      this.busy = false
      return
    }
    this.waiting = this.waiting.filter((entry) => entry !== first)
    first.begin()
  }
}
