/** Log of the events that the load tool itself observes in a fault run. */
import type { HistoryEvent } from '../history/index.js'

type WithoutTime<Event> = Event extends unknown ? Omit<Event, 'at'> : never

/** An event without its time, which the log adds. */
export type UntimedEvent = WithoutTime<HistoryEvent>

/** Collects events in the order in which they are recorded. */
export class HistoryLog {
  readonly events: HistoryEvent[] = []

  /** Adds an event with the current time. */
  record (event: UntimedEvent): void {
    this.events.push({ at: Date.now(), ...event } as HistoryEvent)
  }
}
