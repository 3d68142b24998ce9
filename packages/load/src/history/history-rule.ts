/** Base class of the rules, each of which checks one promise over a history. */
import type { Recorded } from './events.js'
import type { History } from './history.js'

/** One place in a history where a promise is broken. */
export interface Violation {
  /** Name of the broken promise. */
  readonly promise: string
  /** One sentence that says what was observed and how this contradicts the promise. */
  readonly message: string
  /** The events that show the violation, in order of time. */
  readonly events: readonly Recorded[]
}

/** The check of one promise. */
export abstract class HistoryRule {
  /** Name of the promise, in kebab case. */
  abstract readonly promise: string

  /**
   * Checks a history.
   *
   * @param history - a complete history
   * @returns one violation for each place where the promise is broken
   */
  abstract check (history: History): Violation[]

  /** @returns a violation of this promise; the events are sorted by time and each is named once */
  protected violation (message: string, events: readonly Recorded[]): Violation {
    const inOrder = [...new Set(events)].sort((left, right) => left.at - right.at || left.line - right.line)
    return { promise: this.promise, message, events: inOrder }
  }
}
