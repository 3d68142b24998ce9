/** `limpetwinch report FILE…`. */
import { createReadStream } from 'node:fs'
import { writeFile } from 'node:fs/promises'
import { createInterface } from 'node:readline'
import { Command, Flags } from '@oclif/core'
import { parseLogLine } from '../logs/log-line.js'
import { reportText } from '../report/report-text.js'
import { RunReporter } from '../report/run-report.js'
import { EXIT_CODES } from '../server/admin-command.js'

/** Tells from log lines what became of requests and where their time went. */
export default class Report extends Command {
  static override description = 'Tells what became of requests and where their time went, from the lines that ingress instances wrote: by route, reason and second, with what held loads up. No instance is asked.'

  static override strict = false

  static override usage = 'report FILE...'

  static override enableJsonFlag = true

  static override flags = {
    html: Flags.string({ description: 'also write one page with plots to this file' })
  }

  override async run (): Promise<unknown> {
    const { argv, flags } = await this.parse(Report)
    const files = argv.map(String)
    if (files.length === 0) this.error('No file is given. Name the files with the log lines of the instances.', { exit: EXIT_CODES.usage })
    const reporter = new RunReporter()
    for (const file of files) await this.readInto(reporter, file)
    const report = reporter.report()
    if (report.lines === 0) this.error('No line of an ingress instance was found. Give what the instances wrote to standard output.', { exit: EXIT_CODES.notFound })
    if (flags.html !== undefined) {
      // The plots need a library that other commands would load for nothing.
      const { reportPage } = await import('../report/report-page.js')
      await writeFile(flags.html, reportPage(report))
    }
    if (this.jsonEnabled()) return report
    this.log(reportText(report))
    return undefined
  }

  /** A day's lines fill hundreds of megabytes, so no file is held whole. */
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
