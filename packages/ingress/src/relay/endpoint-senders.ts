/**
 * Sends attempts of requests to endpoints: takes a connection, adds headers, and reports lost connections to the quarantine and outcomes
 * to the outlier ejection.
 */
import type { Clock, EndpointId, Logger } from '@limpetwinch/core'
import type { OutlierEjection } from '@limpetwinch/decisions'
import type { IngressMetrics } from '../observability/ingress-metrics.js'
import type { RequestQuarantine } from '../quarantine/request-quarantine.js'
import type { NamedRateLimits } from '../rate-limits/named-rate-limits.js'
import type { Endpoint } from '../routes/configuration.js'
import { Attempt } from './attempt.js'
import type { AttemptEnd, AttemptSink } from './attempt.js'
import { EndpointConnections } from './endpoint-connections.js'
import { EndpointContacts } from './endpoint-contacts.js'
import type { RequestCodec } from './request-codec.js'
import type { RoutedRequest } from './routed-request.js'

/** Options of one attempt. */
export interface SendOptions {
  readonly endpoint: Endpoint
  /** Id of the event after which a stream is to be resumed. */
  readonly lastEventId: string | undefined
  /** Version of the adapter that the endpoint must have; undefined accepts any version. */
  readonly adapterVersion: number | undefined
  /** Number of attempts of the same request that were made before this one. */
  readonly earlierAttempts: number
  /** Log fields that explain the choice of the endpoint. */
  readonly grounds: Readonly<Record<string, unknown>>
}

/** An attempt in progress. */
export interface RunningAttempt {
  readonly attempt: Attempt
  readonly ended: Promise<AttemptEnd>
}

/** Sends attempts to all endpoints. */
export class EndpointSenders {
  private readonly codec: RequestCodec
  private readonly ejection: OutlierEjection
  private readonly clock: Clock
  private readonly logger: Logger
  private readonly metrics: IngressMetrics
  private readonly quarantine: RequestQuarantine
  private readonly rateLimits: NamedRateLimits
  private readonly contacts: EndpointContacts
  private readonly connections = new Map<EndpointId, { readonly address: string, readonly pool: EndpointConnections }>()

  constructor (codec: RequestCodec, ejection: OutlierEjection, clock: Clock, logger: Logger, metrics: IngressMetrics, quarantine: RequestQuarantine, rateLimits: NamedRateLimits) {
    this.codec = codec
    this.ejection = ejection
    this.clock = clock
    this.logger = logger
    this.metrics = metrics
    this.quarantine = quarantine
    this.rateLimits = rateLimits
    this.contacts = new EndpointContacts(clock)
  }

  /** @returns number of requests that this instance has in flight on the endpoint */
  inUse (endpoint: EndpointId): number {
    return this.connections.get(endpoint)?.pool.inUse ?? 0
  }

  /** @returns milliseconds since this instance last received any bytes of a response from the endpoint; Infinity if it never did */
  millisecondsSinceContact (endpoint: EndpointId): number {
    return this.clock.now() - (this.contacts.lastContactAt(endpoint) ?? -Infinity)
  }

  /** Sends a request to an endpoint; the attempt is abandoned when the signal of the request is aborted. */
  send (request: RoutedRequest, options: SendOptions, sink: AttemptSink): RunningAttempt {
    const pool = this.pool(options.endpoint)
    const connection = pool.acquire(this.clock.now())
    const attempt = new Attempt(connection, this.codec)
    const contact = this.contacts.watch(options.endpoint.id)
    const onAbort = (): void => attempt.abandon(request.exchange.left.aborted ? 'the caller left' : 'its time is over')
    const millisecondsLeft = request.endsAt - this.clock.now()
    const added = this.codec.write({
      endpoint: options.endpoint.id,
      millisecondsLeft,
      priority: request.facts.adapter === undefined ? undefined : request.priority,
      adapterVersion: options.adapterVersion,
      lastEventId: options.lastEventId,
      team: request.team?.name
    })
    this.logger.debug('A request was sent.', {
      request: request.facts.requestId,
      endpoint: options.endpoint.id,
      tries: options.earlierAttempts + 1,
      adapter: request.facts.adapter?.key,
      adapterVersion: options.adapterVersion,
      after: options.lastEventId,
      millisecondsLeft: Math.round(millisecondsLeft),
      configuration: request.configurationVersion,
      ...options.grounds
    })
    const sentAt = this.clock.now()
    const ended = attempt.run({
      requestId: request.facts.requestId,
      method: request.method,
      target: request.target,
      headers: [...request.headers, ...added],
      body: request.body
    }, contact.through(this.readRateLimit(options.endpoint.id, sentAt, sink))).then((end) => {
      request.signal.removeEventListener('abort', onAbort)
      pool.release(connection, end.kind === 'whole' && attempt.reusable, this.clock.now())
      this.metrics.attemptEnded(request.service.name, end.kind)
      this.logger.debug('An attempt ended.', {
        request: request.facts.requestId, endpoint: options.endpoint.id, end: end.kind, reason: end.kind === 'whole' ? undefined : end.reason, ...attempt.logFields, ...contact.logFields
      })
      if (attempt.wasSent) this.quarantine.sent(request)
      if (attempt.lostConnection) this.quarantine.lost(request, options.endpoint, this.clock.now() - sentAt)
      this.quarantine.attemptFinished(request)
      return end
    })
    request.signal.addEventListener('abort', onAbort)
    if (request.signal.aborted) onAbort()
    return { attempt, ended }
  }

  /** Records the outcome of an attempt for the outlier ejection: an endpoint with repeated failures gets no new requests for some time. */
  observe (endpoint: EndpointId, result: 'answered' | 'failed', reason?: string): void {
    const now = this.clock.now()
    const wasEjected = this.ejection.isEjected(endpoint, now)
    this.ejection.observe(endpoint, result, now)
    if (wasEjected || !this.ejection.isEjected(endpoint, now)) return
    this.metrics.endpointEjected()
    this.logger.warn('An endpoint was ejected after repeated failures.', { endpoint, reason })
  }

  /** Closes the connections to an endpoint that has left. */
  forget (endpoint: EndpointId): void {
    this.connections.get(endpoint)?.pool.close()
    this.connections.delete(endpoint)
    this.contacts.forget(endpoint)
  }

  /** Closes connections that have been idle for longer than the idle timeout. */
  prune (): void {
    for (const { pool } of this.connections.values()) pool.prune(this.clock.now())
  }

  /** Closes all idle connections. */
  close (): void {
    for (const { pool } of this.connections.values()) pool.close()
  }

  /** @returns a sink that records the rate limit of the response, which belongs to the request, and passes all on to the given sink */
  private readRateLimit (endpoint: EndpointId, sentAt: number, sink: AttemptSink): AttemptSink {
    return {
      head: (head) => {
        this.rateLimits.recordResponse(endpoint, head.facts, sentAt)
        sink.head(head)
      },
      data: (chunk) => sink.data(chunk)
    }
  }

  private pool (endpoint: Endpoint): EndpointConnections {
    const known = this.connections.get(endpoint.id)
    if (known?.address === endpoint.address) return known.pool
    known?.pool.close()
    const pool = new EndpointConnections(endpoint.address)
    this.connections.set(endpoint.id, { address: endpoint.address, pool })
    return pool
  }
}
