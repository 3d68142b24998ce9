/** What the table of errors says of each error. */

/** Whether an endpoint may have run the request: `not_run` means that the request provably did not run, `unknown` that it may have run. */
export type Outcome = 'not_run' | 'unknown'

/** One row of the table. */
export interface ErrorData {
  /** A short sentence for lists and pages. */
  readonly title: string
  /** The HTTP status that callers and operators receive. */
  readonly status: number
  /** The outcome reported to callers, unless the code that raises the error sets another one. */
  readonly outcome: Outcome
  /** Builds the message, which names the remedy. */
  readonly message: (details: Record<string, unknown>) => string
  /** Where to find more information. */
  readonly hint?: string
}
