/** Command `limpetwinch-load run`. */
import { Command, Flags } from '@oclif/core'
import { LoadMetrics } from '../driving/load-metrics.js'
import type { MetricsSummary } from '../driving/load-metrics.js'
import { runOpenLoop } from '../driving/open-loop.js'
import { RequestDriver } from '../driving/request-driver.js'
import { HistoryFileWriter } from '../history/index.js'
import { EntryTarget } from '../targets/entry-target.js'
import { drawTrace, readTrace } from '../trace/trace.js'
import type { TraceLine } from '../trace/trace.js'

/** Sends open-loop load to entry instances and reports the metrics. */
export default class Run extends Command {
  static override description = 'Send open-loop load to entry instances, from a trace file or drawn from a seed; exits 1 when the outcome of a request is unknown.'
  static override enableJsonFlag = true
  static override examples = [
    '<%= config.bin %> run --entry http://127.0.0.1:8080 --key KEY --model athletics/justification@2 --rate 50 --seconds 10',
    '<%= config.bin %> run --entry http://127.0.0.1:8080 --key athletics=KEY --trace trace.jsonl --history history.jsonl --json'
  ]

  static override flags = {
    entry: Flags.string({ required: true, multiple: true, description: 'caller URL of an instance; several URLs are used in turn' }),
    key: Flags.string({ required: true, multiple: true, description: "'team=KEY' for one team, or a key for all other teams" }),
    trace: Flags.string({ description: 'trace file of JSON lines: at_ms, team, adapter, version, class, prompt_tokens, output_tokens, idempotent' }),
    seed: Flags.integer({ default: 1, description: 'seed of the drawn trace; the same seed draws the same trace' }),
    model: Flags.string({ multiple: true, default: [], description: 'team/adapter[@version], the most popular first' }),
    skew: Flags.string({ default: '1', description: 'popularity at rank r is 1 / r ** skew' }),
    rate: Flags.integer({ default: 10, min: 1, description: 'requests per second' }),
    seconds: Flags.integer({ default: 10, min: 1, description: 'duration of the load in seconds' }),
    'prompt-tokens': Flags.integer({ default: 64, min: 1, description: 'tokens of each prompt' }),
    'output-tokens': Flags.integer({ default: 16, min: 1, description: 'tokens of each answer' }),
    'once-percent': Flags.integer({ default: 0, min: 0, max: 100, description: 'percentage of requests that may run at most once' }),
    class: Flags.string({ default: 'normal', description: 'priority class' }),
    history: Flags.string({ description: 'file to which the history is written as JSON lines' })
  }

  override async run (): Promise<MetricsSummary> {
    const { flags } = await this.parse(Run)
    const trace = flags.trace === undefined ? this.draw(flags) : await this.read(flags.trace)
    const keyOf = keysFrom(flags.key)
    const targets = flags.entry.map((url) => new EntryTarget(url, keyOf))
    const writer = flags.history === undefined ? undefined : new HistoryFileWriter(flags.history)
    const measures = new LoadMetrics()
    await runOpenLoop(trace, targets, new RequestDriver(measures, writer === undefined ? undefined : (event) => writer.write(event)))
    await Promise.all(targets.map((target) => target.close()))
    await writer?.close()
    const summary = measures.summary()
    this.print(summary)
    if ((summary.outcomes.unknown ?? 0) > 0) process.exitCode = 1
    return summary
  }

  private async read (file: string): Promise<TraceLine[]> {
    return (await readTrace(file)).match((trace) => trace, (problem) => this.error(problem, { exit: 2 }))
  }

  private draw (flags: { seed: number, rate: number, seconds: number, model: string[], skew: string, 'prompt-tokens': number, 'output-tokens': number, 'once-percent': number, class: string }): TraceLine[] {
    if (flags.model.length === 0) this.error('Give --trace FILE, or at least one --model team/adapter.', { exit: 2 })
    const skew = Number(flags.skew)
    if (!Number.isFinite(skew) || skew < 0) this.error('--skew: give a number of at least 0.', { exit: 2 })
    return drawTrace({
      seed: flags.seed,
      requestsPerSecond: flags.rate,
      seconds: flags.seconds,
      models: flags.model,
      skew,
      promptTokens: flags['prompt-tokens'],
      outputTokens: flags['output-tokens'],
      onceShare: flags['once-percent'] / 100,
      priorityClass: flags.class
    })
  }

  private print (summary: MetricsSummary): void {
    this.log(`${summary.requests} requests, ${summary.tokens} tokens, outcomes ${JSON.stringify(summary.outcomes)} ${JSON.stringify(summary.codes)}`)
    for (const name of ['lateness', 'firstToken', 'betweenTokens', 'whole'] as const) {
      const { p50, p95, p99, maximum } = summary[name]
      this.log(`${name.padEnd(14)} p50 ${p50.toFixed(2)} ms, p95 ${p95.toFixed(2)} ms, p99 ${p99.toFixed(2)} ms, maximum ${maximum.toFixed(2)} ms`)
    }
  }
}

/** @returns a function that returns the key of a team: its own key, or else the key given without a team */
function keysFrom (texts: readonly string[]): (team: string) => string {
  const pairs = texts.map((text) => text.includes('=') ? [text.slice(0, text.indexOf('=')), text.slice(text.indexOf('=') + 1)] : ['', text])
  const keys = new Map(pairs as [string, string][])
  return (team) => keys.get(team) ?? keys.get('') ?? ''
}
