/** What hand-over needs from the scheduler of an endpoint. */
import type { EndpointId, FencingToken, InstanceId, LoadedName, RequestId } from '@limpetwinch/core'

/** A request that uses an endpoint, as it is handed over. */
export interface HandedOverPin {
  readonly requestId: RequestId
  readonly instance: InstanceId
  readonly loadedName: LoadedName | undefined
  readonly team: string
}

/** What an owner hands over. */
export interface HandOverState {
  /** Names that are certainly loaded; one whose order has no answer yet is left out. */
  readonly loaded: readonly LoadedName[]
  /** Requests granted and not ended, those left from earlier owners included. */
  readonly pins: readonly HandedOverPin[]
}

/** The scheduler's side of a hand-over. */
export abstract class HandOverSource {
  /** Stops orders and waits for the answers of those under way; grants for what is loaded go on. */
  abstract pauseOrders (endpoint: EndpointId): Promise<void>

  /** Gives orders again, after a hand-over that was not written. */
  abstract resumeOrders (endpoint: EndpointId): void

  /** Stops grants, lets asks wait and tells what is loaded and pinned. */
  abstract state (endpoint: EndpointId): HandOverState

  /** Answers what waits, and all later asks, with `not-owner` and `details.owner`, so that the askers go on there. */
  abstract release (endpoint: EndpointId, newOwner: InstanceId): void

  /** Takes over loaded names and pins from the earlier owner. */
  abstract adopt (endpoint: EndpointId, token: FencingToken, state: HandOverState): void
}
