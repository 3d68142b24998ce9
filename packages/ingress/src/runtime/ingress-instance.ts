/** One ingress instance: creates its components, runs their tasks and stops them in order. */
import { newInstanceId, SystemClock } from '@limpetwinch/core'
import type { Clock, EndpointId, InstanceId, LineSink, Logger, TeamId } from '@limpetwinch/core'
import { EngineSpeeds, ErrorRates } from '@limpetwinch/decisions'
import { Supervisor, TcpPeerNetwork } from '@limpetwinch/entry'
import { AdapterLocations } from '../adapters/adapter-locations.js'
import { EngineInventory } from '../adapters/engine-inventory.js'
import { createEngineFinder } from '../admission/create-engine-finder.js'
import type { EngineFinder } from '../adapters/engine-finder.js'
import { HeldAdapterNotices } from '../adapters/held-adapter-notices.js'
import { createLoadOwnership } from '../adapters/create-load-ownership.js'
import type { LoadOwnership } from '../adapters/load-ownership.js'
import { WeightStoreLimiter } from '../adapters/weight-store-limiter.js'
import { AcceptedConfiguration } from '../cluster-state/accepted-configuration.js'
import { AdapterVersions } from '../cluster-state/adapter-versions.js'
import { StateExchange } from '../cluster-state/state-exchange.js'
import { StateFreshness } from '../cluster-state/state-freshness.js'
import { ClusterView } from '../cluster-state/cluster-view.js'
import { StoreHealth } from '../cluster-state/store-health.js'
import { createEngineFigures } from '../engine-figures/create-engine-figures.js'
import type { EngineFigures } from '../engine-figures/engine-figures.js'
import { EndpointDirectory } from '../endpoints/endpoint-directory.js'
import { createEndpointNotices } from '../endpoints/create-endpoint-notices.js'
import { MemberList } from '../members/member-list.js'
import { IngressMetrics } from '../observability/ingress-metrics.js'
import { PeerOverlay } from '../overlay/peer-overlay.js'
import { createQuarantine } from '../quarantine/create-quarantine.js'
import type { QuarantineExchange } from '../quarantine/quarantine-exchange.js'
import { InstancePaths } from '../paths/create-paths.js'
import { QuotaOwners } from '../quotas/quota-owners.js'
import { EndpointSenders } from '../relay/endpoint-senders.js'
import { WaitingAttempts } from '../relay/waiting-attempts.js'
import { createListener } from '../relay/create-listener.js'
import { responseBytesFor } from '../relay/held-response-bytes.js'
import type { RoutedListener } from '../relay/routed-listener.js'
import type { Endpoint } from '../routes/configuration.js'
import { createStreamOrigins } from '../streams/create-stream-origins.js'
import type { StreamOrigins } from '../streams/stream-origins.js'
import { createRetryBudgets } from '../retries/create-retry-budgets.js'
import type { RetryBudgets } from '../retries/retry-budgets.js'
import { createRateLimiter } from '../rate-limits/create-rate-limiter.js'
import type { EndpointRateLimiter } from '../rate-limits/endpoint-rate-limiter.js'
import { createPlaces } from '../places/create-places.js'
import type { ServicePlaces } from '../places/service-places.js'
import { createEjection } from '../routing/endpoint-ejection.js'
import { EngineRouter } from '../routing/engine-router.js'
import { FirstEventForecast } from '../routing/first-event-forecast.js'
import { EndpointWorkTracker } from '../routing/endpoint-work-tracker.js'
import { PreviousVersionLimit } from '../routing/previous-version-limit.js'
import { PrefixCacheEstimate } from '../routing/prefix-cache-estimate.js'
import { Teams } from '../teams/teams.js'
import type { IngressPlatform } from './ingress-platform.js'
import type { IngressSettings } from './ingress-settings.js'
import { PeerMessaging } from './peer-messaging.js'
import { freshnessLimits } from './freshness-limits.js'
import type { FollowerDependencies } from './platform-followers.js'
import { readGauges } from './gauge-readings.js'
import type { GaugeSources } from './gauge-readings.js'
import { createRequestExplainer } from '../operator/create-request-explainer.js'
import { MonitoringServers } from './monitoring-servers.js'
import { StoreReader } from './store-reader.js'
import { watchForProcessPauses } from './pause-watch.js'
import { waitAtMost } from './wait-at-most.js'
import { stopGracefully } from './graceful-stop.js'

