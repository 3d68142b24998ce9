/** How a relayed request ended, for logs and metrics. */
import type { LimpetwinchError } from '@limpetwinch/core'

/** The outcome of one request. */
export interface RelayOutcome {
  readonly outcome: 'answered' | 'refused' | 'cut' | 'caller-left'
  readonly status?: number
  readonly error?: LimpetwinchError
  /** Number of attempts. */
  readonly tries: number
  /** Time from the arrival of the request to the first event of its stream. */
  readonly firstEventMilliseconds?: number | undefined
  /** Time that the request waited for its adapter to be loaded. */
  readonly loadStallMilliseconds?: number | undefined
  /** Longest time between two events of the stream. */
  readonly longestGapMilliseconds?: number | undefined
}
