/** Command `limpetwinch-load bench policy`. */
import { mkdirSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { Command, Flags } from '@oclif/core'
import { POLICIES_UNDER_TEST } from '../../policy/policies/policies-under-test.js'
import { DEFAULT_TRACE_SECONDS, DEFAULT_DEPLOYMENT_SIZE, generateTraces, runPolicy } from '../../policy/policy-experiment.js'
import { clairvoyantReferenceOf } from '../../policy/results/clairvoyant.js'
import type { ClairvoyantReference } from '../../policy/results/clairvoyant.js'
import { markdownOf } from '../../policy/results/markdown.js'
import { sharePlot, stallPlot } from '../../policy/results/policy-plots.js'
import type { RunReport } from '../../policy/results/run-report.js'
import { readTraceFile } from '../../policy/traces/trace-file.js'
import type { Trace } from '../../policy/traces/trace.js'

/** Document that `bench policy --json` prints. */
export interface PolicyBenchDocument {
  readonly bench: 'policy'
  readonly seed: number
  readonly runs: readonly RunReport[]
  /** The clairvoyant reference of each trace, when it was requested. */
  readonly optima?: Readonly<Record<string, ClairvoyantReference>>
}

/** Replays traces on simulated engines with the product's decision classes and with baselines. */
export default class BenchPolicy extends Command {
  static override description = 'Measure the decision policies: replay traces on simulated engines with a simulated clock.'
  static override enableJsonFlag = true
  static override flags = {
    seed: Flags.integer({ default: 1, description: 'Seed of the generated traces.' }),
    trace: Flags.string({ description: 'Replay this file of JSON lines instead of the generated traces.' }),
    slots: Flags.integer({ default: DEFAULT_DEPLOYMENT_SIZE.slots, min: 1, description: 'Adapter slots of each engine.' }),
    engines: Flags.integer({ default: DEFAULT_DEPLOYMENT_SIZE.engines, min: 1, description: 'Number of engines.' }),
    'loads-per-second': Flags.string({ default: String(DEFAULT_DEPLOYMENT_SIZE.loadsPerSecond), description: 'Loads per second; loads run one at a time.' }),
    seconds: Flags.integer({ default: DEFAULT_TRACE_SECONDS, min: 1, description: 'Length of the generated traces in seconds.' }),
    optimum: Flags.boolean({ default: false, description: 'Add the clairvoyant reference of each trace.' }),
    markdown: Flags.string({ description: 'Write the page of figures and its plots into this folder.' }),
    policies: Flags.string({ multiple: true, description: 'Run only policies whose name starts with this text; can be repeated.' }),
    traces: Flags.string({ multiple: true, description: 'Run only traces whose name starts with this text; can be repeated.' })
  }

  override async run (): Promise<PolicyBenchDocument> {
    const { flags } = await this.parse(BenchPolicy)
    const size = { engines: flags.engines, slots: flags.slots, loadsPerSecond: Number(flags['loads-per-second']) }
    const runs: RunReport[] = []
    const traces = this.traces(flags.seed, size, flags.seconds, flags.trace)
    for (const trace of traces) {
      if (!matchesAnyPrefix(flags.traces, trace.name)) continue
      for (const policy of POLICIES_UNDER_TEST) {
        if (!matchesAnyPrefix(flags.policies, policy.name)) continue
        const report = runPolicy(trace, policy)
        runs.push(report)
        this.log(line(report))
      }
    }
    if (flags.markdown !== undefined) this.writePage(flags.markdown, flags.seed, traces, runs)
    const document = { bench: 'policy', seed: flags.seed, runs } as const
    if (!flags.optimum) return document
    return { ...document, optima: Object.fromEntries(traces.map((trace) => [trace.name, clairvoyantReferenceOf(trace)])) }
  }

  private writePage (folder: string, seed: number, traces: readonly Trace[], runs: readonly RunReport[]): void {
    const optima = new Map(traces.map((trace) => [trace.name, clairvoyantReferenceOf(trace)]))
    const command = `npm run bench -- policy --seed ${seed} --markdown docs/measurements`
    mkdirSync(folder, { recursive: true })
    writeFileSync(join(folder, 'policy.md'), markdownOf({ seed, command, runs, optima }))
    const [panel, , crowd] = traces
    if (panel !== undefined) writeFileSync(join(folder, 'policy-stalls.svg'), stallPlot(panel))
    if (crowd !== undefined) writeFileSync(join(folder, 'policy-shares.svg'), sharePlot(crowd))
  }

  private traces (seed: number, size: Trace['size'], seconds: number, file: string | undefined): Trace[] {
    if (file === undefined) return generateTraces(seed, size, seconds)
    const trace = readTraceFile(file, size)
    return [trace.match((parsed) => parsed, (failure) => this.error(failure.message, { exit: 2 }))]
  }
}

function matchesAnyPrefix (prefixes: readonly string[] | undefined, name: string): boolean {
  return prefixes === undefined || prefixes.some((prefix) => name.startsWith(prefix))
}

function line (report: RunReport): string {
  const { load_stall_ms: stall, first_token_ms: first, fairness } = report
  return [
    report.trace.padEnd(18),
    report.policy.padEnd(27),
    `stall ${stall.p50}/${stall.p95}/${stall.p99}/${stall.max}`.padEnd(40),
    `first ${first.p50}/${first.p95}/${first.p99}`.padEnd(34),
    `batch ${report.batch_efficiency}/${report.batch_efficiency_while_waiting}`.padEnd(22),
    `loads ${report.loads} refused ${report.refused} completed ${report.completed} left ${report.waiting_at_end}`.padEnd(52),
    `share ${fairness.worst_share_ratio} flood ${fairness.worst_first_token_ratio ?? '-'}`
  ].join(' ')
}
