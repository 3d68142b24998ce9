/** A listener with its relays in front of scripted endpoints, without a store and without peers. */
import { request } from 'node:http'
import type { IncomingHttpHeaders } from 'node:http'
import { createServer } from 'node:net'
import type { AddressInfo } from 'node:net'
import { silentLogger, SystemClock } from '@limpetwinch/core'
import type { EndpointId, InstanceId, LoadAskFrame, TeamId } from '@limpetwinch/core'
import { EngineSpeeds, ErrorRates, OutlierEjection } from '@limpetwinch/decisions'
import type { NoticeFrame, PeerLinks } from '@limpetwinch/entry'
import { AdapterLocations } from '../../src/adapters/adapter-locations.js'
import { EngineFinder } from '../../src/adapters/engine-finder.js'
import { LoadForecast } from '../../src/admission/load-forecast.js'
import { StreamAdmission } from '../../src/admission/stream-admission.js'
import { AcceptedConfiguration } from '../../src/cluster-state/accepted-configuration.js'
import { ConfigurationProof, momentOf } from '../../src/cluster-state/configuration-proof.js'
import { EndpointDirectory } from '../../src/endpoints/endpoint-directory.js'
import { LeavingNotices } from '../../src/endpoints/leaving-notices.js'
import { IngressMetrics } from '../../src/observability/ingress-metrics.js'
import { DirectDialler } from '../../src/paths/endpoint-dialler.js'
import { AdapterVersions } from '../../src/cluster-state/adapter-versions.js'
import { CrashDetector } from '../../src/quarantine/crash-detector.js'
import { RequestQuarantine } from '../../src/quarantine/request-quarantine.js'
import { IsolatedRunClaims } from '../../src/quarantine/isolated-run-claims.js'
import { EndpointSenders } from '../../src/relay/endpoint-senders.js'
import { RoutedListener } from '../../src/relay/routed-listener.js'
import { pendingConnectionsFor } from '../../src/relay/caller-bounds.js'
import { CallerConnections } from '../../src/relay/caller-connections.js'
import { HeldRequestBytes } from '../../src/relay/held-request-bytes.js'
import { responseBytesFor } from '../../src/relay/held-response-bytes.js'
import { ServiceRelay } from '../../src/relay/service-relay.js'
import type { ServiceRelayDependencies } from '../../src/relay/service-relay.js'
import { StreamRelay } from '../../src/relay/stream-relay.js'
import type { StreamRelayDependencies } from '../../src/relay/stream-relay.js'
import { VersionedSends } from '../../src/relay/versioned-sends.js'
import { WaitingAttempts } from '../../src/relay/waiting-attempts.js'
import type { VersionedSendsDependencies } from '../../src/relay/versioned-sends.js'
import { RetryBudgets } from '../../src/retries/retry-budgets.js'
import { SlackPart } from '../../src/retries/slack-part.js'
import { BrittleEndpoints } from '../../src/rate-limits/brittle-endpoints.js'
import { EndpointRateLimiter } from '../../src/rate-limits/endpoint-rate-limiter.js'
import { EndpointBackoffs } from '../../src/rate-limits/endpoint-backoffs.js'
import { NamedRateLimits } from '../../src/rate-limits/named-rate-limits.js'
import { EngineRouter } from '../../src/routing/engine-router.js'
import { FirstEventForecast } from '../../src/routing/first-event-forecast.js'
import { EndpointWorkTracker } from '../../src/routing/endpoint-work-tracker.js'
import { PrefixCacheEstimate } from '../../src/routing/prefix-cache-estimate.js'
import { ServiceRouter } from '../../src/routing/service-router.js'
import type { Endpoint, HeldAdapter, Route, SoftwareVersion, Team } from '../../src/routes/configuration.js'
import { QuotaClient } from '../../src/quotas/quota-client.js'
import { QuotaOwners } from '../../src/quotas/quota-owners.js'
import { TeamAdmission } from '../../src/teams/team-admission.js'
import { TeamQuotas } from '../../src/teams/team-quotas.js'
import { endpoint, engineShape, responseFacts, service, SOFTWARE_VERSION } from './samples.js'
import type { RawEndpoint } from './raw-endpoint.js'
import { recordingLogger } from './recording-logger.js'
import type { RecordedLine } from './recording-logger.js'
import { TestCodec } from './test-codec.js'

