/** What the instances logged, for the account of a violation. */

/** Kept of each instance: more than a usual run writes, and a bound for large ones. */
const MAXIMUM_LINES = 20_000
const DEBUG = '"level":"debug"'

interface InstanceLogLine {
  readonly at: number
  readonly text: string
}

/** The newest lines of each instance. Times are those of this process, at which it read the line. */
export class InstanceLogs {
  private readonly lines = new Map<string, InstanceLogLine[]>()

  /** Keeps a line. */
  add (instance: string, text: string): void {
    const lines = this.lines.get(instance) ?? []
    this.lines.set(instance, lines)
    lines.push({ at: Date.now(), text })
    if (lines.length > MAXIMUM_LINES) lines.splice(0, MAXIMUM_LINES / 2)
  }

  /** @returns lines that name the request, whenever they came */
  linesMentioning (request: string): string[] {
    const name = JSON.stringify(request)
    return [...this.lines].flatMap(([instance, lines]) => lines.filter(({ text }) => text.includes(name)).map((line) => formatLine(instance, line)))
  }

  /** @returns lines of an instance in the time that tell of more than single requests */
  instanceWideLines (instance: string, from: number, to: number): string[] {
    const isTelling = ({ at, text }: InstanceLogLine): boolean => at >= from && at <= to && !text.includes(DEBUG) && !text.includes('"label":"relay"')
    return (this.lines.get(instance) ?? []).filter(isTelling).map((line) => formatLine(instance, line))
  }

  /** @returns the longest time in which an instance said nothing, milliseconds */
  longestGap (instance: string, from: number, to: number): number {
    const within = (this.lines.get(instance) ?? []).map(({ at }) => at).filter((at) => at >= from && at <= to)
    const moments = [from, ...within, to]
    return Math.max(...moments.slice(1).map((at, index) => at - (moments[index] ?? at)))
  }
}

function formatLine (instance: string, { at, text }: InstanceLogLine): string {
  return `${at} ${instance} ${text}`
}
