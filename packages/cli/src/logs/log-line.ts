/** Parses the JSON log lines that ingress instances write. */

/** One parsed log line. */
export interface LogLine {
  /** Unix time in milliseconds, by the clock of the instance that wrote the line. */
  readonly at: number
  /** Label of the component that wrote the line. */
  readonly part: string
  readonly message: string
  readonly fields: Readonly<Record<string, unknown>>
}

/**
 * Parses one line.
 *
 * @param line - may have text before its JSON, such as the name of the process
 * @returns the log line; undefined when it was not written by an instance
 */
export function parseLogLine (line: string): LogLine | undefined {
  const start = line.indexOf('{')
  if (start === -1) return undefined
  try {
    const fields = JSON.parse(line.slice(start)) as Record<string, unknown>
    const at = Date.parse(String(fields.timestamp))
    if (typeof fields.message !== 'string' || Number.isNaN(at)) return undefined
    return { at, part: String(fields.label ?? ''), message: fields.message, fields }
  } catch {
    // Other programs may write to the same output; a line that is not JSON was not written by an instance.
    return undefined
  }
}
