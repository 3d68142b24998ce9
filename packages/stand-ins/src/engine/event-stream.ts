/** A stream of server-sent events, with the faults of streams. */
import type { ServerResponse } from 'node:http'
import type { SequenceEnd, SequenceReader } from './sequence.js'

/** Faults of streams in force when a stream begins. */
export interface StreamFaults {
  /** The stream is cut after so many tokens; undefined leaves it whole. */
  readonly dropAfterTokens: number | undefined
  readonly duplicateEvery: number
  readonly lateEvery: number
}

/** Writes one sequence's events to one response. */
export class EventStream implements SequenceReader {
  private readonly response: ServerResponse
  private readonly faults: StreamFaults
  private readonly silent: () => boolean
  private sent = 0
  private late: string | undefined

  /**
   * @param response - where to write
   * @param faults - what goes wrong on this stream
   * @param silent - whether nothing passes on the connection any more
   */
  constructor (response: ServerResponse, faults: StreamFaults, silent: () => boolean) {
    this.response = response
    this.faults = faults
    this.silent = silent
    if (silent()) return
    response.writeHead(200, { 'content-type': 'text/event-stream', 'cache-control': 'no-store' })
    response.flushHeaders()
  }

  part (position: number, text: string): void {
    if (this.faults.dropAfterTokens !== undefined && this.sent >= this.faults.dropAfterTokens) {
      this.response.socket?.destroy()
      return
    }
    this.sent += 1
    const line = `data: {"position":${position},"text":${JSON.stringify(text)}}\n\n`
    if (this.late === undefined && isEvery(this.sent, this.faults.lateEvery)) {
      this.late = line
      return
    }
    this.write(line)
    if (isEvery(this.sent, this.faults.duplicateEvery)) this.write(line)
    this.writeLate()
  }

  end (end: SequenceEnd): void {
    this.close(JSON.stringify({ end }))
  }

  fail (reason: string): void {
    this.close(JSON.stringify({ error: reason }))
  }

  private close (data: string): void {
    if (this.silent() || this.response.destroyed) return
    this.writeLate()
    this.response.end(`data: ${data}\n\n`)
  }

  private writeLate (): void {
    const late = this.late
    this.late = undefined
    if (late !== undefined) this.write(late)
  }

  private write (line: string): void {
    if (this.silent() || this.response.destroyed) return
    this.response.write(line)
  }
}

function isEvery (count: number, every: number): boolean {
  return every > 0 && count % every === 0
}