/** The response as the caller received it. */
export interface CallerView {
  readonly status: number
  readonly headers: IncomingHttpHeaders
  readonly body: string
  /** Whether the response is complete according to its HTTP framing. */
  readonly whole: boolean
}

/** Routes and endpoints of an ingress under test. */
export interface IngressSetup {
  readonly routes: readonly Route[]
  readonly endpoints: readonly { readonly id: string, readonly raw: RawEndpoint, readonly adapters?: readonly HeldAdapter[], readonly softwareVersion?: string }[]
  /** Retries that the budget allows for each service in a window. */
  readonly repeats?: number
  readonly teams?: readonly Team[]
  /** Time after which keys need a new proof of the configuration, in milliseconds; no proof is needed by default. */
  readonly revocationMilliseconds?: number
  /** Whether the configuration is proved to be current; it is by default. */
  readonly isConfigurationCurrent?: boolean
  /** Where streams began, by the request that brought their first event; nothing is known of them by default. */
  readonly origins?: StreamRelayDependencies['origins']
  /** The places of plain services; they are not divided by default. */
  readonly places?: ServiceRelayDependencies['places']
  /** Answers each ask for quota tokens: whether the tokens are granted. All are granted by default. */
  readonly grantsTokens?: () => boolean
  /** The announced versions that attempts are checked against; none are announced by default. */
  readonly versions?: VersionedSendsDependencies['versions']
  /** Most bytes of the bodies of all requests; no bound by default. */
  readonly requestBytes?: number
  /** Most connections of callers; no bound by default. */
  readonly connections?: number
  /** Most pipelined requests that wait for their turn; no bound by default. */
  readonly waiting?: number
  /** Most connections from which nothing is read; no bound by default. */
  readonly heldBack?: number
  /** Most bytes of all responses that are held; as in an instance by default. */
  readonly responseBytes?: number
}

/** The origins of an instance that knows of no stream, all of whose engines run the version of the sample endpoints. */
const NO_ORIGINS: StreamRelayDependencies['origins'] = {
  begun: () => {}, completed: () => {}, find: async (_first, { name }) => ({ service: name, softwareVersion: SOFTWARE_VERSION })
}

/** The places of a service that has many slots for each instance. */
const NOT_DIVIDED: ServiceRelayDependencies['places'] = { isDivided: () => false, take: async () => await Promise.reject(new Error('the places are not divided')) }

/** The slack of an instance that has been listed alone for long. */
class WholeSlack extends SlackPart {
  constructor () {
    super({ self: 'here', listedNames: () => new Set(['here']), windowMilliseconds: 0, isFirstStart: true })
  }
}

/** A running listener. The service of engines is named `engines`, the service of plain endpoints `guide`. */
export class IngressUnderTest {
  /** Loads that the ingress has requested. */
  readonly asked: LoadAskFrame[] = []
  /** Log lines of the listener and the relays. */
  readonly lines: RecordedLine[] = []
  readonly configuration = new AcceptedConfiguration(silentLogger())
  readonly directory = new EndpointDirectory(silentLogger())
  readonly locations = new AdapterLocations()
  /** Announced versions by adapter. */
  readonly newestVersions = new Map<string, number>()
  readonly listener: RoutedListener
  readonly proof: ConfigurationProof
  readonly quotas: QuotaClient<TeamId>
  readonly rateLimits: NamedRateLimits
  private readonly senders: EndpointSenders
  port = 0

