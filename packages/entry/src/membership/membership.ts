/** Interface to the membership: which entry instances the deployment has, and in what state they are. */
import type { DataCentreId, InstanceId } from '@limpetwinch/core'

/**
 * State of a member. A `suspect` member misses heartbeats or shows signs of its end; a `gone` member has left: the
 * platform no longer lists it, or it sent a goodbye.
 */
export type MemberState = 'alive' | 'suspect' | 'leaving' | 'gone'

/** An entry instance; this instance is a member as well. */
export interface Member {
  readonly instance: InstanceId
  readonly dataCentre: DataCentreId
  readonly address: string
  readonly state: MemberState
  /** Whether the member reached the object store when it sent its last heartbeat. */
  readonly storeReachable: boolean
}

/** The members of the deployment, as far as this instance knows them. */
export abstract class Membership {
  /** @returns all members that have not left, this instance included */
  abstract members (): readonly Member[]

  /** @returns one member, even if it has left, or undefined when the instance is not known */
  abstract member (instance: InstanceId): Member | undefined

  /** @returns endpoints that the platform lists as leaving */
  abstract leavingEndpoints (): ReadonlySet<string>

  /** Calls the listener after each change. */
  abstract onChange (listener: () => void): void
}
