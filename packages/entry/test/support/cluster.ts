/** Instances with peer network, membership and ownership in one process, connected over real sockets. */
import { setTimeout as sleep } from 'node:timers/promises'
import { InstanceList, LimpetwinchError, silentLogger, SystemClock } from '@limpetwinch/core'
import type { Clock, DataCentreId, EndpointId, EngineSettings, InstanceId, ListedInstance, Logger } from '@limpetwinch/core'
import { EndpointRecoveries, HandOvers, ListMembership, StoreOwnership, TcpPeerNetwork } from '@limpetwinch/entry'
import { MemoryObjectStore } from '@limpetwinch/stand-ins'
import { errAsync, okAsync } from 'neverthrow'
import type { ResultAsync } from 'neverthrow'
import { EngineInMemory } from './engine-in-memory.js'
import { Relays } from './relay.js'
import { SchedulerInMemory } from './scheduler-in-memory.js'

export const HEARTBEAT_MILLISECONDS = 100
const DATA_CENTRE = 'place' as DataCentreId

/** The platform's instance list, controlled by the test. */
export class ListInMemory extends InstanceList {
  lines: ListedInstance[] = []
  outage = false
  /** Instances that cannot read the list. */
  readonly cutOff = new Set<string>()

  override read (): ResultAsync<readonly ListedInstance[], LimpetwinchError> {
    if (this.outage) return errAsync(new LimpetwinchError('store-unavailable', { reason: 'outage' }))
    return okAsync(structuredClone(this.lines))
  }

  add (id: string, address: string, dataCentre: DataCentreId = DATA_CENTRE): void {
    this.lines.push({ id, kind: 'entry', address, dataCentre, state: 'live' })
  }

  remove (id: string): void {
    this.lines = this.lines.filter((line) => line.id !== id)
  }

  /** Lists an endpoint as leaving. */
  leave (endpoint: string): void {
    this.lines.push({ id: endpoint, kind: 'endpoint', address: '', dataCentre: DATA_CENTRE, state: 'leaving' })
  }
}

/** The list as one instance reads it: every other instance has the address of a relay in front of it. */
class RoutedList extends InstanceList {
  constructor (private readonly list: ListInMemory, private readonly relays: Relays, private readonly reader: string) {
    super()
  }

  override read (): ResultAsync<readonly ListedInstance[], LimpetwinchError> {
    if (this.list.cutOff.has(this.reader)) return errAsync(new LimpetwinchError('store-unavailable', { reason: 'cut off' }))
    return this.list.read().map(async (lines) => await Promise.all(lines.map(async (line) => {
      if (line.kind !== 'entry' || line.id === this.reader) return line
      return { ...line, address: await this.relays.route(this.reader, line.id, line.address) }
    })))
  }
}

/** A clock that a test sets forward, so that its instance sees time pass at once, as after a process pause. */
export class JumpingClock extends SystemClock {
  private offset = 0

  jump (milliseconds: number): void {
    this.offset += milliseconds
  }

  override wallTime (): number {
    return super.wallTime() + this.offset
  }

  override now (): number {
    return super.now() + this.offset
  }
}

/** One instance of the cluster. */
export interface TestInstance {
  readonly id: InstanceId
  readonly peers: TcpPeerNetwork
  readonly membership: ListMembership
  readonly ownership: StoreOwnership
  readonly recoveries: EndpointRecoveries
  readonly handOvers: HandOvers
  readonly scheduler: SchedulerInMemory
  /** Ends the instance without a goodbye, as a kill does. */
  readonly kill: () => Promise<void>
  readonly address: string
}

/** Options of a single instance. */
export interface TestInstanceOptions {
  readonly clock?: Clock
  readonly address?: string
  readonly rebalanceIntervalMilliseconds?: number
  readonly rankDelayMilliseconds?: number
}

/** A set of instances that share one platform. */
export class Cluster {
  readonly store = new MemoryObjectStore()
  readonly list = new ListInMemory()
  readonly relays = new Relays()
  readonly instances: TestInstance[] = []
  readonly engineClients = new Map<string, EngineInMemory>()
  /** The longest request time in the current settings of all instances. */
  longestRequestMilliseconds = 600_000
  engines: EngineSettings[] = []
  readonly logger: Logger = silentLogger()

  /** Puts engines `e0`, `e1` and so on into the settings of all instances. */
  setEngines (count: number, fencing: 'refuses' | 'ignores' = 'refuses'): void {
    for (let index = 0; index < count; index += 1) this.engineClients.set(`e${index}`, new EngineInMemory(fencing))
    this.engines = Array.from({ length: count }, (_, index): EngineSettings => ({
      endpoint: `e${index}` as EndpointId,
      url: 'http://127.0.0.1:1',
      dataCentre: DATA_CENTRE,
      baseModel: 'base',
      slots: 2,
      batchCapacity: 16,
      fencing
    }))
  }

