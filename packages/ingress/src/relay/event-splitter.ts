/** Splits the bytes of an event stream (server-sent events) into complete events, so that a partial event never reaches a caller. */

/** One event of a stream, with all its bytes. */
export interface CompleteEvent {
  /** The bytes as received, including the blank line that ends the event. */
  readonly bytes: Buffer
  /** The event's id; undefined when it has none. */
  readonly id: string | undefined
}

/** Largest accepted event. A stream that sends more bytes than this without the end of an event is malformed. */
export const MAXIMUM_EVENT_BYTES = 1_048_576
const LINE_FEED = 10
const CARRIAGE_RETURN = 13
const ID_FIELD = /^id:[ ]?([^\r\n]*)/m
/** A block of lines without this field is no event: comments, blank lines, a reconnection time or an id alone. Clients dispatch nothing for it. */
const DATA_FIELD = /^data(?::|\r?$)/m
/** Bytes before the ones that are searched which may belong to the blank line that ends an event. */
const END_OVERLAP_BYTES = 2

/** Buffers the bytes of one stream until an event is complete. */
export class EventSplitter {
  /** Holds the bytes of the event that is not complete yet, and room for more, so that small pieces are not copied again and again. */
  private buffer: Buffer = Buffer.alloc(0)
  private length = 0

  /** Whether the stream is at the end of an event: no bytes of an incomplete event are buffered. */
  get isBetweenEvents (): boolean {
    return this.length === 0
  }

  /** Bytes of the event that is not complete yet. */
  get pendingBytes (): number {
    return this.length
  }

  /** Whether the event that is not complete yet is already larger than an event may be. */
  get exceedsEventLimit (): boolean {
    return this.length > MAXIMUM_EVENT_BYTES
  }

  /** Appends a chunk of the stream. @returns the events that are complete with this chunk, without blocks of lines that are no events */
  append (chunk: Buffer): CompleteEvent[] {
    const searchFrom = Math.max(0, this.length - END_OVERLAP_BYTES)
    const bytes = this.length === 0 ? chunk : this.extended(chunk)
    const events: CompleteEvent[] = []
    let start = 0
    for (let end = endOfEvent(bytes, searchFrom); end !== -1; end = endOfEvent(bytes, start)) {
      const block = bytes.subarray(start, end)
      const text = block.toString('latin1')
      if (DATA_FIELD.test(text)) events.push({ bytes: block, id: ID_FIELD.exec(text)?.[1] })
      start = end
    }
    if (start > 0 || this.length === 0) this.keep(bytes.subarray(start))
    else this.length = bytes.length
    return events
  }

  /** @returns the buffered bytes and the chunk after them */
  private extended (chunk: Buffer): Buffer {
    const length = this.length + chunk.length
    if (length > this.buffer.length) {
      const larger = Buffer.allocUnsafeSlow(2 * length)
      this.buffer.copy(larger, 0, 0, this.length)
      this.buffer = larger
    }
    chunk.copy(this.buffer, this.length)
    return this.buffer.subarray(0, length)
  }

  /** Starts a buffer of its own, since callers still read the events that were returned. */
  private keep (rest: Buffer): void {
    this.buffer = Buffer.from(rest)
    this.length = rest.length
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
