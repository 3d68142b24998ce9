/** Counters, gauges and histograms of an ingress instance, served in the Prometheus text format. */
import type { FrameCounts } from '@limpetwinch/entry'
import { Counter, Gauge, Histogram, Registry } from 'prom-client'

/** Histogram bounds in seconds, around the latency objectives of interactive requests. */
const BUCKET_SECONDS = [0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1, 1.5, 2.5, 5, 10, 20]
/** Names of routes and services come from operators; beyond this number, names share the label `other`, so that memory stays bounded. */
const MAXIMUM_LABELS = 200

/** Values of the gauges, read at each scrape: all but the dropped log lines and the frame counts describe the present. */
export interface GaugeReadings {
  readonly configurationVersion: number
  /** For each kind of state, the time since this instance was last proved to know all of it. */
  readonly stateAgeSeconds: readonly (readonly [kind: string, seconds: number])[]
  /** Time since the latest response of the store. */
  readonly storeSilenceSeconds: number
  readonly members: number
  readonly servableEndpoints: number
  /** Number of endpoints that are out of use since their responses have no end, or are tried again. */
  readonly unboundedEndpoints?: number | undefined
  /** Number of endpoints that name a rate limit. */
  readonly rateLimitedEndpoints: number
  /** Number of places at plain services that this instance has lent to requests of any instance. */
  readonly placesHeld: number
  /** Number of requests of any instance that wait here for a place. */
  readonly placesWaiting: number
  /** Number of endpoints to which the own path is lost. */
  readonly lostPaths: number
  /** Number of streams of which this instance remembers where they began. */
  readonly rememberedStreams: number
  /** Number of open connections that this instance carries for others. */
  readonly tunnels: number
  /** Number of log lines dropped since the process started. */
  readonly droppedLogLines: number
  readonly requestsInProgress: number
  readonly peerConnections: number
  /** 1 for a hub, 0 for a leaf. */
  readonly isHub: number
  /** Number of leaves attached to this instance. */
  readonly leaves: number
  readonly peerFrames: FrameCounts
  /** Time since the configuration was last proved to be the newest one; Infinity before the first proof. */
  readonly configurationProofSeconds: number
  /** Number of teams of which this instance holds quota tokens. */
  readonly teamsInUse: number
  /** Number of teams whose quota this instance divides between all instances. */
  readonly ownedQuotas: number
  /** Number of requests that are at present implicated in a crash of their endpoint, and not quarantined. */
  readonly accusedRequests: number
  /** Number of requests with a quarantine decision, including those whose quarantine has ended. */
  readonly quarantinedRequests: number
  /** Number of parts of prompts that are at present implicated in a crash, and not quarantined. */
  readonly accusedParts: number
  /** Number of parts of prompts with a quarantine decision, including those whose quarantine has ended. */
  readonly quarantinedParts: number
  /** For each measured engine whose load owner is this instance: how many times slower it counts than the fastest, and on how many streams. */
  readonly ownedEngines: readonly (readonly [endpoint: string, slowness: number, streams: number])[]
}

