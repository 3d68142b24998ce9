/** Samples resource shortage of the host: pressure on processors, memory and disks, and processor time that the hypervisor took (steal time). */
import { readFileSync } from 'node:fs'

const SAMPLE_INTERVAL_MILLISECONDS = 100
const MICROSECONDS_PER_MILLISECOND = 1_000
/** Unit of processor times in /proc/stat: hundredths of a second. */
const TICK_MILLISECONDS = 10
/** Index of the steal time in a processor's line of /proc/stat: the name and seven other times precede it. */
const STEAL_TIME_FIELD = 8
const RESOURCES = ['cpu', 'memory', 'io'] as const
const PROCESSOR = /^cpu\d+ /

/** Cumulative times since the host's start, in milliseconds, with the Unix time of the sample. */
interface HostTimes {
  readonly at: number
  /** Time in which some task waited for the resource; one value per entry of RESOURCES. */
  readonly pressure: readonly number[]
  /** Steal time of each processor. */
  readonly steal: readonly number[]
}

/** Takes samples during a run; records nothing on systems without these figures. */
export class HostMonitor {
  private readonly samples: HostTimes[] = []
  private timer: NodeJS.Timeout | undefined

  /** Starts sampling. */
  start (): void {
    this.timer = setInterval(() => this.takeSample(), SAMPLE_INTERVAL_MILLISECONDS)
  }

  /** Stops sampling. */
  stop (): void {
    clearInterval(this.timer)
  }

  /** @returns one sentence on the period; empty when no sample lies in the period */
  describe (from: number, to: number): string[] {
    const samples = this.samples.filter(({ at }) => at >= from - SAMPLE_INTERVAL_MILLISECONDS && at <= to + SAMPLE_INTERVAL_MILLISECONDS)
    const [first, last] = [samples[0], samples.at(-1)]
    if (first === undefined || last === undefined) return []
    const shortages = RESOURCES.map((resource, index) => `${resource} ${increase(first.pressure, last.pressure, index)} ms`)
    const steal = Math.max(0, ...last.steal.map((_, index) => increase(first.steal, last.steal, index)))
    return [`the host: tasks waited for ${shortages.join(', ')}; at most ${steal} ms steal time of one processor, in ${last.at - first.at} ms`]
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
