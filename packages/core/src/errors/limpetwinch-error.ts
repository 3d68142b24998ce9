/** The error class of the project; what varies between errors is in the table. */
import { ERRORS } from './errors-data.js'
import type { ErrorName, Outcome } from './errors-data.js'

/** What the place that raises an error may add to its row of the table. */
export interface ErrorOptions {
  /** What is known of the request's work, where the place knows better than the table. */
  readonly outcome?: Outcome
  /** Seconds after which a retry may help. */
  readonly retryAfterSeconds?: number
  /** The error underneath. */
  readonly cause?: unknown
}

/** An error with a stable name, a title, a message that names the remedy, and what is known of the work. */
export class LimpetwinchError extends Error {
  override readonly name = 'LimpetwinchError'
  readonly kind: ErrorName
  readonly details: Readonly<Record<string, unknown>>
  readonly outcome: Outcome
  readonly retryAfterSeconds: number | undefined

  /**
   * @param kind - the error's row in the table
   * @param details - what its message is made of
   * @param options - outcome, time to come back, cause
   */
  constructor (kind: ErrorName, details: Record<string, unknown> = {}, options: ErrorOptions = {}) {
    super(ERRORS[kind].message(details), { cause: options.cause })
    this.kind = kind
    this.details = details
    this.outcome = options.outcome ?? ERRORS[kind].outcome
    this.retryAfterSeconds = options.retryAfterSeconds
  }

  /** Short sentence from the table. */
  get title (): string {
    return ERRORS[this.kind].title
  }

  /** HTTP status from the table. */
  get status (): number {
    return ERRORS[this.kind].status
  }

  /** The stable code that callers see. */
  get code (): string {
    return this.kind.replaceAll('-', '_')
  }
}
