/** The first state of an instance: the newest of the store and its peers. */
import type { Clock, InstanceId } from '@limpetwinch/core'
import type { Membership } from '../membership/membership.js'
import type { PeerNetwork } from '../peers/peer-network.js'
import type { SettingsExchange } from './settings-exchange.js'

/** What the start needs of its instance. */
export interface SettingsStartParts {
  readonly exchange: SettingsExchange
  readonly network: PeerNetwork
  readonly membership: Membership
  readonly membershipKnown?: () => boolean
  readonly clock: Clock
}

/** Without a word for so long the start goes on with what the store says. */
const LONGEST_SILENCE_MILLISECONDS = 2_000
const ASK_AGAIN_MILLISECONDS = 500
const LOOK_MILLISECONDS = 50
const ASKED_AT_ONCE = 2

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
export async function takeFromPeers (parts: SettingsStartParts, signal: AbortSignal): Promise<boolean> {
  const { exchange, clock } = parts
  const asked = new Map<InstanceId, number>()
  const unready = new Set<InstanceId>()
  const whole = new Set<InstanceId>()
  let deadline = clock.now() + LONGEST_SILENCE_MILLISECONDS
  const stop = exchange.onAnswer((from, answer) => {
    if (answer === 'whole') whole.add(from)
    if (answer === 'unready') unready.add(from)
    asked.set(from, clock.now())
    deadline = clock.now() + LONGEST_SILENCE_MILLISECONDS
  })
  while (whole.size === 0 && !signal.aborted && clock.now() < deadline) {
    if (expectedPeers(parts)?.every((peer) => unready.has(peer)) === true) break
    askSome(exchange, asked, unready, clock.now())
    await clock.sleep(LOOK_MILLISECONDS, signal)
  }
  stop()
  return whole.size > 0
}

/** Two at a time: more would send the whole settings as many times over. */
function askSome (exchange: SettingsExchange, asked: Map<InstanceId, number>, unready: ReadonlySet<InstanceId>, now: number): void {
  const waitingFor = [...asked].filter(([peer, at]) => !unready.has(peer) && now - at < ASK_AGAIN_MILLISECONDS)
  const free = Math.max(0, ASKED_AT_ONCE - waitingFor.length)
  const next = exchange.peers()
    .filter((peer) => !unready.has(peer) && now - (asked.get(peer) ?? -Infinity) >= ASK_AGAIN_MILLISECONDS)
    .sort((left, right) => (asked.get(left) ?? 0) - (asked.get(right) ?? 0))
    .slice(0, free)
  for (const peer of next) {
    asked.set(peer, now)
    exchange.ask(peer)
  }
}

/** @returns live peers of the data centre, or undefined while nobody knows which there are */
function expectedPeers ({ network, membership, membershipKnown }: SettingsStartParts): InstanceId[] | undefined {
  if (membershipKnown?.() === false) return undefined
  const { instance, dataCentre } = network.self
  return membership.members()
    .filter((member) => member.dataCentre === dataCentre && member.state === 'alive' && member.instance !== instance)
    .map((member) => member.instance)
}
