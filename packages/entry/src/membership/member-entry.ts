/** What this instance knows of one other instance, and the membership state derived from it. */
import type { DataCentreId, HeartbeatFrame, InstanceId } from '@limpetwinch/core'
import type { EndEvidence } from '../peers/peer-links.js'
import type { Member, MemberState } from './membership.js'

/** Status of an instance in the last read of the platform's list; `never` when no list has named the instance yet. */
export type ListStatus = 'live' | 'leaving' | 'absent' | 'never'

/** Observations from which the state of a member is derived. */
export interface MemberObservation {
  /** Current monotonic time, in milliseconds. */
  readonly now: number
  /** Monotonic time of the last frame from the member, or undefined when none has arrived. */
  readonly lastContactAt: number | undefined
  /** Whether a connection to the member is kept, so that missing frames are a sign of failure. */
  readonly kept: boolean
  /** Whether this process has just resumed from a pause, so that frames from peers may still be unread. */
  readonly justResumed: boolean
  /** Time without any frame after which the member is suspected. */
  readonly suspectAfterMilliseconds: number
  /** Time without any frame after which a member that the list has never named has ended. */
  readonly unlistedTimeoutMilliseconds: number
}

/** Another instance, with the facts from which its state is derived. */
export class MemberEntry {
  readonly instance: InstanceId
  readonly dataCentre: DataCentreId
  address: string
  listStatus: ListStatus = 'never'
  heartbeat: HeartbeatFrame | undefined
  goodbyeReceived = false
  /** Evidence that the instance has ended; the member then becomes suspected at once, before the suspicion time is over. */
  endEvidence: EndEvidence | undefined
  /**
   * Monotonic time at which the latest read began whose list no longer named the instance; undefined while the list names
   * the instance, and when no list has ever named it.
   */
  lastAbsentReadAt: number | undefined
  state: MemberState = 'suspect'
  private suspectSince: number | undefined
  private readonly firstSeenAt: number

  /**
   * @param instance - id of the instance
   * @param dataCentre - data centre of the instance
   * @param address - `host:port`
   * @param now - current monotonic time, in milliseconds
   */
  constructor (instance: InstanceId, dataCentre: DataCentreId, address: string, now: number) {
    this.instance = instance
    this.dataCentre = dataCentre
    this.address = address
    this.firstSeenAt = now
  }

  /**
   * Applies one read of the platform's list.
   *
   * @param listStatus - status of the instance in the list, undefined when the list does not name it
   * @param readBegan - monotonic time at which the read began
   */
  applyListRead (listStatus: 'live' | 'leaving' | undefined, readBegan: number): void {
    if (listStatus !== undefined) {
      this.listStatus = listStatus
      this.lastAbsentReadAt = undefined
      return
    }
    // The list lags: an instance that no list has named may have started after the list was made, rather than have ended.
    if (this.listStatus === 'never') return
    this.listStatus = 'absent'
    this.lastAbsentReadAt = Math.max(this.lastAbsentReadAt ?? readBegan, readBegan)
  }

  /** Derives the state from new observations. @returns whether the state changed */
  updateState (observation: MemberObservation): boolean {
    const before = this.state
    this.state = this.stateFrom(observation)
    return this.state !== before
  }

  /** @returns the instance as a member, for users of the membership */
  toMember (): Member {
    return {
      instance: this.instance,
      dataCentre: this.dataCentre,
      address: this.address,
      state: this.state,
      storeReachable: this.heartbeat?.storeReachable ?? true
    }
  }

  private stateFrom (observation: MemberObservation): MemberState {
    if (this.goodbyeReceived) return 'gone'
    // A member that has just been listed has not had time to connect; if such a member counted as unresponsive, a new
    // instance would take over the endpoints of all others.
    const inTime = observation.now - (observation.lastContactAt ?? this.firstSeenAt) <= observation.suspectAfterMilliseconds
    const isReachable = inTime || (observation.justResumed && (this.state === 'alive' || this.state === 'leaving'))
    if (isReachable && this.endEvidence === undefined) {
      this.suspectSince = undefined
      return this.isLeaving() ? 'leaving' : 'alive'
    }
    this.suspectSince ??= observation.now
    if (this.endedByList(observation)) return 'gone'
    // Without a connection, missing frames are no sign of failure, and only the list shows the state.
    if (!observation.kept && observation.lastContactAt === undefined) return this.isLeaving() ? 'leaving' : 'alive'
    return 'suspect'
  }

  private isLeaving (): boolean {
    return this.listStatus === 'leaving' || this.heartbeat?.leaving === true
  }

  /**
   * An absence from the list counts for a member with a kept connection only if the list was read after the member became
   * suspected, so that the list is not older than the suspicion.
   *
   * @returns whether the instance has ended: the list no longer names it, or has not named it within the unlisted timeout
   */
  private endedByList (observation: MemberObservation): boolean {
    const suspectSince = this.suspectSince ?? observation.now
    if (this.lastAbsentReadAt !== undefined) return this.lastAbsentReadAt >= suspectSince || !observation.kept
    return this.listStatus === 'never' && observation.now - Math.max(this.firstSeenAt, observation.lastContactAt ?? 0) > observation.unlistedTimeoutMilliseconds
  }
}
