/** What the host was short of: processors, memory, disks, and processors taken away by whoever runs the host as a machine of its own. */
import { readFileSync } from 'node:fs'

const SAMPLE_INTERVAL_MILLISECONDS = 100
const MICROSECONDS_PER_MILLISECOND = 1_000
/** The system counts times of processors in hundredths of a second. */
const TICK_MILLISECONDS = 10
/** Fields of a processor's line: its name, seven other uses, then what was taken away. */
const STEAL_TIME_FIELD = 8
const RESOURCES = ['cpu', 'memory', 'io'] as const
const PROCESSOR = /^cpu\d+ /

/** Sums since the host's start, milliseconds. */
interface HostTimes {
  readonly at: number
  /** In which some task waited for the resource. */
  readonly pressure: readonly number[]
  /** Taken away of each processor. */
  readonly steal: readonly number[]
}

/** Takes samples while a run lasts; on systems that tell none of this it stays silent. */
export class HostMonitor {
  private readonly samples: HostTimes[] = []
  private timer: NodeJS.Timeout | undefined

  /** Begins to look. */
  start (): void {
    this.timer = setInterval(() => this.takeSample(), SAMPLE_INTERVAL_MILLISECONDS)
  }

  /** Looks no more. */
  stop (): void {
    clearInterval(this.timer)
  }

  /** @returns a sentence on the time; none where nothing is known of it */
  describe (from: number, to: number): string[] {
    const seen = this.samples.filter(({ at }) => at >= from - SAMPLE_INTERVAL_MILLISECONDS && at <= to + SAMPLE_INTERVAL_MILLISECONDS)
    const [first, last] = [seen[0], seen.at(-1)]
    if (first === undefined || last === undefined) return []
    const short = RESOURCES.map((resource, index) => `${resource} ${increase(first.pressure, last.pressure, index)} ms`)
    const stolen = Math.max(0, ...last.steal.map((_, index) => increase(first.steal, last.steal, index)))
    return [`the host: tasks waited for ${short.join(', ')}; at most ${stolen} ms of one processor were taken away, in ${last.at - first.at} ms`]
  }

  private takeSample (): void {
    try {
      this.samples.push({ at: Date.now(), pressure: RESOURCES.map(pressureOf), steal: stealTimes() })
    } catch {
      this.stop()
    }
  }
}

function pressureOf (resource: typeof RESOURCES[number]): number {
  const total = /^some .*total=(\d+)/.exec(readFileSync(`/proc/pressure/${resource}`, 'utf8'))?.[1]
  return Number(total ?? 0) / MICROSECONDS_PER_MILLISECOND
}

function stealTimes (): number[] {
  const lines = readFileSync('/proc/stat', 'utf8').split('\n').filter((line) => PROCESSOR.test(line))
  return lines.map((line) => Number(line.split(' ')[STEAL_TIME_FIELD] ?? 0) * TICK_MILLISECONDS)
}

function increase (before: readonly number[], after: readonly number[], index: number): number {
  return Math.round((after[index] ?? 0) - (before[index] ?? 0))
}
