/** All that is known of one instance, and the state that follows from it. */
import type { DataCentreId, HeartbeatFrame, InstanceId } from '@limpetwinch/core'
import type { EndEvidence } from '../peers/peer-links.js'
import type { Member, MemberState } from './membership.js'

/** What the platform's list said of an instance at the last read. */
export type Listing = 'live' | 'leaving' | 'absent' | 'never'

/** What the state of a member is judged by. */
export interface Judgement {
  /** Monotonic time, milliseconds. */
  readonly now: number
  /** When the member was last heard, or undefined. */
  readonly lastHeard: number | undefined
  /** Whether a connection to it is kept, so that silence says something. */
  readonly kept: boolean
  /** Whether this process has just woken from a pause, so that what peers sent may still be unread. */
  readonly justWoken: boolean
  readonly suspectAfterMilliseconds: number
  readonly unlistedGoneMilliseconds: number
}

/** One instance as known here. */
export class MemberEntry {
  readonly instance: InstanceId
  readonly dataCentre: DataCentreId
  address: string
  listing: Listing = 'never'
  heartbeat: HeartbeatFrame | undefined
  saidGoodbye = false
  /** Why it is taken to have ended before its silence has lasted long. */
  evidence: EndEvidence | undefined
  /** When the read of the list began that first lacked it, after it had been listed. */
  absentSince: number | undefined
  state: MemberState = 'suspect'
  private suspectSince: number | undefined
  private readonly firstSeen: number

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
    this.firstSeen = now
  }

  /** Takes up one read of the platform's list. */
  listed (listing: 'live' | 'leaving' | undefined, readBegan: number): void {
    if (listing !== undefined) {
      this.listing = listing
      this.absentSince = undefined
      return
    }
    // The list lags: an instance that has never been on it may be too new for it, not ended.
    if (this.listing === 'never') return
    this.listing = 'absent'
    this.absentSince = Math.max(this.absentSince ?? readBegan, readBegan)
  }

  /** @returns whether the state changed */
  judge (judgement: Judgement): boolean {
    const before = this.state
    this.state = this.stateBy(judgement)
    return this.state !== before
  }

  /** @returns what other parts see */
  view (): Member {
    return {
      instance: this.instance,
      dataCentre: this.dataCentre,
      address: this.address,
      state: this.state,
      storeReachable: this.heartbeat?.storeReachable ?? true
    }
  }

  private stateBy (judgement: Judgement): MemberState {
    if (this.saidGoodbye) return 'gone'
    // A member that has just been listed has not had time to connect; taking it for silent would let a new instance
    // take over the endpoints of all others.
    const heardInTime = judgement.now - (judgement.lastHeard ?? this.firstSeen) <= judgement.suspectAfterMilliseconds
    const heard = heardInTime || (judgement.justWoken && (this.state === 'alive' || this.state === 'leaving'))
    if (heard && this.evidence === undefined) {
      this.suspectSince = undefined
      return this.leaving() ? 'leaving' : 'alive'
    }
    this.suspectSince ??= judgement.now
    if (this.endedByList(judgement)) return 'gone'
    // Without a connection of one's own, silence says nothing and the list is all there is.
    if (!judgement.kept && judgement.lastHeard === undefined) return this.leaving() ? 'leaving' : 'alive'
    return 'suspect'
  }

  private leaving (): boolean {
    return this.listing === 'leaving' || this.heartbeat?.leaving === true
  }

  /** Absent from a list that was read after the silence began, so that the list is no older than the silence. */
  private endedByList (judgement: Judgement): boolean {
    const silentFrom = this.suspectSince ?? judgement.now
    if (this.absentSince !== undefined) return this.absentSince >= silentFrom || !judgement.kept
    return this.listing === 'never' && judgement.now - Math.max(this.firstSeen, judgement.lastHeard ?? 0) > judgement.unlistedGoneMilliseconds
  }
}
