/**
 * Interface between a planned hand-over and the scheduler of an endpoint. On the earlier owner, the scheduler provides the
 * state to hand over; on the new owner, it applies that state.
 */
import type { EndpointId, FencingToken, InstanceId, LoadedName, RequestId } from '@limpetwinch/core'

/** A running request, as the earlier owner reports it to the new owner. */
export interface HandedOverPin {
  readonly requestId: RequestId
  readonly instance: InstanceId
  readonly loadedName: LoadedName | undefined
  readonly team: string
}

/** State of an endpoint that its owner hands over. */
export interface HandOverState {
  /** Names of adapters that are certainly loaded on the engine; a name whose load or unload order has no answer yet is left out. */
  readonly loaded: readonly LoadedName[]
  /** Requests that were granted and have not ended, including those of earlier owners. */
  readonly pins: readonly HandedOverPin[]
}

/** Operations of the scheduler during a hand-over. */
export abstract class HandOverSource {
  /** Stops load and unload orders and waits for the answers of orders in progress; grants for loaded names continue. */
  abstract pauseOrders (endpoint: EndpointId): Promise<void>

  /** Resumes orders after a hand-over that could not be written to the store. */
  abstract resumeOrders (endpoint: EndpointId): void

  /**
   * Called after the new record is written, from when on this instance grants nothing on the endpoint: requests that
   * ask for admission wait until {@link release}.
   *
   * @returns the loaded names and pins
   */
  abstract state (endpoint: EndpointId): HandOverState

  /** Refuses waiting and later requests with `not-owner` and `details.owner`, so that their senders ask the new owner. */
  abstract release (endpoint: EndpointId, newOwner: InstanceId): void

  /** Called on the new owner: applies the loaded names and pins that the earlier owner sent. */
  abstract adopt (endpoint: EndpointId, token: FencingToken, state: HandOverState): void
}