  private constructor (setup: IngressSetup) {
    const clock = new SystemClock()
    const { directory, locations } = this
    const logger = recordingLogger(this.lines)
    const metrics = new IngressMetrics(() => ({ stateAgeSeconds: [], configurationVersion: 0, storeSilenceSeconds: 0, members: 1, servableEndpoints: 0, rateLimitedEndpoints: 0, placesHeld: 0, placesWaiting: 0, lostPaths: 0, rememberedStreams: 0, tunnels: 0, droppedLogLines: 0, requestsInProgress: 0, peerConnections: 0, isHub: 1, leaves: 0, peerFrames: {}, accusedRequests: 0, quarantinedRequests: 0, accusedParts: 0, quarantinedParts: 0, ownedEngines: [], configurationProofSeconds: 0, teamsInUse: 0, ownedQuotas: 0 }))
    const workTracker = new EndpointWorkTracker()
    const speeds = new EngineSpeeds()
    const forecast = new FirstEventForecast(speeds)
    const prefixes = new PrefixCacheEstimate()
    const ejection = new OutlierEjection()
    const codec = new TestCodec()
    const random = (): number => 0
    const owners = new QuotaOwners({ self: 'here' as InstanceId, clock, candidates: () => [] })
    const stated = { clock, logger, bornOf: (id: EndpointId) => directory.find(id)?.born, broadcast: () => {}, noticeRoundTripMilliseconds: () => 1 }
    this.rateLimits = new NamedRateLimits(stated)
    const brittle = new BrittleEndpoints(stated)
    const backoffs = new EndpointBackoffs({ ...stated, notify: () => {} })
    const quarantine = new RequestQuarantine({
      clock,
      logger,
      metrics,
      detector: new CrashDetector(clock, logger),
      claims: new IsolatedRunClaims({ self: 'here' as InstanceId, clock, broadcast: () => {}, notify: () => {}, noticeRoundTripMilliseconds: () => 1 }),
      announcer: { crashed: () => {}, convicted: () => {}, cleared: () => {}, soundPart: () => {}, released: () => {} },
      findEndpoint: (id) => directory.find(id),
      endpointCount: () => directory.all().length,
      newestVersion: (key) => this.newestVersions.get(key)
    })
    this.senders = new EndpointSenders({ codec, ejection, clock, logger, metrics, quarantine, rateLimits: this.rateLimits, brittle, backoffs, leaving: new LeavingNotices({ self: 'here' as InstanceId, directory, broadcast: () => {} }), unbounded: { begin: () => ({ ended: () => {} }) }, dialler: new DirectDialler(), paths: { isLost: () => false, suspect: () => {} }, maximumResponseBytes: setup.responseBytes ?? responseBytesFor(undefined) })
    const { senders } = this
    const peers = loopback()
    const rateLimiter = new EndpointRateLimiter({
      self: 'here' as InstanceId,
      clock,
      limits: this.rateLimits,
      brittle,
      backoffs,
      slotsOf: (id) => directory.find(id)?.slots ?? 1,
      owners,
      instances: () => 1,
      reachableShare: () => 1,
      isReachable: () => true,
      notify: (_to, frame) => peers.deliver(frame),
      endpointsOf: (name) => directory.servable(name).map(({ id }) => id)
    })
    rateLimiter.connect(peers.links, { onNeighbour: () => {}, replay: () => {} })
    const budgets = new RetryBudgets({ settings: { share: 0, slack: (setup.repeats ?? 100) / 0.88, windowMilliseconds: 10_000 }, slackPart: new WholeSlack(), logger, metrics })
    const router = new EngineRouter({ directory, locations, workTracker, forecast, speeds, prefixes, ejection, backoffs, dataCentre: 'here', leastVersion: () => 0, mayBegin: () => true, loadMilliseconds: () => 270, hasLoadOwner: () => true, isNamed: () => true })
    const engineFinder = new EngineFinder({
      clock,
      logger,
      router,
      rateLimiter,
      locations,
      loadOwnerOf: () => 'holder' as InstanceId,
      requestLoad: (_to, frame) => { this.asked.push(frame) },
      leastVersion: () => 0,
      shareUsed: () => undefined,
      admission: new StreamAdmission({
        clock,
        logger,
        metrics,
        competes: () => true,
        forecast: new LoadForecast({ directory, locations, workTracker, ejection, firstEvent: forecast, leastVersion: () => 0, loadMilliseconds: () => 270, hasStoreCapacity: () => true, hasLoadOwner: () => true })
      })
    })
    const errors = new ErrorRates()
    const services = new ServiceRelay({ clock, logger, workTracker, senders, errors, budgets, quarantine, rateLimiter, places: setup.places ?? NOT_DIVIDED, random, router: new ServiceRouter(directory, workTracker, ejection, errors, backoffs, 'here') })
    const streams = new StreamRelay({ clock, logger, workTracker, senders, budgets, quarantine, engineFinder, locations, forecast, speeds, prefixes, origins: setup.origins ?? NO_ORIGINS, findService: (name) => this.configuration.current?.services.get(name), versionedSends: new VersionedSends({ logger, metrics, locations, waiting: new WaitingAttempts(), versions: setup.versions ?? new AdapterVersions(logger, 1) }) })
    this.proof = new ConfigurationProof(clock, () => this.configuration.version)
    const quotas: QuotaClient<TeamId> = new QuotaClient<TeamId>({
      clock,
      kind: new TeamQuotas(),
      owners,
      notify: (_to, frame) => {
        if (frame.kind !== 'quota-ask') return
        const isGranted = setup.grantsTokens?.() ?? true
        queueMicrotask(() => quotas.handleAnswer(frame.team as TeamId, {
          number: frame.number, granted: frame.needs.map(() => isGranted), extra: 0, milliseconds: isGranted ? 0 : 700, notOwner: false
        }))
      }
    })
    const admission = new TeamAdmission({
      clock, configuration: this.configuration, proof: this.proof, revocationMilliseconds: setup.revocationMilliseconds, quotas, metrics
    })
    this.quotas = quotas
    const connections = new CallerConnections({ clock, logger, maximumConnections: setup.connections ?? Infinity, maximumWaiting: setup.waiting ?? Infinity, maximumHeldBack: setup.heldBack ?? Infinity })
    this.listener = new RoutedListener({ clock, logger, codec, configuration: this.configuration, isConfigurationCurrent: () => setup.isConfigurationCurrent ?? true, budgets, quarantine, admission, metrics, random, streams, services, stopGate: senders.stopGate, connections, heldRequests: new HeldRequestBytes(setup.requestBytes), heldResponses: senders.heldResponses, maximumPending: pendingConnectionsFor(Infinity) })
    if (setup.routes.length > 0) this.configure(setup.routes, 1, setup.teams)
    directory.apply({ revision: 1, endpoints: setup.endpoints.map((each) => this.sample(each)) }, undefined, 0)
    for (const each of directory.all()) locations.applyStatement(each)
  }

