/** Which instance owns which endpoint. */
import type { EndpointId, FencingToken, InstanceId } from '@limpetwinch/core'

/** One line of the ownership object. */
export interface OwnershipRecord {
  readonly endpoint: EndpointId
  readonly owner: InstanceId
  readonly token: FencingToken
  /** The token handed over from, when the change was clean: names and pins under it pass on. */
  readonly handedOverFrom: FencingToken | undefined
}

/** What this instance may do with an endpoint that it owns. */
export interface OwnerRights {
  /** Whether it may order loads into free slots and admit requests. */
  readonly mayAdmit: boolean
  /** Whether it may order an unload: all earlier pins are known or ended, and its ownership is confirmed. */
  readonly mayEvict: boolean
}

/** The owners of a data centre's endpoints. */
export abstract class Ownership {
  /** @returns the newest record seen, or undefined when there is none yet */
  abstract recordOf (endpoint: EndpointId): OwnershipRecord | undefined

  /** @returns the records of this instance */
  abstract owned (): readonly OwnershipRecord[]

  /** @returns what may be done at this moment under a record */
  abstract rights (record: OwnershipRecord): OwnerRights

  /** Calls the listener after each change of a record. */
  abstract onChange (listener: () => void): void
}
