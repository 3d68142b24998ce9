/** A promise as a check over a history. */
import type { Recorded } from './events.js'
import type { History } from './history.js'

/** A promise that a history breaks. */
export interface Violation {
  /** Name of the rule. */
  readonly promise: string
  /** One sentence: what was seen and what the promise asks. */
  readonly message: string
  /** The events that show it, in order. */
  readonly events: readonly Recorded[]
}

/** One promise. */
export abstract class HistoryRule {
  /** Short name of the promise, in kebab case. */
  abstract readonly promise: string

  /**
   * Checks a history.
   *
   * @param history - a whole history
   * @returns each place where the promise is broken
   */
  abstract check (history: History): Violation[]

  /** @returns a violation of this promise */
  protected violation (message: string, events: readonly Recorded[]): Violation {
    const inOrder = [...new Set(events)].sort((left, right) => left.at - right.at || left.line - right.line)
    return { promise: this.promise, message, events: inOrder }
  }
}
