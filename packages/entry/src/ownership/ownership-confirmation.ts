/** Whether this instance's picture of the owners was still the newest a moment ago. */
import type { Clock, InstanceId } from '@limpetwinch/core'
import type { ClockReading } from './ownership-writer.js'

interface PeerSequence {
  readonly sequence: number
  readonly statedAfter: ClockReading
}

/** Collects what proves that nobody else has written. */
export class OwnershipConfirmation {
  private readonly clock: Clock
  private readonly validMilliseconds: number
  private readonly peerSequences = new Map<InstanceId, PeerSequence>()
  private store: ClockReading | undefined

  /**
   * @param clock - dates the proofs
   * @param validMilliseconds - how long a proof counts
   */
  constructor (clock: Clock, validMilliseconds: number) {
    this.clock = clock
    this.validMilliseconds = validMilliseconds
  }

  /** Notes that the store held nothing newer at a moment. */
  confirmByStore (moment: ClockReading): void {
    this.store = moment
  }

  /** Notes the newest sequence that a peer knew or was writing after a moment. */
  recordPeerSequence (instance: InstanceId, sequence: number, saidAfter: ClockReading): void {
    this.peerSequences.set(instance, { sequence, statedAfter: saidAfter })
  }

  /** @returns whether the store itself was seen in time */
  isConfirmedByStore (): boolean {
    return this.isRecent(this.store)
  }

  /**
   * @param sequence - the newest state known here
   * @param others - all who could have written a newer one
   * @returns whether store or peers prove that there was none
   */
  holds (sequence: number, others: readonly InstanceId[]): boolean {
    return this.isConfirmedByStore() || this.isConfirmedByPeers(sequence, others)
  }

  /** @returns whether every one of the others has said in time that it knows nothing newer */
  isConfirmedByPeers (sequence: number, others: readonly InstanceId[]): boolean {
    return others.every((instance) => {
      const word = this.peerSequences.get(instance)
      return word !== undefined && word.sequence <= sequence && this.isRecent(word.statedAfter)
    })
  }

  /** Forgets instances that are gone. */
  keepOnly (instances: ReadonlySet<InstanceId>): void {
    for (const instance of this.peerSequences.keys()) {
      if (!instances.has(instance)) this.peerSequences.delete(instance)
    }
  }

  /**
   * Both clocks must agree that the proof is young: the monotonic one stands still while a virtual machine is
   * suspended, and the wall clock may be set back. A pause of any kind therefore makes every proof old at once.
   */
  private isRecent (moment: ClockReading | undefined): boolean {
    if (moment === undefined) return false
    const monotonicAge = this.clock.now() - moment.monotonic
    const wallAge = Math.abs(this.clock.wallTime() - moment.wall)
    return monotonicAge <= this.validMilliseconds && wallAge <= this.validMilliseconds
  }
}
