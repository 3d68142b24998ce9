/** The first state of an instance: the newest of the store and its peers. */
import type { Clock, InstanceId } from '@limpetwinch/core'
import type { Membership } from '../membership/membership.js'
import type { PeerNetwork } from '../peers/peer-network.js'
import type { SettingsExchange } from './settings-exchange.js'

const LONGEST_WAIT_MILLISECONDS = 2_000
const LOOK_MILLISECONDS = 50
const ASKED_AT_ONCE = 2

/**
 * Waits for the whole state of one peer.
 *
 * Without it an instance that starts from a store restored from a copy would put older settings in force, although
 * its peers know better.
 *
 * @returns whether a peer answered with a whole state
 */
export async function takeFromPeers (exchange: SettingsExchange, network: PeerNetwork, membership: Membership, clock: Clock, signal: AbortSignal): Promise<boolean> {
  const deadline = clock.now() + LONGEST_WAIT_MILLISECONDS
  const asked = new Set<InstanceId>()
  const unready = new Set<InstanceId>()
  const whole = new Set<InstanceId>()
  const stop = exchange.onAnswer((from, answer) => {
    const answered = answer === 'whole' ? whole : unready
    answered.add(from)
  })
  while (whole.size === 0 && !signal.aborted && clock.now() < deadline) {
    const others = expectedPeers(network, membership)
    if (others !== undefined && others.every((peer) => unready.has(peer))) break
    const waitingFor = [...asked].filter((peer) => !unready.has(peer)).length
    const next = exchange.peers().filter((peer) => !asked.has(peer)).slice(0, Math.max(0, ASKED_AT_ONCE - waitingFor))
    for (const peer of next) {
      asked.add(peer)
      exchange.ask(peer)
    }
    await clock.sleep(LOOK_MILLISECONDS, signal)
  }
  stop()
  return whole.size > 0
}

/** @returns live peers of the data centre, or undefined while the list of instances has not been read */
function expectedPeers (network: PeerNetwork, membership: Membership): InstanceId[] | undefined {
  const members = membership.members()
  if (members.length === 0) return undefined
  const { instance, dataCentre } = network.self
  return members
    .filter((member) => member.dataCentre === dataCentre && member.state === 'alive' && member.instance !== instance)
    .map((member) => member.instance)
}