  async start (id: string, options: TestInstanceOptions = {}): Promise<TestInstance> {
    const { logger } = this
    const clock = options.clock ?? new SystemClock()
    const engines = (): EngineSettings[] => this.engines
    const peers = new TcpPeerNetwork({
      instance: id as InstanceId,
      dataCentre: DATA_CENTRE,
      address: options.address ?? '127.0.0.1:0',
      logger,
      clock,
      heartbeatMilliseconds: HEARTBEAT_MILLISECONDS
    })
    const address = (await peers.listen())._unsafeUnwrap()
    this.list.add(id, address)
    const list = new RoutedList(this.list, this.relays, id)
    const membership = new ListMembership({
      peers,
      list,
      logger,
      clock,
      pollIntervalMilliseconds: HEARTBEAT_MILLISECONDS,
      suspectAfterMilliseconds: 3 * HEARTBEAT_MILLISECONDS
    })
    const ownership = new StoreOwnership({
      peers,
      membership,
      store: this.store,
      engines,
      logger,
      clock,
      takeOverDelayMilliseconds: 2 * HEARTBEAT_MILLISECONDS,
      storeCheckIntervalMilliseconds: 10 * HEARTBEAT_MILLISECONDS,
      rankDelayMilliseconds: options.rankDelayMilliseconds ?? 50,
      confirmationValidMilliseconds: 5 * HEARTBEAT_MILLISECONDS
    })
    const scheduler = new SchedulerInMemory(peers)
    const recoveries = new EndpointRecoveries({
      peers,
      membership,
      ownership,
      engines,
      clientOf: (engine) => this.engineClients.get(engine.endpoint) as EngineInMemory,
      hasGranted: () => false,
      longestRequestMilliseconds: () => this.longestRequestMilliseconds,
      logger,
      clock,
      times: { callTimeout: 4 * HEARTBEAT_MILLISECONDS, settle: HEARTBEAT_MILLISECONDS, maximumClockSkew: 0, reportInterval: HEARTBEAT_MILLISECONDS }
    })
    const handOvers = new HandOvers({
      peers,
      ownership,
      recoveries,
      source: scheduler,
      logger,
      clock,
      rebalanceIntervalMilliseconds: options.rebalanceIntervalMilliseconds ?? 3_600_000
    })
    peers.setHeartbeatBody(() => ({
      leaving: false,
      settingsHash: '',
      ownershipVersion: ownership.announcedVersion(),
      storeReachable: ownership.storeReachable()
    }))
    const ending = new AbortController()
    const running = Promise.all([peers, membership, ownership, recoveries, handOvers].map(async (part) => await part.run(ending.signal)))
    const kill = async (): Promise<void> => {
      ending.abort()
      await running
    }
    const instance: TestInstance = { id: id as InstanceId, peers, membership, ownership, recoveries, handOvers, scheduler, kill, address }
    this.instances.push(instance)
    return instance
  }

  /** Starts instances and waits until all are connected; engines that are set afterwards are shared among them. */
  async startAll (ids: readonly string[], options: TestInstanceOptions = {}): Promise<TestInstance[]> {
    const started = await Promise.all(ids.map(async (id) => await this.start(id, options)))
    await until(() => started.every((instance) => instance.peers.connected().length === ids.length - 1))
    // By then each instance has read a list that names all of them; an instance that no list has named counts as too new.
    const heartbeats = (instance: TestInstance): number => instance.peers.counts().heartbeat?.received ?? 0
    await until(() => started.every((instance) => heartbeats(instance) >= 5 * (ids.length - 1)))
    return started
  }

  /** Drops all traffic between one instance and all others, in both directions; platform and engines stay reachable. */
  isolate (id: string): void {
    for (const { id: other } of this.instances) {
      this.relays.cut(id, other)
      this.relays.cut(other, id)
    }
  }

  reconnect (id: string): void {
    for (const { id: other } of this.instances) {
      this.relays.restore(id, other)
      this.relays.restore(other, id)
    }
  }

  async end (): Promise<void> {
    await Promise.all(this.instances.map(async (instance) => await instance.kill()))
    await this.relays.close()
  }
}

/** @returns whether the instances together own all engines and know the same version of the ownership object */
export function ownAllAndAgree (cluster: Cluster, instances: readonly TestInstance[]): boolean {
  const [first] = instances
  if (first === undefined) return false
  const owned = instances.reduce((sum, instance) => sum + instance.ownership.owned().length, 0)
  const versions = new Set(instances.map((instance) => instance.ownership.announcedVersion()))
  return owned === cluster.engines.length && versions.size === 1
}

/** Waits until a condition holds; only the time limit of the test ends the wait. */
export async function until (holds: () => boolean): Promise<void> {
  while (!holds()) await sleep(5)
}
