/** A request on its route, ready to be sent. */
import type { Route, Service } from '../routes/configuration.js'
import type { CallerExchange } from './caller-exchange.js'
import type { RequestFacts } from './request-codec.js'

/** What a relay works on. */
export interface RoutedRequest {
  readonly exchange: CallerExchange
  readonly facts: RequestFacts
  readonly route: Route
  readonly service: Service
  /** Version of the configuration that chose the route. */
  readonly configurationVersion: number
  readonly method: string
  /** Path and query. */
  readonly target: string
  /** The caller's headers, names and values in turn. */
  readonly headers: readonly string[]
  readonly body: Buffer | undefined
  /** Monotonic time at which the request came. */
  readonly arrivedAt: number
  /** Monotonic time at which it is given up: the caller's deadline or the route's timeout, whichever is first. */
  readonly endsAt: number
  /** Ends at that time, or when the caller leaves. */
  readonly signal: AbortSignal
}
