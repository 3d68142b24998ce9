/** An engine's report, published later than it was true. */

interface Snapshot<Report> {
  readonly at: number
  readonly report: Report
}

/** Takes a report at each interval and shows the newest one that is older than the lag. */
export class LaggingReport<Report> {
  private snapshots: Snapshot<Report>[]
  private readonly timer: NodeJS.Timeout
  private readonly make: () => Report

  /**
   * @param make - takes a report of the present moment
   * @param lag - milliseconds; may be changed at any time
   * @param interval - milliseconds between reports
   */
  constructor (make: () => Report, public lag: number, interval: number) {
    this.make = make
    this.snapshots = [{ at: -Infinity, report: make() }]
    this.timer = setInterval(() => this.add(), interval)
    this.timer.unref()
  }

  /** @returns the newest published report */
  read (): Report {
    const visible = performance.now() - this.lag
    const found = this.snapshots.findLast((snapshot) => snapshot.at <= visible) ?? this.snapshots[0]
    return found?.report ?? this.make()
  }

  /** Ends the reports. */
  stop (): void {
    clearInterval(this.timer)
  }

  private add (): void {
    const now = performance.now()
    const seen = this.snapshots.findLastIndex((snapshot) => snapshot.at <= now - this.lag)
    this.snapshots = [...this.snapshots.slice(Math.max(seen, 0)), { at: now, report: this.make() }]
  }
}
