/**
 * Relays event streams: passes complete events to the caller as they arrive. Where the route allows it, a stream whose connection broke
 * is resumed after its last event.
 */
import { LimpetwinchError } from '@limpetwinch/core'
import type { Clock, Logger } from '@limpetwinch/core'
import type { EngineSpeeds } from '@limpetwinch/decisions'
import type { AdapterLocations } from '../adapters/adapter-locations.js'
import type { EngineFinder } from '../adapters/engine-finder.js'
import type { RequestQuarantine } from '../quarantine/request-quarantine.js'
import type { RetryBudgets } from '../retries/retry-budgets.js'
import type { Service, ServiceName } from '../routes/configuration.js'
import type { FirstEventForecast } from '../routing/first-event-forecast.js'
import type { EndpointWorkTracker } from '../routing/endpoint-work-tracker.js'
import type { PrefixCacheEstimate } from '../routing/prefix-cache-estimate.js'
import type { StreamOrigin } from '../streams/stream-origin-table.js'
import type { StreamOrigins } from '../streams/stream-origins.js'
import type { EndpointSenders } from './endpoint-senders.js'
import type { RelayOutcome } from './relay-outcome.js'
import { RelayedStream } from './relayed-stream.js'
import type { RoutedRequest } from './routed-request.js'
import type { VersionedSends } from './versioned-sends.js'

/**
 * `retry-after` of a resumption whose origin is not known, in seconds. Another instance may know it, and a cut between instances may be over
 * by then.
 */
const UNKNOWN_ORIGIN_RETRY_SECONDS = 0.3

/** Dependencies of the relay. */
export interface StreamRelayDependencies {
  readonly clock: Clock
  readonly logger: Logger
  readonly engineFinder: EngineFinder
  readonly locations: AdapterLocations
  readonly workTracker: EndpointWorkTracker
  readonly forecast: FirstEventForecast
  readonly speeds: EngineSpeeds
  readonly prefixes: PrefixCacheEstimate
  readonly senders: EndpointSenders
  readonly budgets: RetryBudgets
  readonly quarantine: RequestQuarantine
  readonly origins: Pick<StreamOrigins, 'begun' | 'completed' | 'find'>
  /** @returns the service of this name in the configuration that is in force */
  readonly findService: (name: ServiceName) => Service | undefined
  readonly versionedSends: Pick<VersionedSends, 'begin' | 'isReplaced' | 'answerBegan'>
}

/** Relays requests of stream routes. */
export class StreamRelay {
  private readonly parts: StreamRelayDependencies

  constructor (parts: StreamRelayDependencies) {
    this.parts = parts
  }

  /** Serves the request to its end. @returns how it ended */
  async relay (request: RoutedRequest): Promise<RelayOutcome> {
    if (request.facts.lastEventId === undefined) return await new RelayedStream(this.parts, request).run()
    const origin = await this.findOrigin(request)
    const service = origin === undefined ? undefined : this.serviceOf(request, origin)
    if (origin === undefined || service === undefined) return this.refuse(request)
    if (service === request.service) return await new RelayedStream(this.parts, request, origin).run()
    const rerouted = { ...request, service }
    try {
      return await new RelayedStream(this.parts, rerouted, origin).run()
    } finally {
      // The quarantine keeps what it knows of a request by the object, and the caller of this method has only the first one.
      this.parts.quarantine.attemptFinished(rerouted)
    }
  }

  private async findOrigin ({ facts: { firstAttempt }, team, service }: RoutedRequest): Promise<StreamOrigin | undefined> {
    return await this.parts.origins.find(firstAttempt === undefined ? undefined : { requestId: firstAttempt, team: team?.name }, service)
  }

  /** @returns the service on which the stream began; undefined when the route does not lead there any more */
  private serviceOf ({ route, service }: RoutedRequest, origin: StreamOrigin): Service | undefined {
    if (origin.service === service.name) return service
    const isTarget = route.targets.some((target) => target.service === origin.service && target.weight > 0)
    return isTarget ? this.parts.findService(origin.service) : undefined
  }

  private refuse ({ exchange, facts: { firstAttempt } }: RoutedRequest): RelayOutcome {
    if (exchange.left.aborted) return { outcome: 'caller-left', tries: 0 }
    const error = new LimpetwinchError('stream-origin-unknown', { firstAttempt }, { retryAfterSeconds: UNKNOWN_ORIGIN_RETRY_SECONDS })
    exchange.refuse(error)
    return { outcome: 'refused', error, tries: 0 }
  }
}
