/** All that was seen beside a run, and the account of one violation from it. */
import type { Violation } from '../checks/soak-check.js'
import type { FaultSpan, SoakRecord } from '../soak-record.js'
import { HostMonitor } from './host-monitor.js'
import { InstanceLogs } from './instance-logs.js'
import { ProcessorMonitor } from './processor-monitor.js'
import type { MonitoredProcess } from './processor-monitor.js'
import { RequestMonitor } from './request-monitor.js'

/** Faults and lines so long before still tell. */
const MARGIN_BEFORE_MILLISECONDS = 3_000
const MARGIN_AFTER_MILLISECONDS = 500

/** Watches one run. */
export class RunMonitor {
  private readonly requests: RequestMonitor
  private readonly processors: ProcessorMonitor
  private readonly host = new HostMonitor()
  private readonly lines = new InstanceLogs()

  /**
   * @param prefix - of the ids of the run's requests
   * @param processes - instances that run now
   */
  constructor (prefix: string, processes: () => readonly MonitoredProcess[]) {
    this.requests = new RequestMonitor(prefix)
    this.processors = new ProcessorMonitor(processes)
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
  get maximumTimerDelayMilliseconds (): number {
    return this.processors.maximumTimerDelay(-Infinity, Infinity)
  }

  /** Keeps a line of an instance. */
  addLine (instance: string, line: string): void {
    this.lines.add(instance, line)
  }

  /** @returns what tells the causes of a violation apart, in sentences; times are Unix milliseconds */
  describeViolation ({ from, to, instance, request }: Violation, record: SoakRecord): string[] {
    const faults = record.faultsDuring(from, to, MARGIN_BEFORE_MILLISECONDS).map(describeFault)
    const account = [`from ${from} to ${to}`, ...faults, ...this.processors.describe(from, to), ...this.host.describe(from, to)]
    if (request !== undefined) account.push(...this.requests.stepsOf(request).map(({ at, what }) => `${at} ${request}: ${what}`), ...this.lines.linesMentioning(request))
    if (instance === undefined) return account
    const silence = this.lines.longestGap(instance, from, to)
    return [...account, `${instance} logged nothing for ${silence} ms at most`, ...this.lines.instanceWideLines(instance, from - MARGIN_BEFORE_MILLISECONDS, to + MARGIN_AFTER_MILLISECONDS)]
  }
}

function describeFault ({ kind, target, from, to }: FaultSpan): string {
  return `fault ${kind}${target === undefined ? '' : ` of ${target}`} from ${from} to ${to}`
}