/** The metrics of one instance. */
export class IngressMetrics {
  private readonly registry = new Registry()
  private readonly labels = new Set<string>()
  private readonly requests = this.counter('limpetwinch_requests_total', 'Requests by route, outcome and reason', ['route', 'outcome', 'reason'])
  private readonly attempts = this.counter('limpetwinch_attempts_total', 'Tries on endpoints by service and end', ['service', 'end'])
  private readonly storeCalls = this.counter('limpetwinch_store_calls_total', 'Calls to the platform store', ['kind', 'outcome'])
  private readonly adapterNotices = this.counter('limpetwinch_adapter_notices_total', 'Statements on held adapters, sent or taken', ['direction'])
  private readonly ejections = this.counter('limpetwinch_ejections_total', 'Endpoints that were kept from new work after failures', [])
  private readonly unbounded = this.counter('limpetwinch_unbounded_responses_total', 'Responses without an end, by what had no end and by what they answered', ['kind', 'source'])
  private readonly crashes = this.counter('limpetwinch_endpoint_crashes_total', 'Endpoints that crashed under requests of this instance, by service', ['service'])
  private readonly suspicions = this.counter('limpetwinch_quarantine_total', 'Suspected requests by what was done', ['action'])
  private readonly quotaTokens = this.counter('limpetwinch_quota_tokens_total', 'Tokens of requests by team and decision of the quota', ['team', 'decision'])
  private readonly rateLimitDecisions = this.counter('limpetwinch_rate_limit_total', 'Requests to endpoints with a rate limit by service and whether they had room', ['service', 'decision'])
  private readonly admissions = this.counter('limpetwinch_admission_total', 'Requests for adapters that no engine held by what the admission by forecast decided', ['decision'])
  private readonly placeAsks = this.counter('limpetwinch_place_asks_total', 'Requests that needed a place at a plain service, by service and what became of them', ['service', 'outcome'])
  private readonly lateVersions = this.counter('limpetwinch_late_versions_total', 'Requests that began on an older adapter version too late, by service', ['service'])
  private readonly retries = this.counter('limpetwinch_retries_total', 'Retries by service and whether the retry budget allowed them', ['service', 'decision'])
  private readonly tunnelDecisions = this.counter('limpetwinch_tunnels_total', 'Tunnels that other instances asked for, by what became of them', ['decision'])
  private readonly resumptions = this.counter('limpetwinch_stream_resumptions_total', 'Streams that callers resumed, by service and how it was known where they began', ['service', 'origin'])
  private readonly frames = this.counter('limpetwinch_peer_frames_total', 'Frames between instances', ['kind', 'direction'])
  private readonly frameBytes = this.counter('limpetwinch_peer_bytes_total', 'Bytes between instances', ['kind', 'direction'])
  private readonly read: () => GaugeReadings
  private readonly requestSeconds = this.histogram('limpetwinch_request_seconds', 'From the request to the end of its answer', ['route', 'outcome'])
  private readonly firstEvent = this.histogram('limpetwinch_first_event_seconds', 'From the request to its first event', ['route'])
  private readonly loadStall = this.histogram('limpetwinch_load_stall_seconds', 'Waiting for an adapter to be loaded', ['route'])
  private readonly placeWait = this.histogram('limpetwinch_place_wait_seconds', 'Waiting for a place at a plain service', ['service'])
  private readonly storeSeconds = this.histogram('limpetwinch_store_call_seconds', 'Calls to the platform store, watches left out', ['kind'])

