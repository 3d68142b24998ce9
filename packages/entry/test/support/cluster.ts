/** Instances with peers, membership and ownership in one process, over real sockets. */
import { setTimeout as sleep } from 'node:timers/promises'
import { InstanceList, LimpetwinchError, silentLogger, SystemClock } from '@limpetwinch/core'
import type { Clock, DataCentreId, EndpointId, EngineSettings, InstanceId, ListedInstance, Logger } from '@limpetwinch/core'
import { ListMembership, StoreOwnership, TcpPeerNetwork } from '@limpetwinch/entry'
import { MemoryObjectStore } from '@limpetwinch/stand-ins'
import { errAsync, okAsync } from 'neverthrow'
import type { ResultAsync } from 'neverthrow'

export const HEARTBEAT = 50
const PLACE = 'place' as DataCentreId

/** The platform's list, under the test's control. */
export class ListInMemory extends InstanceList {
  lines: ListedInstance[] = []
  outage = false

  override read (): ResultAsync<readonly ListedInstance[], LimpetwinchError> {
    if (this.outage) return errAsync(new LimpetwinchError('store-unavailable', { reason: 'outage' }))
    return okAsync(structuredClone(this.lines))
  }

  add (id: string, address: string, dataCentre: DataCentreId = PLACE): void {
    this.lines.push({ id, kind: 'entry', address, dataCentre, state: 'live' })
  }

  remove (id: string): void {
    this.lines = this.lines.filter((line) => line.id !== id)
  }
}

/** A clock that a test sets forward: to its owner, time passes at once. */
export class JumpingClock extends SystemClock {
  private ahead = 0

  jump (milliseconds: number): void {
    this.ahead += milliseconds
  }

  override wallTime (): number {
    return super.wallTime() + this.ahead
  }

  override now (): number {
    return super.now() + this.ahead
  }
}

/** One instance of the cluster. */
export interface TestInstance {
  readonly id: InstanceId
  readonly peers: TcpPeerNetwork
  readonly membership: ListMembership
  readonly ownership: StoreOwnership
  /** Ends it as a kill would: no goodbye. */
  readonly kill: () => Promise<void>
  readonly address: string
}

/** What one instance may have of its own. */
export interface InstanceChoice {
  readonly clock?: Clock
  readonly address?: string
  /** Where the list says that it is, such as a relay before it. */
  readonly listedAs?: (address: string) => Promise<string>
  readonly dataCentre?: string
}

/** Instances on one platform. */
export class Cluster {
  readonly store = new MemoryObjectStore()
  readonly list = new ListInMemory()
  readonly instances: TestInstance[] = []
  engines: EngineSettings[] = []
  readonly logger: Logger = silentLogger()

  /** Sets engines `e0`, `e1`, and so on. */
  setEngines (count: number, fencing: 'refuses' | 'ignores' = 'refuses'): void {
    this.engines = Array.from({ length: count }, (_, index): EngineSettings => ({
      endpoint: `e${index}` as EndpointId,
      url: 'http://127.0.0.1:1',
      dataCentre: PLACE,
      baseModel: 'base',
      slots: 2,
      batchCapacity: 16,
      fencing
    }))
  }

  async start (id: string, choice: InstanceChoice = {}): Promise<TestInstance> {
    const { logger, store, list } = this
    const clock = choice.clock ?? new SystemClock()
    const dataCentre = (choice.dataCentre ?? PLACE) as DataCentreId
    const peers = new TcpPeerNetwork({ instance: id as InstanceId, dataCentre, address: choice.address ?? '127.0.0.1:0', logger, clock, heartbeatMilliseconds: HEARTBEAT })
    const address = (await peers.listen())._unsafeUnwrap()
    const listed = choice.listedAs === undefined ? address : await choice.listedAs(address)
    list.add(id, listed, dataCentre)
    const membership = new ListMembership({ peers, list, logger, clock, pollMilliseconds: HEARTBEAT, suspectAfterMilliseconds: 3 * HEARTBEAT })
    const ownership = new StoreOwnership({ peers, membership, store, engines: () => this.engines, logger, clock, rankDelayMilliseconds: 50, confirmedMilliseconds: 5 * HEARTBEAT })
    peers.describeHeartbeat(() => ({ leaving: false, settingsHash: '', ownershipVersion: ownership.announcedVersion(), storeReachable: ownership.storeReachable() }))
    const ending = new AbortController()
    const running = Promise.all([peers.run(ending.signal), membership.run(ending.signal), ownership.run(ending.signal)])
    const kill = async (): Promise<void> => {
      ending.abort()
      await running
    }
    const instance: TestInstance = { id: id as InstanceId, peers, membership, ownership, kill, address }
    this.instances.push(instance)
    return instance
  }

  async end (): Promise<void> {
    await Promise.all(this.instances.map(async (instance) => await instance.kill()))
  }
}

/** Waits until something holds; the test's own time limit is the only one. */
export async function until (holds: () => boolean): Promise<void> {
  while (!holds()) await sleep(5)
}
