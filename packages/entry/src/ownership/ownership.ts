/** Interface to the ownership of endpoints: which instance owns which endpoint, and what its owner may do. */
import type { EndpointId, FencingToken, InstanceId } from '@limpetwinch/core'

/** The owner of one endpoint, as recorded in the ownership object. */
export interface OwnershipRecord {
  readonly endpoint: EndpointId
  readonly owner: InstanceId
  readonly token: FencingToken
  /** Token of the earlier owner after a planned hand-over, whose loaded names and pins the new owner keeps; otherwise undefined. */
  readonly handedOverFrom: FencingToken | undefined
}

/** Operations that this instance may currently perform on an endpoint that it owns. */
export interface OwnerRights {
  /** Whether it may order loads into free slots and admit requests. */
  readonly mayAdmit: boolean
  /** Whether it may order unloads: each earlier pin is known or has ended, and its ownership is confirmed. */
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
