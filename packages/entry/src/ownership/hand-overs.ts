/** Planned hand-over of endpoints: on stopping, and to even out. */
import { SystemClock } from '@limpetwinch/core'
import type { Clock, EndpointId, HandOverFrame, Logger } from '@limpetwinch/core'
import type { PeerNetwork, ReplyBody } from '../peers/peer-network.js'
import type { EndpointRecoveries } from './endpoint-recoveries.js'
import type { HandOverSource } from './hand-over-source.js'
import type { OwnershipRecord } from './ownership.js'
import type { StoreOwnership } from './store-ownership.js'

const CALL_TIMEOUT_MILLISECONDS = 2_000
const WRITE_TIMEOUT_MILLISECONDS = 5_000
const RECORD_WAIT_MILLISECONDS = 1_000
const CHECK_INTERVAL_MILLISECONDS = 50
/** A peer may be suspect for a moment only; one that is absent for longer takes over after this instance's end. */
const SUCCESSOR_WAIT_MILLISECONDS = 2_000

/** What hand-overs are made of. */
export interface HandOversOptions {
  readonly peers: PeerNetwork
  readonly ownership: StoreOwnership
  readonly recoveries: EndpointRecoveries
  readonly source: HandOverSource
  readonly logger: Logger
  readonly clock?: Clock
  /** Uniform in 0 to 1. */
  readonly random?: () => number
  /** Between looks whether this instance owns far more than its share. */
  readonly rebalanceIntervalMilliseconds?: number
}

/** Gives endpoints away and takes them. */
export class HandOvers {
  private readonly options: HandOversOptions
  private readonly clock: Clock
  private readonly logger: Logger
  private busy = false

  /** @param options - the surroundings */
  constructor (options: HandOversOptions) {
    this.options = options
    this.clock = options.clock ?? new SystemClock()
    this.logger = options.logger.part('hand-over')
    options.peers.onCall('hand-over', async (_, frame, signal) => await this.receiveHandOver(frame, signal))
  }

  /** Evens out until the signal ends it: an instance that joined gets its share from those that hold more. */
  async run (signal: AbortSignal): Promise<void> {
    const interval = this.options.rebalanceIntervalMilliseconds ?? 5_000
    while (!signal.aborted) {
      await this.clock.sleep(interval * (0.5 + (this.options.random ?? Math.random)()), signal)
      const surplus = this.options.ownership.surplus()
      if (surplus.length > 0 && !signal.aborted) await this.handOver(surplus, signal)
    }
  }

  /**
   * Hands over everything, for a planned stop. The membership must say that this instance leaves.
   *
   * @param signal - gives up; what is left is taken over after this instance's end
   * @returns endpoints that are left: nobody was there to take them, or the signal came
   */
  async handOverAll (signal: AbortSignal): Promise<readonly EndpointId[]> {
    let hopeUntil = this.clock.now() + SUCCESSOR_WAIT_MILLISECONDS
    for (;;) {
      const { ownership } = this.options
      const left = ownership.owned().map((record) => record.endpoint)
      if (left.length === 0 || signal.aborted) return left
      if (ownership.hasSuccessors()) hopeUntil = this.clock.now() + SUCCESSOR_WAIT_MILLISECONDS
      // The last instance of a data centre would wait for a successor until its time for stopping is over.
      if (this.clock.now() > hopeUntil) return left
      if (!await this.handOver(left, signal)) await this.clock.sleep(CHECK_INTERVAL_MILLISECONDS, signal)
    }
  }

  /**
   * Hands over some endpoints. Orders stop first, so that the new owner finds nothing half done; grants go on until the
   * new record is written, so that no request is refused meanwhile.
   *
   * @returns whether they were handed over
   */
  async handOver (endpoints: readonly EndpointId[], signal: AbortSignal): Promise<boolean> {
    if (this.busy) return false
    this.busy = true
    try {
      return await this.handOverWithOrdersPaused(endpoints, signal)
    } finally {
      this.busy = false
    }
  }

  private async handOverWithOrdersPaused (endpoints: readonly EndpointId[], signal: AbortSignal): Promise<boolean> {
    const { source, ownership } = this.options
    await Promise.all(endpoints.map(async (endpoint) => await source.pauseOrders(endpoint)))
    // Asked before the write: with it the recovery ends here, and the new owner must know whether it was complete.
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

  /** A request known from the engine's report alone cannot be handed over, since no member answers for it. */
  private knowsAllPins (endpoint: EndpointId): boolean {
    const { recoveries } = this.options
    return recoveries.recovered(endpoint) && recoveries.earlierPins(endpoint).every((pin) => pin.instance !== undefined)
  }

  private async sendHandOver (record: OwnershipRecord, recovered: boolean): Promise<void> {
    const { peers, source } = this.options
    const { endpoint, owner, token } = record
    const { loaded, pins } = source.state(endpoint)
    const told = await peers.call(owner, { kind: 'hand-over', endpoint, token, recovered, loaded, pins }, CALL_TIMEOUT_MILLISECONDS)
    // Without this word the new owner asks all members itself, as after a loss.
    const accepted = told.isOk() && told.value.kind === 'accepted'
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

  /** The record is told on the same connection just before, but may come by another. */
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
