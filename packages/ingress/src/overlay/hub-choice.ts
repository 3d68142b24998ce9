/** Chooses the hub that a leaf connects to, and another one when that hub is lost. */
import type { InstanceId } from '@limpetwinch/core'
import type { Member } from '../members/cluster-objects.js'

/** Time to attach to a chosen hub: longer than a dial with one lost packet, shorter than the time after which a member counts as gone. */
const ATTACH_MILLISECONDS = 700
/** Time for which a lost hub is avoided: after it, the hub is back or the plan names another one. */
const AVOID_MILLISECONDS = 5_000

/** The hub chosen by one leaf. */
export class HubChoice {
  private chosen: Member | undefined
  private chosenAt = -Infinity
  /** Monotonic end of the avoidance by process: a hub whose process was replaced is not avoided. */
  private readonly avoided = new Map<InstanceId, number>()

  /** @returns the hub to connect to, or undefined when none was chosen */
  get current (): Member | undefined {
    return this.chosen
  }

  /** Avoids a hub for a while, after a connection to it failed or ended. */
  avoid (hub: Member, now: number): void {
    for (const [instance, until] of this.avoided) if (until <= now) this.avoided.delete(instance)
    this.avoided.set(hub.instance, now + AVOID_MILLISECONDS)
  }

  /**
   * Chooses the hub to connect to: the first candidate that is not avoided, or the first one when all are.
   *
   * @param candidates - in order of preference
   * @param isAttached - whether this instance is attached to the hub
   * @returns the chosen hub, or undefined without candidates
   */
  choose (candidates: readonly Member[], isAttached: (hub: Member) => boolean, now: number): Member | undefined {
    const before = this.chosen
    if (before !== undefined && !isAttached(before) && now - this.chosenAt > ATTACH_MILLISECONDS) this.avoid(before, now)
    const next = candidates.find(({ instance }) => now >= (this.avoided.get(instance) ?? -Infinity)) ?? candidates[0]
    // A new process on the same host is another hub.
    if (next?.instance !== before?.instance) this.chosenAt = now
    this.chosen = next
    return next
  }
}