  /** @param read - returns the values of all gauges; called once for each gauge at a scrape */
  constructor (read: () => GaugeReadings) {
    this.read = read
    this.gauge('limpetwinch_configuration_version', 'Version in force', () => read().configurationVersion)
    this.gauge('limpetwinch_configuration_proof_seconds', 'Since the configuration was last proved to be the newest one', () => read().configurationProofSeconds)
    this.gauge('limpetwinch_teams_in_use', 'Teams of which this instance holds quota tokens', () => read().teamsInUse)
    this.gauge('limpetwinch_owned_quotas', 'Teams whose quota this instance divides', () => read().ownedQuotas)
    const stateAge = new Gauge({
      name: 'limpetwinch_state_age_seconds',
      help: 'Since each kind of state was last proved to be current',
      labelNames: ['kind'],
      registers: [this.registry],
      collect: () => { for (const [kind, seconds] of read().stateAgeSeconds) stateAge.set({ kind }, seconds) }
    })
    this.engineGauge('limpetwinch_engine_slowness', 'How many times slower than the fastest of its service an engine counts, at its load owner', (engine) => engine[1])
    this.engineGauge('limpetwinch_engine_speed_streams', 'Streams on which the speed of an engine is estimated, at its load owner', (engine) => engine[2])
    this.gauge('limpetwinch_store_silence_seconds', 'Since the last answer of the store', () => read().storeSilenceSeconds)
    this.gauge('limpetwinch_members', 'Instances written down in the store', () => read().members)
    this.gauge('limpetwinch_servable_endpoints', 'Endpoints that may get work', () => read().servableEndpoints)
    this.gauge('limpetwinch_unbounded_endpoints', 'Endpoints out of use, or tried, since their responses have no end', () => read().unboundedEndpoints ?? 0)
    this.gauge('limpetwinch_rate_limited_endpoints', 'Endpoints that name a rate limit', () => read().rateLimitedEndpoints)
    this.gauge('limpetwinch_places_held', 'Places at plain services that this instance has lent', () => read().placesHeld)
    this.gauge('limpetwinch_places_waiting', 'Requests that wait at this instance for a place at a plain service', () => read().placesWaiting)
    this.gauge('limpetwinch_lost_paths', 'Endpoints that this instance reaches through other instances only', () => read().lostPaths)
    this.gauge('limpetwinch_remembered_streams', 'Streams of which this instance remembers where they began', () => read().rememberedStreams)
    this.gauge('limpetwinch_tunnels', 'Connections to endpoints that this instance carries for others', () => read().tunnels)
    this.gauge('limpetwinch_dropped_log_lines', 'Log lines dropped since the start', () => read().droppedLogLines)
    this.gauge('limpetwinch_requests_in_progress', 'Requests in progress', () => read().requestsInProgress)
    this.gauge('limpetwinch_peer_connections', 'Connections to other instances', () => read().peerConnections)
    this.gauge('limpetwinch_overlay_hub', '1 for a hub, 0 for a leaf', () => read().isHub)
    this.gauge('limpetwinch_accused_requests', 'Requests that crashes of their endpoints speak against', () => read().accusedRequests)
    this.gauge('limpetwinch_quarantined_requests', 'Requests with a verdict', () => read().quarantinedRequests)
    this.gauge('limpetwinch_accused_parts', 'Parts of prompts that crashes of endpoints speak against', () => read().accusedParts)
    this.gauge('limpetwinch_quarantined_parts', 'Parts of prompts with a verdict', () => read().quarantinedParts)
    this.gauge('limpetwinch_overlay_leaves', 'Leaves attached to this hub', () => read().leaves)
  }

  /** Counts a response without an end. */
  unboundedResponse (kind: string, source: string): void {
    this.unbounded.inc({ kind, source })
  }

  /** Counts a finished request and records how long it took. */
  requestEnded (route: string, outcome: string, reason: string, milliseconds: number): void {
    const label = this.bounded(route)
    this.requests.inc({ route: label, outcome, reason })
    this.requestSeconds.observe({ route: label, outcome }, milliseconds / 1_000)
  }

  /** Records the time to the first event of a stream, and the part of that time spent waiting for an adapter load. */
  firstEventArrived (route: string, milliseconds: number, stallMilliseconds: number): void {
    this.firstEvent.observe({ route: this.bounded(route) }, milliseconds / 1_000)
    if (stallMilliseconds > 0) this.loadStall.observe({ route: this.bounded(route) }, stallMilliseconds / 1_000)
  }

  /** Counts the tokens of a request by what the quota decided about it. */
  quotaDecided (team: string, decision: string, tokens: number): void {
    this.quotaTokens.inc({ team: this.bounded(team), decision }, tokens)
  }

  /** Counts whether the rate limit of an endpoint had room for a request. */
  rateLimitDecided (service: string, decision: 'admitted' | 'passed-over'): void {
    this.rateLimitDecisions.inc({ service: this.bounded(service), decision })
  }

  /** Counts a decision of the admission by forecast: `admitted`, or why the request was refused. */
  admissionDecided (decision: string): void {
    this.admissions.inc({ decision })
  }

  /** Counts what became of an ask for a place at a plain service, and records how long the request waited for it. */
  placeDecided (service: string, outcome: string, milliseconds: number): void {
    this.placeAsks.inc({ service: this.bounded(service), outcome })
    this.placeWait.observe({ service: this.bounded(service) }, milliseconds / 1_000)
  }

