/** History of a stand-in: events kept in memory and optionally appended to a file. */
import { createWriteStream } from 'node:fs'
import type { WriteStream } from 'node:fs'

/** An engine received an order. */
export interface OrderEvent {
  readonly event: 'order'
  readonly endpoint: string
  readonly order: 'load' | 'unload' | 'configure'
  readonly name: string
  readonly token: number
  readonly result: string
}

/** A request started to run. */
export interface RunStartedEvent {
  readonly event: 'run-started'
  readonly endpoint: string
  readonly run: string
  readonly request: string
  readonly adapter?: string | undefined
  /** The prompt, or the body of a request to a plain service; a checker finds the caller's request by this text. */
  readonly prompt: string
}

/** A request stopped running. */
export interface RunEndedEvent {
  readonly event: 'run-ended'
  readonly endpoint: string
  readonly run: string
  readonly request: string
  readonly result: 'finished' | 'cancelled' | 'lost'
  /** Number of prompt and output tokens that were processed. */
  readonly tokens?: number
}

/** An endpoint was marked as leaving, marked as live again, or restarted cold. */
export interface EndpointEvent {
  readonly event: 'endpoint-leaving' | 'endpoint-live' | 'endpoint-restarted'
  readonly endpoint: string
}

/** An event that a stand-in records. */
export type StandInEvent = OrderEvent | RunStartedEvent | RunEndedEvent | EndpointEvent
/** An event with its Unix time in milliseconds. */
export type HistoryLine = StandInEvent & { readonly at: number }

const MAXIMUM_KEPT_LINES = 200_000

/** Records events in order of time. */
export class HistoryRecorder {
  private lines: HistoryLine[] = []
  private readonly file: WriteStream | undefined

  /** @param path - file to append events to, as JSON lines; undefined for none */
  constructor (path: string | undefined) {
    this.file = path === undefined ? undefined : createWriteStream(path, { flags: 'a' })
  }

  /** Adds an event with the current time. */
  record (event: StandInEvent): void {
    const line = { at: Date.now(), ...event }
    this.lines.push(line)
    this.file?.write(`${JSON.stringify(line)}\n`)
    if (this.lines.length > 2 * MAXIMUM_KEPT_LINES) this.lines = this.lines.slice(-MAXIMUM_KEPT_LINES)
  }

  /** @returns the latest events, oldest first; older ones are dropped from memory */
  all (): readonly HistoryLine[] {
    return this.lines
  }

  /** Writes buffered events to the file and closes it. */
  async close (): Promise<void> {
    const file = this.file
    if (file === undefined) return
    await new Promise<void>((resolve) => { file.end(resolve) })
  }
}
