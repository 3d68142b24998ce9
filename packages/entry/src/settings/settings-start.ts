/** The first state of an instance: the newest of the store and its peers. */
import type { Clock, InstanceId } from '@limpetwinch/core'
import type { Membership } from '../membership/membership.js'
import type { PeerNetwork } from '../peers/peer-network.js'
import type { SettingsExchange } from './settings-exchange.js'

/** What the start needs of its instance. */
export interface SettingsStartDependencies {
  readonly exchange: SettingsExchange
  readonly network: PeerNetwork
  readonly membership: Membership
  readonly membershipKnown?: () => boolean
  readonly clock: Clock
}

/** Without a word for so long the start goes on with what the store says. */
const ANSWER_TIMEOUT_MILLISECONDS = 2_000
const REQUEST_INTERVAL_MILLISECONDS = 500
const CHECK_INTERVAL_MILLISECONDS = 50
const MAXIMUM_CONCURRENT_REQUESTS = 2

/**
 * Waits for the whole state of one peer.
 *
 * Without it an instance that starts from a store restored from a copy would put older settings in force, although
 * its peers know better.
 *
 * @param parts - what it works with
 * @param signal - gives up
 * @returns whether a peer answered with a whole state
 */
export async function receiveInitialState (parts: SettingsStartDependencies, signal: AbortSignal): Promise<boolean> {
  const { exchange, clock } = parts
  const asked = new Map<InstanceId, number>()
  const unready = new Set<InstanceId>()
  const whole = new Set<InstanceId>()
  let deadline = clock.now() + ANSWER_TIMEOUT_MILLISECONDS
  const stop = exchange.onAnswer((from, answer) => {
    if (answer === 'whole') whole.add(from)
    if (answer === 'unready') unready.add(from)
    asked.set(from, clock.now())
    deadline = clock.now() + ANSWER_TIMEOUT_MILLISECONDS
  })
  while (whole.size === 0 && !signal.aborted && clock.now() < deadline) {
    if (expectedPeers(parts)?.every((peer) => unready.has(peer)) === true) break
    requestFromNextPeers(exchange, asked, unready, clock.now())
    await clock.sleep(CHECK_INTERVAL_MILLISECONDS, signal)
  }
  stop()
  return whole.size > 0
}

/** Two at a time: more would send the whole settings as many times over. */
function requestFromNextPeers (exchange: SettingsExchange, asked: Map<InstanceId, number>, unready: ReadonlySet<InstanceId>, now: number): void {
  const waitingFor = [...asked].filter(([peer, at]) => !unready.has(peer) && now - at < REQUEST_INTERVAL_MILLISECONDS)
  const free = Math.max(0, MAXIMUM_CONCURRENT_REQUESTS - waitingFor.length)
  const next = exchange.peers()
    .filter((peer) => !unready.has(peer) && now - (asked.get(peer) ?? -Infinity) >= REQUEST_INTERVAL_MILLISECONDS)
    .sort((left, right) => (asked.get(left) ?? 0) - (asked.get(right) ?? 0))
    .slice(0, free)
  for (const peer of next) {
    asked.set(peer, now)
    exchange.requestChanges(peer)
  }
}

/** @returns live peers of the data centre, or undefined while nobody knows which there are */
function expectedPeers ({ network, membership, membershipKnown }: SettingsStartDependencies): InstanceId[] | undefined {
  if (membershipKnown?.() === false) return undefined
  const { instance, dataCentre } = network.self
  return membership.members()
    .filter((member) => member.dataCentre === dataCentre && member.state === 'alive' && member.instance !== instance)
    .map((member) => member.instance)
}
