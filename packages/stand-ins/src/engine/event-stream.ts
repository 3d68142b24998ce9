/** A stream of server-sent events, with injected faults. */
import type { ServerResponse } from 'node:http'
import type { SequenceEnd, SequenceReader } from './sequence.js'

/** Faults of a stream, fixed when the stream starts. */
export interface StreamFaults {
  /** Number of tokens after which the connection of the stream is closed; undefined for never. */
  readonly dropAfterTokens: number | undefined
  /** Every part whose number is a multiple of this is sent twice; 0 for none. */
  readonly duplicateEvery: number
  /** Every part whose number is a multiple of this is sent after the next part; 0 for none. */
  readonly lateEvery: number
}

/** Writes the events of one sequence to one response. */
export class EventStream implements SequenceReader {
  private readonly response: ServerResponse
  private readonly faults: StreamFaults
  private readonly silent: () => boolean
  private sent = 0
  private late: string | undefined

  /**
   * @param response - HTTP response to write to
   * @param faults - faults of this stream
   * @param silent - whether the connection is currently unresponsive
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
