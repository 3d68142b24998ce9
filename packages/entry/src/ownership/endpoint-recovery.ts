/** What a new owner does to learn what runs on an endpoint. */
import type { Clock, EngineClient, EngineReport, EngineSettings, InstanceId, Logger, RequestId } from '@limpetwinch/core'
import { Backoff } from '../concurrency/backoff.js'
import { forEachLimited } from '../concurrency/for-each-limited.js'
import type { Membership } from '../membership/membership.js'
import type { PeerNetwork } from '../peers/peer-network.js'
import { EarlierPins } from './earlier-pins.js'
import type { EarlierPin } from './earlier-pins.js'
import type { OwnershipRecord } from './ownership.js'

const BACKOFF = { first: 100, largest: 2_000 }
const MAXIMUM_CONCURRENT_CALLS = 32

/** Times of a recovery, milliseconds. */
export interface RecoveryTimes {
  /** How long one ask may take. */
  readonly callTimeout: number
  /** How long no new member may appear after all have answered: the list lags, and so does who is known here. */
  readonly settle: number
  /** How far the engine's wall clock may be from this one. */
  readonly maximumClockSkew: number
  /** Between reads of the engine's report. */
  readonly reportInterval: number
}

/** The times in use unless told otherwise. */
export const DEFAULT_RECOVERY_TIMES: RecoveryTimes = { callTimeout: 2_000, settle: 5_000, maximumClockSkew: 2_000, reportInterval: 1_000 }

/** What a recovery is made of. */
export interface EndpointRecoveryOptions {
  readonly record: OwnershipRecord
  readonly engine: EngineSettings
  readonly client: EngineClient
  readonly peers: PeerNetwork
  readonly membership: Membership
  readonly clock: Clock
  readonly logger: Logger
  readonly random: () => number
  readonly times: RecoveryTimes
  /** Whether this instance granted a request under the record. */
  readonly hasGranted: (requestId: RequestId) => boolean
  readonly longestRequestMilliseconds: () => number
}

/**
 * The recovery of one endpoint under one token.
 *
 * A bounded wait in place of the answers would not be safe: a member that is paused between its grant and its request
 * starts the request whenever it wakes, however long that takes. Only its own word that it honours no older token, or
 * the end of its process, rules that out.
 */
export class EndpointRecovery {
  readonly record: OwnershipRecord
  /** Whether an engine that refuses old tokens has seen this one. */
  fenced: boolean
  /** Whether all earlier pins are known or ended. */
  recovered = false
  private readonly options: EndpointRecoveryOptions
  private readonly pins = new EarlierPins()
  private readonly answered = new Set<InstanceId>()
  /** When every member had answered or was gone; what ran before that ends within the longest request time of it. */
  private membersSettledAt: { readonly monotonic: number, readonly wall: number } | undefined
  /** The longest request time that was in force since the recovery began: a request keeps the one that it came with. */
  private maximumRequestMilliseconds: number

  /** @param options - record and surroundings */
  constructor (options: EndpointRecoveryOptions) {
    this.options = options
    this.record = options.record
    this.maximumRequestMilliseconds = options.longestRequestMilliseconds()
    // Names that carry the token do the work of fencing where the engine ignores tokens.
    this.fenced = options.engine.fencing === 'ignores'
  }

  /** Fences and recovers; ends when no earlier pin is left that the engine has to tell of. */
  async run (signal: AbortSignal): Promise<void> {
    await Promise.all([this.fence(signal), this.recover(signal)])
  }

  /** Takes up what the earlier owner handed over; nothing is left to ask when it knew all pins itself. */
  applyHandOver (pins: readonly EarlierPin[], recovered: boolean): void {
    this.pins.add(pins)
    if (!recovered) return
    this.fenced = true
    this.recovered = true
  }

  /** @returns what earlier owners granted and what may still run */
  earlierPins (): readonly EarlierPin[] {
    return this.pins.all()
  }

  /** Ends a pin by its member's word. */
  endPin (requestId: RequestId): void {
    this.pins.end(requestId)
  }

