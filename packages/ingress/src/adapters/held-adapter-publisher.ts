/** Says what an engine holds: at once where requests depend on it, at a bounded pace for the rest. */
import type { Clock } from '@limpetwinch/core'
import type { Urgency } from '../overlay/notice-outbox.js'
import type { HeldAdaptersUpdate } from './held-adapter-notices.js'

/** What is on its way and what waits is told no more often than this: each statement goes to all peers. */
const UPDATE_INTERVAL_MILLISECONDS = 30

/** The statements on one engine. */
export class HeldAdapterPublisher {
  private readonly clock: Clock
  private readonly createUpdate: (now: number) => Omit<HeldAdaptersUpdate, 'sequence'>
  private readonly send: (statement: HeldAdaptersUpdate, urgency: Urgency) => void
  private publishedCount = 0
  private publishedAt = -Infinity
  private hasChanges = false

  /**
   * @param clock - for the pace
   * @param createUpdate - what there is to say
   * @param send - tells all instances
   */
  constructor (clock: Clock, createUpdate: (now: number) => Omit<HeldAdaptersUpdate, 'sequence'>, send: (statement: HeldAdaptersUpdate, urgency: Urgency) => void) {
    this.clock = clock
    this.createUpdate = createUpdate
    this.send = send
  }

  /** When what has changed may be told; Infinity while nothing has. */
  get dueAt (): number {
    return this.hasChanges ? this.publishedAt + UPDATE_INTERVAL_MILLISECONDS : Infinity
  }

  /** Something has changed that may wait for a moment. */
  changed (): void {
    this.hasChanges = true
  }

  /** Tells at once. */
  publish (urgency: Urgency = 'urgent'): void {
    const now = this.clock.now()
    this.publishedCount += 1
    this.publishedAt = now
    this.hasChanges = false
    this.send({ ...this.createUpdate(now), sequence: this.publishedCount }, urgency)
  }

  /** Tells what has changed, unless something was told a moment ago. */
  publishChanges (): void {
    if (this.clock.now() >= this.dueAt) this.publish('patient')
  }
}
