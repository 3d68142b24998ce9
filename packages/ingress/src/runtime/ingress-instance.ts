/** One ingress instance: builds the parts, runs their tasks, stops them in order. */
import { newInstanceId, SystemClock } from '@limpetwinch/core'
import type { Clock, LineSink, Logger } from '@limpetwinch/core'
import { EngineSpeeds, ErrorRates, OutlierEjection, StallEvictionPolicy } from '@limpetwinch/decisions'
import { Supervisor, TcpPeerNetwork } from '@limpetwinch/entry'
import { AdapterLocations } from '../adapters/adapter-locations.js'
import { EngineFinder } from '../adapters/engine-finder.js'
import { HeldAdapterNotices } from '../adapters/held-adapter-notices.js'
import { LoadOwnership } from '../adapters/load-ownership.js'
import { isModelNeeded } from '../adapters/model-need.js'
import type { EngineUsage } from '../adapters/model-need.js'
import { ModelLoadRateLimiter } from '../adapters/model-load-rate-limiter.js'
import { WeightStoreLimiter } from '../adapters/weight-store-limiter.js'
import { AcceptedConfiguration } from '../cluster-state/accepted-configuration.js'
import { AdapterVersions } from '../cluster-state/adapter-versions.js'
import { StateExchange } from '../cluster-state/state-exchange.js'
import { ClusterView } from '../cluster-state/cluster-view.js'
import { StoreHealth } from '../cluster-state/store-health.js'
import { EndpointDirectory } from '../endpoints/endpoint-directory.js'
import { MemberList } from '../members/member-list.js'
import { IngressMetrics } from '../observability/ingress-metrics.js'
import type { GaugeReadings } from '../observability/ingress-metrics.js'
import { PeerOverlay } from '../overlay/peer-overlay.js'
import { QuarantineExchange } from '../quarantine/quarantine-exchange.js'
import { EndpointSenders } from '../relay/endpoint-senders.js'
import { RoutedListener } from '../relay/routed-listener.js'
import { ServiceRelay } from '../relay/service-relay.js'
import { StreamRelay } from '../relay/stream-relay.js'
import { RetryBudgets } from '../retries/retry-budgets.js'
import type { AdapterKey, Endpoint, ModelName, ServiceName } from '../routes/configuration.js'
import { EngineRouter } from '../routing/engine-router.js'
import { FirstEventForecast } from '../routing/first-event-forecast.js'
import { EndpointWorkTracker } from '../routing/endpoint-work-tracker.js'
import { PrefixCacheEstimate } from '../routing/prefix-cache-estimate.js'
import { ServiceRouter } from '../routing/service-router.js'
import { WorkDigests } from '../routing/work-digests.js'
import type { IngressPlatform } from './ingress-platform.js'
import type { IngressSettings } from './ingress-settings.js'
import { PeerMessaging } from './peer-messaging.js'
import type { FollowerDependencies } from './platform-followers.js'
import { MonitoringServers } from './monitoring-servers.js'
import { StoreReader } from './store-reader.js'
import { watchForProcessPauses } from './pause-watch.js'
import { waitAtMost } from './wait-at-most.js'
import { stopGracefully } from './graceful-stop.js'

/** Left of the time to stop for closing what is open and for the last lines. */
const EXIT_MILLISECONDS = 300
/** A silent peer is noticed within three of these. */
const HEARTBEAT_MILLISECONDS = 500
const HOUSEKEEPING_MILLISECONDS = 250
/** At each housekeeping: an endpoint that is avoided for its errors is tried again after some seconds. */
const ERROR_DECAY = 0.97
/** After a pause no order is given until the store has been read again. */
const ORDER_PAUSE_MILLISECONDS = 1_000
/**
 * Ejections here are short: an endpoint that comes back is needed at once, and one that fails again is ejected longer. The
 * floor is below the share of a data centre that is cut off from two others, which must not go on trying theirs.
 */
