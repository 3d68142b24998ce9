/** How a relayed request ended, for logs and metrics. */
import type { LimpetwinchError } from '@limpetwinch/core'

/** One request's end. */
export interface RelayOutcome {
  readonly outcome: 'answered' | 'refused' | 'cut' | 'caller-left'
  readonly status?: number
  readonly error?: LimpetwinchError
  /** Endpoints that it was sent to. */
  readonly tries: number
  /** To the first event of a stream, milliseconds. */
  readonly firstEventMilliseconds?: number | undefined
  /** Of these, waiting for a load. */
  readonly loadStallMilliseconds?: number | undefined
  /** Between two events of a stream. */
  readonly longestGapMilliseconds?: number | undefined
}
