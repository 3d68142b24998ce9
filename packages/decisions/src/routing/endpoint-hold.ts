/** Grounds for which an endpoint is kept from requests, besides the failures that one instance has seen itself. */
import type { EndpointId } from '@limpetwinch/core'

/** Keeps endpoints from requests for a time. */
export abstract class EndpointHold {
  /** Whether no endpoint is held back or penalised. */
  abstract get isEmpty (): boolean

  /** @returns whether the endpoint must get no request now */
  abstract isHeld (endpoint: EndpointId, now: number): boolean

  /** @returns monotonic time at which the endpoint may get a request again; -Infinity when it may already */
  abstract heldUntil (endpoint: EndpointId): number

  /** @returns the penalty of an endpoint that gets requests again, 0 to 1 */
  abstract penalty (endpoint: EndpointId, now: number): number
}