/** Part of the time between the stop signal and the kill that is reserved for closing connections and writing the last log lines. */
const EXIT_MILLISECONDS = 300
/** Interval between heartbeats; an unresponsive peer is detected within three of them. */
const HEARTBEAT_MILLISECONDS = 500
/** Interval of housekeeping, which removes endpoints with lapsed entries, closes idle connections and decays the error rates of endpoints. */
const HOUSEKEEPING_MILLISECONDS = 250
/** Factor applied to each error rate in every housekeeping, so that an endpoint avoided for its errors is tried again after some seconds. */
const ERROR_DECAY = 0.97
/** Time after a process pause in which this instance sends no load orders, so that this instance reads the store again first. */
const ORDER_PAUSE_MILLISECONDS = 1_000

/** One ingress instance with all its components. */
export class IngressInstance {
  readonly instance = newInstanceId()
  readonly metrics: IngressMetrics
  private readonly settings: IngressSettings
  private readonly platform: IngressPlatform
  private readonly logger: Logger
  private readonly sink: LineSink
  private readonly clock: Clock = new SystemClock()
  private readonly supervisor: Supervisor
  private readonly network: TcpPeerNetwork
  private readonly overlay: PeerOverlay
  private readonly members: MemberList
  private readonly health: StoreHealth
  private readonly freshness: StateFreshness
  private readonly configuration: AcceptedConfiguration
  private readonly teams: Teams
  private readonly directory: EndpointDirectory
  private readonly paths: InstancePaths
  private readonly engines: EngineInventory
  private readonly versions: AdapterVersions
  private readonly origins: StreamOrigins
  private readonly cluster: ClusterView
  private readonly exchange: StateExchange
  private readonly storeReader: StoreReader
  private readonly locations = new AdapterLocations()
  private readonly storeLimiter = new WeightStoreLimiter(() => this.engines.engineCount)
  private readonly workTracker = new EndpointWorkTracker((endpoint) => this.speeds.prefillRate(endpoint))
  private readonly speeds = new EngineSpeeds((endpoint) => this.directory.find(endpoint as EndpointId)?.service ?? '')
  private readonly forecast = new FirstEventForecast(this.speeds)
  private readonly waitingAttempts = new WaitingAttempts()
  private readonly prefixCache = new PrefixCacheEstimate()
  private readonly ejection = createEjection()
  private readonly errors = new ErrorRates()
  private readonly rateLimiter: EndpointRateLimiter
  private readonly places: ServicePlaces
  private readonly budgets: RetryBudgets
  private readonly endpointNotices: ReturnType<typeof createEndpointNotices>
  private readonly heldNotices: HeldAdapterNotices
  private readonly figures: EngineFigures
  private readonly loadOwnership: LoadOwnership
  private readonly engineFinder: EngineFinder
  private readonly messaging: PeerMessaging
  private readonly quarantine: QuarantineExchange
  private readonly senders: EndpointSenders
  private readonly listener: RoutedListener
  private readonly monitoring: MonitoringServers
  private stopping = false
  private stopped: Promise<void> | undefined

