/** Finds pins of requests that have ended, when the message about the end of the request did not reach the owner. */
import type { Clock, EndpointId, InstanceId } from '@limpetwinch/core'
import type { Membership } from '../membership/membership.js'
import type { PeerNetwork } from '../peers/peer-network.js'
import type { EndpointScheduler } from './endpoint-scheduler.js'

/** Interval between audits of one endpoint. */
const AUDIT_INTERVAL_MILLISECONDS = 10_000
/** Age from which a pin is audited, counted from the grant of the request. */
const MINIMUM_PIN_AGE_MILLISECONDS = 20_000
/** Time to wait for an instance's response to an audit. The report polling of the endpoint waits for the audit. */
const RESPONSE_TIMEOUT_MILLISECONDS = 2_000

/**
 * Asks the instances that hold old pins which requests they still have. The message that a request is done is lost when the
 * connection that carries the message breaks. Without an audit the pin would occupy the adapter's slot until the longest
 * request time has passed, and loads would stall because no slot is free.
 */
export class PinAudit {
  private readonly network: PeerNetwork
  private readonly membership: Membership
  private readonly clock: Clock
  private readonly goneSince = new Map<InstanceId, number>()
  private readonly nextAt = new Map<EndpointId, number>()

  /**
   * @param network - sends the audit calls to the instances that hold pins
   * @param membership - tells which instances have ended
   * @param clock - the clock to use
   */
  constructor (network: PeerNetwork, membership: Membership, clock: Clock) {
    this.network = network
    this.membership = membership
    this.clock = clock
  }

  /** @returns when this audit first saw an instance as gone, wall time in milliseconds; undefined while it may be alive */
  endedAt (instance: InstanceId): number | undefined {
    if (this.membership.member(instance)?.state !== 'gone') return undefined
    const since = this.goneSince.get(instance) ?? this.clock.wallTime()
    this.goneSince.set(instance, since)
    return since
  }

  /** Asks the instances that hold old pins of one endpoint, if the audit interval has passed since the previous audit of that endpoint. */
  async auditIfDue (scheduler: EndpointScheduler): Promise<void> {
    const { endpoint } = scheduler.engine
    const now = this.clock.now()
    if (now < (this.nextAt.get(endpoint) ?? 0)) return
    this.nextAt.set(endpoint, now + AUDIT_INTERVAL_MILLISECONDS)
    const holders = [...scheduler.holdersOfPinsOlderThan(MINIMUM_PIN_AGE_MILLISECONDS)]
    await Promise.all(holders.map(async (holder) => await this.query(holder, scheduler)))
  }

  private async query (holder: InstanceId, scheduler: EndpointScheduler): Promise<void> {
    const queriedAt = this.clock.now()
    const { engine, token } = scheduler
    const answer = await this.network.call(holder, { kind: 'pins-ask', endpoint: engine.endpoint, token }, RESPONSE_TIMEOUT_MILLISECONDS)
    if (answer.isErr() || answer.value.kind !== 'pins-report') return
    scheduler.dropPinsNotHeld(holder, new Set(answer.value.pins.map((pin) => pin.requestId as string)), queriedAt)
  }
}