const EJECTION = { failuresToEject: 2, ejectionMilliseconds: 1_500, longestEjectionMilliseconds: 10_000, recoveryMilliseconds: 4_000, minimumUsableShare: 0.25 }

/** One instance. */
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
  private readonly configuration: AcceptedConfiguration
  private readonly directory: EndpointDirectory
  private readonly versions: AdapterVersions
  private readonly cluster: ClusterView
  private readonly exchange: StateExchange
  private readonly reading: StoreReader
  private readonly locations = new AdapterLocations()
  private readonly storePace = new WeightStoreLimiter(() => this.engineCount())
  private readonly board = new EndpointWorkTracker()
  private readonly speeds = new EngineSpeeds()
  private readonly forecast = new FirstEventForecast(this.speeds)
  private readonly prefixes = new PrefixCacheEstimate()
  private readonly ejection = new OutlierEjection(EJECTION)
  private readonly errors = new ErrorRates()
  private readonly policy = new StallEvictionPolicy({ minimumResidenceMilliseconds: 1_500, loadsPerSecond: 30 })
  private readonly heldNotices: HeldAdapterNotices
  private readonly digests: WorkDigests
  private readonly duty: LoadOwnership
  private readonly seeker: EngineFinder
  private readonly talk: PeerMessaging
  private readonly quarantine: QuarantineExchange
  private readonly senders: EndpointSenders
  private readonly listener: RoutedListener
  private readonly sideAddresses: MonitoringServers
  private engines: number | undefined
  private stopping = false
  private stopped: Promise<void> | undefined

  /**
   * @param settings - of this instance
   * @param platform - what it runs on
   * @param logger - for all parts
   * @param sink - where the lines go; asked for its count of dropped ones
   */
  constructor (settings: IngressSettings, platform: (onStoreCall: IngressMetrics['storeCall']) => IngressPlatform, logger: Logger, sink: LineSink) {
    this.settings = settings
    this.logger = logger
    this.sink = sink
    this.metrics = new IngressMetrics(() => this.readGauges())
    this.platform = platform((kind, outcome, milliseconds) => this.metrics.storeCall(kind, outcome, milliseconds))
    this.supervisor = new Supervisor(logger.part('supervisor'), this.clock)
    this.network = new TcpPeerNetwork({
      instance: this.instance,
      dataCentre: settings.dataCentre,
      address: settings.peerAddress,
      logger,
      clock: this.clock,
      heartbeatMilliseconds: HEARTBEAT_MILLISECONDS,
      remoteIntervals: 1
    })
    this.health = new StoreHealth(logger.part('store'))
    const self = { name: settings.name, instance: this.instance, address: settings.peerAddress, dataCentre: settings.dataCentre, cores: settings.cores }
    this.overlay = new PeerOverlay({ self, network: this.network, clock: this.clock, logger: logger.part('overlay') })
    this.members = new MemberList(self, this.platform.store, this.overlay, this.clock, logger.part('members'))
    this.configuration = new AcceptedConfiguration(logger.part('configuration'))
    this.directory = new EndpointDirectory(logger.part('endpoints'))
    this.versions = new AdapterVersions(logger.part('versions'), settings.newVersionMilliseconds)
    this.cluster = new ClusterView(({ members, loadOwners: holders, quarantineDecisions: verdicts }, revision) => {
      this.members.apply(members, revision)
      this.duty.apply(holders, revision)
      this.quarantine.apply(verdicts)
      this.reading.reevaluate()
    })
    this.exchange = new StateExchange(this.network, this.overlay, { configuration: this.configuration, directory: this.directory, versions: this.versions, cluster: this.cluster, health: this.health }, this.clock)
    // An endpoint that does not check tokens must not hear from two instances; only whoever reads the store itself knows in time
    // that it holds no more.
    const isNeeded = (): boolean => !settings.fencedEndpoints || this.exchange.needsStore
    this.reading = new StoreReader(this.followerParts(), { isNeeded, areMembersKnown: () => this.cluster.revision > 0 }, this.clock, logger.part('store'))
    this.heldNotices = new HeldAdapterNotices(this.overlay, this.locations, this.metrics, this.clock, this.instance)
    this.digests = new WorkDigests(this.overlay, this.board, () => this.members.count, this.clock)
    this.duty = this.makeDuty()
    const router = new EngineRouter({
      directory: this.directory,
      locations: this.locations,
      workTracker: this.board,
      forecast: this.forecast,
      speeds: this.speeds,
      prefixes: this.prefixes,
      ejection: this.ejection,
      dataCentre: settings.dataCentre,
      leastVersion: (key, now) => this.versions.minimumUsable(key, now),
      loadMilliseconds: () => this.storePace.expectedMilliseconds(this.locations.inFlight.count(this.clock.now())),
      hasLoadOwner: (endpoint) => this.duty.loadOwnerOf(endpoint) !== undefined
    })
    this.seeker = new EngineFinder({
      clock: this.clock,
      logger: logger.part('relay'),
      router,
      locations: this.locations,
      loadOwnerOf: (endpoint) => this.duty.loadOwnerOf(endpoint),
      requestLoad: (to, frame) => this.overlay.notify(to, frame),
      leastVersion: (facts, now) => facts.adapter === undefined ? 0 : this.versions.minimumUsable(facts.adapter.key, now)
    })
    this.talk = new PeerMessaging({
      self: this.instance,
      network: this.network,
      overlay: this.overlay,
      clock: this.clock,
      workTracker: this.board,
      digests: this.digests,
      locations: this.locations,
      heldNotices: this.heldNotices,
      loadOwnership: this.duty,
      engineFinder: this.seeker,
      metrics: this.metrics
    })
    this.quarantine = this.makeQuarantine()
    this.senders = new EndpointSenders(this.platform.codec, this.ejection, this.clock, logger.part('relay'), this.metrics, this.quarantine.quarantine)
    this.listener = this.makeListener()
    this.sideAddresses = new MonitoringServers({ isReady: () => this.isReady(), metrics: async () => await this.metrics.text() })
    this.connectParts()
  }

  /** Starts to listen and to follow the store. */
  async start (): Promise<void> {
    const { settings, logger } = this
    await this.listenForCallers()
    const { supervisor, network } = this
    void supervisor.start('peers', async (signal) => { await network.run(signal) })
    void supervisor.start('overlay', async (signal) => { await this.overlay.run(signal) })
    this.reading.start(supervisor)
    void supervisor.start('members', async (signal) => { await this.members.run(signal) })
    void supervisor.start('load duty', async (signal) => { await this.duty.run(signal) })
    void supervisor.start('quarantine', async (signal) => { await this.quarantine.run(signal) })
    void supervisor.start('beliefs', async (signal) => { await this.exchange.run(signal) })
    void supervisor.start('digests', async (signal) => { await this.digests.run(signal) })
    void supervisor.start('housekeeping', async (signal) => { await this.keepHouse(signal) })
    void supervisor.start('pauses', async (signal) => { await watchForProcessPauses(this.clock, logger.part('clock'), () => this.afterPause(), signal) })
    await this.sideAddresses.listen(settings.readinessAddress, settings.metricsAddress)
    logger.info('This instance has started.', { instance: this.instance, ...settings })
  }

  /**
   * Stops without cutting anything off. Whoever asks again waits for the same end: one that was told at once that all is over
   * would end the process under the requests that still run.
   */
  async stop (): Promise<void> {
    this.stopped ??= this.finish()
    await this.stopped
  }

  private async finish (): Promise<void> {
    this.stopping = true
    const stopsAt = this.clock.now() + this.settings.stopMilliseconds - EXIT_MILLISECONDS
    this.members.leave()
    await stopGracefully({ listener: this.listener, clock: this.clock, logger: this.logger.part('stop'), graceMilliseconds: this.settings.stopMilliseconds })
    // Until now requests here and elsewhere waited for loads of the engines that this instance orders.
    this.duty.stop()
    // A silent store holds each call for more than a second; an instance that waits for it is killed, and its last lines with it.
    await waitAtMost(stopsAt - this.clock.now(), this.members.unregister())
    await waitAtMost(stopsAt - this.clock.now(), this.supervisor.stop())
    this.sideAddresses.close()
    this.senders.close()
    await this.platform.close()
    this.logger.info('This instance has stopped.', { instance: this.instance })
  }

  private isReady (): boolean {
    return !this.stopping && this.configuration.current !== undefined && this.directory.revision > 0
  }

  private async listenForCallers (): Promise<void> {
    const { callerAddress } = this.settings
    const at = callerAddress.lastIndexOf(':')
    await this.listener.listen(callerAddress.slice(0, at), Number(callerAddress.slice(at + 1)))
  }

  private makeDuty (): LoadOwnership {
    const parts = {
      store: this.platform.store,
      health: this.health,
      clock: this.clock,
      logger: this.logger.part('loads'),
      members: this.members,
      directory: this.directory,
      configuration: this.configuration,
      leaseMilliseconds: this.settings.leaseMilliseconds,
      fencedEndpoints: this.settings.fencedEndpoints
    }
    return new LoadOwnership(parts, {
      control: this.platform.control,
      clock: this.clock,
      logger: this.logger.part('loads'),
      locations: this.locations,
      workTracker: this.board,
      policy: this.policy,
      modelLoadLimiter: new ModelLoadRateLimiter(this.clock, () => this.members.count),
      storeLimiter: this.storePace,
      latestVersion: (key) => this.versions.newest(key) ?? 0,
      isModelNeeded: (endpoint, model) => isModelNeeded(this.enginesWith(endpoint, model)),
      publish: (statement, urgency) => this.heldNotices.publish(statement, urgency),
      noticeRoundTripMilliseconds: () => this.overlay.noticeRoundTripMilliseconds,
      onUnreachable: (endpoint, reason) => this.senders.observe(endpoint, 'failed', reason)
    })
  }

  private enginesWith (endpoint: Endpoint, model: ModelName): EngineUsage[] {
    const slots = this.configuration.current?.services.get(endpoint.service)?.engine?.adapterSlots ?? 0
    const now = this.clock.now()
    return this.directory.servable(endpoint.service)
      .filter((engine) => engine.models.includes(model))
      .map(({ id }) => ({ slots, adaptersInUse: this.board.adaptersInUse(id, now) }))
  }

  /** @returns engines that take adapters; asked at each request, so it is counted anew only when something has changed */
  private engineCount (): number {
    const services = this.configuration.current?.services
    this.engines ??= this.directory.all().filter(({ service }) => (services?.get(service)?.engine?.adapterSlots ?? 0) > 0).length
    return this.engines
  }

  private makeQuarantine (): QuarantineExchange {
    const { clock, logger, metrics, network, overlay, directory, versions } = this
    return new QuarantineExchange({
      self: this.instance,
      clock,
      logger: logger.part('quarantine'),
      metrics,
      network,
      overlay,
      store: this.platform.store,
      findEndpoint: (endpoint) => directory.find(endpoint),
      endpointCount: (service) => directory.servable(service as ServiceName).length,
      newestVersion: (key) => versions.newest(key)
    })
  }

  private makeListener (): RoutedListener {
    const { clock, board, senders, metrics } = this
    const { quarantine } = this.quarantine
    const budgets = new RetryBudgets(this.settings.repeats, () => this.members.count)
    const logger = this.logger.part('relay')
    const services = new ServiceRelay({
      clock,
      logger,
      workTracker: board,
      senders,
      errors: this.errors,
      budgets,
      quarantine,
      random: Math.random,
      router: new ServiceRouter(this.directory, board, this.ejection, this.errors, this.settings.dataCentre)
    })
    const streams = new StreamRelay({
      clock,
      logger,
      workTracker: board,
      senders,
      budgets,
      quarantine,
      engineFinder: this.seeker,
      locations: this.locations,
      forecast: this.forecast,
      speeds: this.speeds,
      prefixes: this.prefixes,
      expectedVersion: ({ facts }, now) => this.expectedVersion(facts.adapter?.key, now)
    })
    return new RoutedListener({ clock, logger, codec: this.platform.codec, configuration: this.configuration, budgets, quarantine, metrics, random: Math.random, streams, services })
  }

  /** Engines check the version once only the newest may be used; before, any copy will do. */
  private expectedVersion (key: AdapterKey | undefined, now: number): number | undefined {
    if (key === undefined) return undefined
    const newest = this.versions.newest(key)
    return newest !== undefined && this.versions.minimumUsable(key, now) === newest ? newest : undefined
  }

  private followerParts (): FollowerDependencies {
    return {
      platform: this.platform,
      health: this.health,
      clock: this.clock,
      logger: this.logger.part('store'),
      onConfiguration: (configuration) => this.configuration.apply(configuration, 'store'),
      onEndpoints: (endpoints, revision) => {
        const now = this.clock.now()
        this.directory.apply({ revision, endpoints }, this.health.recentOutageEnd(now), now)
      },
      onAnnouncements: (announcements) => this.versions.apply(announcements, 'store', this.clock.now()),
      onCluster: (objects, revision) => this.cluster.apply(objects, revision),
      memberCount: () => this.members.count
    }
  }

  private connectParts (): void {
    this.network.describeHeartbeat(() => ({
      leaving: this.stopping, settingsHash: '', ownershipVersion: 0, storeReachable: this.health.reachable
    }))
    this.directory.onChange((endpoint, change) => this.endpointChanged(endpoint, change))
    this.directory.onListing(() => { this.engines = undefined })
    this.configuration.onChange(() => { this.engines = undefined })
    this.directory.onListing((endpoints) => { for (const endpoint of endpoints) this.locations.applyStatement(endpoint) })
    this.locations.inFlight.onCompleted((load) => this.storePace.completed(load))
    this.versions.onNewVersion((key, version) => this.duty.versionAnnounced(key, version))
    this.board.onUse((_endpoint, key) => this.policy.recordUse(key, '', 1, this.clock.now()))
    this.talk.connect()
  }

  private endpointChanged (endpoint: Endpoint, change: 'arrived' | 'restarted' | 'leaving' | 'gone'): void {
    this.engines = undefined
    if (change === 'leaving') return
    if (change === 'gone') {
      this.locations.remove(endpoint.id)
      this.talk.forget(endpoint.id)
      this.senders.forget(endpoint.id)
      this.errors.forget(endpoint.id)
    }
    if (change !== 'arrived') {
      this.prefixes.forget(endpoint.id)
      this.forecast.forget(endpoint.id)
    }
  }

  private async keepHouse (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.clock.sleep(HOUSEKEEPING_MILLISECONDS, signal)
      this.directory.expire(this.clock.now())
      this.senders.prune()
      this.errors.decay(ERROR_DECAY)
    }
  }

  private afterPause (): void {
    this.duty.pauseUntil(this.clock.now() + ORDER_PAUSE_MILLISECONDS)
    this.exchange.markStale()
    this.reading.reevaluate()
    this.reading.refresh()
  }

  private readGauges (): GaugeReadings {
    return {
      configurationVersion: this.configuration.version,
      storeSilenceSeconds: this.health.millisecondsSinceAnswer(this.clock.now()) / 1_000,
      members: this.members.live().length,
      servableEndpoints: this.directory.all().filter((endpoint) => !endpoint.leaving).length,
      droppedLogLines: this.sink.dropped,
      requestsInProgress: this.listener.requestsInProgress,
      peerConnections: this.overlay.neighbours().length,
      isHub: this.overlay.isHub ? 1 : 0,
      leaves: this.overlay.leafCount,
      peerFrames: this.network.counts(),
      accusedRequests: this.quarantine.quarantine.counts.implicated,
      quarantinedRequests: this.quarantine.quarantine.counts.verdicts
    }
  }
}