  /**
   * @param settings - settings of this instance
   * @param platform - creates the access to the platform
   * @param logger - logger of all components
   * @param sink - destination of the log lines, which counts the dropped ones
   */
  constructor (settings: IngressSettings, platform: (onStoreCall: IngressMetrics['storeCall']) => IngressPlatform, logger: Logger, sink: LineSink) {
    this.settings = settings
    this.logger = logger
    this.sink = sink
    this.metrics = new IngressMetrics(() => readGauges(this.gaugeSources()))
    this.platform = platform((kind, outcome, milliseconds) => this.metrics.storeCall(kind, outcome, milliseconds))
    this.supervisor = new Supervisor(logger.part('supervisor'), this.clock)
    const { dataCentre, peerAddress: address } = settings
    this.network = new TcpPeerNetwork({ instance: this.instance, dataCentre, address, logger, clock: this.clock, heartbeatMilliseconds: HEARTBEAT_MILLISECONDS, remoteHeartbeatFactor: 1 })
    this.health = new StoreHealth(logger.part('store'), () => this.freshness.ageMilliseconds('endpoints'))
    const self = { name: settings.name, instance: this.instance, address: settings.peerAddress, chunkedTunnelAddress: settings.tunnelAddress, dataCentre: settings.dataCentre, cores: settings.cores }
    this.overlay = new PeerOverlay({ self, network: this.network, clock: this.clock, logger: logger.part('overlay') })
    this.members = new MemberList(self, this.platform.store, this.overlay, this.clock, logger.part('members'))
    this.freshness = new StateFreshness(freshnessLimits(settings), this.clock, logger.part('state'))
    this.configuration = new AcceptedConfiguration(logger.part('configuration'), () => this.freshness.ageMilliseconds('configuration'))
    this.directory = new EndpointDirectory(logger.part('endpoints'))
    const { clock, directory, members, overlay, metrics, speeds, workTracker } = this
    this.endpointNotices = createEndpointNotices({ clock, logger, directory, members, overlay, metrics, ejection: this.ejection })
    this.paths = new InstancePaths({ self: this.instance, clock, logger: logger.part('paths'), directory, members, overlay, metrics, isBackingOff: (endpoint) => this.rateLimiter.backoffs.isBackingOff(endpoint) })
    this.engines = new EngineInventory(this.directory, this.configuration, this.workTracker, this.clock)
    this.versions = new AdapterVersions(logger.part('versions'), settings.newVersionMilliseconds)
    this.cluster = new ClusterView(({ members, loadOwners, quarantineDecisions }, revision) => {
      this.members.apply(members, revision)
      this.loadOwnership.apply(loadOwners, revision)
      this.origins.applyLoadOwners(loadOwners)
      this.quarantine.apply(quarantineDecisions)
      this.storeReader.reevaluate()
    })
    const areMembersKnown = (): boolean => this.cluster.revision > 0
    const { configuration, versions, cluster, health, freshness } = this
    this.exchange = new StateExchange(this.network, this.overlay, { configuration, directory, versions, cluster, health, freshness }, this.clock)
    // An endpoint that does not check fencing tokens must not get load orders from two instances. Only an instance that reads the store
    // itself learns in time that it has lost the load ownership.
    const isNeeded = (): boolean => !settings.fencedEndpoints || this.exchange.needsStore
    this.storeReader = new StoreReader(this.followerDependencies(), {
      isNeeded, areMembersKnown, onProbed: () => this.exchange.shareProof()
    }, this.clock, logger.part('store'))
    this.origins = createStreamOrigins({ self: this.instance, clock, logger: logger.part('streams'), metrics, freshness, members, overlay, areMembersKnown })
    const owners = new QuotaOwners({ self: this.instance, clock: this.clock, candidates: () => this.quotaOwnerCandidates() })
    this.teams = this.createTeams(owners)
    const shared = { self: this.instance, clock, directory, members, overlay, owners, metrics }
    this.rateLimiter = createRateLimiter({ ...shared, logger: logger.part('limits'), areMembersKnown })
    this.places = createPlaces({ ...shared, logger: logger.part('places'), dataCentre: settings.dataCentre })
    this.heldNotices = new HeldAdapterNotices(this.overlay, this.locations, this.metrics, this.clock, this.instance)
    this.figures = createEngineFigures({ self: this.instance, clock, logger: logger.part('engines'), directory, overlay, speeds, workTracker, members, loadOwnership: () => this.loadOwnership })
    this.loadOwnership = this.createLoadOwnership()
    const loadMilliseconds = (): number => this.storeLimiter.expectedMilliseconds(this.locations.inFlight.count(this.clock.now()))
    const limit = new PreviousVersionLimit({ versions, locations: this.locations, waiting: this.waitingAttempts })
    const router = new EngineRouter({
      directory,
      workTracker,
      speeds,
      locations: this.locations,
      forecast: this.forecast,
      prefixes: this.prefixCache,
      ejection: this.ejection,
      backoffs: this.rateLimiter.backoffs,
      dataCentre: settings.dataCentre,
      leastVersion: (key, now) => this.versions.minimumUsable(key, now),
      mayBegin: (...sent) => limit.mayBegin(...sent),
      loadMilliseconds,
      ...this.loadOwnership.claimsOfEngines
    })
    const { rateLimiter, storeLimiter, forecast, ejection, locations, loadOwnership } = this
    const shareUsed = (team: TeamId): number | undefined => this.teams.shareUsed(team)
    this.engineFinder = createEngineFinder({ clock, logger: logger.part('relay'), metrics, configuration, router, rateLimiter, locations, storeLimiter, versions, overlay, directory, loadOwnership, workTracker, forecast, ejection, shareUsed, isEnabled: settings.admitsByForecast })
    const { network, heldNotices, engineFinder, figures: { digests } } = this
    this.messaging = new PeerMessaging({ self: this.instance, network, overlay, clock, workTracker, digests, locations, heldNotices, loadOwnership, engineFinder, metrics })
    this.budgets = createRetryBudgets({ settings, members, logger: logger.part('relay'), metrics })
    this.quarantine = createQuarantine({ self: this.instance, clock, logger: logger.part('quarantine'), metrics, network, overlay, store: this.platform.store, paths: this.paths, directory, versions, members })
    this.senders = this.createSenders()
    const wired = { clock, metrics, settings, configuration, freshness, directory, locations, workTracker, engineFinder, speeds }
    const relays = {
      ...wired,
      logger: logger.part('relay'),
      codec: this.platform.codec,
      budgets: this.budgets,
      versions: this.versions,
      waiting: this.waitingAttempts,
      forecast: this.forecast,
      prefixes: this.prefixCache,
      ejection: this.ejection,
      errors: this.errors,
      senders: this.senders,
      quarantine: this.quarantine.quarantine,
      rateLimiter: this.rateLimiter,
      places: this.places,
      admission: this.teams.admission,
      origins: this.origins
    }
    this.listener = createListener(relays)
    const explainer = createRequestExplainer({ ...relays, instance: settings.name, router, figures: this.figures, loadMilliseconds })
    this.monitoring = new MonitoringServers({ isReady: () => this.isReady(), metrics: async () => await this.metrics.text(), explainer })
    this.connectComponents()
  }

