/** The platform's object API: versions, conditional updates and watches. */
import type { ResultAsync } from 'neverthrow'
import type { LimpetwinchError } from '../errors/limpetwinch-error.js'

/** An object as the platform holds it. */
export interface StoredObject {
  readonly path: string
  /** The object's own version; it grows with every write. */
  readonly version: number
  readonly value: unknown
  /** True in a watch step for an object that is no longer there; `value` is its last state then. */
  readonly removed?: boolean
}

/** One step of a watch. */
export interface WatchStep {
  /** Hand this to the next call to go on from here. */
  readonly cursor: number
  /** Objects that changed since the cursor handed in, each at its newest version. */
  readonly changes: readonly StoredObject[]
}

/** A write that takes effect only on the version it names; 0 stands for "must not exist". */
export interface ConditionalWrite {
  readonly path: string
  readonly ifVersion: number
  readonly value: unknown
}

/**
 * The platform's object API. Each call counts against its rate, a waiting watch as one.
 *
 * Errors: `store-unavailable` (nothing happened), `history-lost` (a watch cannot go on from its cursor; list again), `store-answer-lost` (a write may have taken effect),
 * `version-conflict` with `details.version` and `details.value` (the object's present state).
 */
export abstract class ObjectStore {
  /** @returns the object, or undefined when there is none */
  abstract get (path: string): ResultAsync<StoredObject | undefined, LimpetwinchError>

  /** @returns all objects whose path starts with the prefix, and a cursor to watch on from */
  abstract list (prefix: string): ResultAsync<{ objects: readonly StoredObject[], cursor: number }, LimpetwinchError>

  /** @returns the object's new version */
  abstract put (write: ConditionalWrite): ResultAsync<number, LimpetwinchError>

  /**
   * Waits for changes.
   *
   * @param prefix - which paths
   * @param cursor - from the last list or step
   * @param waitMilliseconds - how long the platform may hold the call
   * @param signal - gives the call up
   * @returns the next step; it may be empty
   */
  abstract watch (prefix: string, cursor: number, waitMilliseconds: number, signal?: AbortSignal): ResultAsync<WatchStep, LimpetwinchError>
}

/** An {@link ObjectStore} whose objects can be deleted, so that what an instance left behind can be cleaned up. */
export abstract class DeletingObjectStore extends ObjectStore {
  /**
   * Deletes an object.
   *
   * @param path - which
   * @param ifVersion - only while it is at this version
   */
  abstract remove (path: string, ifVersion: number): ResultAsync<void, LimpetwinchError>
}
