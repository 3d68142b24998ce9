/** All that was seen beside a run, and the account of one violation from it. */
import type { Violation } from '../checks/soak-check.js'
import type { FaultSpan, SoakRecord } from '../soak-record.js'
import { HostWatch } from './host-watch.js'
import { InstanceLines } from './instance-lines.js'
import { ProcessorWatch } from './processor-watch.js'
import type { WatchedProcess } from './processor-watch.js'
import { RequestWatch } from './request-watch.js'

/** Faults and lines so long before still tell. */
const BEFORE_MILLISECONDS = 3_000
const AFTER_MILLISECONDS = 500

/** Watches one run. */
export class RunWitness {
  private readonly requests: RequestWatch
  private readonly processors: ProcessorWatch
  private readonly host = new HostWatch()
  private readonly lines = new InstanceLines()

  /**
   * @param prefix - of the ids of the run's requests
   * @param processes - instances that run now
   */
  constructor (prefix: string, processes: () => readonly WatchedProcess[]) {
    this.requests = new RequestWatch(prefix)
    this.processors = new ProcessorWatch(processes)
  }

  /** Begins to watch. */
  start (): void {
    this.requests.start()
    this.processors.start()
    this.host.start()
  }

  /** Watches no more. */
  stop (): void {
    this.requests.stop()
    this.processors.stop()
    this.host.stop()
  }

  /** How late this process's own timers were at most, milliseconds. */
  get latestMilliseconds (): number {
    return this.processors.latestBetween(-Infinity, Infinity)
  }

  /** Keeps a line of an instance. */
  hear (instance: string, line: string): void {
    this.lines.add(instance, line)
  }

  /** @returns what tells the causes of a violation apart, in sentences; times are Unix milliseconds */
  accountOf ({ from, to, instance, request }: Violation, record: SoakRecord): string[] {
    const faults = record.during(from, to, BEFORE_MILLISECONDS).map(faultSentence)
    const account = [`from ${from} to ${to}`, ...faults, ...this.processors.during(from, to), ...this.host.during(from, to)]
    if (request !== undefined) account.push(...this.requests.stepsOf(request).map(({ at, what }) => `${at} ${request}: ${what}`), ...this.lines.naming(request))
    if (instance === undefined) return account
    const silence = this.lines.longestSilence(instance, from, to)
    return [...account, `${instance} logged nothing for ${silence} ms at most`, ...this.lines.telling(instance, from - BEFORE_MILLISECONDS, to + AFTER_MILLISECONDS)]
  }
}

function faultSentence ({ kind, target, from, to }: FaultSpan): string {
  return `fault ${kind}${target === undefined ? '' : ` of ${target}`} from ${from} to ${to}`
}
