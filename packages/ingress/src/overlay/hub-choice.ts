/** Which hub a leaf is connected to, and the next one when that is lost. */
import type { InstanceId } from '@limpetwinch/core'
import type { Member } from '../members/cluster-objects.js'

/** Longer than a dial takes, a lost packet included; shorter than the time after which silent members count as gone. */
const ATTACH_MILLISECONDS = 700
/** A hub that was lost is tried again after this: by then it is back, or the plan names another. */
const AVOID_MILLISECONDS = 5_000

/** The choice of one leaf. */
export class HubChoice {
  private chosen: Member | undefined
  private chosenAt = -Infinity
  /** By process: a host whose process was replaced is a hub like before. */
  private readonly avoided = new Map<InstanceId, number>()

  /** @returns the hub to be connected to */
  get current (): Member | undefined {
    return this.chosen
  }

  /** A connection to the hub failed or ended. */
  avoid (hub: Member, now: number): void {
    for (const [instance, until] of this.avoided) if (until <= now) this.avoided.delete(instance)
    this.avoided.set(hub.instance, now + AVOID_MILLISECONDS)
  }

  /**
   * Chooses anew.
   *
   * @param candidates - the best one first
   * @param isAttached - whether this instance is attached to the hub
   */
  choose (candidates: readonly Member[], isAttached: (hub: Member) => boolean, now: number): Member | undefined {
    const before = this.chosen
    if (before !== undefined && !isAttached(before) && now - this.chosenAt > ATTACH_MILLISECONDS) this.avoid(before, now)
    const next = candidates.find(({ instance }) => now >= (this.avoided.get(instance) ?? -Infinity)) ?? candidates[0]
    // The same host with another process is another hub.
    if (next?.instance !== before?.instance) this.chosenAt = now
    this.chosen = next
    return next
  }
}
