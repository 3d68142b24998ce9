/** Interface to the ownership of endpoints: which instance owns which endpoint, and what its owner may do. */
import type { EndpointId, FencingToken, InstanceId } from '@limpetwinch/core'

/** The owner of one endpoint, as recorded in the ownership object. */
export interface OwnershipRecord {
  readonly endpoint: EndpointId
  readonly owner: InstanceId
  readonly token: FencingToken
  /**
   * After a planned hand-over, the fencing token of the earlier owner; otherwise undefined. The new owner then keeps the
   * adapters that the earlier owner had loaded, and the pins of the requests that the earlier owner had admitted.
   */
  readonly handedOverFrom: FencingToken | undefined
}

/** Operations that this instance may currently perform on an endpoint that it owns. */
export interface OwnerRights {
  /** Whether this instance may order loads into free slots and admit requests. */
  readonly mayAdmit: boolean
  /**
   * Whether this instance may order unloads: it may admit requests, each request that an earlier owner admitted is known
   * or has ended, and recent evidence shows that no other instance has written a newer ownership state.
   */
  readonly mayEvict: boolean
}

/** The owners of a data centre's endpoints. */
export abstract class Ownership {
  /** @returns the latest known record of an endpoint, or undefined when none is known yet */
  abstract recordOf (endpoint: EndpointId): OwnershipRecord | undefined

  /** @returns the records of the endpoints that this instance owns */
  abstract owned (): readonly OwnershipRecord[]

  /** @returns what this instance may do at this moment under a record */
  abstract rights (record: OwnershipRecord): OwnerRights

  /** Calls the listener after each change of a record. */
  abstract onChange (listener: () => void): void
}
