/** Limits on the figures of the policies; each limit leaves a small margin to the figure measured when the limit was set. */

/** Name of a figure of a run that is checked. */
export type CheckedFigure = 'stall p95' | 'stall p99' | 'batch efficiency' | 'batch efficiency while waiting' | 'completed' |
  'first token in a flood' | 'worst share'

/** Limit of one figure of one policy on one trace. */
export interface PolicyBound {
  readonly trace: string
  readonly policy: string
  readonly figure: CheckedFigure
  /** `better baseline` divides the figure by the figure of the better baseline before it is compared. */
  readonly against: 'better baseline' | 'nothing'
  readonly kind: 'at most' | 'at least'
  readonly bound: number
}

/** Length of each checked trace, seconds. Checked traces are shorter than the traces of the table, so their figures differ from the table. */
export const CHECKED_SECONDS: Readonly<Record<string, number>> = {
  'panel sitting': 200,
  'football night': 60,
  'deadline crowd': 90,
  'popularity flip': 200,
  'ten times team': 200,
  'three times slots': 120,
  'cold restarts': 300
}

/** All committed bounds. */
export const POLICY_BOUNDS: readonly PolicyBound[] = [
  bound('panel sitting', 'limpetwinch', 'stall p95', 'better baseline', 'at most', 0.37),
  bound('panel sitting', 'limpetwinch', 'stall p99', 'better baseline', 'at most', 0.395),
  bound('panel sitting', 'limpetwinch', 'completed', 'better baseline', 'at least', 1),
  bound('popularity flip', 'limpetwinch', 'stall p95', 'better baseline', 'at most', 0.78),
  bound('popularity flip', 'limpetwinch', 'stall p99', 'better baseline', 'at most', 0.9),
  bound('popularity flip', 'limpetwinch', 'completed', 'better baseline', 'at least', 1),
  bound('cold restarts', 'limpetwinch', 'stall p95', 'better baseline', 'at most', 0.21),
  bound('cold restarts', 'limpetwinch', 'stall p99', 'better baseline', 'at most', 0.36),
  bound('cold restarts', 'limpetwinch', 'completed', 'better baseline', 'at least', 1),
  bound('three times slots', 'limpetwinch', 'stall p99', 'better baseline', 'at most', 1.14),
  bound('three times slots', 'limpetwinch', 'completed', 'better baseline', 'at least', 0.99),
  bound('football night', 'limpetwinch', 'batch efficiency', 'better baseline', 'at least', 1.37),
  bound('football night', 'limpetwinch', 'batch efficiency while waiting', 'nothing', 'at least', 0.92),
  bound('football night', 'limpetwinch', 'completed', 'better baseline', 'at least', 1.06),
  bound('football night', 'limpetwinch, batches first', 'batch efficiency', 'better baseline', 'at least', 1.46),
  bound('deadline crowd', 'limpetwinch', 'worst share', 'nothing', 'at most', 0.03),
  bound('deadline crowd', 'limpetwinch', 'completed', 'better baseline', 'at least', 1.02),
  bound('ten times team', 'limpetwinch', 'first token in a flood', 'nothing', 'at most', 1.1),
  bound('ten times team', 'limpetwinch', 'completed', 'better baseline', 'at least', 0.97)
]

function bound (trace: string, policy: string, figure: CheckedFigure, against: PolicyBound['against'], kind: PolicyBound['kind'],
  limit: number): PolicyBound {
  return { trace, policy, figure, against, kind, bound: limit }
}
