/** One entry instance: creates all components, connects them and runs them under one supervisor tree. */
import type { HttpBindings } from '@hono/node-server'
import type { Hono } from 'hono'
import { HttpInstanceList, HttpObjectStore, newInstanceId, SystemClock } from '@limpetwinch/core'
import type { Clock, DataCentreId, EndpointId, EngineSettings, InstanceId, InstanceSettings, LoadedName, Logger } from '@limpetwinch/core'
import { ShareRetryBudget } from '@limpetwinch/decisions'
import type { RetryBudget } from '@limpetwinch/decisions'
import { adminApi } from './admin/admin-api.js'
import { settingsRoutes } from './admin/settings-routes.js'
import { Authentication } from './callers/authentication.js'
import { callerApi } from './callers/caller-api.js'
import { Completions } from './callers/completions.js'
import type { CompletionsOptions } from './callers/completions.js'
import { HttpServer } from './callers/http-server.js'
import { ServiceCalls } from './callers/service-calls.js'
import { TeamLimiters } from './callers/team-limiters.js'
import { EntryComponents } from './entry-components.js'
import { AdmissionClient } from './delivery/admission-client.js'
import { InFlightTable } from './delivery/in-flight-table.js'
import { ServiceDelivery } from './delivery/service-delivery.js'
import { EndpointClients } from './endpoints/endpoint-clients.js'
import { CoordinatedLoadTurns } from './loads/coordinated-load-turns.js'
import { PacedLoadTurns } from './loads/paced-load-turns.js'
import { ExplainLog } from './metrics/explain-log.js'
import { Metrics } from './metrics/metrics.js'
import type { ListMembership } from './membership/list-membership.js'
import { EndpointRecoveries } from './ownership/endpoint-recoveries.js'
import { HandOvers } from './ownership/hand-overs.js'
import type { StoreOwnership } from './ownership/store-ownership.js'
import { TcpPeerNetwork } from './peers/tcp-peer-network.js'
import { EndpointDirectory } from './routing/endpoint-directory.js'
import { PrefixTracker } from './routing/prefix-tracker.js'
import { Router } from './routing/router.js'
import { CurrentRoutingPolicy } from './routing/current-routing-policy.js'
import { Supervisor } from './runtime/supervisor.js'
import { WorkInProgress } from './runtime/work-in-progress.js'
import type { OwnedEndpoints } from './scheduling/owned-endpoints.js'
import { SchedulerHandOver } from './scheduling/scheduler-hand-over.js'
import type { SettingsFollower } from './settings/settings-follower.js'
import { SettingsHistory } from './settings/settings-history.js'
import { SettingsWriter } from './settings/settings-writer.js'

/** Time without an event after which the response stream of an engine is resumed on a new connection. */
const STREAM_IDLE_TIMEOUT_MILLISECONDS = 5_000
/**
 * Maximum number of successive resumes of a response stream that bring no further part of the response. After more of them, the stream
 * counts as stalled if connections failed, and the request fails if the engine itself reported the failures.
 */
const RESUMES_WITHOUT_PROGRESS = 3
/**
 * Time after the first settings were applied at which an instance becomes ready even if it has not received the digests of all owners. A
 * digest is the state of an endpoint for routing, sent by the owner of the endpoint.
 */
const OWNER_DIGESTS_TIMEOUT_MILLISECONDS = 10_000
/** How long a stopping instance still accepts connections, so that the load balancer and the peers can notice that the instance is not ready. */
const LEAVING_ANNOUNCEMENT_MILLISECONDS = 1_000
/** Time between sending the goodbye frame and closing the peer connections, so that the frame can reach the peers. */
const GOODBYE_DELIVERY_MILLISECONDS = 50
/** Maximum time that a stopping instance waits, after its last request has ended, until its endpoints are handed over to new owners. */
const HAND_OVER_TIMEOUT_MILLISECONDS = 3_000

/** The addresses on which an instance listens. */
export interface ListeningAddresses {
  readonly caller: string
  readonly admin: string
  readonly peer: string
}

