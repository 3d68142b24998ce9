/** Chooses the instances that remember where a stream began. */
import type { DataCentreId, InstanceId } from '@limpetwinch/core'
import { rendezvousWeight } from '@limpetwinch/decisions'
import type { StreamKey } from './stream-origin-table.js'

/** An instance that may remember streams. */
export interface StreamRecorder {
  readonly instance: InstanceId
  readonly dataCentre: DataCentreId
}

/** Copies of each record. With four, a stream is still known after most instances of a small fleet were killed together. */
const COPIES = 4
/** Data centres with a copy, so that a stream is known while its own data centre and another one are cut off. */
const DATA_CENTRES = 3

/**
 * @param candidates - instances that can be reached, the choosing one among them if it remembers streams
 * @returns the instances that remember the stream: the same ones at all instances that reach the same candidates, without a message
 */
export function recordersOf (stream: StreamKey, candidates: readonly StreamRecorder[]): readonly InstanceId[] {
  const ranked = candidates
    .map((candidate) => ({ ...candidate, weight: rendezvousWeight(stream, candidate.instance) }))
    .toSorted((one, other) => other.weight - one.weight)
  const covered = new Set<DataCentreId>()
  const firsts = ranked.filter(({ dataCentre }) => covered.size < DATA_CENTRES && covered.size < covered.add(dataCentre).size)
  const others = ranked.filter((each) => !firsts.includes(each))
  return [...firsts, ...others].slice(0, COPIES).map(({ instance }) => instance)
}
