/** What the load tool itself sees in a fault run. */
import type { HistoryEvent } from '../history/index.js'

type WithoutTime<Event> = Event extends unknown ? Omit<Event, 'at'> : never

/** An event that happens now. */
export type UntimedEvent = WithoutTime<HistoryEvent>

/** Collects events in their order. */
export class HistoryLog {
  readonly events: HistoryEvent[] = []

  /** Adds an event at the present time. */
  record (event: UntimedEvent): void {
    this.events.push({ at: Date.now(), ...event } as HistoryEvent)
  }
}
