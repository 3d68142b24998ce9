/** Selects the instances of a data centre that watch the store: the watcher and a spare watcher. */
import type { InstanceId } from '@limpetwinch/core'
import type { Member, Membership } from '../membership/membership.js'
import type { PeerNetwork } from '../peers/peer-network.js'
import { rendezvousRank } from '../placement/rendezvous.js'

const WATCHER_COUNT = 2
/** Key of the rendezvous ranking of watchers. */
export const WATCHER_RANKING_KEY = 'settings-watch'

/** @returns the watcher and the spare watcher, as seen from this instance */
export function rankWatchers (network: PeerNetwork, membership: Membership): InstanceId[] {
  return highestRanked([network.self.instance, ...livePeers(network, membership).map((member) => member.instance)])
}

/**
 * @param network - knows which peers are connected
 * @param membership - knows which instances are alive
 * @returns whether this instance is the watcher or the spare watcher
 */
export function isWatcher (network: PeerNetwork, membership: Membership): boolean {
  return rankWatchers(network, membership).includes(network.self.instance)
}

/**
 * @param network - knows which peers are connected
 * @param membership - knows which instances are alive
 * @param storeReachable - whether the store is considered reachable from this instance
 * @returns whether this instance, which is not a watcher, would miss changes if it did not watch as well
 */
export function isSubstituteWatcher (network: PeerNetwork, membership: Membership, storeReachable: boolean): boolean {
  const { instance } = network.self
  const watchers = rankWatchers(network, membership)
  const connected = network.connected()
  if (!watchers.some((watcher) => connected.includes(watcher))) return true
  // The watchers may be cut off from the store while other instances reach it. Then the two highest-ranked of those watch as
  // well. In an outage for all, an instance is dropped from this list after its first failed call, so that only two watchers
  // keep trying.
  const reaching = livePeers(network, membership).filter((member) => member.storeReachable).map((member) => member.instance)
  if (!storeReachable || watchers.some((watcher) => reaching.includes(watcher))) return false
  return highestRanked([instance, ...reaching]).includes(instance)
}

function livePeers (network: PeerNetwork, membership: Membership): Member[] {
  const { instance, dataCentre } = network.self
  return membership.members().filter((member) => member.dataCentre === dataCentre && member.state === 'alive' && member.instance !== instance)
}

function highestRanked (instances: readonly InstanceId[]): InstanceId[] {
  return rendezvousRank(WATCHER_RANKING_KEY, instances).slice(0, WATCHER_COUNT)
}
