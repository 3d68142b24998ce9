/** `limpetwinch report FILE…`. */
import { createReadStream } from 'node:fs'
import { writeFile } from 'node:fs/promises'
import { createInterface } from 'node:readline'
import { Command, Flags } from '@oclif/core'
import { parseLogLine } from '../logs/log-line.js'
import { reportText } from '../report/report-text.js'
import { RunReporter } from '../report/run-report.js'
import { EXIT_CODES } from '../server/admin-command.js'

/** Reports from log lines how requests ended and how long their phases took. */
export default class Report extends Command {
  static override description = 'Reports how requests ended and how long their phases took, from the log lines of ingress instances: by route, reason and second, with what delayed loads. No instance is queried.'

  static override strict = false

  static override usage = 'report FILE...'

  static override enableJsonFlag = true

  static override flags = {
    html: Flags.string({ description: 'also write an HTML page with plots to this file' })
  }

  override async run (): Promise<unknown> {
    const { argv, flags } = await this.parse(Report)
    const files = argv.map(String)
    if (files.length === 0) this.error('No file is given. Give the files with the log lines of the instances.', { exit: EXIT_CODES.usage })
    const reporter = new RunReporter()
    for (const file of files) await this.readInto(reporter, file)
    const report = reporter.report()
    if (report.lines === 0) this.error('No log line of an ingress instance was found. Give files with the standard output of the instances.', { exit: EXIT_CODES.notFound })
    if (flags.html !== undefined) {
      // Imported only here: the plots need a library that no other command uses.
      const { reportPage } = await import('../report/report-page.js')
      await writeFile(flags.html, reportPage(report))
    }
    if (this.jsonEnabled()) return report
    this.log(reportText(report))
    return undefined
  }

  /** Reads a file line by line: the log lines of a day fill hundreds of megabytes, too much to hold in memory. */
  private async readInto (reporter: RunReporter, file: string): Promise<void> {
    try {
      for await (const line of createInterface({ input: createReadStream(file), crlfDelay: Infinity })) {
        const parsed = parseLogLine(line)
        if (parsed !== undefined) reporter.record(parsed)
      }
    } catch (cause) {
      this.error(`${file} cannot be read (${cause instanceof Error ? cause.message : String(cause)}). Give a file that exists.`, { exit: EXIT_CODES.usage })
    }
  }
}
