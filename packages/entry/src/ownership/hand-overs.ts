/** Planned hand-over of endpoints to other instances: before this instance stops, and to balance ownership. */
import { SystemClock } from '@limpetwinch/core'
import type { Clock, EndpointId, HandOverFrame, Logger } from '@limpetwinch/core'
import type { PeerNetwork, ReplyBody } from '../peers/peer-network.js'
import type { EndpointRecoveries } from './endpoint-recoveries.js'
import type { HandOverSource } from './hand-over-source.js'
import type { OwnershipRecord } from './ownership.js'
import type { StoreOwnership } from './store-ownership.js'

/** Time limit of the call that sends the state of an endpoint to the new owner. */
const CALL_TIMEOUT_MILLISECONDS = 2_000
/** Duration after which a hand-over stops reading the store to find out whether its write with a lost answer took effect. */
const WRITE_TIMEOUT_MILLISECONDS = 5_000
/** How long the new owner waits for its record after the earlier owner has sent the state of the endpoint. */
const RECORD_WAIT_MILLISECONDS = 1_000
/** Interval between checks for an expected record, and between attempts to hand over before a planned stop. */
const CHECK_INTERVAL_MILLISECONDS = 50
/**
 * How long a stopping instance waits for a successor. A peer may be suspected only briefly; endpoints that are left
 * after this time are taken over by a later peer once this instance has ended.
 */
const SUCCESSOR_WAIT_MILLISECONDS = 2_000

/** Dependencies and times of hand-overs. */
export interface HandOversOptions {
  readonly peers: PeerNetwork
  readonly ownership: StoreOwnership
  readonly recoveries: EndpointRecoveries
  readonly source: HandOverSource
  readonly logger: Logger
  readonly clock?: Clock
  /** Returns a uniformly distributed number from 0 to 1. */
  readonly random?: () => number
  /** Mean interval between checks whether this instance owns more endpoints than the maximum share of one owner. */
  readonly rebalanceIntervalMilliseconds?: number
}

/** Hands endpoints over to other instances and receives endpoints from them. */
export class HandOvers {
  private readonly options: HandOversOptions
  private readonly clock: Clock
  private readonly logger: Logger
  private handingOver = false

  /** @param options - dependencies and times */
  constructor (options: HandOversOptions) {
    this.options = options
    this.clock = options.clock ?? new SystemClock()
    this.logger = options.logger.part('hand-over')
    options.peers.onCall('hand-over', async (_, frame, signal) => await this.receiveHandOver(frame, signal))
  }

  /** Balances ownership until the signal is aborted: an instance that joined gets endpoints from owners above the maximum share. */
  async run (signal: AbortSignal): Promise<void> {
    const interval = this.options.rebalanceIntervalMilliseconds ?? 5_000
    while (!signal.aborted) {
      await this.clock.sleep(interval * (0.5 + (this.options.random ?? Math.random)()), signal)
      const surplus = this.options.ownership.surplus()
      if (surplus.length > 0 && !signal.aborted) await this.handOver(surplus, signal)
    }
  }

  /**
   * Hands over all endpoints before a planned stop. The membership must already show this instance as leaving.
   *
   * @param signal - cancels the hand-over; the remaining endpoints are taken over after this instance has ended
   * @returns the endpoints still owned: no successor existed, or the signal was aborted
   */
  async handOverAll (signal: AbortSignal): Promise<readonly EndpointId[]> {
    let waitUntil = this.clock.now() + SUCCESSOR_WAIT_MILLISECONDS
    for (;;) {
      const { ownership } = this.options
      const left = ownership.owned().map((record) => record.endpoint)
      if (left.length === 0 || signal.aborted) return left
      if (ownership.hasSuccessors()) waitUntil = this.clock.now() + SUCCESSOR_WAIT_MILLISECONDS
      // Without this limit the last instance of a data centre would wait for a successor until its stop times out.
      if (this.clock.now() > waitUntil) return left
      if (!await this.handOver(left, signal)) await this.clock.sleep(CHECK_INTERVAL_MILLISECONDS, signal)
    }
  }

