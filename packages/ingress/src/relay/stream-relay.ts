/** Relays event streams: whole events as they come, and on from the last one where a stream breaks and may be resumed. */
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

/** What the relay needs. */
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
  /** @returns the version that engines are held to; undefined accepts any */
  readonly expectedVersion: (request: RoutedRequest, now: number) => number | undefined
}

/** Relays one request at a time for each call of `relay`. */
export class StreamRelay {
  private readonly parts: StreamRelayDependencies

  constructor (parts: StreamRelayDependencies) {
    this.parts = parts
  }

  /** Serves the request to its end. @returns how it ended, for the log */
  async relay (request: RoutedRequest): Promise<RelayOutcome> {
    return await new RelayedStream(this.parts, request).run()
  }
}
