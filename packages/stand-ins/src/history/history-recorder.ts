/** History lines: what a stand-in saw, kept in memory and, when asked for, in a file. */
import { createWriteStream } from 'node:fs'
import type { WriteStream } from 'node:fs'

/** What an engine was ordered. */
export interface OrderEvent {
  readonly event: 'order'
  readonly endpoint: string
  readonly order: 'load' | 'unload' | 'configure'
  readonly name: string
  readonly token: number
  readonly result: string
}

/** A request began to run. */
export interface RunStartedEvent {
  readonly event: 'run-started'
  readonly endpoint: string
  readonly run: string
  readonly request: string
  readonly adapter?: string | undefined
  /** The prompt, or a plain service's body: the checker finds the caller's request by it. */
  readonly prompt: string
}

/** A request no longer runs. */
export interface RunEndedEvent {
  readonly event: 'run-ended'
  readonly endpoint: string
  readonly run: string
  readonly request: string
  readonly result: 'finished' | 'cancelled' | 'lost'
  /** Prompt and output tokens that were spent. */
  readonly tokens?: number
}

/** An endpoint is marked leaving or live again, or restarted cold. */
export interface EndpointEvent {
  readonly event: 'endpoint-leaving' | 'endpoint-live' | 'endpoint-restarted'
  readonly endpoint: string
}

/** What the stand-ins write. */
export type StandInEvent = OrderEvent | RunStartedEvent | RunEndedEvent | EndpointEvent
/** An event with the wall time at which it happened, milliseconds. */
export type HistoryLine = StandInEvent & { readonly at: number }

const MAXIMUM_KEPT_LINES = 200_000

/** Records events in their order. */
export class HistoryRecorder {
  private lines: HistoryLine[] = []
  private readonly file: WriteStream | undefined

  /** @param path - a file to append to, or undefined */
  constructor (path: string | undefined) {
    this.file = path === undefined ? undefined : createWriteStream(path, { flags: 'a' })
  }

  /** Adds an event at the present time. */
  record (event: StandInEvent): void {
    const line = { at: Date.now(), ...event }
    this.lines.push(line)
    this.file?.write(`${JSON.stringify(line)}\n`)
    if (this.lines.length > 2 * MAXIMUM_KEPT_LINES) this.lines = this.lines.slice(-MAXIMUM_KEPT_LINES)
  }

  /** @returns the newest events in memory, oldest first */
  all (): readonly HistoryLine[] {
    return this.lines
  }

  /** Writes out what is buffered. */
  async close (): Promise<void> {
    const file = this.file
    if (file === undefined) return
    await new Promise<void>((resolve) => { file.end(resolve) })
  }
}
