/**
 * Sends attempts of requests to endpoints: takes a connection, adds headers, and reports lost connections to the quarantine and outcomes
 * to the outlier ejection.
 */
import { LimpetwinchError } from '@limpetwinch/core'
import type { Clock, EndpointId, InstanceId, Logger } from '@limpetwinch/core'
import type { OutlierEjection } from '@limpetwinch/decisions'
import type { IngressMetrics } from '../observability/ingress-metrics.js'
import type { LeavingNotices } from '../endpoints/leaving-notices.js'
import type { EndpointDialler } from '../paths/endpoint-dialler.js'
import type { EndpointPaths } from '../paths/endpoint-paths.js'
import type { RequestQuarantine } from '../quarantine/request-quarantine.js'
import type { BrittleEndpoints } from '../rate-limits/brittle-endpoints.js'
import type { EndpointBackoffs } from '../rate-limits/endpoint-backoffs.js'
import type { NamedRateLimits } from '../rate-limits/named-rate-limits.js'
import type { Endpoint, Route } from '../routes/configuration.js'
import type { UnboundedResponses } from '../unbounded-responses/unbounded-responses.js'
import { Attempt, isProgress } from './attempt.js'
import type { AttemptEnd, AttemptSink } from './attempt.js'
import { EndpointConnections } from './endpoint-connections.js'
import type { EndpointConnection } from './endpoint-connections.js'
import { EndpointContacts } from './endpoint-contacts.js'
import { HeldResponseBytes } from './held-response-bytes.js'
import { sharedPartIds } from './request-codec.js'
import type { RequestCodec } from './request-codec.js'
import type { RoutedRequest } from './routed-request.js'
import { StopGate } from './stop-gate.js'
import { UnansweredAttempts } from './unanswered-attempts.js'

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
  readonly grounds: Readonly<Record<string, unknown>> & { readonly forecastMilliseconds?: number }
}

/** An attempt in progress. */
export interface RunningAttempt {
  readonly attempt: Pick<Attempt, 'abandon' | 'pause' | 'resume' | 'holds'>
  readonly ended: Promise<AttemptEnd>
}

/**
 * What an attempt showed about its endpoint: `unreachable` when no connection could be opened by any path, `failed` when the attempt was
 * sent and failed.
 */
export type ObservedResult = 'answered' | 'failed' | 'unreachable'

/** Reason of an attempt that was not made because its endpoint asked to back off. */
const HELD_BACK = 'the endpoint asked this instance to back off'
/** Reason of an attempt that was not made, or was abandoned, because this instance stops. */
const STOPPING = 'this instance stops'

/**
 * Least time for which bytes without progress are accepted, in milliseconds: the segments of a head may be delayed by a lost packet. Beyond it, half
 * of the latency objective is left for another endpoint.
 */
const MINIMUM_FILLER_MILLISECONDS = 250

/** Dependencies of the senders. */
export interface EndpointSendersDependencies {
  readonly codec: RequestCodec
  readonly ejection: OutlierEjection
  readonly clock: Clock
  readonly logger: Logger
  readonly metrics: IngressMetrics
  readonly quarantine: RequestQuarantine
  readonly rateLimits: NamedRateLimits
  readonly brittle: BrittleEndpoints
  readonly backoffs: EndpointBackoffs
  readonly leaving: Pick<LeavingNotices, 'recordResponse'>
  readonly unbounded: Pick<UnboundedResponses, 'begin'>
  readonly dialler: EndpointDialler
  readonly paths: Pick<EndpointPaths, 'isLost' | 'suspect'>
  /** Most bytes that the responses of all requests may hold. */
  readonly maximumResponseBytes: number
}

/** Sends attempts to all endpoints. */
export class EndpointSenders {
  /** Which requests may still be sent while this instance stops. */
  readonly stopGate: StopGate
  private readonly parts: EndpointSendersDependencies
  private readonly contacts: EndpointContacts
  private readonly unanswered = new UnansweredAttempts()
  /** Counts the bytes of all responses. */
  readonly heldResponses: HeldResponseBytes
  private readonly connections = new Map<EndpointId, { readonly address: string, readonly pool: EndpointConnections }>()

  constructor (parts: EndpointSendersDependencies) {
    this.parts = parts
    this.contacts = new EndpointContacts(parts.clock)
    this.heldResponses = new HeldResponseBytes(parts.maximumResponseBytes, (bytes) => parts.logger.warn('A response was ended, since the responses of all requests hold too many bytes.', { bytes }))
    this.stopGate = new StopGate(parts.clock, parts.logger)
  }

  /** @returns number of requests that this instance has in flight on the endpoint */
  inUse (endpoint: EndpointId): number {
    return this.connections.get(endpoint)?.pool.inUse ?? 0
  }

  /** @returns milliseconds since this instance last received any bytes of a response from the endpoint; Infinity if it never did */
  millisecondsSinceContact (endpoint: EndpointId): number {
    return this.parts.clock.now() - (this.contacts.lastContactAt(endpoint) ?? -Infinity)
  }

