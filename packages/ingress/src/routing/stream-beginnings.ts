/** Says at which engines a stream may begin, so that the software version that began it is known for as long as its caller may resume it. */
import type { EndpointId } from '@limpetwinch/core'
import type { Endpoint, SoftwareVersion } from '../routes/configuration.js'

/** The part of a query for an engine that says what becomes of the stream when it breaks. */
export interface StreamContinuation {
  /** Software version that the engine must run, for a stream that began at it; undefined accepts any version. */
  readonly softwareVersion?: SoftwareVersion | undefined
  /** Whether the stream may be resumed after it has broken; absent means that it may not. */
  readonly resumable?: boolean
}

/** What is known of the load owners of engines. */
export interface EngineClaims {
  /** @returns whether the engine has a load owner, without which it loads nothing */
  readonly hasLoadOwner: (endpoint: EndpointId) => boolean
  /** @returns whether the engine's load owner object in the store names the software version of its entry */
  readonly isNamed: (endpoint: Endpoint) => boolean
}

/**
 * The load owners' objects are all that is left of the engines' software versions after all instances were killed and the engines have left.
 * A stream of a base model waits for no load, so without this rule it would begin at engines that are not claimed yet.
 *
 * @returns whether the stream may be sent to the engine; one that has begun may go on at any engine of its version, which is named already
 */
export function maySend ({ softwareVersion, resumable = false }: StreamContinuation, endpoint: Endpoint, claims: EngineClaims): boolean {
  return !resumable || softwareVersion !== undefined || claims.isNamed(endpoint)
}
