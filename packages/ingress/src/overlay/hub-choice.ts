/**
 * Chooses the hub that one leaf connects to, and another hub when the leaf loses that hub. Which instances are hubs is decided in
 * hub-plan.ts.
 */
import type { InstanceId } from '@limpetwinch/core'
import type { Member } from '../members/cluster-objects.js'

/**
 * Time in which a leaf must attach to the chosen hub, before it avoids that hub and chooses another: longer than a dial with one
 * lost packet, shorter than the time after which a member counts as gone.
 */
const ATTACH_MILLISECONDS = 700
/** Time for which a lost hub is avoided: afterwards, the hub is back or the plan names another one. */
const AVOID_MILLISECONDS = 5_000

/** The hub chosen by one leaf. */
export class HubChoice {
  private chosen: Member | undefined
  private chosenAt = -Infinity
  /**
   * The hubs to avoid, each with the monotonic time in milliseconds until which it is avoided. The key is the id of the hub's
   * process, so a hub is not avoided any longer once its process was replaced.
   */
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
    // A new process on the same host has another id and counts as another hub.
    if (next?.instance !== before?.instance) this.chosenAt = now
    this.chosen = next
    return next
  }
}
