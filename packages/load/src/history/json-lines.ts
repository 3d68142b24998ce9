/** Reading and writing of histories as JSON lines. */
import { createReadStream, createWriteStream } from 'node:fs'
import type { WriteStream } from 'node:fs'
import { createInterface } from 'node:readline'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { historyEventSchema } from './events.js'
import type { HistoryEvent } from './events.js'

/** A line of a history file that does not hold a valid event. */
export interface UnreadableLine {
  readonly file: string
  readonly line: number
  readonly reason: string
}

/**
 * Parses one line of a history file.
 *
 * @param line - text of the line
 * @returns the event, or the reason why the line is not a valid event
 */
export function parseHistoryLine (line: string): Result<HistoryEvent, string> {
  let body: unknown
  try {
    body = JSON.parse(line)
  } catch {
    return err('not JSON')
  }
  const parsed = historyEventSchema.safeParse(body)
  if (parsed.success) return ok(parsed.data)
  const [issue] = parsed.error.issues
  return err(issue === undefined ? 'not an event' : `${issue.path.join('.')}: ${issue.message}`)
}

/**
 * Reads history files.
 *
 * @param files - paths of files with one event on each line
 * @returns all events in the order read, or the first invalid line, because a check of an incomplete history proves nothing
 */
export async function readHistoryFiles (files: readonly string[]): Promise<Result<HistoryEvent[], UnreadableLine>> {
  const events: HistoryEvent[] = []
  for (const file of files) {
    const read = await readHistoryFile(file)
    if (read.isErr()) return err(read.error)
    for (const event of read.value) events.push(event)
  }
  return ok(events)
}

async function readHistoryFile (file: string): Promise<Result<HistoryEvent[], UnreadableLine>> {
  const events: HistoryEvent[] = []
  let line = 0
  try {
    for await (const text of createInterface({ input: createReadStream(file), crlfDelay: Infinity })) {
      line += 1
      if (text.trim() === '') continue
      const event = parseHistoryLine(text)
      if (event.isErr()) return err({ file, line, reason: event.error })
      events.push(event.value)
    }
  } catch (cause) {
    return err({ file, line, reason: cause instanceof Error ? cause.message : String(cause) })
  }
  return ok(events)
}

/** Writes events to a history file as they are recorded. */
export class HistoryFileWriter {
  private readonly stream: WriteStream

  /** @param file - path of the file; an existing file is overwritten */
  constructor (file: string) {
    this.stream = createWriteStream(file)
  }

  /** Appends one event as a line. */
  write (event: HistoryEvent): void {
    this.stream.write(`${JSON.stringify(event)}\n`)
  }

  /** Closes the file; resolves when every line is written. */
  async close (): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.stream.once('error', reject)
      this.stream.end(resolve)
    })
  }
}
