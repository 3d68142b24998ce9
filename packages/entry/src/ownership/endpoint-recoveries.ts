/** The recoveries of all endpoints that this instance owns. */
import { SystemClock } from '@limpetwinch/core'
import type { Clock, EndpointId, EngineClient, EngineSettings, Logger, RequestId } from '@limpetwinch/core'
import { TaskGroup } from '../concurrency/task-group.js'
import { Wake } from '../concurrency/wake.js'
import type { Membership } from '../membership/membership.js'
import type { PeerNetwork } from '../peers/peer-network.js'
import type { EarlierPin } from './earlier-pins.js'
import { EndpointRecovery, DEFAULT_RECOVERY_TIMES } from './endpoint-recovery.js'
import type { RecoveryTimes } from './endpoint-recovery.js'
import type { HandOverState } from './hand-over-source.js'
import type { OwnershipRecord } from './ownership.js'
import type { RecoveryStatus, StoreOwnership } from './store-ownership.js'

const CHECK_INTERVAL_MILLISECONDS = 1_000

/** What the recoveries are made of. */
export interface EndpointRecoveriesOptions {
  readonly peers: PeerNetwork
  readonly membership: Membership
  readonly ownership: StoreOwnership
  /** The engines of the settings in force, or undefined before there are any. */
  readonly engines: () => readonly EngineSettings[] | undefined
  readonly clientOf: (engine: EngineSettings) => EngineClient
  /** Whether this instance, as owner of the endpoint, granted a request itself. */
  readonly hasGranted: (endpoint: EndpointId, requestId: RequestId) => boolean
  readonly longestRequestMilliseconds: () => number
  readonly logger: Logger
  readonly clock?: Clock
  /** Uniform in 0 to 1. */
  readonly random?: () => number
  readonly times?: RecoveryTimes
  /** How long a clean hand-over may take to come after its record. */
  readonly handOverWaitMilliseconds?: number
}

interface Running {
  readonly recovery: EndpointRecovery
  readonly stopping: AbortController
  readonly handOverArrived: Wake
}

/** Starts a recovery for each record that becomes this instance's and answers what may be done meanwhile. */
export class EndpointRecoveries {
  private readonly options: EndpointRecoveriesOptions
  private readonly clock: Clock
  private readonly logger: Logger
  private readonly running = new Map<EndpointId, Running>()
  private readonly tasks: TaskGroup
  private readonly wake = new Wake()

  /** @param options - the surroundings */
  constructor (options: EndpointRecoveriesOptions) {
    this.options = options
    this.clock = options.clock ?? new SystemClock()
    this.logger = options.logger.part('recovery')
    this.tasks = new TaskGroup(this.logger)
    options.ownership.setRecoveryStatus((record) => this.statusOf(record))
    options.ownership.onChange(() => this.wake.notify())
    options.peers.onNotice('admission-done', (_, frame) => this.running.get(frame.endpoint)?.recovery.endPin(frame.requestId))
  }

  /** Follows ownership until the signal ends it. */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.syncWithOwnership()
      await this.wake.wait(CHECK_INTERVAL_MILLISECONDS, signal)
    }
    for (const { stopping } of this.running.values()) stopping.abort()
    await this.tasks.settle()
  }

  /** @returns requests of earlier owners that may still run on an endpoint */
  earlierPins (endpoint: EndpointId): readonly EarlierPin[] {
    return this.running.get(endpoint)?.recovery.earlierPins() ?? []
  }

  /** @returns whether all earlier pins of an endpoint are known or ended */
  recovered (endpoint: EndpointId): boolean {
    return this.running.get(endpoint)?.recovery.recovered ?? false
  }

  /** Takes up a hand-over; the record must be in force here. */
  applyHandOver (record: OwnershipRecord, state: HandOverState, recovered: boolean): void {
    const running = this.start(record)
    if (running === undefined) return
    running.recovery.applyHandOver(state.pins, recovered)
    running.handOverArrived.notify()
  }

  private statusOf (record: OwnershipRecord): RecoveryStatus {
    const recovery = this.running.get(record.endpoint)?.recovery
    if (recovery === undefined || recovery.record.token !== record.token) return { fenced: false, recovered: false }
    return recovery
  }

  private syncWithOwnership (): void {
    const owned = new Map(this.options.ownership.owned().map((record) => [record.endpoint, record]))
    for (const [endpoint, { recovery, stopping }] of this.running) {
      if (owned.get(endpoint)?.token === recovery.record.token) continue
      stopping.abort()
      this.running.delete(endpoint)
    }
    for (const record of owned.values()) this.start(record)
  }

  private start (record: OwnershipRecord): Running | undefined {
    const present = this.running.get(record.endpoint)
    if (present?.recovery.record.token === record.token) return present
    const engine = this.options.engines()?.find((candidate) => candidate.endpoint === record.endpoint)
    if (engine === undefined) return undefined
    present?.stopping.abort()
    const running: Running = { recovery: this.createRecovery(record, engine), stopping: new AbortController(), handOverArrived: new Wake() }
    this.running.set(record.endpoint, running)
    this.tasks.spawn('recovery', async () => await this.recover(running))
    return running
  }

  /** A clean hand-over brings the pins; when it does not come, its sender was lost on the way. */
  private async recover ({ recovery, stopping, handOverArrived: arrived }: Running): Promise<void> {
    if (recovery.record.handedOverFrom !== undefined && !recovery.recovered) {
      await arrived.wait(this.options.handOverWaitMilliseconds ?? 2_000, stopping.signal)
    }
    await recovery.run(stopping.signal)
  }

  private createRecovery (record: OwnershipRecord, engine: EngineSettings): EndpointRecovery {
    return new EndpointRecovery({
      record,
      engine,
      client: this.options.clientOf(engine),
      peers: this.options.peers,
      membership: this.options.membership,
      clock: this.clock,
      logger: this.logger,
      random: this.options.random ?? Math.random,
      times: this.options.times ?? DEFAULT_RECOVERY_TIMES,
      hasGranted: (requestId) => this.options.hasGranted(record.endpoint, requestId),
      longestRequestMilliseconds: this.options.longestRequestMilliseconds
    })
  }
}
