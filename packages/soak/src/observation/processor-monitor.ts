/** Samples use of the processors: the delay of this process's own timers, and how long each process ran and waited to run. */
import { readFileSync } from 'node:fs'

const SAMPLE_INTERVAL_MILLISECONDS = 100
const NANOSECONDS_PER_MILLISECOND = 1_000_000

/** Cumulative times of a process's main thread since its start, in milliseconds. */
interface ProcessorTimes {
  readonly ran: number
  readonly waited: number
}

interface Sample extends ProcessorTimes {
  readonly at: number
}

interface TimerDelay {
  readonly at: number
  readonly milliseconds: number
}

/** A process to sample. */
export interface MonitoredProcess {
  readonly name: string
  readonly processId: number | undefined
}

/** Takes samples during a run. */
export class ProcessorMonitor {
  private readonly processes: () => readonly MonitoredProcess[]
  private readonly samples = new Map<string, Sample[]>()
  private readonly lateness: TimerDelay[] = []
  private timer: NodeJS.Timeout | undefined
  private plannedAt = 0

  /** @param processes - returns the processes to sample at present */
  constructor (processes: () => readonly MonitoredProcess[]) {
    this.processes = processes
  }

  /** Starts sampling. */
  start (): void {
    this.plannedAt = performance.now() + SAMPLE_INTERVAL_MILLISECONDS
    this.timer = setInterval(() => this.takeSample(), SAMPLE_INTERVAL_MILLISECONDS)
  }

  /** Stops sampling. */
  stop (): void {
    clearInterval(this.timer)
  }

  /** @returns the maximum delay of this process's own timers in a period, in milliseconds */
  maximumTimerDelay (from: number, to: number): number {
    return Math.round(Math.max(0, ...this.lateness.filter((delay) => isWithin(delay, from, to)).map(({ milliseconds }) => milliseconds)))
  }

  /** @returns a sentence on this process's timers, and one for each process that was sampled in the period */
  describe (from: number, to: number): string[] {
    const sentences = [...this.samples].flatMap(([process, samples]) => describeProcess(process, samples.filter((sample) => isWithin(sample, from, to))))
    return [`timers of the soak were late by up to ${this.maximumTimerDelay(from, to)} ms`, ...sentences]
  }

  private takeSample (): void {
    const now = performance.now()
    const at = Date.now()
    this.lateness.push({ at, milliseconds: Math.max(0, now - this.plannedAt) })
    this.plannedAt = now + SAMPLE_INTERVAL_MILLISECONDS
    for (const { name, processId } of [{ name: 'the soak', processId: process.pid }, ...this.processes()]) {
      const times = processId === undefined ? undefined : timesOf(processId)
      if (times !== undefined) this.addSample(`${name} (process ${processId})`, { at, ...times })
    }
  }

  private addSample (process: string, sample: Sample): void {
    const samples = this.samples.get(process) ?? []
    this.samples.set(process, samples)
    samples.push(sample)
  }
}

/** @returns whether a sample belongs to a period; the samples just before and after it are included, to cover it whole */
function isWithin ({ at }: { readonly at: number }, from: number, to: number): boolean {
  return at >= from - SAMPLE_INTERVAL_MILLISECONDS && at <= to + SAMPLE_INTERVAL_MILLISECONDS
}

/** @returns the times of a process; undefined when the process has ended or the system does not report them */
function timesOf (processId: number): ProcessorTimes | undefined {
  try {
    const [ran, waited] = readFileSync(`/proc/${processId}/schedstat`, 'utf8').split(' ').map((nanoseconds) => Number(nanoseconds) / NANOSECONDS_PER_MILLISECOND)
    return ran === undefined || waited === undefined ? undefined : { ran, waited }
  } catch {
    return undefined
  }
}

function describeProcess (process: string, samples: readonly Sample[]): string[] {
  const [first, last] = [samples[0], samples.at(-1)]
  if (first === undefined || last === undefined) return []
  return [`${process} ran ${Math.round(last.ran - first.ran)} ms and waited ${Math.round(last.waited - first.waited)} ms for a processor in ${last.at - first.at} ms`]
}
