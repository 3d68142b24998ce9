/** Lets followers read the store only while nobody else reads it for this instance. */
import type { Clock, Logger } from '@limpetwinch/core'
import type { StoreFollower } from '../cluster-state/store-follower.js'

const LOOK_MILLISECONDS = 250

/**
 * Opens and closes for all followers. Each instance of a large fleet that watched the store for itself would make some calls a
 * second, and the store's rates do not grow with the fleet.
 */
export class StoreGate {
  private readonly isNeeded: () => boolean
  private readonly clock: Clock
  private readonly logger: Logger
  private closing = new AbortController()
  private readonly waiting = new Set<() => void>()

  /** @param isNeeded - whether this instance has to read the store */
  constructor (isNeeded: () => boolean, clock: Clock, logger: Logger) {
    this.isNeeded = isNeeded
    this.clock = clock
    this.logger = logger
    if (!isNeeded()) this.closing.abort()
  }

  /** Looks whether the store has to be read until the signal ends it. */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.clock.sleep(LOOK_MILLISECONDS, signal)
      this.reevaluate()
    }
  }

  /** Looks now: something has changed that may decide it. */
  reevaluate (): void {
    const isOpen = !this.closing.signal.aborted
    if (this.isNeeded() === isOpen) return
    if (isOpen) {
      this.logger.info('A hub reads the store for this instance.')
      return this.closing.abort()
    }
    this.logger.info('This instance reads the store itself.')
    this.closing = new AbortController()
    for (const wake of [...this.waiting]) wake()
  }

  /** Runs the follower whenever the gate is open, until the signal ends it. */
  async runWhileOpen (follower: StoreFollower<unknown>, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.closing.signal.aborted) await this.opened(signal)
      else await follower.run(AbortSignal.any([signal, this.closing.signal]))
    }
  }

  private async opened (signal: AbortSignal): Promise<void> {
    await new Promise<void>((resolve) => {
      const wake = (): void => {
        this.waiting.delete(wake)
        signal.removeEventListener('abort', wake)
        resolve()
      }
      this.waiting.add(wake)
      signal.addEventListener('abort', wake)
    })
  }
}
