/** Recovery of an endpoint: how a new owner finds out which requests of earlier owners still run on the endpoint. */
import type { Clock, EngineClient, EngineReport, EngineSettings, InstanceId, Logger, RequestId } from '@limpetwinch/core'
import { Backoff } from '../concurrency/backoff.js'
import { forEachLimited } from '../concurrency/for-each-limited.js'
import type { Membership } from '../membership/membership.js'
import type { PeerNetwork } from '../peers/peer-network.js'
import { EarlierPins } from './earlier-pins.js'
import type { EarlierPin } from './earlier-pins.js'
import type { OwnershipRecord } from './ownership.js'

/** Delays between attempts to send the token to the engine, or to ask members for their pins, in milliseconds. */
const BACKOFF = { first: 100, largest: 2_000 }
/** Maximum number of members that one recovery asks for their pins at the same time. */
const MAXIMUM_CONCURRENT_CALLS = 32

/** Times of a recovery, in milliseconds. */
export interface RecoveryTimes {
  /** Time limit of one call that asks a member for its pins. */
  readonly callTimeout: number
  /**
   * After all members have reported their pins, the recovery waits this long without a new member before it stops
   * collecting pins. The platform's list lags, so the membership known to this instance may still be incomplete.
   */
  readonly settle: number
  /** Largest expected difference between the engine's wall clock and the one of this instance. */
  readonly maximumClockSkew: number
  /** Interval between reads of the engine's report, which names the requests that the engine runs. */
  readonly reportInterval: number
}

/** Default times of a recovery, in milliseconds; {@link RecoveryTimes} says what each of them limits. */
export const DEFAULT_RECOVERY_TIMES: RecoveryTimes = { callTimeout: 2_000, settle: 5_000, maximumClockSkew: 2_000, reportInterval: 1_000 }

/** Record, dependencies and times of a recovery. */
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
  /** Returns the longest time that a request may take. */
  readonly longestRequestMilliseconds: () => number
}

/**
 * The recovery of one endpoint under one fencing token.
 *
 * Waiting for a bounded time instead of for every answer would not be safe: a member whose process is paused between
 * its grant and its request starts the request when it resumes, however long the pause was. Only the member's own
 * answer that it no longer accepts older tokens, or the end of its process, rules that out.
 */
export class EndpointRecovery {
  readonly record: OwnershipRecord
  /** Whether the engine has received the token of the record; always true for an engine that ignores tokens. */
  fenced: boolean
  /** Whether each request that an earlier owner admitted to the endpoint is known to this instance or has ended. */
  recovered = false
  private readonly options: EndpointRecoveryOptions
  private readonly pins = new EarlierPins()
  private readonly answered = new Set<InstanceId>()
  /**
   * When every member had answered or had left, in milliseconds on both clocks. Requests that started before this time end
   * within the longest request time after this time.
   */
  private membersSettledAt: { readonly monotonic: number, readonly wall: number } | undefined
  /** Highest limit of the request time since the recovery began: a request keeps the limit that it started with. */
  private maximumRequestMilliseconds: number

  /** @param options - record, dependencies and times */
  constructor (options: EndpointRecoveryOptions) {
    this.options = options
    this.record = options.record
    this.maximumRequestMilliseconds = options.longestRequestMilliseconds()
    // Where the engine ignores tokens, loaded names that contain the token replace fencing.
    this.fenced = options.engine.fencing === 'ignores'
  }

  /** Fences the engine and recovers the endpoint; resolves when no earlier pin is left, or the signal is aborted. */
  async run (signal: AbortSignal): Promise<void> {
    await Promise.all([this.fence(signal), this.recover(signal)])
  }

  /** Applies the pins of the earlier owner; if that owner knew all earlier pins itself, no member has to be asked. */
  applyHandOver (pins: readonly EarlierPin[], recovered: boolean): void {
    this.pins.add(pins)
    if (!recovered) return
    this.fenced = true
    this.recovered = true
  }

  /** @returns requests that earlier owners granted and that may still run */
  earlierPins (): readonly EarlierPin[] {
    return this.pins.all()
  }

  /** Removes a pin after the member that ran the request announced that the request has ended. */
  endPin (requestId: RequestId): void {
    this.pins.end(requestId)
  }

  /**
   * Sends the token to the engine before the first grant. Until the engine has received the token, an earlier owner that was
   * paused could still unload an adapter that a request granted by this instance is about to use.
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
    // When a member leaves later, the engine's report shows when its pins end.
    while (!signal.aborted && this.pins.all().length > 0) {
      await this.options.clock.sleep(this.options.times.reportInterval, signal)
      if (this.pins.hasOrphans(this.isLiving)) await this.applyFreshReport()
    }
  }

  /** Asks for pins until every member has answered or has left, and no new member has appeared for the settle time. */
  private async collectPins (signal: AbortSignal): Promise<void> {
    const { clock, times, random } = this.options
    const backoff = new Backoff(BACKOFF, random)
    let settledAt = clock.now()
    while (!signal.aborted && !this.recovered) {
      const unanswered = this.unanswered()
      if (unanswered.length === 0) {
        if (clock.now() - settledAt >= times.settle) return this.settle()
        await clock.sleep(Math.min(times.settle / 4, BACKOFF.largest), signal)
        continue
      }
      await forEachLimited(unanswered, MAXIMUM_CONCURRENT_CALLS, async (instance) => await this.collectPinsFrom(instance, signal))
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
   * Waits for the engine's report, the only source for requests of members that have left. The report must have been
   * made after every member had answered or had left, since an earlier report may lack the last requests of such a
   * member. The queue in the report must be empty, since the report does not name queued requests. Once the longest
   * request time has passed, no such report is needed.
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

  /**
   * Applies the engine's report if the engine certainly made it after every member had answered or had left. Once the
   * longest request time has passed since then, removes the pins that belong to no living member instead.
   *
   * @returns the applied report, or undefined when none was applied
   */
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
