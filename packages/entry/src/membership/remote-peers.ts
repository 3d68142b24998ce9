/** Which instances of other data centres to stay connected to. */
import type { DataCentreId, InstanceId } from '@limpetwinch/core'
import { rendezvousRank } from '../placement/rendezvous.js'

/** Two, so that one may fail; all of them would be 953 connections at 990 instances in 27 data centres. */
const PEERS_PER_DATA_CENTRE = 2

/** An instance that may be chosen. */
export interface RemoteCandidate {
  readonly instance: InstanceId
  readonly dataCentre: DataCentreId
}

/**
 * Chooses by rendezvous hashing with the chooser's id, so that choosers spread over the instances.
 *
 * @param chooser - this instance
 * @param dataCentre - its data centre, from which nobody is chosen
 * @param candidates - instances that are not gone
 * @returns at most two instances of each other data centre
 */
export function chooseRemotePeers (chooser: InstanceId, dataCentre: DataCentreId, candidates: Iterable<RemoteCandidate>): ReadonlySet<InstanceId> {
  const byDataCentre = new Map<DataCentreId, InstanceId[]>()
  for (const candidate of candidates) {
    if (candidate.dataCentre === dataCentre) continue
    const group = byDataCentre.get(candidate.dataCentre)
    if (group === undefined) byDataCentre.set(candidate.dataCentre, [candidate.instance])
    else group.push(candidate.instance)
  }
  const chosen = [...byDataCentre.values()].flatMap((instances) => rendezvousRank(chooser, instances).slice(0, PEERS_PER_DATA_CENTRE))
  return new Set(chosen)
}