  /** Starts a listener on a free port. */
  static async start (setup: IngressSetup): Promise<IngressUnderTest> {
    const started = new IngressUnderTest(setup)
    started.port = await freePort()
    await started.listener.listen(`127.0.0.1:${started.port}`)
    return started
  }

  /** Applies a configuration with these routes. */
  configure (routes: readonly Route[], version = 1, teams: readonly Team[] = []): void {
    this.configuration.apply({
      version,
      routes,
      services: [service('guide'), service('engines', engineShape())],
      limits: { headerBytes: 16_384, bodyBytes: 1_000, headerMilliseconds: 1_000, idleMilliseconds: 1_000 },
      teams
    }, 'store')
  }

  /** Records that the store has just confirmed the configuration. */
  proveConfiguration (): void {
    this.proof.record(this.configuration.version, momentOf(new SystemClock()))
  }

  /** Records that an endpoint has just named a rate limit. */
  nameLimit (endpoint: string, rateLimit: number): void {
    this.rateLimits.recordResponse(endpointId(endpoint), responseFacts({ rateLimit }), new SystemClock().now())
  }

  /** Sends a request and reads the response to its end. */
  async ask (path: string, headers: Record<string, string> = {}, body?: string): Promise<CallerView> {
    return await new Promise((resolve, reject) => {
      const outgoing = request({ host: '127.0.0.1', port: this.port, path, method: body === undefined ? 'GET' : 'POST', headers: { host: 'listings.example', 'x-request-id': 'one', ...headers }, agent: false }, (answer) => {
        let text = ''
        answer.on('data', (chunk) => { text += String(chunk) })
        answer.on('error', () => { /* The `close` handler reports whether the response was complete. */ })
        answer.on('close', () => resolve({ status: answer.statusCode ?? 0, headers: answer.headers, body: text, whole: answer.complete }))
      })
      outgoing.on('error', reject)
      outgoing.end(body)
    })
  }

