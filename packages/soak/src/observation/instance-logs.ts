/** Log lines of the instances, for the report of a violation. */

/** Maximum number of lines kept of each instance: more than a usual run writes, so that only large runs lose lines. */
const MAXIMUM_LINES = 20_000
const DEBUG = '"level":"debug"'

interface InstanceLogLine {
  readonly at: number
  readonly text: string
}

/** The latest log lines of each instance. The time of a line is the Unix time in milliseconds at which this process read it. */
export class InstanceLogs {
  private readonly lines = new Map<string, InstanceLogLine[]>()

  /** Adds a line. */
  add (instance: string, text: string): void {
    const lines = this.lines.get(instance) ?? []
    this.lines.set(instance, lines)
    lines.push({ at: Date.now(), text })
    if (lines.length > MAXIMUM_LINES) lines.splice(0, MAXIMUM_LINES / 2)
  }

  /** @returns the lines of all instances and times that contain the request id */
  linesMentioning (request: string): string[] {
    const quotedId = JSON.stringify(request)
    return [...this.lines].flatMap(([instance, lines]) => lines.filter(({ text }) => text.includes(quotedId)).map((line) => formatLine(instance, line)))
  }

  /** @returns lines of an instance in a period that concern more than a single request: no debug lines, none of the relay */
  instanceWideLines (instance: string, from: number, to: number): string[] {
    const isInstanceWide = ({ at, text }: InstanceLogLine): boolean => at >= from && at <= to && !text.includes(DEBUG) && !text.includes('"label":"relay"')
    return (this.lines.get(instance) ?? []).filter(isInstanceWide).map((line) => formatLine(instance, line))
  }

  /** @returns the longest time in milliseconds in which an instance logged nothing */
  longestGap (instance: string, from: number, to: number): number {
    const times = (this.lines.get(instance) ?? []).map(({ at }) => at).filter((at) => at >= from && at <= to)
    const boundaries = [from, ...times, to]
    return Math.max(...boundaries.slice(1).map((at, index) => at - (boundaries[index] ?? at)))
  }
}

function formatLine (instance: string, { at, text }: InstanceLogLine): string {
  return `${at} ${instance} ${text}`
}
