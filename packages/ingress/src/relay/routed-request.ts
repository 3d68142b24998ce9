/** The request of a caller after its route and service were chosen, which a relay sends to an endpoint. */
import type { LimpetwinchError } from '@limpetwinch/core'
import type { Route, Service, Team } from '../routes/configuration.js'
import type { CallerExchange } from './caller-exchange.js'
import type { RequestFacts } from './request-codec.js'

/** A caller's request with its route, as the listener passes it to a relay. */
export interface RoutedRequest {
  readonly exchange: CallerExchange
  readonly facts: RequestFacts
  readonly route: Route
  readonly service: Service
  /** The team whose key the request carries; undefined when it belongs to no team. */
  readonly team: Team | undefined
  /** Priority of the request, 0 being the most urgent. */
  readonly priority: number
  /** Version of the configuration that chose the route. */
  readonly configurationVersion: number
  readonly method: string
  /** Path and query string. */
  readonly target: string
  /** The caller's headers that are forwarded: names and values, alternating. */
  readonly headers: readonly string[]
  readonly body: Buffer | undefined
  /** Monotonic time at which the request arrived. */
  readonly arrivedAt: number
  /** Monotonic time at which the request times out: the caller's deadline or the route's timeout, whichever is first. */
  readonly endsAt: number
  /** Aborted at `endsAt`, when the caller leaves, or by {@link RoutedRequest.end}. */
  readonly signal: AbortSignal
  /** Ends the request with this error, as far as it has not run; aborts the signal with it. */
  readonly end: (error: LimpetwinchError) => void
}
