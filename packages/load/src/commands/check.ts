/** Command `limpetwinch-load check`. */
import { Args, Command, Flags } from '@oclif/core'
import { DEFAULT_BOUNDS, HistoryChecker, readHistoryFiles, standInAnswer } from '../history/index.js'
import type { HistoryEvent, Violation } from '../history/index.js'

/** Document that `check --json` prints. */
export interface CheckReport {
  readonly events: number
  readonly requests: number
  readonly promises: readonly string[]
  readonly violations: readonly Violation[]
}

/** Checks recorded histories against all promises of the product. */
export default class Check extends Command {
  static override description = 'Check histories, written as JSON lines, against every promise; exits 1 on a violation and 2 on an invalid line.'
  static override enableJsonFlag = true
  static override strict = false
  static override args = { file: Args.string({ required: true, description: 'history files, read as one history' }) }
  static override flags = {
    'leaving-grace': Flags.integer({ default: DEFAULT_BOUNDS.leavingGrace, description: 'time for which a leaving endpoint may still receive new work, ms' }),
    'settings-in-force': Flags.integer({ default: DEFAULT_BOUNDS.settingsInForce, description: 'time within which accepted settings must be in force, ms' }),
    fairness: Flags.integer({ default: DEFAULT_BOUNDS.fairness, description: 'maximum difference in weighted service between two backlogged teams, tokens' })
  }

  override async run (): Promise<CheckReport> {
    const { argv, flags } = await this.parse(Check)
    const events = (await readHistoryFiles(argv as string[])).match(
      (parsed) => parsed,
      ({ file, line, reason }) => this.error(`${file}:${line}: ${reason}. Write one event a line, by docs/reference/stand-in-protocols.md.`, { exit: 2 })
    )
    const checker = new HistoryChecker(standInAnswer, {
      leavingGrace: flags['leaving-grace'],
      settingsInForce: flags['settings-in-force'],
      fairness: flags.fairness
    })
    const report = reportOf(checker, events)
    this.print(report)
    if (report.violations.length > 0) process.exitCode = 1
    return report
  }

  private print (report: CheckReport): void {
    for (const violation of report.violations) {
      this.log(`${violation.promise}: ${violation.message}`)
      for (const { line, ...event } of violation.events) this.log(`  line ${line}: ${JSON.stringify(event)}`)
    }
    this.log(`${report.events} events, ${report.requests} requests, ${report.violations.length} violations`)
  }
}

function reportOf (checker: HistoryChecker, events: readonly HistoryEvent[]): CheckReport {
  return {
    events: events.length,
    requests: events.filter((event) => event.event === 'request-sent').length,
    promises: checker.rules.map((rule) => rule.promise),
    violations: checker.check(events)
  }
}
