/** Rendezvous hashing: all who know the same members pick the same one, and a lost member moves only its own share. */
import { xxHash32 } from 'js-xxhash'

/**
 * Ranks candidates for a key.
 *
 * @param key - what is placed
 * @param candidates - ids to choose from
 * @returns the candidates, the first choice first
 */
export function rendezvousRank<Id extends string> (key: string, candidates: readonly Id[]): Id[] {
  const weighed = candidates.map((candidate) => ({ candidate, weight: xxHash32(`${key}\n${candidate}`) }))
  weighed.sort((one, other) => compare(other.weight, one.weight) || compare(one.candidate, other.candidate))
  return weighed.map((entry) => entry.candidate)
}

function compare<Value extends number | string> (one: Value, other: Value): number {
  if (one === other) return 0
  return one < other ? -1 : 1
}
