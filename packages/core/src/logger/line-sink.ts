/** Writes log lines without blocking the process when the reader of the lines is slow or has stopped reading. */
import { write } from 'node:fs'

/**
 * Priority of a line when not all lines can be written: steps of requests are dropped first, then outcomes, and faults
 * (warnings and errors) last.
 */
export type LinePriority = 'step' | 'outcome' | 'fault'

/** Maximum size of the buffer in bytes (2 MiB): the buffer holds some seconds of lines at full load and is small enough for a small instance. */
const MAXIMUM_BUFFERED_BYTES = 2 * 1024 * 1024
/** For each priority, how full the buffer may become, as a fraction of its maximum size, before further lines of this priority are dropped. */
const BUFFER_SHARE_OF_PRIORITY: Readonly<Record<LinePriority, number>> = { step: 0.5, outcome: 0.9, fault: 1 }
/** Maximum size of one write in bytes. The lines of a write are copied into a second buffer, so this also bounds that buffer. */
const MAXIMUM_WRITE_BYTES = 64 * 1024
/** Delay before a write, so that lines are batched: a write wakes a worker thread and then this thread, which costs more than a line itself. */
const WRITE_DELAY_MILLISECONDS = 25
/** Delay before a retry when a non-blocking pipe is full. */
const FULL_PIPE_RETRY_MILLISECONDS = 50

/**
 * A bounded buffer of lines in front of a file descriptor. Node.js writes to a pipe synchronously, so a reader that stops
 * reading would block the event loop. This sink writes asynchronously, one write at a time; lines that do not fit into the
 * buffer are dropped and counted.
 */
export class LineSink {
  private readonly descriptor: number
  private readonly waiting: Buffer[] = []
  private bufferedBytes = 0
  private writing = false
  private unreportedDrops = 0
  private droppedLines = 0

  /** @param descriptor - the file descriptor, such as 1 for standard output */
  constructor (descriptor: number) {
    this.descriptor = descriptor
  }

  /** Number of lines dropped since the start of the process. */
  get dropped (): number {
    return this.droppedLines
  }

  /**
   * Queues a line, or drops it when the buffer is full for its priority.
   *
   * @param text - the line without its line break
   * @param priority - the priority of the line
   */
  add (text: string, priority: LinePriority): void {
    const line = Buffer.from(`${text}\n`)
    if (this.bufferedBytes + line.length > MAXIMUM_BUFFERED_BYTES * BUFFER_SHARE_OF_PRIORITY[priority]) {
      this.droppedLines += 1
      this.unreportedDrops += 1
      return
    }
    if (this.unreportedDrops > 0) this.reportDropped()
    this.enqueue(line)
    this.scheduleWrite()
  }

  /**
   * Waits until all lines are written.
   *
   * @param milliseconds - maximum duration of the wait
   */
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
    const batch: Buffer[] = []
    let bytes = 0
    for (let line = this.waiting[0]; line !== undefined && (bytes === 0 || bytes + line.length <= MAXIMUM_WRITE_BYTES); line = this.waiting[0]) {
      batch.push(line)
      bytes += line.length
      this.waiting.shift()
    }
    return batch.length === 1 ? batch[0] as Buffer : Buffer.concat(batch)
  }

  private writeBatch (bytes: Buffer): void {
    write(this.descriptor, bytes, (error, written) => {
      if (error?.code === 'EAGAIN') {
        setTimeout(() => this.writeBatch(bytes), FULL_PIPE_RETRY_MILLISECONDS)
        return
      }
      // On any other error the lines of this write are lost: the reader has closed the pipe, and the process continues without logs.
      if (error === null && written < bytes.length) return this.writeBatch(bytes.subarray(written))
      this.bufferedBytes -= bytes.length
      this.writing = false
      this.scheduleWrite()
    })
  }
}
