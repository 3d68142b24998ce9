/** Collects all observations during a run, and describes a violation with them. */
import type { Violation } from '../checks/soak-check.js'
import type { FaultSpan, SoakRecord } from '../soak-record.js'
import { HostMonitor } from './host-monitor.js'
import { InstanceLogs } from './instance-logs.js'
import { ProcessorMonitor } from './processor-monitor.js'
import type { MonitoredProcess } from './processor-monitor.js'
import { RequestMonitor } from './request-monitor.js'

/** The description of a violation includes faults within this margin of it, and log lines up to this long before it. */
const MARGIN_BEFORE_MILLISECONDS = 3_000
/** The description of a violation includes log lines up to this long after it. */
const MARGIN_AFTER_MILLISECONDS = 500

/** Observes one run. */
export class RunMonitor {
  private readonly requests: RequestMonitor
  private readonly processors: ProcessorMonitor
  private readonly host = new HostMonitor()
  private readonly lines = new InstanceLogs()

  /**
   * @param prefix - prefix of the ids of the run's requests
   * @param processes - returns the instances that are running
   */
  constructor (prefix: string, processes: () => readonly MonitoredProcess[]) {
    this.requests = new RequestMonitor(prefix)
    this.processors = new ProcessorMonitor(processes)
  }

  /** Starts observing. */
  start (): void {
    this.requests.start()
    this.processors.start()
    this.host.start()
  }

  /** Stops observing. */
  stop (): void {
    this.requests.stop()
    this.processors.stop()
    this.host.stop()
  }

  /** Maximum delay of this process's own timers over the run, in milliseconds. */
  get maximumTimerDelayMilliseconds (): number {
    return this.processors.maximumTimerDelay(-Infinity, Infinity)
  }

  /** Adds a log line of an instance. */
  addLine (instance: string, line: string): void {
    this.lines.add(instance, line)
  }

  /** @returns sentences that help to find the cause of a violation; times are Unix milliseconds */
  describeViolation ({ from, to, instance, request }: Violation, record: SoakRecord): string[] {
    const faults = record.faultsDuring(from, to, MARGIN_BEFORE_MILLISECONDS).map(describeFault)
    const account = [`from ${from} to ${to}`, ...faults, ...this.processors.describe(from, to), ...this.host.describe(from, to)]
    if (request !== undefined) account.push(...this.requests.stepsOf(request).map(({ at, what }) => `${at} ${request}: ${what}`), ...this.lines.linesMentioning(request))
    if (instance === undefined) return account
    const longestGap = this.lines.longestGap(instance, from, to)
    return [...account, `${instance} logged nothing for ${longestGap} ms at most`, ...this.lines.instanceWideLines(instance, from - MARGIN_BEFORE_MILLISECONDS, to + MARGIN_AFTER_MILLISECONDS)]
  }
}

function describeFault ({ kind, target, from, to }: FaultSpan): string {
  return `fault ${kind}${target === undefined ? '' : ` of ${target}`} from ${from} to ${to}`
}
