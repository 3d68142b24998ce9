/** Looks up which instances own the endpoints of other (remote) data centres, in the ownership objects that are read from the store on demand. */
import type { Clock, DataCentreId, EndpointId, ObjectStore } from '@limpetwinch/core'
import { isNewer, ownershipPath, parseOwnership } from './ownership-object.js'
import type { OwnershipObject } from './ownership-object.js'
import type { OwnershipRecord } from './ownership.js'

/** Minimum interval between reads of the ownership object of one data centre. */
const READ_INTERVAL_MILLISECONDS = 10_000

/**
 * Ownership objects of other data centres. A lookup reads an object again when its last read is ten seconds old, so a
 * record may be stale. An instance that no longer owns an endpoint refuses requests for that endpoint with `not-owner`.
 */
export class RemoteOwnership {
  private readonly store: ObjectStore
  private readonly clock: Clock
  private readonly objects = new Map<DataCentreId, OwnershipObject>()
  private readonly readAt = new Map<DataCentreId, number>()

  /**
   * @param store - holds the ownership objects
   * @param clock - measures the interval between reads
   */
  constructor (store: ObjectStore, clock: Clock) {
    this.store = store
    this.clock = clock
  }

  /** @returns the latest known record; starts a read in the background when the last read is too old */
  recordOf (dataCentre: DataCentreId, endpoint: EndpointId): OwnershipRecord | undefined {
    this.refresh(dataCentre)
    return this.objects.get(dataCentre)?.records.find((record) => record.endpoint === endpoint)
  }

  /** @returns whether the object was newer than the known one and was applied */
  applyIfNewer (object: OwnershipObject): boolean {
    const known = this.objects.get(object.dataCentre)
    if (known !== undefined && !isNewer(object, known)) return false
    this.objects.set(object.dataCentre, object)
    return true
  }

  private refresh (dataCentre: DataCentreId): void {
    const now = this.clock.now()
    if (now - (this.readAt.get(dataCentre) ?? -Infinity) < READ_INTERVAL_MILLISECONDS) return
    this.readAt.set(dataCentre, now)
    this.readOnce(dataCentre)
  }

  private async readOnce (dataCentre: DataCentreId): Promise<void> {
    const stored = await this.store.get(ownershipPath(dataCentre))
    // During an outage of the store the last known state stays in use; an instance that is not the owner refuses requests.
    const object = stored.isOk() ? parseOwnership(stored.value?.value) : undefined
    if (object !== undefined) this.applyIfNewer(object)
  }
}
