/**
 * Rendezvous hashing: instances that know the same members choose the same member for a key. The loss of a member moves only
 * that member's keys.
 */
import { xxHash32 } from 'js-xxhash'

/**
 * Ranks candidates for a key.
 *
 * @param key - the key to place
 * @param candidates - the ids to choose from
 * @returns the candidates in order of preference
 */
export function rendezvousRank<Id extends string> (key: string, candidates: readonly Id[]): Id[] {
  const weighted = candidates.map((candidate) => ({ candidate, weight: xxHash32(`${key}\n${candidate}`) }))
  weighted.sort((one, other) => compare(other.weight, one.weight) || compare(one.candidate, other.candidate))
  return weighted.map((entry) => entry.candidate)
}

function compare<Value extends number | string> (one: Value, other: Value): number {
  if (one === other) return 0
  return one < other ? -1 : 1
}