  /** Starts to serve requests and to follow the store. */
  async start (): Promise<void> {
    const { settings, logger } = this
    await this.listener.listen(settings.callerAddress)
    if (settings.tunnelAddress !== undefined) await this.paths.server.listen(settings.tunnelAddress)
    const { supervisor, network } = this
    void supervisor.start('peers', async (signal) => { await network.run(signal) })
    void supervisor.start('overlay', async (signal) => { await this.overlay.run(signal) })
    this.storeReader.start(supervisor)
    void supervisor.start('members', async (signal) => { await this.members.run(signal) })
    void supervisor.start('load duty', async (signal) => { await this.loadOwnership.run(signal) })
    void supervisor.start('quarantine', async (signal) => { await this.quarantine.run(signal) })
    void supervisor.start('beliefs', async (signal) => { await this.exchange.run(signal) })
    void supervisor.start('engine figures', async (signal) => { await this.figures.run(signal) })
    this.paths.start(supervisor)
    void supervisor.start('teams', async (signal) => { await this.teams.run(signal) })
    void supervisor.start('housekeeping', async (signal) => { await this.runHousekeeping(signal) })
    void supervisor.start('pauses', async (signal) => { await watchForProcessPauses(this.clock, logger.part('clock'), (milliseconds) => this.handlePause(milliseconds), signal) })
    await this.monitoring.listen(settings.readinessAddress, settings.metricsAddress)
    logger.info('This instance has started.', { instance: this.instance, ...settings })
  }

