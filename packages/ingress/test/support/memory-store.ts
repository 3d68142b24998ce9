/** An in-memory object store for a test. */
import { DeletingObjectStore, LimpetwinchError } from '@limpetwinch/core'
import type { ConditionalWrite, StoredObject, WatchStep } from '@limpetwinch/core'
import { errAsync, okAsync } from 'neverthrow'
import type { ResultAsync } from 'neverthrow'

/** Object store in memory. While `isDown` is set, all writes fail. */
export class MemoryStore extends DeletingObjectStore {
  readonly objects = new Map<string, StoredObject>()
  isDown = false
  writes = 0

  override get (path: string): ResultAsync<StoredObject | undefined, LimpetwinchError> {
    return okAsync(this.objects.get(path))
  }

  override list (): ResultAsync<{ objects: readonly StoredObject[], cursor: number }, LimpetwinchError> {
    return okAsync({ objects: [...this.objects.values()], cursor: this.writes })
  }

  override put ({ path, ifVersion, value }: ConditionalWrite): ResultAsync<number, LimpetwinchError> {
    if (this.isDown) return errAsync(new LimpetwinchError('store-unavailable', { reason: 'down' }))
    if ((this.objects.get(path)?.version ?? 0) !== ifVersion) return errAsync(new LimpetwinchError('version-conflict', { path }))
    this.writes += 1
    this.objects.set(path, { path, version: this.writes, value })
    return okAsync(this.writes)
  }

  override watch (): ResultAsync<WatchStep, LimpetwinchError> {
    return okAsync({ cursor: this.writes, changes: [] })
  }

  override remove (path: string): ResultAsync<void, LimpetwinchError> {
    this.objects.delete(path)
    return okAsync(undefined)
  }
}
