/** A listener with its relays before raw endpoints, without a store and without peers. */
import { request } from 'node:http'
import type { IncomingHttpHeaders } from 'node:http'
import { createServer } from 'node:net'
import type { AddressInfo } from 'node:net'
import { silentLogger, SystemClock } from '@limpetwinch/core'
import type { EndpointId, InstanceId, LoadAskFrame } from '@limpetwinch/core'
import { EngineSpeeds, ErrorRates, OutlierEjection } from '@limpetwinch/decisions'
import { AdapterLocations } from '../../src/adapters/adapter-locations.js'
import { EngineFinder } from '../../src/adapters/engine-finder.js'
import { AcceptedConfiguration } from '../../src/cluster-state/accepted-configuration.js'
import { EndpointDirectory } from '../../src/endpoints/endpoint-directory.js'
import { IngressMetrics } from '../../src/observability/ingress-metrics.js'
import { CrashDetector } from '../../src/quarantine/crash-detector.js'
import { RequestQuarantine } from '../../src/quarantine/request-quarantine.js'
import { IsolatedRunClaims } from '../../src/quarantine/isolated-run-claims.js'
import { EndpointSenders } from '../../src/relay/endpoint-senders.js'
import { RoutedListener } from '../../src/relay/routed-listener.js'
import { ServiceRelay } from '../../src/relay/service-relay.js'
import { StreamRelay } from '../../src/relay/stream-relay.js'
import { RetryBudgets } from '../../src/retries/retry-budgets.js'
import { EngineRouter } from '../../src/routing/engine-router.js'
import { FirstEventForecast } from '../../src/routing/first-event-forecast.js'
import { EndpointWorkTracker } from '../../src/routing/endpoint-work-tracker.js'
import { PrefixCacheEstimate } from '../../src/routing/prefix-cache-estimate.js'
import { ServiceRouter } from '../../src/routing/service-router.js'
import type { Endpoint, HeldAdapter, Route } from '../../src/routes/configuration.js'
import { endpoint, engineShape, service } from './samples.js'
import type { RawEndpoint } from './raw-endpoint.js'
import { recordingLogger } from './recording-logger.js'
import type { RecordedLine } from './recording-logger.js'
import { TestCodec } from './test-codec.js'

/** What a caller saw. */
export interface CallerView {
  readonly status: number
  readonly headers: IncomingHttpHeaders
  readonly body: string
  /** Whether the answer ended as its framing says. */
  readonly whole: boolean
}

/** What stands behind the listener. */
export interface IngressSetup {
  readonly routes: readonly Route[]
  readonly endpoints: readonly { readonly id: string, readonly raw: RawEndpoint, readonly adapters?: readonly HeldAdapter[] }[]
  /** Repeats allowed for each service in a window. */
  readonly repeats?: number
}

/** A running listener; the service of engines is called `engines`, that of plain endpoints `guide`. */
export class IngressUnderTest {
  readonly asked: LoadAskFrame[] = []
  /** What its listener and relays have logged. */
  readonly lines: RecordedLine[] = []
  readonly configuration = new AcceptedConfiguration(silentLogger())
  readonly directory = new EndpointDirectory(silentLogger())
  readonly locations = new AdapterLocations()
  /** Announced versions by adapter. */
  readonly newestVersions = new Map<string, number>()
  readonly listener: RoutedListener
  private readonly senders: EndpointSenders
  port = 0

