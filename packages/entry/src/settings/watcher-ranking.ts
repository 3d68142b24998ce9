/**
 * Selects the instances of a data centre that watch the store: the watcher, a spare watcher, and substitute watchers when
 * neither of the two can be used.
 */
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
  // Both watchers may be cut off from the store while other instances reach the store. Then the two highest-ranked of these
  // other instances watch as well. When no instance reaches the store, each substitute is dropped from the list of reaching
  // instances after its first failed call, so that only the watcher and the spare watcher keep trying.
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