/** One entry instance with all its components. */
export class EntryInstance {
  readonly instance: InstanceId = newInstanceId()
  readonly dataCentre: DataCentreId
  private readonly settings: InstanceSettings
  private readonly components: EntryComponents
  private readonly logger: Logger
  private readonly clock: Clock = new SystemClock()
  private readonly supervisor: Supervisor
  private readonly store: HttpObjectStore
  private readonly instanceList: HttpInstanceList
  private readonly network: TcpPeerNetwork
  private readonly membership: ListMembership
  private readonly follower: SettingsFollower
  private readonly ownership: StoreOwnership
  private readonly directory = new EndpointDirectory()
  private readonly prefixes = new PrefixTracker()
  private readonly inFlight = new InFlightTable()
  private readonly explain = new ExplainLog()
  private readonly measures: Metrics
  private readonly retryBudget: RetryBudget = new ShareRetryBudget()
  private readonly work = new WorkInProgress()
  private readonly clients: EndpointClients
  private readonly routing = new CurrentRoutingPolicy()
  private readonly recoveries: EndpointRecoveries
  private readonly owned: OwnedEndpoints
  private readonly handOvers: HandOvers
  private readonly callerServer: HttpServer
  private readonly adminServer: HttpServer
  private stopping = false
  private settingsAppliedAt: number | undefined

  /**
   * @param settings - the start-up settings of the instance
   * @param logger - the logger of the process
   * @param components - creates the replaceable components
   */
  constructor (settings: InstanceSettings, logger: Logger, components: EntryComponents = new EntryComponents()) {
    this.settings = settings
    this.components = components
    this.clients = new EndpointClients((engine) => components.engineClient(engine))
    this.logger = logger.part('instance')
    this.dataCentre = settings.dataCentre as DataCentreId
    const { clock } = this
    this.supervisor = new Supervisor(logger.part('supervisor'), clock)
    this.store = new HttpObjectStore(settings.platform)
    this.instanceList = new HttpInstanceList(settings.platform)
    this.measures = new Metrics(settings.metrics)
    const { timing } = settings
    this.network = new TcpPeerNetwork({
      instance: this.instance,
      dataCentre: this.dataCentre,
      address: `${settings.address.host}:${settings.address.peerPort}`,
      logger,
      clock,
      heartbeatMilliseconds: timing.heartbeatMilliseconds
    })
    this.membership = this.components.membership({
      peers: this.network,
      list: this.instanceList,
      logger,
      clock,
      pollIntervalMilliseconds: timing.instanceListMilliseconds,
      suspectAfterMilliseconds: timing.suspectMilliseconds
    })
    this.follower = this.components.settings({
      store: this.store,
      network: this.network,
      membership: this.membership,
      membershipKnown: () => this.membership.ready(),
      logger,
      clock,
      watchMilliseconds: timing.settingsWatchMilliseconds
    })
    this.ownership = this.components.ownership({
      peers: this.network,
      membership: this.membership,
      store: this.store,
      engines: () => this.configuredEngines(),
      logger,
      clock
    })
    this.recoveries = new EndpointRecoveries({
      peers: this.network,
      membership: this.membership,
      ownership: this.ownership,
      engines: () => this.configuredEngines(),
      clientOf: (engine) => this.clients.engine(engine),
      hasGranted: (endpoint, requestId) => this.owned.get(endpoint)?.scheduler.running.has(requestId) ?? false,
      longestRequestMilliseconds: () => 1000 * (this.follower.current()?.policy.longestRequestSeconds ?? Infinity),
      times: this.components.recoveryTimes(),
      logger,
      clock
    })
    this.owned = this.buildOwnedEndpoints(logger)
    this.handOvers = new HandOvers({
      peers: this.network,
      ownership: this.ownership,
      recoveries: this.recoveries,
      source: new SchedulerHandOver(this.owned, (endpoint) => this.recoveries.earlierPins(endpoint)),
      logger,
      clock
    })
    this.follower.onChange(() => this.settingsChanged())
    this.handlePinsAsks()
    this.network.onNotice('endpoint-digest', (from, frame) => { this.directory.applyDigest(from, frame, clock.now()) })
    this.describeHeartbeats()
    const router = this.buildRouter()
    this.callerServer = this.buildCallerServer(router)
    this.adminServer = this.buildAdminServer()
  }

  /**
   * Starts listening and starts the background tasks.
   *
   * @returns the addresses, as soon as they are known and before the instance is ready
   */
  async start (): Promise<ListeningAddresses> {
    const { address } = this.settings
    const peer = (await this.network.listen())._unsafeUnwrap()
    const caller = await this.callerServer.listen(address.host, address.callerPort)
    const admin = await this.adminServer.listen(address.host, address.adminPort)
    void this.supervisor.start('peers', async (signal) => await this.network.run(signal))
    void this.supervisor.start('membership', async (signal) => await this.membership.run(signal))
    void this.supervisor.start('settings', async (signal) => await this.follower.run(signal))
    void this.supervisor.start('ownership', async (signal) => await this.ownership.run(signal))
    void this.supervisor.start('recoveries', async (signal) => await this.recoveries.run(signal))
    void this.supervisor.start('hand-overs', async (signal) => await this.handOvers.run(signal))
    void this.supervisor.start('digests', async (signal) => await this.owned.broadcast(signal))
    this.logger.info('The instance is listening.', { caller, admin, peer, instance: this.instance })
    return { caller, admin, peer }
  }