  /**
   * Shows the engine the token before the first grant. Until it has seen it, an earlier owner that was paused could
   * still unload what a request granted here is about to use.
   */
  private async fence (signal: AbortSignal): Promise<void> {
    const { client, clock, engine, random, logger } = this.options
    if (engine.fencing === 'ignores') return
    const backoff = new Backoff(BACKOFF, random)
    while (!signal.aborted) {
      const ordered = await client.configure({}, this.record.token)
      if (ordered.isOk()) {
        this.fenced = true
        return
      }
      logger.debug('An engine could not be fenced.', { endpoint: this.record.endpoint, reason: ordered.error.message })
      await clock.sleep(backoff.next(), signal)
    }
  }

  private async recover (signal: AbortSignal): Promise<void> {
    if (!this.recovered) {
      await this.collectPins(signal)
      await this.awaitConclusiveReport(signal)
    }
    if (this.membersSettledAt === undefined) this.settle()
    // A member that is gone later leaves its pins to the report as well.
    while (!signal.aborted && this.pins.all().length > 0) {
      await this.options.clock.sleep(this.options.times.reportInterval, signal)
      if (this.pins.hasOrphans(this.isLiving)) await this.applyFreshReport()
    }
  }

  /** Asks until every member has answered or is gone, and no new one has appeared for a while. */
  private async collectPins (signal: AbortSignal): Promise<void> {
    const { clock, times, random } = this.options
    const backoff = new Backoff(BACKOFF, random)
    let settledAt = clock.now()
    while (!signal.aborted && !this.recovered) {
      const waiting = this.unanswered()
      if (waiting.length === 0) {
        if (clock.now() - settledAt >= times.settle) return this.settle()
        await clock.sleep(Math.min(times.settle / 4, BACKOFF.largest), signal)
        continue
      }
      await forEachLimited(waiting, MAXIMUM_CONCURRENT_CALLS, async (instance) => await this.collectPinsFrom(instance, signal))
      settledAt = clock.now()
      if (this.unanswered().length > 0) await clock.sleep(backoff.next(), signal)
      else backoff.reset()
    }
  }

  private settle (): void {
    const { clock } = this.options
    this.membersSettledAt = { monotonic: clock.now(), wall: clock.wallTime() }
  }

  private unanswered (): readonly InstanceId[] {
    const { membership } = this.options
    return membership.members().map((member) => member.instance).filter((instance) => !this.answered.has(instance))
  }

  private async collectPinsFrom (instance: InstanceId, signal: AbortSignal): Promise<void> {
    const { peers, times } = this.options
    const { endpoint, token } = this.record
    const answer = await peers.call(instance, { kind: 'pins-ask', endpoint, token }, times.callTimeout, signal)
    if (answer.isErr() || answer.value.kind !== 'pins-report') return
    this.pins.add(answer.value.pins.map((pin) => ({ ...pin, instance })))
    this.answered.add(instance)
  }

  /**
   * Requests of members that are gone show only in the engine's report: one made after all else was settled, since an
   * earlier one may lack what such a member started last, and with nothing queued, since the queue has no names.
   */
  private async awaitConclusiveReport (signal: AbortSignal): Promise<void> {
    const { clock, times, logger } = this.options
    while (!signal.aborted && !this.recovered) {
      const report = await this.applyFreshReport()
      if ((report !== undefined && report.queued === 0) || this.hasLongestRequestTimePassed()) {
        this.recovered = true
        logger.info('An endpoint is recovered.', { endpoint: this.record.endpoint, earlierPins: this.pins.all().length })
        return
      }
      await clock.sleep(times.reportInterval, signal)
    }
  }

  private async applyFreshReport (): Promise<EngineReport | undefined> {
    if (this.hasLongestRequestTimePassed()) {
      this.pins.removeOrphans(this.isLiving)
      return undefined
    }
    const report = await this.options.client.report()
    if (report.isErr() || this.membersSettledAt === undefined) return undefined
    if (report.value.madeAt <= this.membersSettledAt.wall + this.options.times.maximumClockSkew) return undefined
    this.pins.applyReport(report.value, this.options.hasGranted, this.isLiving)
    return report.value
  }

  private hasLongestRequestTimePassed (): boolean {
    this.maximumRequestMilliseconds = Math.max(this.maximumRequestMilliseconds, this.options.longestRequestMilliseconds())
    if (this.membersSettledAt === undefined) return false
    return this.options.clock.now() - this.membersSettledAt.monotonic > this.maximumRequestMilliseconds
  }

  private readonly isLiving = (instance: InstanceId): boolean => {
    const member = this.options.membership.member(instance)
    return member !== undefined && member.state !== 'gone'
  }
}
