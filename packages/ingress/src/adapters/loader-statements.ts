/** Says what an engine holds: at once where requests depend on it, at a bounded pace for the rest. */
import type { Clock } from '@limpetwinch/core'
import type { Urgency } from '../overlay/notice-outbox.js'
import type { HeldStatement } from './held-notices.js'

/** What is on its way and what waits is told no more often than this: each statement goes to all peers. */
const STATEMENT_MILLISECONDS = 30

/** The statements on one engine. */
export class LoaderStatements {
  private readonly clock: Clock
  private readonly make: (now: number) => Omit<HeldStatement, 'sequence'>
  private readonly send: (statement: HeldStatement, urgency: Urgency) => void
  private published = 0
  private publishedAt = -Infinity
  private hasNews = false

  /**
   * @param clock - for the pace
   * @param make - what there is to say
   * @param send - tells all instances
   */
  constructor (clock: Clock, make: (now: number) => Omit<HeldStatement, 'sequence'>, send: (statement: HeldStatement, urgency: Urgency) => void) {
    this.clock = clock
    this.make = make
    this.send = send
  }

  /** When what has changed may be told; Infinity while nothing has. */
  get dueAt (): number {
    return this.hasNews ? this.publishedAt + STATEMENT_MILLISECONDS : Infinity
  }

  /** Something has changed that may wait for a moment. */
  changed (): void {
    this.hasNews = true
  }

  /** Tells at once. */
  publish (urgency: Urgency = 'urgent'): void {
    const now = this.clock.now()
    this.published += 1
    this.publishedAt = now
    this.hasNews = false
    this.send({ ...this.make(now), sequence: this.published }, urgency)
  }

  /** Tells what has changed, unless something was told a moment ago. */
  publishChanges (): void {
    if (this.clock.now() >= this.dueAt) this.publish('patient')
  }
}
