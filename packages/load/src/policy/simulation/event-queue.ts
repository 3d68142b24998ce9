/** Events on the simulated clock; events of the same time run in the order in which they were scheduled. */
import TinyQueue from 'tinyqueue'

interface TimedEvent {
  readonly at: number
  readonly sequence: number
  readonly run: (now: number) => void
}

/** Runs events in order of time. */
export class EventQueue {
  private readonly events = new TinyQueue<TimedEvent>([], compareEvents)
  private sequence = 0

  /** Schedules an event at a time, milliseconds. */
  at (time: number, run: (now: number) => void): void {
    this.events.push({ at: time, sequence: this.sequence++, run })
  }

  /** Runs all events up to and including a time, milliseconds. */
  runUntil (end: number): void {
    for (;;) {
      const next = this.events.peek()
      if (next === undefined || next.at > end) return
      this.events.pop()
      next.run(next.at)
    }
  }
}

function compareEvents (left: TimedEvent, right: TimedEvent): number {
  return left.at === right.at ? left.sequence - right.sequence : left.at - right.at
}