  /**
   * Whether the instance can serve requests: settings are in force, and the owners of the data centre's engines have sent
   * their digests or have had enough time to do so. Before that, each request would be refused because no endpoint is known.
   */
  get isReady (): boolean {
    const settings = this.follower.current()
    if (settings === undefined || this.settingsAppliedAt === undefined) return false
    if (this.clock.now() - this.settingsAppliedAt > OWNER_DIGESTS_TIMEOUT_MILLISECONDS) return true
    return this.directory.enginesIn(settings)
      .filter((engine) => engine.dataCentre === this.dataCentre)
      .every((engine) => this.directory.get(engine.endpoint)?.digest.healthy === true)
  }

  /**
   * Stops gracefully: the instance first reports that it is not ready, then accepts no new requests, and then finishes the
   * requests in progress.
   *
   * @returns the number of requests that were still in progress at the stop timeout and were cut off
   */
  async stop (): Promise<number> {
    this.logger.info('The instance is stopping.', { requestsInProgress: this.work.count })
    this.stopping = true
    this.membership.startLeaving()
    const timedOut = this.clock.sleep(1000 * this.settings.limits.stopSeconds, this.supervisor.signal).then(() => false)
    const finished = await Promise.race([this.drain().then(() => true), timedOut])
    const cut = finished ? 0 : this.work.count
    if (cut > 0) this.logger.error('Requests are cut off because the stop timeout has passed.', { requests: cut })
    await this.end()
    return cut
  }

  /**
   * Finishes all requests and hands over the owned endpoints. New requests are accepted until the load balancer has had time to notice
   * that this instance is no longer ready.
   */
  private async drain (): Promise<void> {
    const handOverTimeout = new AbortController()
    const handedOver = this.handOvers.handOverAll(AbortSignal.any([this.supervisor.signal, handOverTimeout.signal]))
    await this.clock.sleep(LEAVING_ANNOUNCEMENT_MILLISECONDS)
    await Promise.allSettled([this.callerServer.close(), this.work.finished()])
    // The wait is limited: if all instances stop, no instance is left to hand over to. Endpoints that are not handed over get new owners
    // as after a crash.
    const timer = setTimeout(() => handOverTimeout.abort(), HAND_OVER_TIMEOUT_MILLISECONDS)
    const remaining = await handedOver
    clearTimeout(timer)
    if (remaining.length > 0) this.logger.warn('Endpoints were not handed over; other instances have to take them over.', { endpoints: remaining })
    // The goodbye tells peers that nothing runs here any more, so that they need not wait for the platform's list.
    this.membership.sendGoodbye()
    await this.clock.sleep(GOODBYE_DELIVERY_MILLISECONDS)
  }

  /** Ends this instance without finishing its requests or announcing the end, like a crash. Used by tests. */
  async kill (): Promise<void> {
    this.callerServer.destroy()
    await this.end()
  }

  private async end (): Promise<void> {
    await this.supervisor.stop()
    this.callerServer.destroy()
    this.adminServer.destroy()
    this.measures.close()
    await Promise.allSettled([this.store.close(), this.instanceList.close(), this.clients.close()])
    this.logger.info('The instance has stopped.')
  }

  private buildOwnedEndpoints (logger: Logger): OwnedEndpoints {
    return this.components.ownedEndpoints({
      supervisor: this.supervisor.child('scheduler'),
      network: this.network,
      membership: this.membership,
      ownership: this.ownership,
      settings: () => this.follower.current(),
      directory: this.directory,
      loadTurns: new CoordinatedLoadTurns({
        peers: this.network,
        membership: this.membership,
        logger,
        fallback: new PacedLoadTurns(() => this.loadsPerSecondOfInstance(), this.clock),
        scope: 'deployment',
        clock: this.clock
      }),
      earlierPins: (endpoint) => this.earlierPinnedNames(endpoint),
      clientOf: (engine) => this.clients.engine(engine),
      clock: this.clock,
      logger: logger.part('scheduler')
    })
  }

  private buildRouter (): Router {
    return new Router({
      dataCentre: this.dataCentre,
      directory: this.directory,
      prefixes: this.prefixes,
      membership: this.membership,
      policy: () => this.routing.current(),
      clock: this.clock
    })
  }

