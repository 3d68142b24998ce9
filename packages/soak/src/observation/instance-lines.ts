/** What the instances logged, for the account of a violation. */

/** Kept of each instance: more than a usual run writes, and a bound for large ones. */
const MOST_LINES = 20_000
const DEBUG = '"level":"debug"'

interface InstanceLine {
  readonly at: number
  readonly text: string
}

/** The newest lines of each instance. Times are those of this process, at which it read the line. */
export class InstanceLines {
  private readonly lines = new Map<string, InstanceLine[]>()

  /** Keeps a line. */
  add (instance: string, text: string): void {
    const lines = this.lines.get(instance) ?? []
    this.lines.set(instance, lines)
    lines.push({ at: Date.now(), text })
    if (lines.length > MOST_LINES) lines.splice(0, MOST_LINES / 2)
  }

  /** @returns lines that name the request, whenever they came */
  naming (request: string): string[] {
    const name = JSON.stringify(request)
    return [...this.lines].flatMap(([instance, lines]) => lines.filter(({ text }) => text.includes(name)).map((line) => written(instance, line)))
  }

  /** @returns lines of an instance in the time that tell of more than single requests */
  telling (instance: string, from: number, to: number): string[] {
    const isTelling = ({ at, text }: InstanceLine): boolean => at >= from && at <= to && !text.includes(DEBUG) && !text.includes('"label":"relay"')
    return (this.lines.get(instance) ?? []).filter(isTelling).map((line) => written(instance, line))
  }

  /** @returns the longest time in which an instance said nothing, milliseconds */
  longestSilence (instance: string, from: number, to: number): number {
    const within = (this.lines.get(instance) ?? []).map(({ at }) => at).filter((at) => at >= from && at <= to)
    const moments = [from, ...within, to]
    return Math.max(...moments.slice(1).map((at, index) => at - (moments[index] ?? at)))
  }
}

function written (instance: string, { at, text }: InstanceLine): string {
  return `${at} ${instance} ${text}`
}
