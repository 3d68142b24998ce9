/** Which instances of a data centre watch the store: one and a spare. */
import type { InstanceId } from '@limpetwinch/core'
import type { Member, Membership } from '../membership/membership.js'
import type { PeerNetwork } from '../peers/peer-network.js'
import { rendezvousRank } from '../placement/rendezvous.js'

const WATCHER_COUNT = 2
/** The key of the ranking. */
export const WATCHER_RANKING_KEY = 'settings-watch'

/** @returns the watcher and its spare, as seen here */
export function rankWatchers (network: PeerNetwork, membership: Membership): InstanceId[] {
  return highestRanked([network.self.instance, ...livePeers(network, membership).map((member) => member.instance)])
}

/**
 * @param network - tells which peers are connected
 * @param membership - tells who is alive
 * @returns whether this instance is the watcher or its spare
 */
export function isWatcher (network: PeerNetwork, membership: Membership): boolean {
  return rankWatchers(network, membership).includes(network.self.instance)
}

/**
 * @param network - tells which peers are connected
 * @param membership - tells who is alive
 * @param storeReachable - whether the store answers this instance
 * @returns whether this instance, which is not a watcher, would hear of no change if it did not watch as well
 */
export function isSubstituteWatcher (network: PeerNetwork, membership: Membership, storeReachable: boolean): boolean {
  const { instance } = network.self
  const watchers = rankWatchers(network, membership)
  const connected = network.connected()
  if (!watchers.some((watcher) => connected.includes(watcher))) return true
  // The watchers may be cut off from the store while others reach it; then the two best of those watch as well. In an
  // outage for all, each instance leaves this list after its first failure, so that no more than the two go on trying.
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
