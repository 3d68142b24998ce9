/** Whether it is this instance that is cut off, and not those that it does not hear. */
import type { InstanceId } from '@limpetwinch/core'
import { rendezvousRank } from '../placement/rendezvous.js'

/** Another member of the data centre as it is heard here. */
export interface ObservedMember {
  readonly instance: InstanceId
  readonly heard: boolean
  /** Whether its address refused a connection: it has ended, while one that is cut off gives no such answer. */
  readonly refused: boolean
}

/**
 * An instance that hears fewer than half must not take over what the others go on serving.
 *
 * @param self - this instance
 * @param others - the other members of its data centre that are not gone
 * @returns whether this instance hears more than half of all; of two equal halves the one with the first by hashing
 */
export function reachesMajority (self: InstanceId, others: readonly ObservedMember[]): boolean {
  const counted = others.filter((member) => member.heard || !member.refused)
  const side = [self, ...counted.filter((member) => member.heard).map((member) => member.instance)]
  const all = counted.length + 1
  if (side.length * 2 !== all) return side.length * 2 > all
  const [first] = rendezvousRank('even halves', [self, ...counted.map((member) => member.instance)])
  return first !== undefined && side.includes(first)
}
