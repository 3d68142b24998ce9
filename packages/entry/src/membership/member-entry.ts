/** All that is known of one instance, and the state that follows from it. */
import type { DataCentreId, HeartbeatFrame, InstanceId } from '@limpetwinch/core'
import type { EndEvidence } from '../peers/peer-links.js'
import type { Member, MemberState } from './membership.js'

/** What the platform's list said of an instance at the last read. */
export type ListStatus = 'live' | 'leaving' | 'absent' | 'never'

/** What the state of a member is judged by. */
export interface MemberObservation {
  /** Monotonic time, milliseconds. */
  readonly now: number
  /** When the member was last heard, or undefined. */
  readonly lastContactAt: number | undefined
  /** Whether a connection to it is kept, so that silence says something. */
  readonly kept: boolean
  /** Whether this process has just woken from a pause, so that what peers sent may still be unread. */
  readonly justResumed: boolean
  readonly suspectAfterMilliseconds: number
  readonly unlistedTimeoutMilliseconds: number
}

/** One instance as known here. */
export class MemberEntry {
  readonly instance: InstanceId
  readonly dataCentre: DataCentreId
  address: string
  listStatus: ListStatus = 'never'
  heartbeat: HeartbeatFrame | undefined
  goodbyeReceived = false
  /** Why it is taken to have ended before its silence has lasted long. */
  endEvidence: EndEvidence | undefined
  /** When the read of the list began that first lacked it, after it had been listed. */
  absentSince: number | undefined
  state: MemberState = 'suspect'
  private suspectSince: number | undefined
  private readonly firstSeenAt: number

  /**
   * @param instance - its id
   * @param dataCentre - where it is
   * @param address - `host:port`
   * @param now - monotonic time
   */
  constructor (instance: InstanceId, dataCentre: DataCentreId, address: string, now: number) {
    this.instance = instance
    this.dataCentre = dataCentre
    this.address = address
    this.firstSeenAt = now
  }

  /** Takes up one read of the platform's list. */
  applyListRead (listStatus: 'live' | 'leaving' | undefined, readBegan: number): void {
    if (listStatus !== undefined) {
      this.listStatus = listStatus
      this.absentSince = undefined
      return
    }
    // The list lags: an instance that has never been on it may be too new for it, not ended.
    if (this.listStatus === 'never') return
    this.listStatus = 'absent'
    this.absentSince = Math.max(this.absentSince ?? readBegan, readBegan)
  }

  /** @returns whether the state changed */
  updateState (judgement: MemberObservation): boolean {
    const before = this.state
    this.state = this.stateFrom(judgement)
    return this.state !== before
  }

  /** @returns what other parts see */
  toMember (): Member {
    return {
      instance: this.instance,
      dataCentre: this.dataCentre,
      address: this.address,
      state: this.state,
      storeReachable: this.heartbeat?.storeReachable ?? true
    }
  }

  private stateFrom (judgement: MemberObservation): MemberState {
    if (this.goodbyeReceived) return 'gone'
    // A member that has just been listed has not had time to connect; taking it for silent would let a new instance
    // take over the endpoints of all others.
    const heardInTime = judgement.now - (judgement.lastContactAt ?? this.firstSeenAt) <= judgement.suspectAfterMilliseconds
    const heard = heardInTime || (judgement.justResumed && (this.state === 'alive' || this.state === 'leaving'))
    if (heard && this.endEvidence === undefined) {
      this.suspectSince = undefined
      return this.leaving() ? 'leaving' : 'alive'
    }
    this.suspectSince ??= judgement.now
    if (this.endedByList(judgement)) return 'gone'
    // Without a connection of one's own, silence says nothing and the list is all there is.
    if (!judgement.kept && judgement.lastContactAt === undefined) return this.leaving() ? 'leaving' : 'alive'
    return 'suspect'
  }

  private leaving (): boolean {
    return this.listStatus === 'leaving' || this.heartbeat?.leaving === true
  }

  /** Absent from a list that was read after the silence began, so that the list is no older than the silence. */
  private endedByList (judgement: MemberObservation): boolean {
    const silentFrom = this.suspectSince ?? judgement.now
    if (this.absentSince !== undefined) return this.absentSince >= silentFrom || !judgement.kept
    return this.listStatus === 'never' && judgement.now - Math.max(this.firstSeenAt, judgement.lastContactAt ?? 0) > judgement.unlistedTimeoutMilliseconds
  }
}
