/** Generates the Markdown page of figures from the reports of the runs. */
import type { ClairvoyantReference } from './clairvoyant.js'
import type { RunReport } from './run-report.js'

/** Content of the page. */
export interface MarkdownPage {
  readonly seed: number
  readonly command: string
  readonly runs: readonly RunReport[]
  readonly optima: ReadonlyMap<string, ClairvoyantReference>
}

const COLUMNS = ['policy', 'stall p50', 'p95', 'p99', 'max', 'first token p50', 'p95', 'p99', 'batch', 'batch while waiting', 'loads',
  'evictions', 'refused', 'completed', 'waiting at end', 'lost', 'worst share', 'flood']

/** @returns the page as Markdown */
export function markdownOf (page: MarkdownPage): string {
  const traces = [...new Set(page.runs.map((run) => run.trace))]
  return [
    '# Decisions under load: measured',
    '',
    `Made by \`${page.command}\` (seed ${page.seed}); do not edit. Times in milliseconds on a fake clock: these are counts of a small`,
    'simulation of queues, slots, steps and loads, not times of real engines. `docs/design/` says what was concluded.',
    '',
    'The clairvoyant reference knows the future, has all slots in one cache, loads ahead, and is limited by nothing but loads;',
    'of four orders of loads the least of each figure is taken. It is no proved bound. Its loads ahead count as loads. *Worst share* is the team farthest from its weighted share',
    'while it was backlogged; *flood* is the largest p95 of the first token of another team, over that without the flood.',
    'Percentiles leave out the first quarter of a trace, in which empty engines fill up; everything else counts all of it.',
    '',
    ...traces.flatMap((trace) => section(trace, page)),
    '![Load stalls on the panel sitting](policy-stalls.svg)',
    '',
    '![Tokens of each team in the deadline crowd](policy-shares.svg)',
    ''
  ].join('\n')
}

function section (trace: string, page: MarkdownPage): string[] {
  const optimum = page.optima.get(trace)
  const rows = page.runs.filter((run) => run.trace === trace).map(row)
  return [`## ${trace}`, '', tableLine(COLUMNS), tableLine(COLUMNS.map(() => '---')), ...rows, ...optimum === undefined ? [] : [optimumRow(optimum)], '']
}

function row (run: RunReport): string {
  const { load_stall_ms: stall, first_token_ms: first, fairness } = run
  return tableLine([run.policy, stall.p50, stall.p95, stall.p99, stall.max, first.p50, first.p95, first.p99, run.batch_efficiency,
    run.batch_efficiency_while_waiting ?? '', run.loads, run.evictions, run.refused, run.completed, run.waiting_at_end, run.lost,
    fairness.worst_share_ratio ?? '', fairness.worst_first_token_ratio ?? ''])
}

function optimumRow (optimum: ClairvoyantReference): string {
  const { p50, p95, p99, max } = optimum.load_stall_ms
  const known = ['*clairvoyant reference*', p50, p95, p99, max, '', '', '', '', '', optimum.loads]
  return tableLine([...known, ...COLUMNS.slice(known.length).map(() => '')])
}

function tableLine (cells: readonly (string | number)[]): string {
  return `| ${cells.join(' | ')} |`
}
