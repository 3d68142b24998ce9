/** The owners in other data centres, read when they are asked for. */
import type { Clock, DataCentreId, EndpointId, ObjectStore } from '@limpetwinch/core'
import { isNewer, ownershipPath, parseOwnership } from './ownership-object.js'
import type { OwnershipObject } from './ownership-object.js'
import type { OwnershipRecord } from './ownership.js'

const READ_INTERVAL_MILLISECONDS = 10_000

/** Objects of other data centres; stale by up to ten seconds, which the owner asked answers with `not-owner`. */
export class RemoteOwnership {
  private readonly store: ObjectStore
  private readonly clock: Clock
  private readonly objects = new Map<DataCentreId, OwnershipObject>()
  private readonly readAt = new Map<DataCentreId, number>()

  /**
   * @param store - where the objects are
   * @param clock - spaces the reads
   */
  constructor (store: ObjectStore, clock: Clock) {
    this.store = store
    this.clock = clock
  }

  /** @returns the newest record known; a use starts a read when the last one is old */
  recordOf (dataCentre: DataCentreId, endpoint: EndpointId): OwnershipRecord | undefined {
    this.refresh(dataCentre)
    return this.objects.get(dataCentre)?.records.find((record) => record.endpoint === endpoint)
  }

  /** @returns whether an object that a peer passed on was newer */
  applyIfNewer (object: OwnershipObject): boolean {
    const present = this.objects.get(object.dataCentre)
    if (present !== undefined && !isNewer(object, present)) return false
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
    // Through an outage the last state stays; its owners answer for themselves.
    const object = stored.isOk() ? parseOwnership(stored.value?.value) : undefined
    if (object !== undefined) this.applyIfNewer(object)
  }
}
