/** Frames on work in flight and on the adapters that endpoints hold or load. */
import type { EndpointId, FencingToken } from '../ids/ids.js'

/** Work of the sender that is in flight on one endpoint. */
export interface RelayedLoad {
  readonly endpoint: EndpointId
  readonly requests: number
  /** Prompt tokens of requests to the endpoint that have not received a first event yet. */
  readonly prefillTokens: number
  /** Engine memory used by the prompts and outputs of the requests, in tokens. */
  readonly memoryTokens: number
  /** For each adapter key: the number of running requests, and the number of requests sent since the previous `relay-load` frame. */
  readonly adapters: readonly (readonly [key: string, running: number, sent: number])[]
}

/** The sender's work on all endpoints. The sender has no work on an endpoint that is not listed. */
export interface RelayLoadFrame {
  readonly kind: 'relay-load'
  readonly loads: readonly RelayedLoad[]
}

/** The sender's present totals on one endpoint, sent when it has just sent a long prompt there; its other work is as in its last `relay-load`. */
export interface WorkChangedFrame extends Omit<RelayedLoad, 'adapters'> {
  readonly kind: 'work-changed'
}

/** The adapters of an endpoint as known to its load owner, the instance that orders its loads. */
export interface AdaptersHeldFrame {
  readonly kind: 'adapters-held'
  readonly endpoint: EndpointId
  /**
   * Start time of the endpoint's current incarnation as its entry in the store states it, in Unix milliseconds; 0 if not stated. An
   * endpoint that restarts under the same id has a later time, so a notice with a lower value is outdated.
   */
  readonly born: number
  readonly token: FencingToken
  /** Increases with each frame that the sender sends about the endpoint under one token. */
  readonly sequence: number
  /** Loaded adapters. */
  readonly held: readonly (readonly [key: string, version: number])[]
  /** Keys of the adapters whose load is in progress. */
  readonly inFlight: readonly string[]
  /** Keys of the adapters with a pending load, in no particular order; absent in frames of an older release. */
  readonly waiting?: readonly string[] | undefined
  /** Expected wait of one more load for its turn, in milliseconds; absent in frames of an older release. */
  readonly waitMilliseconds?: number | undefined
  /**
   * Expected wait of one more load of each priority, from 0 on, while no slot is free, in milliseconds: it goes behind the loads that are at least as
   * urgent. Less urgent loads than those listed wait as long as the last one. Absent in frames of an older release.
   */
  readonly waits?: readonly number[] | undefined
}

/**
 * Changes of an endpoint's adapters since the previous frame in which the load owner described them. Usually only one of many adapters
 * has changed.
 */
export interface AdaptersChangedFrame {
  readonly kind: 'adapters-changed'
  readonly endpoint: EndpointId
  readonly born: number
  readonly token: FencingToken
  /** One more than the sequence number of the previous frame. The changes apply to the state after that frame. */
  readonly sequence: number
  /** Added adapters, and adapters that are now loaded in another version. */
  readonly added: readonly (readonly [key: string, version: number])[]
  readonly removed: readonly string[]
  readonly inFlight: readonly string[]
  readonly waitingAdded: readonly string[]
  readonly waitingRemoved: readonly string[]
  readonly waitMilliseconds: number
  /** See {@link AdaptersHeldFrame.waits}. */
  readonly waits?: readonly number[] | undefined
}

/** Asks the load owner of an endpoint to load an adapter. */
export interface LoadAskFrame {
  readonly kind: 'load-ask'
  readonly endpoint: EndpointId
  readonly key: string
  /** The minimum version that is useful to the sender. */
  readonly version: number
  /** Whether a request waits for the adapter. If false, the adapter is loaded elsewhere already, and this load makes an additional copy. */
  readonly waiting: boolean
  /** Id of the waiting request, so that a request that asks for the same load repeatedly counts once; absent in frames of an older release. */
  readonly request?: string | undefined
  /**
   * Time left until the response to the waiting request is late by its latency objective, in milliseconds; negative if the response is
   * late already. Absent in frames of an older release.
   */
  readonly onTimeMilliseconds?: number | undefined
  /** Priority of the waiting request, 0 being the most urgent; absent in frames of an older release, and then 0. */
  readonly priority?: number | undefined
  /** Recent service of the request's team over all instances, divided by its share; absent if it is not known. */
  readonly shareUsed?: number | undefined
  /**
   * Time until the caller of the request, who was refused, returns as told, in milliseconds. Its place in the load queue is kept for that long.
   * Absent for a request that waits.
   */
  readonly returnsInMilliseconds?: number | undefined
}

/** Tells the instance that sent a `load-ask` that the load was not ordered, so that this instance chooses another endpoint. */
export interface LoadRefusedFrame {
  readonly kind: 'load-refused'
  readonly endpoint: EndpointId
  readonly key: string
  readonly reason: string
}