  /**
   * Hands over some endpoints. Load and unload orders stop first, so that the new owner finds no order in progress.
   * Grants continue until the new record is written, so that no request is refused in the meantime.
   *
   * @returns whether at least one endpoint was handed over
   */
  async handOver (endpoints: readonly EndpointId[], signal: AbortSignal): Promise<boolean> {
    if (this.handingOver) return false
    this.handingOver = true
    try {
      return await this.handOverWithOrdersPaused(endpoints, signal)
    } finally {
      this.handingOver = false
    }
  }

  private async handOverWithOrdersPaused (endpoints: readonly EndpointId[], signal: AbortSignal): Promise<boolean> {
    const { source, ownership } = this.options
    await Promise.all(endpoints.map(async (endpoint) => await source.pauseOrders(endpoint)))
    // Read before the write, which ends the recovery of this owner; the new owner must know whether that recovery was complete.
    const recovered = new Map(endpoints.map((endpoint) => [endpoint, this.knowsAllPins(endpoint)]))
    const limit = AbortSignal.any([signal, AbortSignal.timeout(WRITE_TIMEOUT_MILLISECONDS)])
    const written = await ownership.handOver(endpoints, limit)
    const records = written.isOk() ? written.value : []
    const moved = new Set(records.map((record) => record.endpoint))
    for (const endpoint of endpoints) {
      if (!moved.has(endpoint)) source.resumeOrders(endpoint)
    }
    if (written.isErr()) this.logger.warn('A hand-over could not be written.', { reason: written.error.message })
    await Promise.all(records.map(async (record) => await this.sendHandOver(record, recovered.get(record.endpoint) ?? false)))
    return records.length > 0
  }

  /** A request known only from the engine's report cannot be handed over, since no member will announce its end. */
  private knowsAllPins (endpoint: EndpointId): boolean {
    const { recoveries } = this.options
    return recoveries.recovered(endpoint) && recoveries.earlierPins(endpoint).every((pin) => pin.instance !== undefined)
  }

  private async sendHandOver (record: OwnershipRecord, recovered: boolean): Promise<void> {
    const { peers, source } = this.options
    const { endpoint, owner, token } = record
    const { loaded, pins } = source.state(endpoint)
    const reply = await peers.call(owner, { kind: 'hand-over', endpoint, token, recovered, loaded, pins }, CALL_TIMEOUT_MILLISECONDS)
    // If the message is lost, the new owner asks all members itself, as after the loss of an owner.
    const accepted = reply.isOk() && reply.value.kind === 'accepted'
    this.logger.info('An endpoint was handed over.', { endpoint, owner, accepted })
    source.release(endpoint, owner)
  }

  private async receiveHandOver (frame: HandOverFrame, signal: AbortSignal): Promise<ReplyBody> {
    const { recoveries, source, peers } = this.options
    const record = await this.waitForRecord(frame, signal)
    if (record === undefined) {
      return { kind: 'refused', error: 'not-owner', details: { endpoint: frame.endpoint, instance: peers.self.instance }, outcome: 'not_run' }
    }
    const state = { loaded: frame.loaded, pins: frame.pins }
    source.adopt(frame.endpoint, frame.token, state)
    recoveries.applyHandOver(record, state, frame.recovered)
    return { kind: 'accepted' }
  }

  /** The earlier owner sends the record just before the hand-over, but the record may arrive later, over another connection. */
  private async waitForRecord (frame: HandOverFrame, signal: AbortSignal): Promise<OwnershipRecord | undefined> {
    const { ownership, peers } = this.options
    const until = this.clock.now() + RECORD_WAIT_MILLISECONDS
    for (;;) {
      const record = ownership.recordOf(frame.endpoint)
      if (record?.token === frame.token && record.owner === peers.self.instance) return record
      if (this.clock.now() >= until || signal.aborted) return undefined
      await this.clock.sleep(CHECK_INTERVAL_MILLISECONDS, signal)
    }
  }
}
