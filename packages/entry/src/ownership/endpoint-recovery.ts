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
const ASKS_AT_ONCE = 32

/** Times of a recovery, milliseconds. */
export interface RecoveryTimes {
  /** How long one ask may take. */
  readonly ask: number
  /** How long no new member may appear after all have answered: the list lags, and so does who is known here. */
  readonly settle: number
  /** How far the engine's wall clock may be from this one. */
  readonly clockMargin: number
  /** Between reads of the engine's report. */
  readonly report: number
}

/** The times in use unless told otherwise. */
export const RECOVERY_TIMES: RecoveryTimes = { ask: 2_000, settle: 5_000, clockMargin: 2_000, report: 1_000 }

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
  readonly granted: (requestId: RequestId) => boolean
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
  private settled: { readonly monotonic: number, readonly wall: number } | undefined
  /** The longest request time that was in force since the recovery began: a request keeps the one that it came with. */
  private longestMilliseconds: number

  /** @param options - record and surroundings */
  constructor (options: EndpointRecoveryOptions) {
    this.options = options
    this.record = options.record
    this.longestMilliseconds = options.longestRequestMilliseconds()
    // Names that carry the token do the work of fencing where the engine ignores tokens.
    this.fenced = options.engine.fencing === 'ignores'
  }

  /** Fences and recovers; ends when no earlier pin is left that the engine has to tell of. */
  async run (signal: AbortSignal): Promise<void> {
    await Promise.all([this.fence(signal), this.recover(signal)])
  }

  /** Takes up what the earlier owner handed over; nothing is left to ask when it knew all pins itself. */
  handedOver (pins: readonly EarlierPin[], recovered: boolean): void {
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
  pinEnded (requestId: RequestId): void {
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
      await this.askAll(signal)
      await this.takeFirstReport(signal)
    }
    if (this.settled === undefined) this.settle()
    // A member that is gone later leaves its pins to the report as well.
    while (!signal.aborted && this.pins.all().length > 0) {
      await this.options.clock.sleep(this.options.times.report, signal)
      if (this.pins.hasOrphans(this.living)) await this.youngReport()
    }
  }

  /** Asks until every member has answered or is gone, and no new one has appeared for a while. */
  private async askAll (signal: AbortSignal): Promise<void> {
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
      await forEachLimited(waiting, ASKS_AT_ONCE, async (instance) => await this.ask(instance, signal))
      settledAt = clock.now()
      if (this.unanswered().length > 0) await clock.sleep(backoff.next(), signal)
      else backoff.reset()
    }
  }

  private settle (): void {
    const { clock } = this.options
    this.settled = { monotonic: clock.now(), wall: clock.wallTime() }
  }

  private unanswered (): readonly InstanceId[] {
    const { membership } = this.options
    return membership.members().map((member) => member.instance).filter((instance) => !this.answered.has(instance))
  }

  private async ask (instance: InstanceId, signal: AbortSignal): Promise<void> {
    const { peers, times } = this.options
    const { endpoint, token } = this.record
    const answer = await peers.call(instance, { kind: 'pins-ask', endpoint, token }, times.ask, signal)
    if (answer.isErr() || answer.value.kind !== 'pins-report') return
    this.pins.add(answer.value.pins.map((pin) => ({ ...pin, instance })))
    this.answered.add(instance)
  }

  /**
   * Requests of members that are gone show only in the engine's report: one made after all else was settled, since an
   * earlier one may lack what such a member started last, and with nothing queued, since the queue has no names.
   */
  private async takeFirstReport (signal: AbortSignal): Promise<void> {
    const { clock, times, logger } = this.options
    while (!signal.aborted && !this.recovered) {
      const report = await this.youngReport()
      if ((report !== undefined && report.queued === 0) || this.longestPassed()) {
        this.recovered = true
        logger.info('An endpoint is recovered.', { endpoint: this.record.endpoint, earlierPins: this.pins.all().length })
        return
      }
      await clock.sleep(times.report, signal)
    }
  }

  private async youngReport (): Promise<EngineReport | undefined> {
    if (this.longestPassed()) {
      this.pins.expire(this.living)
      return undefined
    }
    const report = await this.options.client.report()
    if (report.isErr() || this.settled === undefined) return undefined
    if (report.value.madeAt <= this.settled.wall + this.options.times.clockMargin) return undefined
    this.pins.takeReport(report.value, this.options.granted, this.living)
    return report.value
  }

  private longestPassed (): boolean {
    this.longestMilliseconds = Math.max(this.longestMilliseconds, this.options.longestRequestMilliseconds())
    if (this.settled === undefined) return false
    return this.options.clock.now() - this.settled.monotonic > this.longestMilliseconds
  }

  private readonly living = (instance: InstanceId): boolean => {
    const member = this.options.membership.member(instance)
    return member !== undefined && member.state !== 'gone'
  }
}
