/** Writes log lines without ever waiting for their reader. */
import { write } from 'node:fs'

/** What a line is worth when not all can be written: request steps yield first, changes of belief and outcomes last. */
export type LinePriority = 'step' | 'outcome' | 'fault'

/** Buffered bytes at most: some seconds of lines at full load, and no burden on a small instance. */
const MAXIMUM_BUFFERED_BYTES = 2 * 1024 * 1024
/** Part of the buffer that lines of a rank may fill. */
const BUFFER_SHARE_OF_PRIORITY: Readonly<Record<LinePriority, number>> = { step: 0.5, outcome: 0.9, fault: 1 }
/** One write at most; larger ones would hold memory twice. */
const MAXIMUM_WRITE_BYTES = 64 * 1024
/** Lines wait this long for others: each write wakes a thread and this one again, which costs more than the line itself. */
const WRITE_DELAY_MILLISECONDS = 25
/** A pipe that is full and set not to block says so; it is tried again after this. */
const FULL_PIPE_RETRY_MILLISECONDS = 50

/**
 * A bounded buffer before a file descriptor. Node.js writes to a pipe synchronously, so that a reader that stops would
 * stop the event loop with it; here one write at a time runs beside the loop, and what does not fit is counted.
 */
export class LineSink {
  private readonly descriptor: number
  private readonly waiting: Buffer[] = []
  private bufferedBytes = 0
  private writing = false
  private unreportedDrops = 0
  private droppedLines = 0

  /** @param descriptor - such as 1 for standard output */
  constructor (descriptor: number) {
    this.descriptor = descriptor
  }

  /** Lines dropped since the start. */
  get dropped (): number {
    return this.droppedLines
  }

  /**
   * Queues a line, or drops it when its rank has no room.
   *
   * @param text - without its end
   * @param rank - what it is worth
   */
  add (text: string, rank: LinePriority): void {
    const line = Buffer.from(`${text}\n`)
    if (this.bufferedBytes + line.length > MAXIMUM_BUFFERED_BYTES * BUFFER_SHARE_OF_PRIORITY[rank]) {
      this.droppedLines += 1
      this.unreportedDrops += 1
      return
    }
    if (this.unreportedDrops > 0) this.reportDropped()
    this.enqueue(line)
    this.scheduleWrite()
  }

  /** Waits until all is written, a limited time. */
  async flush (milliseconds: number): Promise<void> {
    const until = performance.now() + milliseconds
    while ((this.writing || this.waiting.length > 0) && performance.now() < until) {
      await new Promise((resolve) => { setTimeout(resolve, 5) })
    }
  }

  private reportDropped (): void {
    const lines = this.unreportedDrops
    this.unreportedDrops = 0
    this.enqueue(Buffer.from(`${JSON.stringify({ level: 'warn', label: 'logs', message: 'Log lines were dropped.', lines })}\n`))
  }

  private enqueue (line: Buffer): void {
    this.waiting.push(line)
    this.bufferedBytes += line.length
  }

  private scheduleWrite (): void {
    if (this.writing || this.waiting.length === 0) return
    this.writing = true
    setTimeout(() => this.writeBatch(this.takeBatch()), WRITE_DELAY_MILLISECONDS)
  }

  private takeBatch (): Buffer {
    const parts: Buffer[] = []
    let bytes = 0
    for (let part = this.waiting[0]; part !== undefined && (bytes === 0 || bytes + part.length <= MAXIMUM_WRITE_BYTES); part = this.waiting[0]) {
      parts.push(part)
      bytes += part.length
      this.waiting.shift()
    }
    return parts.length === 1 ? parts[0] as Buffer : Buffer.concat(parts)
  }

  private writeBatch (bytes: Buffer): void {
    write(this.descriptor, bytes, (error, written) => {
      if (error?.code === 'EAGAIN') {
        setTimeout(() => this.writeBatch(bytes), FULL_PIPE_RETRY_MILLISECONDS)
        return
      }
      // A reader that has gone for good takes nothing any more; the process goes on without its logs.
      if (error === null && written < bytes.length) return this.writeBatch(bytes.subarray(written))
      this.bufferedBytes -= bytes.length
      this.writing = false
      this.scheduleWrite()
    })
  }
}