  private constructor (behind: IngressSetup) {
    const clock = new SystemClock()
    const logger = recordingLogger(this.lines)
    const metrics = new IngressMetrics(() => ({ configurationVersion: 0, storeSilenceSeconds: 0, members: 1, servableEndpoints: 0, droppedLogLines: 0, requestsInProgress: 0, peerConnections: 0, isHub: 1, leaves: 0, peerFrames: {}, accusedRequests: 0, quarantinedRequests: 0 }))
    const board = new EndpointWorkTracker()
    const speeds = new EngineSpeeds()
    const forecast = new FirstEventForecast(speeds)
    const prefixes = new PrefixCacheEstimate()
    const ejection = new OutlierEjection()
    const codec = new TestCodec()
    const random = (): number => 0
    const { directory, locations } = this
    const quarantine = new RequestQuarantine({
      clock,
      logger,
      metrics,
      detector: new CrashDetector(clock, logger),
      claims: new IsolatedRunClaims({ self: 'here' as InstanceId, clock, broadcast: () => {}, notify: () => {}, noticeMilliseconds: () => 1 }),
      announcer: { crashed: () => {}, convicted: () => {}, cleared: () => {} },
      findEndpoint: (id) => directory.find(id),
      endpointCount: () => directory.all().length,
      newestVersion: (key) => this.newestVersions.get(key)
    })
    this.senders = new EndpointSenders(codec, ejection, clock, logger, metrics, quarantine)
    const { senders } = this
    const budgets = new RetryBudgets({ share: 0, slack: (behind.repeats ?? 100) / 0.8, windowMilliseconds: 10_000 }, () => 1)
    const router = new EngineRouter({ directory, locations, workTracker: board, forecast, speeds, prefixes, ejection, dataCentre: 'here', leastVersion: () => 0, loadMilliseconds: () => 270, hasLoadOwner: () => true })
    const seeker = new EngineFinder({
      clock, logger, router, locations, loadOwnerOf: () => 'holder' as InstanceId, requestLoad: (_to, frame) => { this.asked.push(frame) }, leastVersion: () => 0
    })
    const errors = new ErrorRates()
    const services = new ServiceRelay({ clock, logger, workTracker: board, senders, errors, budgets, quarantine, random, router: new ServiceRouter(directory, board, ejection, errors, 'here') })
    const streams = new StreamRelay({ clock, logger, workTracker: board, senders, budgets, quarantine, engineFinder: seeker, locations, forecast, speeds, prefixes, expectedVersion: () => undefined })
    this.listener = new RoutedListener({ clock, logger, codec, configuration: this.configuration, budgets, quarantine, metrics, random, streams, services })
    if (behind.routes.length > 0) this.configure(behind.routes)
    directory.apply({ revision: 1, endpoints: behind.endpoints.map((each) => this.sample(each)) }, undefined, 0)
    for (const each of directory.all()) locations.applyStatement(each)
  }

  /** Starts a listener on a free port. */
  static async start (behind: IngressSetup): Promise<IngressUnderTest> {
    const started = new IngressUnderTest(behind)
    started.port = await freePort()
    await started.listener.listen('127.0.0.1', started.port)
    return started
  }

  /** Puts routes in force. */
  configure (routes: readonly Route[], version = 1): void {
    this.configuration.apply({
      version,
      routes,
      services: [service('guide'), service('engines', engineShape())],
      limits: { headerBytes: 16_384, bodyBytes: 1_000, headerMilliseconds: 1_000, idleMilliseconds: 1_000 }
    }, 'store')
  }

  /** Sends a request and reads the answer to its end. */
  async ask (path: string, headers: Record<string, string> = {}, body?: string): Promise<CallerView> {
    return await new Promise((resolve, reject) => {
      const asked = request({ host: '127.0.0.1', port: this.port, path, method: body === undefined ? 'GET' : 'POST', headers: { host: 'listings.example', 'x-request-id': 'one', ...headers }, agent: false }, (answer) => {
        let text = ''
        answer.on('data', (chunk) => { text += String(chunk) })
        answer.on('error', () => { /* The close tells whether the answer was whole. */ })
        answer.on('close', () => resolve({ status: answer.statusCode ?? 0, headers: answer.headers, body: text, whole: answer.complete }))
      })
      asked.on('error', reject)
      asked.end(body)
    })
  }

  /** Sends a request, and reads nothing of the answer's body for a while. */
  async askAndPause (path: string, milliseconds: number, headers: Record<string, string> = {}): Promise<Pick<CallerView, 'body' | 'whole'>> {
    return await new Promise((resolve, reject) => {
      const asked = request({ host: '127.0.0.1', port: this.port, path, headers: { host: 'listings.example', 'x-request-id': 'one', ...headers }, agent: false }, (answer) => {
        const chunks: Buffer[] = []
        setTimeout(() => answer.on('data', (chunk: Buffer) => { chunks.push(chunk) }), milliseconds)
        answer.on('error', () => { /* The close tells whether the answer was whole. */ })
        answer.on('close', () => resolve({ body: Buffer.concat(chunks).toString(), whole: answer.complete }))
      })
      asked.on('error', reject)
      asked.end()
    })
  }

  /** Sends a request and leaves after a while. */
  leaveAfter (path: string, milliseconds: number, headers: Record<string, string> = {}): void {
    const asked = request({ host: '127.0.0.1', port: this.port, path, headers: { host: 'listings.example', 'x-request-id': 'one', ...headers }, agent: false })
    asked.on('error', () => { /* It was given up on purpose. */ })
    asked.end()
    setTimeout(() => asked.destroy(), milliseconds)
  }

  /** Ends it. */
  stop (): void {
    this.listener.destroy()
    this.senders.close()
  }

  private sample ({ id, raw, adapters }: IngressSetup['endpoints'][number]): Endpoint {
    return endpoint(id, { address: raw.address, service: adapters === undefined ? 'guide' : 'engines', adapters: adapters ?? [] })
  }
}

/** @returns the id for a test */
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
