/**
 * Decides when the load owner of an engine publishes which adapters the engine holds: changes that requests depend on at once, all
 * others at a limited rate. `HeldAdapterNotices` then builds the notice and sends it.
 */
import type { Clock } from '@limpetwinch/core'
import type { Urgency } from '../overlay/notice-outbox.js'
import type { HeldAdaptersUpdate } from './held-adapter-notices.js'

/** Shortest interval between notices about loads in progress and pending loads, since each notice goes to all peers. */
const UPDATE_INTERVAL_MILLISECONDS = 30

/** Times the notices about one engine. */
export class HeldAdapterPublisher {
  private readonly clock: Clock
  private readonly createUpdate: (now: number) => Omit<HeldAdaptersUpdate, 'sequence'>
  private readonly send: (update: HeldAdaptersUpdate, urgency: Urgency) => void
  private publishedCount = 0
  private publishedAt = -Infinity
  private hasChanges = false

  /**
   * @param clock - measures the interval between notices
   * @param createUpdate - creates the content of a notice
   * @param send - sends a notice to all instances
   */
  constructor (
    clock: Clock, createUpdate: (now: number) => Omit<HeldAdaptersUpdate, 'sequence'>, send: (update: HeldAdaptersUpdate, urgency: Urgency) => void
  ) {
    this.clock = clock
    this.createUpdate = createUpdate
    this.send = send
  }

  /** Monotonic time from which the next change may be published; Infinity while there is none. */
  get dueAt (): number {
    return this.hasChanges ? this.publishedAt + UPDATE_INTERVAL_MILLISECONDS : Infinity
  }

  /** Records a change that need not be published at once. */
  changed (): void {
    this.hasChanges = true
  }

  /**
   * Publishes the current state at once.
   *
   * @param urgency - `patient` for a notice that instances may delay slightly, to send it in a batch with others
   */
  publish (urgency: Urgency = 'urgent'): void {
    const now = this.clock.now()
    this.publishedCount += 1
    this.publishedAt = now
    this.hasChanges = false
    this.send({ ...this.createUpdate(now), sequence: this.publishedCount }, urgency)
  }

  /** Publishes the recorded changes, unless the last notice was sent too recently. */
  publishChanges (): void {
    if (this.clock.now() >= this.dueAt) this.publish('patient')
  }
}
