/** Histories as JSON lines. */
import { createReadStream, createWriteStream } from 'node:fs'
import type { WriteStream } from 'node:fs'
import { createInterface } from 'node:readline'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { historyEventSchema } from './events.js'
import type { HistoryEvent } from './events.js'

/** A line that is no event. */
export interface UnreadableLine {
  readonly file: string
  readonly line: number
  readonly reason: string
}

/**
 * Reads one line.
 *
 * @param line - its text
 * @returns the event, or why it is none
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
 * Reads histories.
 *
 * @param files - paths, each with one event on a line
 * @returns all events in the order read, or the first line that is none: a check over half a history proves nothing
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

/** Writes events as they come. */
export class HistoryFileWriter {
  private readonly stream: WriteStream

  /** @param file - path, written anew */
  constructor (file: string) {
    this.stream = createWriteStream(file)
  }

  /** Adds one line. */
  write (event: HistoryEvent): void {
    this.stream.write(`${JSON.stringify(event)}\n`)
  }

  /** Resolves when every line is written. */
  async close (): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.stream.once('error', reject)
      this.stream.end(resolve)
    })
  }
}