  /** Counts whether the retry budget allowed a retry. */
  retryDecided (service: string, decision: 'allowed' | 'refused'): void {
    this.retries.inc({ service: this.bounded(service), decision })
  }

  /** Counts an attempt at an endpoint. */
  attemptEnded (service: string, end: string): void {
    this.attempts.inc({ service: this.bounded(service), end })
  }

  /** Counts a stream that a caller resumes, by how it is known where the stream began. */
  streamResumed (service: string, origin: string): void {
    this.resumptions.inc({ service: this.bounded(service), origin })
  }

  /** Counts a tunnel that another instance asked for. */
  tunnelDecided (decision: string): void {
    this.tunnelDecisions.inc({ decision })
  }

  /** Counts an ejected endpoint. */
  endpointEjected (): void {
    this.ejections.inc()
  }

  /** Counts a request that began on an older adapter version after requests had to begin on a newer one. */
  lateVersionServed (service: string): void {
    this.lateVersions.inc({ service: this.bounded(service) })
  }

  /** Counts an endpoint that crashed under requests of this instance. */
  endpointCrashed (service: string): void {
    this.crashes.inc({ service: this.bounded(service) })
  }

  /** Counts an action on a suspected request. */
  quarantineActionTaken (action: 'isolated' | 'deferred' | 'cleared' | 'convicted' | 'refused'): void {
    this.suspicions.inc({ action })
  }

  /** Counts a call to the store. */
  storeCall (kind: string, outcome: string, milliseconds: number): void {
    this.storeCalls.inc({ kind, outcome })
    if (kind !== 'watch') this.storeSeconds.observe({ kind }, milliseconds / 1_000)
  }

  /** Counts a notice about held adapters. */
  adapterNotice (direction: 'sent' | 'taken'): void {
    this.adapterNotices.inc({ direction })
  }

  /** @returns all metrics as Prometheus text */
  async text (): Promise<string> {
    this.updateFrameCounts(this.read().peerFrames)
    return await this.registry.metrics()
  }

  private bounded (label: string): string {
    if (this.labels.has(label)) return label
    if (this.labels.size >= MAXIMUM_LABELS) return 'other'
    this.labels.add(label)
    return label
  }

  private counter<Name extends string> (name: string, help: string, labelNames: readonly Name[]): Counter<Name> {
    return new Counter({ name, help, labelNames: [...labelNames], registers: [this.registry] })
  }

  private histogram<Name extends string> (name: string, help: string, labelNames: readonly Name[]): Histogram<Name> {
    return new Histogram({ name, help, labelNames: [...labelNames], buckets: BUCKET_SECONDS, registers: [this.registry] })
  }

  /** Sets the frame metrics to the counts of frames that this instance's peer network keeps, whenever metrics are read. */
  private updateFrameCounts (counts: FrameCounts): void {
    this.frames.reset()
    this.frameBytes.reset()
    for (const [kind, { sent, received, bytesSent, bytesReceived }] of Object.entries(counts)) {
      this.frames.inc({ kind, direction: 'sent' }, sent)
      this.frames.inc({ kind, direction: 'received' }, received)
      this.frameBytes.inc({ kind, direction: 'sent' }, bytesSent)
      this.frameBytes.inc({ kind, direction: 'received' }, bytesReceived)
    }
  }

  private engineGauge (name: string, help: string, value: (engine: GaugeReadings['ownedEngines'][number]) => number): void {
    const collect = (): void => {
      gauge.reset()
      for (const engine of this.read().ownedEngines) gauge.set({ endpoint: engine[0] }, value(engine))
    }
    const gauge = new Gauge({ name, help, labelNames: ['endpoint'], registers: [this.registry], collect })
  }

  private gauge (name: string, help: string, read: () => number): void {
    const gauge = new Gauge({ name, help, registers: [this.registry], collect: () => { gauge.set(read()) } })
  }
}