  /**
   * Stops gracefully. A second call waits for the same stop: if it resolved at once, its caller would end the process while
   * requests are still in progress.
   */
  async stop (): Promise<void> {
    this.stopped ??= this.performStop()
    await this.stopped
  }

  private async performStop (): Promise<void> {
    this.stopping = true
    const deadline = this.clock.now() + this.settings.stopMilliseconds - EXIT_MILLISECONDS
    this.members.leave()
    await stopGracefully({ listener: this.listener, tunnels: this.paths.server, clock: this.clock, logger: this.logger.part('stop'), graceMilliseconds: this.settings.stopMilliseconds })
    this.teams.stop()
    // The load ownership stops only now, because requests at this and other instances may have waited for loads that it orders.
    this.loadOwnership.stop()
    // An unresponsive store holds each call for more than a second; an instance that waited for it would be killed before it writes
    // its last log lines.
    await waitAtMost(deadline - this.clock.now(), this.members.unregister())
    await waitAtMost(deadline - this.clock.now(), this.supervisor.stop())
    this.monitoring.close()
    this.senders.close()
    await this.platform.close()
    this.logger.info('This instance has stopped.', { instance: this.instance })
  }

  private isReady (): boolean {
    return !this.stopping && this.configuration.current !== undefined && this.directory.revision > 0 && this.teams.admission.isProved
  }

  /** Another instance divides quotas while this one stops, so that no two instances divide the same quota. */
  private quotaOwnerCandidates (): readonly InstanceId[] {
    return this.overlay.usableHubs().filter((instance) => instance !== this.instance || !this.stopping)
  }

  private createTeams (owners: QuotaOwners): Teams {
    const { settings, clock, configuration, members, overlay, network, metrics } = this
    const shared = { settings, clock, configuration, members, overlay, owners, network, metrics }
    return new Teams({
      ...shared,
      self: this.instance,
      isReader: () => this.exchange.needsStore,
      readStore: async () => { await this.storeReader.confirmConfiguration() }
    })
  }

  private createLoadOwnership (): LoadOwnership {
    const { clock, logger, settings, health, members, directory, configuration, locations, workTracker, storeLimiter, versions, engines, heldNotices, overlay, rateLimiter } = this
    return createLoadOwnership({
      clock,
      logger: logger.part('loads'),
      settings,
      store: this.platform.store,
      ...this.endpointNotices,
      control: this.platform.control,
      health,
      members,
      directory,
      configuration,
      reachesService: this.paths.reachesService,
      locations,
      workTracker,
      storeLimiter,
      versions,
      engines,
      heldNotices,
      overlay,
      rateLimiter,
      senders: () => this.senders
    })
  }

  private createSenders (): EndpointSenders {
    const { clock, ejection, metrics, paths: { paths, dialler }, platform: { codec }, quarantine: { quarantine }, rateLimiter: { limits: rateLimits, brittle, backoffs } } = this
    const maximumResponseBytes = responseBytesFor(this.settings.memoryMegabytes)
    return new EndpointSenders({ codec, ejection, clock, logger: this.logger.part('relay'), metrics, quarantine, rateLimits, brittle, backoffs, ...this.endpointNotices, dialler, paths, maximumResponseBytes })
  }

