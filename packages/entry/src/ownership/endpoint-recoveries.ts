/** Runs the recoveries of all endpoints that this instance owns; a recovery finds out which requests of earlier owners still run. */
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

/** Maximum interval between checks for changed ownership; a reported change triggers a check at once. */
const CHECK_INTERVAL_MILLISECONDS = 1_000

/** Dependencies and times of the recoveries. */
export interface EndpointRecoveriesOptions {
  readonly peers: PeerNetwork
  readonly membership: Membership
  readonly ownership: StoreOwnership
  /** The engines of the current settings, or undefined before settings have been read. */
  readonly engines: () => readonly EngineSettings[] | undefined
  readonly clientOf: (engine: EngineSettings) => EngineClient
  /** Whether this instance granted the request itself as owner of the endpoint. */
  readonly hasGranted: (endpoint: EndpointId, requestId: RequestId) => boolean
  /** Returns the longest time that a request may take. */
  readonly longestRequestMilliseconds: () => number
  readonly logger: Logger
  readonly clock?: Clock
  /** Returns a uniformly distributed number from 0 to 1. */
  readonly random?: () => number
  readonly times?: RecoveryTimes
  /** How long a recovery waits for the hand-over message of the earlier owner after the new record. */
  readonly handOverWaitMilliseconds?: number
}

interface ActiveRecovery {
  readonly recovery: EndpointRecovery
  readonly stopping: AbortController
  readonly handOverArrived: Wake
}

/** Runs one recovery for each record that this instance owns, and reports how far each recovery has got. */
export class EndpointRecoveries {
  private readonly options: EndpointRecoveriesOptions
  private readonly clock: Clock
  private readonly logger: Logger
  private readonly running = new Map<EndpointId, ActiveRecovery>()
  private readonly tasks: TaskGroup
  private readonly wake = new Wake()

  /** @param options - dependencies and times */
  constructor (options: EndpointRecoveriesOptions) {
    this.options = options
    this.clock = options.clock ?? new SystemClock()
    this.logger = options.logger.part('recovery')
    this.tasks = new TaskGroup(this.logger)
    options.ownership.setRecoveryStatus((record) => this.statusOf(record))
    options.ownership.onChange(() => this.wake.notify())
    options.peers.onNotice('admission-done', (_, frame) => this.running.get(frame.endpoint)?.recovery.endPin(frame.requestId))
  }

  /** Follows changes of ownership until the signal is aborted. */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.syncWithOwnership()
      await this.wake.wait(CHECK_INTERVAL_MILLISECONDS, signal)
    }
    for (const { stopping } of this.running.values()) stopping.abort()
    await this.tasks.settle()
  }

  /** @returns requests of earlier owners that may still run on the endpoint */
  earlierPins (endpoint: EndpointId): readonly EarlierPin[] {
    return this.running.get(endpoint)?.recovery.earlierPins() ?? []
  }

  /** @returns whether each request that an earlier owner admitted to the endpoint is known to this instance or has ended */
  recovered (endpoint: EndpointId): boolean {
    return this.running.get(endpoint)?.recovery.recovered ?? false
  }

  /** Applies the state that the earlier owner sent; this instance must already know the new record. */
  applyHandOver (record: OwnershipRecord, state: HandOverState, recovered: boolean): void {
    const started = this.start(record)
    if (started === undefined) return
    started.recovery.applyHandOver(state.pins, recovered)
    started.handOverArrived.notify()
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

  private start (record: OwnershipRecord): ActiveRecovery | undefined {
    const current = this.running.get(record.endpoint)
    if (current?.recovery.record.token === record.token) return current
    const engine = this.options.engines()?.find((candidate) => candidate.endpoint === record.endpoint)
    if (engine === undefined) return undefined
    current?.stopping.abort()
    const started: ActiveRecovery = { recovery: this.createRecovery(record, engine), stopping: new AbortController(), handOverArrived: new Wake() }
    this.running.set(record.endpoint, started)
    this.tasks.spawn('recovery', async () => await this.recover(started))
    return started
  }

  /**
   * In a planned hand-over the earlier owner sends its pins after the record. When these do not arrive in time, that
   * owner was lost in between, and the recovery asks all members instead.
   */
  private async recover ({ recovery, stopping, handOverArrived }: ActiveRecovery): Promise<void> {
    if (recovery.record.handedOverFrom !== undefined && !recovery.recovered) {
      await handOverArrived.wait(this.options.handOverWaitMilliseconds ?? 2_000, stopping.signal)
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
