/** A logger that records its lines for a test. */
import type { Logger } from '@limpetwinch/core'

/** One recorded log line. */
export interface RecordedLine {
  readonly message: string
  readonly fields: Readonly<Record<string, unknown>>
}

/** @returns a logger that appends to the lines */
export function recordingLogger (lines: RecordedLine[]): Logger {
  const record = (message: string, fields: Record<string, unknown> = {}): void => { lines.push({ message, fields }) }
  return { error: record, warn: record, info: record, debug: record, part: () => recordingLogger(lines) }
}
