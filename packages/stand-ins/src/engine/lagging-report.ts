/** Publishes reports of an engine with a delay. */

interface Snapshot<Report> {
  readonly at: number
  readonly report: Report
}

/** Creates a report at each interval and publishes the latest report that is older than the lag. */
export class LaggingReport<Report> {
  private snapshots: Snapshot<Report>[]
  private readonly timer: NodeJS.Timeout
  private readonly make: () => Report

  /**
   * @param make - creates a report of the current state
   * @param lag - delay of published reports, in milliseconds; can be changed at any time
   * @param interval - interval between reports, in milliseconds
   */
  constructor (make: () => Report, public lag: number, interval: number) {
    this.make = make
    this.snapshots = [{ at: -Infinity, report: make() }]
    this.timer = setInterval(() => this.add(), interval)
    this.timer.unref()
  }

  /** @returns the latest published report */
  read (): Report {
    const visibleUntil = performance.now() - this.lag
    const found = this.snapshots.findLast((snapshot) => snapshot.at <= visibleUntil) ?? this.snapshots[0]
    return found?.report ?? this.make()
  }

  /** Stops creating reports. */
  stop (): void {
    clearInterval(this.timer)
  }

  private add (): void {
    const now = performance.now()
    const firstKept = this.snapshots.findLastIndex((snapshot) => snapshot.at <= now - this.lag)
    this.snapshots = [...this.snapshots.slice(Math.max(firstKept, 0)), { at: now, report: this.make() }]
  }
}