  /** Sends a request, and starts to read the body of the response only after some time. */
  async askAndPause (path: string, milliseconds: number, headers: Record<string, string> = {}): Promise<Pick<CallerView, 'body' | 'whole'>> {
    return await new Promise((resolve, reject) => {
      const outgoing = request({ host: '127.0.0.1', port: this.port, path, headers: { host: 'listings.example', 'x-request-id': 'one', ...headers }, agent: false }, (answer) => {
        const chunks: Buffer[] = []
        setTimeout(() => answer.on('data', (chunk: Buffer) => { chunks.push(chunk) }), milliseconds)
        answer.on('error', () => { /* The `close` handler reports whether the response was complete. */ })
        answer.on('close', () => resolve({ body: Buffer.concat(chunks).toString(), whole: answer.complete }))
      })
      outgoing.on('error', reject)
      outgoing.end()
    })
  }

  /** Sends a request and closes its connection after some time. */
  leaveAfter (path: string, milliseconds: number, headers: Record<string, string> = {}): void {
    const outgoing = request({ host: '127.0.0.1', port: this.port, path, headers: { host: 'listings.example', 'x-request-id': 'one', ...headers }, agent: false })
    outgoing.on('error', () => { /* The connection is closed on purpose. */ })
    outgoing.end()
    setTimeout(() => outgoing.destroy(), milliseconds)
  }

  /** Stops the listener and closes all connections. */
  stop (): void {
    this.listener.destroy()
    this.senders.close()
  }

  private sample ({ id, raw, adapters, softwareVersion = SOFTWARE_VERSION }: IngressSetup['endpoints'][number]): Endpoint {
    return endpoint(id, { address: raw.address, service: adapters === undefined ? 'guide' : 'engines', adapters: adapters ?? [], softwareVersion: softwareVersion as SoftwareVersion })
  }
}

/** @returns the text as an endpoint id */
export function endpointId (text: string): EndpointId {
  return text as EndpointId
}

async function freePort (): Promise<number> {
  const server = createServer()
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address() as AddressInfo
  await new Promise<void>((resolve) => server.close(() => resolve()))
  return port
}

/** @returns the links of an instance without peers, which delivers its own notices */
function loopback (): { readonly links: PeerLinks, readonly deliver: (frame: NoticeFrame) => void } {
  const handlers = new Map<string, (from: InstanceId, frame: NoticeFrame) => void>()
  const links = { onNotice: (kind: string, handler: (from: InstanceId, frame: NoticeFrame) => void) => { handlers.set(kind, handler) } }
  return {
    links: links as unknown as PeerLinks,
    deliver: (frame) => queueMicrotask(() => handlers.get(frame.kind)?.('here' as InstanceId, frame))
  }
}
