/**
 * Relays event streams: passes complete events to the caller as they arrive. Where the route allows it, a stream whose connection broke
 * is resumed after its last event.
 */
import type { Clock, Logger } from '@limpetwinch/core'
import type { EngineSpeeds } from '@limpetwinch/decisions'
import type { AdapterLocations } from '../adapters/adapter-locations.js'
import type { EngineFinder } from '../adapters/engine-finder.js'
import type { RequestQuarantine } from '../quarantine/request-quarantine.js'
import type { RetryBudgets } from '../retries/retry-budgets.js'
import type { FirstEventForecast } from '../routing/first-event-forecast.js'
import type { EndpointWorkTracker } from '../routing/endpoint-work-tracker.js'
import type { PrefixCacheEstimate } from '../routing/prefix-cache-estimate.js'
import type { EndpointSenders } from './endpoint-senders.js'
import type { RelayOutcome } from './relay-outcome.js'
import { RelayedStream } from './relayed-stream.js'
import type { RoutedRequest } from './routed-request.js'

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
  /** @returns the version of the request's adapter that engines must have; undefined accepts any version */
  readonly expectedVersion: (request: RoutedRequest, now: number) => number | undefined
}

/** Relays requests of stream routes. */
export class StreamRelay {
  private readonly parts: StreamRelayDependencies

  constructor (parts: StreamRelayDependencies) {
    this.parts = parts
  }

  /** Serves the request to its end. @returns how it ended */
  async relay (request: RoutedRequest): Promise<RelayOutcome> {
    return await new RelayedStream(this.parts, request).run()
  }
}