  private buildCallerServer (router: Router): HttpServer {
    const { limits } = this.settings
    const admissions = new AdmissionClient(this.network, this.inFlight, (endpoint) => this.directory.get(endpoint)?.owner)
    const common: CompletionsOptions = {
      settings: () => this.follower.current(),
      authentication: new Authentication(),
      teamLimiters: new TeamLimiters(this.clock, () => this.membership.members().length),
      claims: this.components.claims(this.store, this.clock),
      delivery: this.components.delivery({
        router,
        admissions,
        directory: this.directory,
        prefixes: this.prefixes,
        clientOf: (engine) => this.clients.engine(engine),
        policy: () => this.routing.current(),
        retryBudget: this.retryBudget,
        explain: this.explain,
        shareUsed: (team) => this.owned.shareUsed(team),
        streamLimits: { idleTimeoutMilliseconds: STREAM_IDLE_TIMEOUT_MILLISECONDS, resumesWithoutProgress: RESUMES_WITHOUT_PROGRESS },
        clock: this.clock
      }),
      measures: this.measures,
      bodyLimits: { bytes: limits.bodyBytes, seconds: limits.bodySeconds },
      clock: this.clock
    }
    const services = new ServiceDelivery({
      dataCentre: this.dataCentre,
      membership: this.membership,
      clientOf: (endpoint, url) => this.clients.service(endpoint, url),
      retryBudget: this.retryBudget,
      explain: this.explain,
      clock: this.clock
    })
    return new HttpServer(callerApi({
      ...common,
      completions: new Completions(common),
      serviceCalls: new ServiceCalls(common, services),
      trackRequest: async (work) => await this.work.track(work)
    }), limits)
  }

  private buildAdminServer (): HttpServer {
    return new HttpServer(adminApi({
      network: this.network,
      membership: this.membership,
      ownership: this.ownership,
      directory: this.directory,
      owned: this.owned,
      inFlight: this.inFlight,
      settings: this.follower,
      requestsInProgress: () => this.work.count,
      storeCalls: () => this.store.calls,
      isReady: () => this.isReady,
      isStopping: () => this.stopping,
      administratorKeySha256: this.settings.administratorKeySha256,
      explain: this.explain,
      measures: this.measures,
      settingsRoutes: this.buildSettingsRoutes()
    }), this.settings.limits)
  }

  private buildSettingsRoutes (): Hono<{ Bindings: HttpBindings }> {
    const { store, follower, clock } = this
    const history = new SettingsHistory(store)
    const writer = new SettingsWriter({ store, follower, history, clock, logger: this.logger })
    const { administratorKeySha256, limits } = this.settings
    return settingsRoutes({ follower, writer, history, administratorKeySha256, bodySeconds: limits.bodySeconds })
  }

  /**
   * Responds to the `pins-ask` of a new owner with the requests of this instance that may still run on the endpoint. From then on, this
   * instance refuses admissions that were granted under older tokens.
   */
  private handlePinsAsks (): void {
    this.network.onCall('pins-ask', async (_from, frame) => ({
      kind: 'pins-report',
      pins: this.inFlight.raiseLowestToken(frame.endpoint, frame.token).map(({ requestId, loadedName, team }) => ({ requestId, loadedName, team }))
    }))
  }

  private describeHeartbeats (): void {
    this.network.setHeartbeatBody(() => ({
      leaving: this.stopping,
      settingsHash: this.follower.settingsHash(),
      ownershipVersion: this.ownership.announcedVersion(),
      storeReachable: this.ownership.storeReachable() && this.follower.storeReachable()
    }))
    this.network.onHeartbeat((from, heartbeat) => this.follower.receiveHash(from, heartbeat.frame.settingsHash))
  }

  private settingsChanged (): void {
    const settings = this.follower.current()
    if (settings === undefined) return
    this.settingsAppliedAt ??= this.clock.now()
    this.routing.applySettings(settings.policy)
    this.ownership.reevaluate()
    this.owned.reconcile()
  }

  private configuredEngines (): readonly EngineSettings[] | undefined {
    const settings = this.follower.current()
    return settings === undefined ? undefined : this.directory.enginesIn(settings)
  }

  private loadsPerSecondOfInstance (): number {
    const rate = this.follower.current()?.policy.loadsPerSecond ?? 1
    return rate / Math.max(1, this.membership.members().length)
  }

  private earlierPinnedNames (endpoint: EndpointId): ReadonlySet<LoadedName> {
    const names = this.recoveries.earlierPins(endpoint).map((pin) => pin.loadedName)
    return new Set(names.filter((name) => name !== undefined))
  }
}
