/** How a relayed request ended, for logs and metrics. */
import type { LimpetwinchError } from '@limpetwinch/core'

/** How one request ended, with the times that are logged for it. `cut` means that a response had begun and was truncated. */
export interface RelayOutcome {
  readonly outcome: 'answered' | 'refused' | 'cut' | 'caller-left'
  readonly status?: number
  readonly error?: LimpetwinchError
  /** Number of attempts. */
  readonly tries: number
  /** Time from the arrival of the request to the first event of its stream; undefined for plain services and when no event arrived. */
  readonly firstEventMilliseconds?: number | undefined
  /** Time that the request waited for an engine that holds its adapter, over all attempts. */
  readonly loadStallMilliseconds?: number | undefined
  /** Longest time between two events of the stream. */
  readonly longestGapMilliseconds?: number | undefined
}
