/** The error class of the project. Titles, HTTP statuses and messages of the errors are in the error table in errors-data.ts. */
import { ERRORS } from './errors-data.js'
import type { Outcome } from './error-data.js'
import type { ErrorName } from './errors-data.js'

/** Optional properties of one raised error, in addition to its row of the table. */
export interface ErrorOptions {
  /** Whether the request may have run, if the code that raises the error knows more than the table. */
  readonly outcome?: Outcome
  /** Seconds after which a retry may help. */
  readonly retryAfterSeconds?: number
  /** The underlying error. */
  readonly cause?: unknown
}

/** An error with a stable kind, a title, a message that names the remedy, and an outcome that says whether the request may have run. */
export class LimpetwinchError extends Error {
  override readonly name = 'LimpetwinchError'
  readonly kind: ErrorName
  readonly details: Readonly<Record<string, unknown>>
  readonly outcome: Outcome
  readonly retryAfterSeconds: number | undefined

  /**
   * @param kind - the error's row in the table
   * @param details - the values used in the message
   * @param options - whether the request may have run, seconds until a retry may help, the underlying error
   */
  constructor (kind: ErrorName, details: Record<string, unknown> = {}, options: ErrorOptions = {}) {
    super(ERRORS[kind].message(details), { cause: options.cause })
    this.kind = kind
    this.details = details
    this.outcome = options.outcome ?? ERRORS[kind].outcome
    this.retryAfterSeconds = options.retryAfterSeconds
  }

  /** The title from the table, a short sentence. */
  get title (): string {
    return ERRORS[this.kind].title
  }

  /** The HTTP status from the table. */
  get status (): number {
    return ERRORS[this.kind].status
  }

  /** The stable code that callers receive: the kind with underscores. */
  get code (): string {
    return this.kind.replaceAll('-', '_')
  }
}
