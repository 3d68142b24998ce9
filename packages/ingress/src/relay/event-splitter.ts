/** Splits the bytes of an event stream (server-sent events) into complete events, so that a partial event never reaches a caller. */

/** One event of a stream, with all its bytes. */
export interface CompleteEvent {
  /** The bytes as received, including the blank line that ends the event. */
  readonly bytes: Buffer
  /** The event's id; undefined when it has none. */
  readonly id: string | undefined
}

/** Largest accepted event. A stream that sends more bytes than this without the end of an event is malformed. */
const MAXIMUM_EVENT_BYTES = 1_048_576
const LINE_FEED = 10
const CARRIAGE_RETURN = 13
const ID_FIELD = /^id:[ ]?([^\r\n]*)/m

/** Buffers the bytes of one stream until an event is complete. */
export class EventSplitter {
  /** Bytes received so far of the event that is not complete yet. */
  private rest: Buffer = Buffer.alloc(0)

  /** Whether the stream is at the end of an event: no bytes of an incomplete event are buffered. */
  get isBetweenEvents (): boolean {
    return this.rest.length === 0
  }

  /** Whether the event that is not complete yet is already larger than an event may be. */
  get exceedsEventLimit (): boolean {
    return this.rest.length > MAXIMUM_EVENT_BYTES
  }

  /** Appends a chunk of the stream. @returns the events that are complete with this chunk */
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

/** @returns the position after the blank line that ends the event, or -1 when no such line has arrived yet */
function endOfEvent (bytes: Buffer, start: number): number {
  for (let at = bytes.indexOf(LINE_FEED, start); at !== -1; at = bytes.indexOf(LINE_FEED, at + 1)) {
    if (bytes[at + 1] === LINE_FEED) return at + 2
    if (bytes[at + 1] === CARRIAGE_RETURN && bytes[at + 2] === LINE_FEED) return at + 3
  }
  return -1
}
