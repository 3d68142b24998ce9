/** The JSON lines that ingress instances write. */

/** One line. */
export interface LogLine {
  /** Unix milliseconds, by the clock of the instance that wrote it. */
  readonly at: number
  /** The part of the instance that speaks. */
  readonly part: string
  readonly message: string
  readonly fields: Readonly<Record<string, unknown>>
}

/**
 * Reads one line.
 *
 * @param line - it may have text before its JSON, such as the name of the process
 * @returns the line; undefined when it is not one of an instance
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
    // Other programs write to the same place; what is no JSON is not ours.
    return undefined
  }
}
