/** Chooses the remote peers: the instances of other data centres to which this instance keeps connections. */
import type { DataCentreId, InstanceId } from '@limpetwinch/core'
import { rendezvousRank } from '../placement/rendezvous.js'

/**
 * Number of instances in each other data centre to which this instance keeps connections: two, so that one of them may
 * fail. With 990 instances in 27 data centres, connections to all instances of other data centres would be 953.
 */
const PEERS_PER_DATA_CENTRE = 2

/** An instance that may be chosen as a remote peer. */
export interface RemoteCandidate {
  readonly instance: InstanceId
  readonly dataCentre: DataCentreId
}

/**
 * Chooses remote peers by rendezvous hashing with the chooser's id, which spreads the connections of different choosers
 * over all instances.
 *
 * @param chooser - this instance
 * @param dataCentre - data centre of the chooser, from which no instance is chosen
 * @param candidates - instances that have not left
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
