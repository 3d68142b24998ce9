/** The abstract client of the platform's object API, with versions, conditional updates and watches. */
import type { ResultAsync } from 'neverthrow'
import type { LimpetwinchError } from '../errors/limpetwinch-error.js'

/** An object in the store. */
export interface StoredObject {
  readonly path: string
  /** The version of this object, which increases with every write. */
  readonly version: number
  readonly value: unknown
  /** True in a watch step for an object that no longer exists; `value` is then its last state. */
  readonly removed?: boolean
}

/** The result of one watch call. */
export interface WatchStep {
  /** The cursor for the next call, which continues after these changes. */
  readonly cursor: number
  /** Objects that changed since the cursor of the call, each at its latest version. */
  readonly changes: readonly StoredObject[]
}

/** A write that takes effect only if the object is at the version `ifVersion`. The version 0 means that the object must not exist. */
export interface ConditionalWrite {
  readonly path: string
  readonly ifVersion: number
  readonly value: unknown
}

/**
 * The platform's object API. Each call counts against the rate limit of the API; a waiting watch counts as one call.
 *
 * Errors: `store-unavailable` (nothing happened), `history-lost` (a watch cannot continue from its cursor; list again),
 * `store-answer-lost` (a write may have taken effect), `version-conflict` with `details.version` and `details.value` (the
 * object's current state).
 */
export abstract class ObjectStore {
  /** @returns the object, or undefined if it does not exist */
  abstract get (path: string): ResultAsync<StoredObject | undefined, LimpetwinchError>

  /** @returns all objects whose path starts with the prefix, and a cursor from which to watch for changes */
  abstract list (prefix: string): ResultAsync<{ objects: readonly StoredObject[], cursor: number }, LimpetwinchError>

  /** @returns the new version of the object */
  abstract put (write: ConditionalWrite): ResultAsync<number, LimpetwinchError>

  /**
   * Waits for changes of objects.
   *
   * @param prefix - prefix of the paths to watch
   * @param cursor - the cursor of the last list or watch call
   * @param waitMilliseconds - how long the platform may hold the call while nothing changes
   * @param signal - cancels the call
   * @returns the next step, which may contain no changes
   */
  abstract watch (prefix: string, cursor: number, waitMilliseconds: number, signal?: AbortSignal): ResultAsync<WatchStep, LimpetwinchError>

  /**
   * Sends further calls on new connections, since those that are open may have fallen silent. Calls that are under way end on theirs.
   * Does nothing in a store without connections.
   */
  renewConnections (): void {}
}

/** An {@link ObjectStore} whose objects can be deleted, so that objects left behind by an instance can be cleaned up. */
export abstract class DeletingObjectStore extends ObjectStore {
  /**
   * Deletes an object.
   *
   * @param path - path of the object
   * @param ifVersion - the object is deleted only if it is at this version
   */
  abstract remove (path: string, ifVersion: number): ResultAsync<void, LimpetwinchError>
}