  /** Sends a request to an endpoint; the attempt is abandoned when the signal of the request is aborted. */
  send (request: RoutedRequest, options: SendOptions, sink: AttemptSink): RunningAttempt {
    const { codec, clock, logger, metrics, quarantine, brittle, backoffs } = this.parts
    if (backoffs.isBackingOff(options.endpoint.id)) return this.holdBack(request, options.endpoint)
    const refusal = this.stopGate.refusalOf(request, options.grounds.forecastMilliseconds)
    if (refusal !== undefined) return this.refuseStopping(request, refusal)
    const isFirst = this.stopGate.sent(request)
    const pool = this.pool(options.endpoint)
    const connection = pool.acquire(clock.now())
    const attempt = new Attempt(connection, codec, { held: this.heldResponses, fillerMilliseconds: fillerMilliseconds(request.route) })
    const contact = this.contacts.watch(options.endpoint.id)
    const onAbort = (): void => attempt.abandon(endReason(request))
    const millisecondsLeft = request.endsAt - clock.now()
    const added = codec.write({
      endpoint: options.endpoint.id,
      millisecondsLeft,
      priority: request.facts.adapter === undefined ? undefined : request.priority,
      adapterVersion: options.adapterVersion,
      lastEventId: options.lastEventId,
      team: request.team?.name
    })
    logger.debug('A request was sent.', {
      request: request.facts.requestId,
      endpoint: options.endpoint.id,
      softwareVersion: options.endpoint.softwareVersion,
      tries: options.earlierAttempts + 1,
      adapter: request.facts.adapter?.key,
      adapterVersion: options.adapterVersion,
      promptParts: sharedPartIds(request.facts),
      after: options.lastEventId,
      firstAttempt: request.facts.firstAttempt,
      millisecondsLeft: Math.round(millisecondsLeft),
      configuration: request.configurationVersion,
      ...options.grounds
    })
    const sentAt = clock.now()
    let answerBeganAt: number | undefined
    const followAnswer = (): void => {
      answerBeganAt ??= quarantine.answerTime.now()
      quarantine.answering(request, quarantine.answerTime.now() - answerBeganAt)
    }
    const unanswered = this.unanswered.begin(options.endpoint.id, sentAt)
    const followed = this.parts.unbounded.begin(options.endpoint, () => attempt.failIfFiller())
    const ended = attempt.run({
      requestId: request.facts.requestId,
      method: request.method,
      target: request.target,
      headers: [...request.headers, ...added],
      body: request.body
    }, contact.through(this.readStatements(options.endpoint, connection, sentAt, sink, followAnswer))).then((end) => {
      unanswered.ended()
      followed.ended(end.kind === 'whole' && attempt.wasServed, attempt.unboundedKind)
      if (end.kind === 'whole' && attempt.wasServed) brittle.recordDuration(options.endpoint.id, clock.now() - sentAt)
      request.signal.removeEventListener('abort', onAbort)
      pool.release(connection, end.kind === 'whole' && attempt.reusable, clock.now())
      metrics.attemptEnded(request.service.name, end.kind)
      logger.debug('An attempt ended.', {
        request: request.facts.requestId, endpoint: options.endpoint.id, end: end.kind, reason: end.kind === 'whole' ? undefined : end.reason, ...attempt.logFields, ...contact.logFields
      })
      if (attempt.wasSent) quarantine.sent(request)
      const answerMilliseconds = answerBeganAt === undefined ? undefined : quarantine.answerTime.now() - answerBeganAt
      if (end.kind === 'whole' && attempt.wasServed) this.stopGate.record(request, { milliseconds: clock.now() - sentAt, answerMilliseconds })
      else if (isFirst && (end.kind === 'not-sent' || end.kind === 'whole')) this.stopGate.notRun(request)
      const run = { milliseconds: clock.now() - sentAt, answerMilliseconds, response: attempt.responseProgress }
      if (attempt.lostConnection) quarantine.lost(request, options.endpoint, run)
      else if (end.kind === 'whole' && attempt.wasServed) quarantine.answered(request, options.endpoint, run, attempt.endedWithConnection)
      quarantine.attemptFinished(request)
      return end
    })
    request.signal.addEventListener('abort', onAbort)
    if (request.signal.aborted) onAbort()
    return { attempt, ended }
  }

  /**
   * Records the outcome of an attempt for the outlier ejection: an endpoint with repeated failures gets no new requests for some time.
   * An attempt that was held back or refused tells nothing of the endpoint, nor does one that was sent and fails while the own path to the endpoint is
   * lost.
   */
  observe (endpoint: EndpointId, result: ObservedResult, reason?: string): void {
    const { clock, ejection, metrics, logger, paths } = this.parts
    if ((result === 'failed' && paths.isLost(endpoint)) || reason === HELD_BACK || reason === STOPPING) return
    const now = clock.now()
    const wasEjected = ejection.isEjected(endpoint, now)
    ejection.observe(endpoint, result === 'answered' ? 'answered' : 'failed', now)
    if (wasEjected || !ejection.isEjected(endpoint, now)) return
    metrics.endpointEjected()
    logger.warn('An endpoint was ejected after repeated failures.', { endpoint, reason })
  }

