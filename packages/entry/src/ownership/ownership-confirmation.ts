/** Proof that the ownership state known to this instance was still the latest one a moment ago. */
import type { Clock, InstanceId } from '@limpetwinch/core'
import type { ClockReading } from './ownership-writer.js'

interface PeerSequence {
  readonly sequence: number
  /** The peer announced the sequence after this time on this instance's clocks. */
  readonly statedAfter: ClockReading
}

/** Collects evidence, from the store and from peers, that no other instance has written a newer ownership state. */
export class OwnershipConfirmation {
  private readonly clock: Clock
  private readonly validMilliseconds: number
  private readonly peerSequences = new Map<InstanceId, PeerSequence>()
  private storeConfirmedAt: ClockReading | undefined

  /**
   * @param clock - measures the age of the evidence
   * @param validMilliseconds - how long evidence stays valid
   */
  constructor (clock: Clock, validMilliseconds: number) {
    this.clock = clock
    this.validMilliseconds = validMilliseconds
  }

  /** Records that the store held no newer state at the given time. */
  confirmByStore (reading: ClockReading): void {
    this.storeConfirmedAt = reading
  }

  /** Records the highest sequence that a peer knew or was writing at some time after `statedAfter`. */
  recordPeerSequence (instance: InstanceId, sequence: number, statedAfter: ClockReading): void {
    this.peerSequences.set(instance, { sequence, statedAfter })
  }

  /** @returns whether a recent read or write of the store showed no newer state */
  isConfirmedByStore (): boolean {
    return this.isRecent(this.storeConfirmedAt)
  }

  /**
   * @param sequence - sequence of the latest state known to this instance
   * @param others - all other instances that could have written a newer state
   * @returns whether the store or the peers prove that no newer state existed
   */
  holds (sequence: number, others: readonly InstanceId[]): boolean {
    return this.isConfirmedByStore() || this.isConfirmedByPeers(sequence, others)
  }

  /** @returns whether each of the other instances has recently announced that it knows no newer state */
  isConfirmedByPeers (sequence: number, others: readonly InstanceId[]): boolean {
    return others.every((instance) => {
      const announced = this.peerSequences.get(instance)
      return announced !== undefined && announced.sequence <= sequence && this.isRecent(announced.statedAfter)
    })
  }

  /** Removes the sequences announced by instances that are not in the set, because these instances have left. */
  keepOnly (instances: ReadonlySet<InstanceId>): void {
    for (const instance of this.peerSequences.keys()) {
      if (!instances.has(instance)) this.peerSequences.delete(instance)
    }
  }

  /**
   * Both clocks must show that the evidence is recent: the monotonic clock stops while a virtual machine is suspended,
   * and the wall clock may be set back. A pause of any kind therefore invalidates all evidence at once.
   */
  private isRecent (reading: ClockReading | undefined): boolean {
    if (reading === undefined) return false
    const monotonicAge = this.clock.now() - reading.monotonic
    const wallAge = Math.abs(this.clock.wallTime() - reading.wall)
    return monotonicAge <= this.validMilliseconds && wallAge <= this.validMilliseconds
  }
}
