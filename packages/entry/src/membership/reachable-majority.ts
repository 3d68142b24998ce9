/** Decides whether this instance itself is cut off from its data centre, rather than the members that it cannot reach. */
import type { InstanceId } from '@limpetwinch/core'
import { rendezvousRank } from '../placement/rendezvous.js'

/** Another member of the data centre, as this instance observes it. */
export interface ObservedMember {
  readonly instance: InstanceId
  /** Whether this instance does not suspect the member, usually because frames from the member arrive. */
  readonly heard: boolean
  /** Whether there is evidence that the process has ended; a member that is only cut off does not refuse connections. */
  readonly refused: boolean
}

/**
 * An instance that reaches fewer than half of the members must not take over endpoints that the others still serve.
 *
 * @param self - this instance
 * @param others - the other members of its data centre that have not left
 * @returns whether this instance and the members that it reaches are more than half of all members; of two equal halves,
 *   the one that contains the member ranked first by rendezvous hashing
 */
export function reachesMajority (self: InstanceId, others: readonly ObservedMember[]): boolean {
  const counted = others.filter((member) => member.heard || !member.refused)
  const reachable = [self, ...counted.filter((member) => member.heard).map((member) => member.instance)]
  const all = counted.length + 1
  if (reachable.length * 2 !== all) return reachable.length * 2 > all
  const [first] = rendezvousRank('even halves', [self, ...counted.map((member) => member.instance)])
  return first !== undefined && reachable.includes(first)
}