  /** Closes the connections to an endpoint that has left. */
  forget (endpoint: EndpointId): void {
    this.connections.get(endpoint)?.pool.close()
    this.connections.delete(endpoint)
    this.contacts.forget(endpoint)
  }

  /**
   * Called when the own path to an endpoint was lost or is back: the failures of the endpoint were those of the path, and idle
   * connections over a lost path, or over a detour that is not needed any more, must not carry requests.
   */
  handlePathChange (endpoint: EndpointId, change: 'lost' | 'restored'): void {
    if (change === 'lost') this.parts.ejection.forget(endpoint)
    this.connections.get(endpoint)?.pool.closeIdle((via) => (via === undefined) === (change === 'lost'))
  }

  /** Closes the idle connections that the tunnels of an instance carry. */
  closeTunnelsOf (isUnusable: (instance: InstanceId) => boolean): void {
    for (const { pool } of this.connections.values()) pool.closeIdle((via) => via !== undefined && isUnusable(via))
  }

  /** Records that an order did not reach an engine. An order goes over the own path only, so its failure may be that of the path. */
  orderFailed (endpoint: EndpointId, reason: string): void {
    this.parts.paths.suspect(endpoint)
    this.observe(endpoint, 'failed', reason)
  }

  /** Has an endpoint tried that owes a response when no endpoint has sent anything for some time; called periodically. */
  checkSilence (): void {
    const { clock, paths } = this.parts
    const silent = this.unanswered.silentEndpoint(this.contacts.latestContactAt, clock.now())
    if (silent !== undefined) paths.suspect(silent)
  }

  /** Closes connections that have been idle for longer than the idle timeout. */
  prune (): void {
    for (const { pool } of this.connections.values()) pool.prune(this.parts.clock.now())
  }

  /** Closes all idle connections. */
  close (): void {
    for (const { pool } of this.connections.values()) pool.close()
  }

  /**
   * Ends an attempt before it begins. An endpoint may ask to back off after it was chosen, while the quarantine decides on the request or the
   * engine that it replaces is given up.
   */
  private holdBack (request: RoutedRequest, { id }: Endpoint): RunningAttempt {
    const { logger, quarantine } = this.parts
    logger.debug('A request was held back from an endpoint that asked to back off.', { request: request.facts.requestId, endpoint: id })
    quarantine.attemptFinished(request)
    return notSent(HELD_BACK)
  }

  /** Ends a request before an attempt that would not end before this instance does. */
  private refuseStopping (request: RoutedRequest, error: LimpetwinchError): RunningAttempt {
    this.parts.quarantine.attemptFinished(request)
    request.end(error)
    return notSent(STOPPING)
  }

  /**
   * @param onData - called with each part of the body that is a part of an answer
   * @returns a sink that records what the endpoint states of itself in the response, and passes all on to the given sink
   */
  private readStatements (endpoint: Endpoint, connection: EndpointConnection, sentAt: number, sink: AttemptSink, onData: () => void): AttemptSink {
    const { rateLimits, brittle, backoffs, leaving } = this.parts
    const { id, born } = endpoint
    return {
      head: (head) => {
        rateLimits.recordResponse(id, head.facts, sentAt)
        brittle.recordResponse(id, head.facts, sentAt)
        backoffs.recordResponse(id, head.facts, born, connection.via)
        leaving.recordResponse(endpoint, head.facts)
        sink.head(head)
      },
      data: (chunk) => {
        const use = sink.data(chunk)
        if (isProgress(use)) onData()
        return use
      }
    }
  }

  private pool (endpoint: Endpoint): EndpointConnections {
    const known = this.connections.get(endpoint.id)
    if (known?.address === endpoint.address) return known.pool
    known?.pool.close()
    const pool = new EndpointConnections(endpoint, this.parts.dialler)
    this.connections.set(endpoint.id, { address: endpoint.address, pool })
    return pool
  }
}

/** @returns why the attempts of a request are abandoned whose signal is aborted */
function endReason ({ exchange, signal }: RoutedRequest): string {
  if (exchange.left.aborted) return 'the caller left'
  return signal.reason instanceof LimpetwinchError ? STOPPING : 'its time is over'
}

/** @returns an attempt that was not made */
function notSent (reason: string): RunningAttempt {
  return { attempt: { abandon: () => {}, pause: () => {}, resume: () => {}, holds: () => true }, ended: Promise.resolve({ kind: 'not-sent', reason }) }
}

/** @returns time for which bytes without progress are accepted in a response on the route, milliseconds */
function fillerMilliseconds ({ objectiveMilliseconds }: Pick<Route, 'objectiveMilliseconds'>): number {
  return Math.max(MINIMUM_FILLER_MILLISECONDS, objectiveMilliseconds / 2)
}
