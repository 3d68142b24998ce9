/** Requests the settings from peers while an instance starts, in addition to reading them from the store. */
import type { Clock, InstanceId } from '@limpetwinch/core'
import type { Membership } from '../membership/membership.js'
import type { PeerNetwork } from '../peers/peer-network.js'
import type { SettingsExchange } from './settings-exchange.js'

/** Dependencies of the request for the initial state. */
export interface SettingsStartDependencies {
  readonly exchange: SettingsExchange
  readonly network: PeerNetwork
  readonly membership: Membership
  readonly membershipKnown?: () => boolean
  readonly clock: Clock
}

/** Time without an answer of any peer after which the start continues with the state of the store alone. */
const ANSWER_TIMEOUT_MILLISECONDS = 2_000
/** Time after which a request to a peer no longer counts as open, and the same peer may be asked again. */
const REQUEST_INTERVAL_MILLISECONDS = 500
const CHECK_INTERVAL_MILLISECONDS = 50
/** Maximum number of open requests, because each answer may transfer the complete settings. */
const MAXIMUM_CONCURRENT_REQUESTS = 2

/**
 * Requests the complete state from peers and waits until one of them has sent it.
 *
 * Without this request, an instance that starts after the store was restored from a backup would put the older settings of
 * the store in force, although its peers have newer ones.
 *
 * @param dependencies - the exchange, the membership and the other collaborators
 * @param signal - stops the wait
 * @returns whether a peer answered with a complete state
 */
export async function receiveInitialState (dependencies: SettingsStartDependencies, signal: AbortSignal): Promise<boolean> {
  const { exchange, clock } = dependencies
  const requestedAt = new Map<InstanceId, number>()
  const unready = new Set<InstanceId>()
  const completePeers = new Set<InstanceId>()
  let deadline = clock.now() + ANSWER_TIMEOUT_MILLISECONDS
  const stop = exchange.onAnswer((from, answer) => {
    if (answer === 'whole') completePeers.add(from)
    if (answer === 'unready') unready.add(from)
    requestedAt.set(from, clock.now())
    deadline = clock.now() + ANSWER_TIMEOUT_MILLISECONDS
  })
  while (completePeers.size === 0 && !signal.aborted && clock.now() < deadline) {
    if (expectedPeers(dependencies)?.every((peer) => unready.has(peer)) === true) break
    requestFromNextPeers(exchange, requestedAt, unready, clock.now())
    await clock.sleep(CHECK_INTERVAL_MILLISECONDS, signal)
  }
  stop()
  return completePeers.size > 0
}

/** Sends requests to the peers that were asked least recently, as far as the limit on open requests allows. */
function requestFromNextPeers (exchange: SettingsExchange, requestedAt: Map<InstanceId, number>, unready: ReadonlySet<InstanceId>, now: number): void {
  const open = [...requestedAt].filter(([peer, at]) => !unready.has(peer) && now - at < REQUEST_INTERVAL_MILLISECONDS)
  const free = Math.max(0, MAXIMUM_CONCURRENT_REQUESTS - open.length)
  const next = exchange.peers()
    .filter((peer) => !unready.has(peer) && now - (requestedAt.get(peer) ?? -Infinity) >= REQUEST_INTERVAL_MILLISECONDS)
    .sort((left, right) => (requestedAt.get(left) ?? 0) - (requestedAt.get(right) ?? 0))
    .slice(0, free)
  for (const peer of next) {
    requestedAt.set(peer, now)
    exchange.requestChanges(peer)
  }
}

/** @returns the live peers of the data centre, or undefined while the set of peers is unknown */
function expectedPeers ({ network, membership, membershipKnown }: SettingsStartDependencies): InstanceId[] | undefined {
  if (membershipKnown?.() === false) return undefined
  const { instance, dataCentre } = network.self
  return membership.members()
    .filter((member) => member.dataCentre === dataCentre && member.state === 'alive' && member.instance !== instance)
    .map((member) => member.instance)
}
