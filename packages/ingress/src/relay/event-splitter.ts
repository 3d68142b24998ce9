/** Cuts an event stream into whole events, so that half an event never reaches a caller. */

/** One or more whole events. */
export interface CompleteEvent {
  /** The bytes as they came, blank line included. */
  readonly bytes: Buffer
  /** The event's id; undefined when it has none. */
  readonly id: string | undefined
}

/** An event larger than this is no event: the stream has lost its form. */
const MOST_EVENT_BYTES = 1_048_576
const LINE_FEED = 10
const CARRIAGE_RETURN = 13
const ID_FIELD = /^id:[ ]?([^\r\n]*)/m

/** Splits one stream. */
export class EventSplitter {
  private rest: Buffer = Buffer.alloc(0)

  /** Whether bytes wait for the end of their event. */
  get isBetweenEvents (): boolean {
    return this.rest.length === 0
  }

  /** Whether the stream holds more than an event may. */
  get exceedsEventLimit (): boolean {
    return this.rest.length > MOST_EVENT_BYTES
  }

  /** @returns the events that are whole with this chunk */
  append (chunk: Buffer): CompleteEvent[] {
    const bytes = this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk])
    const events: CompleteEvent[] = []
    let start = 0
    for (let end = endOfEvent(bytes, start); end !== -1; end = endOfEvent(bytes, start)) {
      const event = bytes.subarray(start, end)
      events.push({ bytes: event, id: ID_FIELD.exec(event.toString('latin1'))?.[1] })
      start = end
    }
    this.rest = bytes.subarray(start)
    return events
  }
}

/** @returns the place after the blank line that ends the event, or -1 */
function endOfEvent (bytes: Buffer, start: number): number {
  for (let at = bytes.indexOf(LINE_FEED, start); at !== -1; at = bytes.indexOf(LINE_FEED, at + 1)) {
    if (bytes[at + 1] === LINE_FEED) return at + 2
    if (bytes[at + 1] === CARRIAGE_RETURN && bytes[at + 2] === LINE_FEED) return at + 3
  }
  return -1
}
