/** Command `limpetwinch-load check-history`. */
import { mkdirSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { Command, Flags } from '@oclif/core'
import { Campaign } from '../faults/campaign.js'
import type { CampaignReport, FinishedRun } from '../faults/campaign.js'
import { FAULTS } from '../faults/kinds/index.js'
import { MUTANT_NAMES, promiseBrokenBy } from '../faults/mutants/index.js'

const EXIT_DELAY_MILLISECONDS = 1_000

/** Runs deployments of real components under injected faults and checks their histories. */
export default class CheckHistory extends Command {
  static override description = 'Run deployments under faults and check their histories; exits 1 on a violation, which is expected with --mutant, and 3 when a run produced no history.'
  static override enableJsonFlag = true
  static override flags = {
    seed: Flags.integer({ default: 1, min: 1, description: 'seed of all random choices; with --runs 1 it is the seed of the run itself' }),
    runs: Flags.integer({ default: 20, min: 1, description: 'number of runs, each with one history' }),
    concurrency: Flags.integer({ default: 4, min: 1, description: 'maximum concurrent runs' }),
    mutant: Flags.string({ options: [...MUTANT_NAMES], description: 'inject this faulty component into every instance, and stop when a check detects it' }),
    fault: Flags.string({ multiple: true, options: FAULTS.map((fault) => fault.kind), description: 'inject only faults of this kind; can be repeated' }),
    'no-faults': Flags.boolean({ description: 'inject no faults' }),
    keep: Flags.string({ description: 'folder to which the histories are written, as input of limpetwinch-load check' })
  }

  override async run (): Promise<CampaignReport> {
    const { flags } = await this.parse(CheckHistory)
    const campaign = new Campaign({
      seed: flags.seed,
      runs: flags.runs,
      concurrency: flags.concurrency,
      mutant: flags.mutant,
      kinds: flags['no-faults'] ? [] : FAULTS.filter((fault) => flags.fault === undefined || flags.fault.includes(fault.kind)),
      stopAtViolation: flags.mutant !== undefined,
      ...(flags.keep === undefined ? {} : { onHistory: (run: FinishedRun) => keep(flags.keep ?? '.', run) })
    })
    const report = await campaign.run()
    this.print(report)
    if (flags.mutant !== undefined) this.log(`mutant ${flags.mutant}: ${caught(report, flags.mutant) ? 'caught' : 'not caught'}`)
    process.exitCode = exitCodeOf(report)
    // Instances that were killed inside this process leave pending tasks that wait for removed engines and would keep the process alive.
    setTimeout(() => process.exit(), EXIT_DELAY_MILLISECONDS).unref()
    return report
  }

  private print (report: CampaignReport): void {
    for (const { seed, promise, message } of report.violations) this.log(`seed ${seed}: ${promise}: ${message}`)
    for (const { seed, reason } of report.failed) this.log(`seed ${seed}: no history: ${reason}`)
    this.log(`${report.histories} histories, ${report.requests} requests, ${report.violations.length} violations, ${report.seconds} s`)
  }
}

function exitCodeOf (report: CampaignReport): number {
  if (report.violations.length > 0) return 1
  return report.failed.length > 0 ? 3 : 0
}

/** A mutant counts as caught only if the check of the promise that it breaks reports a violation. */
function caught (report: CampaignReport, mutant: string): boolean {
  return report.violations.some(({ promise }) => promise === promiseBrokenBy(mutant))
}

function keep (folder: string, { seed, events }: FinishedRun): void {
  mkdirSync(folder, { recursive: true })
  writeFileSync(join(folder, `history-${seed}.jsonl`), events.map((event) => `${JSON.stringify(event)}\n`).join(''))
}