  private followerDependencies (): FollowerDependencies {
    return {
      platform: this.platform,
      health: this.health,
      clock: this.clock,
      logger: this.logger.part('store'),
      onConfiguration: (configuration) => this.configuration.apply(configuration, 'store'),
      onConfigurationCurrent: (askedAt) => this.teams.configurationConfirmed(askedAt),
      onEndpoints: (endpoints, revision) => {
        const now = this.clock.now()
        this.directory.apply({ revision, endpoints }, this.health.recentOutageEnd(now), now)
      },
      onAnnouncements: (announcements) => this.versions.apply(announcements, 'store', this.clock.now()),
      onCluster: (objects, revision) => this.cluster.apply(objects, revision),
      freshness: this.freshness,
      isFirstStart: this.settings.isFirstStart,
      memberCount: () => this.members.count
    }
  }

  private connectComponents (): void {
    this.network.setHeartbeatBody(() => ({
      leaving: this.stopping, settingsHash: '', ownershipVersion: 0, storeReachable: this.health.reachable, ...this.teams.heartbeatFields()
    }))
    this.directory.onChange((endpoint, change) => this.endpointChanged(endpoint, change))
    this.directory.onListing((endpoints) => { for (const endpoint of endpoints) this.locations.applyStatement(endpoint) })
    this.origins.connect(this.network, this.directory)
    this.locations.inFlight.onCompleted((load) => this.storeLimiter.completed(load))
    this.versions.onNewVersion((key, version) => this.loadOwnership.versionAnnounced(key, version))
    this.messaging.connect()
    this.figures.connect(this.network)
    this.rateLimiter.connect(this.network, this.overlay)
    this.places.connect(this.network)
    this.rateLimiter.backoffs.connect((endpoint) => this.paths.server.carriedFor(endpoint))
    this.endpointNotices.connect(this.network)
    this.teams.connect()
    this.paths.connect(this.network, this.senders)
  }

  private endpointChanged (endpoint: Endpoint, change: 'arrived' | 'restarted' | 'leaving' | 'gone'): void {
    if (change === 'leaving') return
    if (change === 'gone') {
      this.locations.remove(endpoint.id)
      this.messaging.forget(endpoint.id)
      this.senders.forget(endpoint.id)
      this.paths.paths.forget(endpoint.id)
      this.errors.forget(endpoint.id)
    }
    if (change !== 'arrived') {
      this.rateLimiter.forget(endpoint.id)
      this.prefixCache.forget(endpoint.id)
      this.forecast.forget(endpoint.id)
    }
  }

  private async runHousekeeping (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.clock.sleep(HOUSEKEEPING_MILLISECONDS, signal)
      this.directory.expire(this.clock.now())
      this.freshness.report()
      this.senders.prune()
      this.paths.maintain(this.senders)
      this.errors.decay(ERROR_DECAY)
      this.teams.maintain()
      this.rateLimiter.maintain()
      this.places.maintain()
      this.listener.maintain()
      this.budgets.maintain(this.clock.now())
      this.origins.maintain()
    }
  }

  private handlePause (milliseconds: number): void {
    this.versions.paused(milliseconds, this.clock.now())
    this.loadOwnership.pauseUntil(this.clock.now() + ORDER_PAUSE_MILLISECONDS)
    this.exchange.markStale()
    this.freshness.forget()
    this.storeReader.reevaluate()
    this.storeReader.refresh()
  }

  private gaugeSources (): GaugeSources {
    const { teams, configuration, health, freshness, clock, members, directory, rateLimiter, places, paths, origins, sink, listener, overlay, network, quarantine, figures, endpointNotices: { unbounded } } = this
    return { unbounded, teams, configuration, health, freshness, clock, members, directory, rateLimiter, places, paths, origins, sink, listener, overlay, network, quarantine: quarantine.quarantine, figures }
  }
}
