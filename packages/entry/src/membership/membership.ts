/** Who else is here. */
import type { DataCentreId, InstanceId } from '@limpetwinch/core'

/** What is known of a member: `suspect` misses heartbeats; `gone` is off the platform's list or said goodbye. */
export type MemberState = 'alive' | 'suspect' | 'leaving' | 'gone'

/** An entry instance, this one included. */
export interface Member {
  readonly instance: InstanceId
  readonly dataCentre: DataCentreId
  readonly address: string
  readonly state: MemberState
  /** Whether its last heartbeat said that it reaches the object API. */
  readonly storeReachable: boolean
}

/** The members of the deployment as far as known here. */
export abstract class Membership {
  /** @returns all members that are not gone */
  abstract members (): readonly Member[]

  /** @returns one member, also when it is gone */
  abstract member (instance: InstanceId): Member | undefined

  /** @returns endpoints that the platform lists as leaving */
  abstract leavingEndpoints (): ReadonlySet<string>

  /** Calls the listener after each change. */
  abstract onChange (listener: () => void): void
}
