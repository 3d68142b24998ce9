/** Lets followers read the store only while this instance must read it itself. */
import type { Clock, Logger } from '@limpetwinch/core'
import type { StoreFollower } from '../cluster-state/store-follower.js'

/** Interval between checks whether the store must be read. */
const CHECK_MILLISECONDS = 250

/**
 * Lets its followers read while it is open, and stops all of them when it closes. If each instance of a large fleet watched the
 * store, each would make several calls per second, but the rate limits of the store do not grow with the fleet.
 */
export class StoreGate {
  private readonly isNeeded: () => boolean
  private readonly clock: Clock
  private readonly logger: Logger
  /** Its signal is aborted while the gate is closed. */
  private closed = new AbortController()
  private readonly waiting = new Set<() => void>()

  /** @param isNeeded - whether this instance must read the store */
  constructor (isNeeded: () => boolean, clock: Clock, logger: Logger) {
    this.isNeeded = isNeeded
    this.clock = clock
    this.logger = logger
    if (!isNeeded()) this.closed.abort()
  }

  /** Checks periodically whether the store must be read, until the signal aborts. */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.clock.sleep(CHECK_MILLISECONDS, signal)
      this.reevaluate()
    }
  }

  /** Checks whether the store must be read and opens or closes the gate; called after a change that may affect this. */
  reevaluate (): void {
    const isOpen = !this.closed.signal.aborted
    if (this.isNeeded() === isOpen) return
    if (isOpen) {
      this.logger.info('A hub reads the store for this instance.')
      return this.closed.abort()
    }
    this.logger.info('This instance reads the store itself.')
    this.closed = new AbortController()
    for (const resume of [...this.waiting]) resume()
  }

  /** Runs the follower whenever the gate is open, until the signal aborts. */
  async runWhileOpen (follower: StoreFollower<unknown>, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.closed.signal.aborted) await this.untilOpen(signal)
      else await follower.run(AbortSignal.any([signal, this.closed.signal]))
    }
  }

  private async untilOpen (signal: AbortSignal): Promise<void> {
    await new Promise<void>((resolve) => {
      const resume = (): void => {
        this.waiting.delete(resume)
        signal.removeEventListener('abort', resume)
        resolve()
      }
      this.waiting.add(resume)
      signal.addEventListener('abort', resume)
    })
  }
}
