/** Sends one try to an endpoint: connection, headers, work in hand, and what the outcome says of the endpoint's health. */
import type { Clock, EndpointId, Logger } from '@limpetwinch/core'
import type { OutlierEjection } from '@limpetwinch/decisions'
import type { IngressMetrics } from '../observability/ingress-metrics.js'
import type { RequestQuarantine } from '../quarantine/request-quarantine.js'
import type { Endpoint } from '../routes/configuration.js'
import { Attempt } from './attempt.js'
import type { AttemptEnd, AttemptSink } from './attempt.js'
import { EndpointConnections } from './endpoint-connections.js'
import { EndpointContacts } from './endpoint-contacts.js'
import type { RequestCodec } from './request-codec.js'
import type { RoutedRequest } from './routed-request.js'

/** How one try is to be sent. */
export interface SendOptions {
  readonly endpoint: Endpoint
  readonly lastEventId: string | undefined
  readonly adapterVersion: number | undefined
  /** How many tries were made before. */
  readonly earlierAttempts: number
  /** For the log: why this endpoint. */
  readonly grounds: Readonly<Record<string, unknown>>
}

/** A try under way. */
export interface RunningAttempt {
  readonly attempt: Attempt
  readonly ended: Promise<AttemptEnd>
}

/** Sends tries. */
export class EndpointSenders {
  private readonly codec: RequestCodec
  private readonly ejection: OutlierEjection
  private readonly clock: Clock
  private readonly logger: Logger
  private readonly metrics: IngressMetrics
  private readonly quarantine: RequestQuarantine
  private readonly contacts: EndpointContacts
  private readonly connections = new Map<EndpointId, { readonly address: string, readonly pool: EndpointConnections }>()

  constructor (codec: RequestCodec, ejection: OutlierEjection, clock: Clock, logger: Logger, metrics: IngressMetrics, quarantine: RequestQuarantine) {
    this.codec = codec
    this.ejection = ejection
    this.clock = clock
    this.logger = logger
    this.metrics = metrics
    this.quarantine = quarantine
    this.contacts = new EndpointContacts(clock)
  }

  /** @returns requests that this instance has on the endpoint */
  inUse (endpoint: EndpointId): number {
    return this.connections.get(endpoint)?.pool.inUse ?? 0
  }

  /** @returns milliseconds since any answer of the endpoint was heard here; Infinity if none was */
  millisecondsSinceContact (endpoint: EndpointId): number {
    return this.clock.now() - (this.contacts.lastContactAt(endpoint) ?? -Infinity)
  }

  /** Sends a request to an endpoint. */
  send (request: RoutedRequest, order: SendOptions, sink: AttemptSink): RunningAttempt {
    const pool = this.pool(order.endpoint)
    const connection = pool.acquire(this.clock.now())
    const attempt = new Attempt(connection, this.codec)
    const heard = this.contacts.watch(order.endpoint.id)
    const onSignal = (): void => attempt.abandon(request.exchange.left.aborted ? 'the caller left' : 'its time is over')
    const millisecondsLeft = request.endsAt - this.clock.now()
    const added = this.codec.write({
      endpoint: order.endpoint.id,
      millisecondsLeft,
      priority: request.facts.adapter === undefined ? undefined : request.route.priority,
      adapterVersion: order.adapterVersion,
      lastEventId: order.lastEventId
    })
    this.logger.debug('A request was sent.', {
      request: request.facts.requestId,
      endpoint: order.endpoint.id,
      tries: order.earlierAttempts + 1,
      adapter: request.facts.adapter?.key,
      adapterVersion: order.adapterVersion,
      after: order.lastEventId,
      millisecondsLeft: Math.round(millisecondsLeft),
      configuration: request.configurationVersion,
      ...order.grounds
    })
    const sentAt = this.clock.now()
    const ended = attempt.run({
      requestId: request.facts.requestId,
      method: request.method,
      target: request.target,
      headers: [...request.headers, ...added],
      body: request.body
    }, heard.through(sink)).then((end) => {
      request.signal.removeEventListener('abort', onSignal)
      pool.release(connection, end.kind === 'whole' && attempt.reusable, this.clock.now())
      this.metrics.attemptEnded(request.service.name, end.kind)
      this.logger.debug('A try ended.', {
        request: request.facts.requestId, endpoint: order.endpoint.id, end: end.kind, reason: end.kind === 'whole' ? undefined : end.reason, ...attempt.logFields, ...heard.logFields
      })
      if (attempt.wasSent) this.quarantine.sent(request)
      if (attempt.lostConnection) this.quarantine.lost(request, order.endpoint, this.clock.now() - sentAt)
      this.quarantine.attemptFinished(request)
      return end
    })
    request.signal.addEventListener('abort', onSignal)
    if (request.signal.aborted) onSignal()
    return { attempt, ended }
  }

  /** Tells how an endpoint did; failures in a row keep new work away from it for a while. */
  observe (endpoint: EndpointId, result: 'answered' | 'failed', reason?: string): void {
    const now = this.clock.now()
    const before = this.ejection.isEjected(endpoint, now)
    this.ejection.observe(endpoint, result, now)
    if (before || !this.ejection.isEjected(endpoint, now)) return
    this.metrics.endpointEjected()
    this.logger.warn('An endpoint failed too often and gets no new work for a while.', { endpoint, reason })
  }

  /** Closes connections to an endpoint that is gone. */
  forget (endpoint: EndpointId): void {
    this.connections.get(endpoint)?.pool.close()
    this.connections.delete(endpoint)
    this.contacts.forget(endpoint)
  }

  /** Closes connections that were idle for a while. */
  prune (): void {
    for (const { pool } of this.connections.values()) pool.prune(this.clock.now())
  }

  /** Closes all idle connections. */
  close (): void {
    for (const { pool } of this.connections.values()) pool.close()
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
