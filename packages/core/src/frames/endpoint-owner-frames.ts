/** Frames between the instances and the owners of endpoints: admission, pins, digests and hand-overs. */
import type { AdapterReference } from '../ids/adapter-reference.js'
import type { EndpointId, FencingToken, InstanceId, LoadedName, RequestId } from '../ids/ids.js'
import type { ErrorFrameBody } from './connection-frames.js'

/** Asks the owner of an endpoint to admit a request. */
export interface AdmissionAskFrame {
  readonly kind: 'admission-ask'
  readonly call: number
  readonly requestId: RequestId
  readonly endpoint: EndpointId
  /** The adapter that the request uses; undefined for the base model alone. */
  readonly adapter: AdapterReference | undefined
  readonly team: string
  readonly priority: number
  readonly promptTokens: number
  readonly maximumTokens: number
  /** How much longer the caller will wait for the complete response, in milliseconds. A duration does not depend on synchronised clocks. */
  readonly patience: number
}

/** Admits a request: its adapter is loaded and stays pinned, that is, protected from eviction, until `admission-done`. */
export interface AdmissionGrantedFrame {
  readonly kind: 'admission-granted'
  readonly call: number
  readonly token: FencingToken
  readonly loadedName: LoadedName | undefined
  /** Time that the request waited until its adapter was found loaded, in milliseconds. */
  readonly loadStall: number
  /** Total time that the request waited for admission, in milliseconds. */
  readonly queueWait: number
}

/** Refuses an `admission-ask`. Nothing of the request was sent to the endpoint. */
export interface AdmissionRefusedFrame extends ErrorFrameBody {
  readonly kind: 'admission-refused'
  readonly call: number
}

/** Ends the pin of a request, or withdraws its `admission-ask` if that has not been granted yet. */
export interface AdmissionDoneFrame {
  readonly kind: 'admission-done'
  readonly requestId: RequestId
  readonly endpoint: EndpointId
  readonly outputTokens: number
  readonly outcome: 'answered' | 'not-run' | 'failed' | 'withdrawn'
}

/**
 * Sent by a new owner of an endpoint to each member. The owner asks which of the member's requests use the endpoint, and tells the
 * member to accept no admission under an older token from then on.
 */
export interface PinsAskFrame {
  readonly kind: 'pins-ask'
  readonly call: number
  readonly endpoint: EndpointId
  readonly token: FencingToken
}

/** The response to `pins-ask`: all requests of the sender that may be running on the endpoint under older tokens. */
export interface PinsReportFrame {
  readonly kind: 'pins-report'
  readonly call: number
  readonly pins: readonly { readonly requestId: RequestId, readonly loadedName: LoadedName | undefined, readonly team: string }[]
}

/** The state of an endpoint for routing, which its owner sends to all instances of the data centre. */
export interface EndpointDigestFrame {
  readonly kind: 'endpoint-digest'
  readonly endpoint: EndpointId
  readonly token: FencingToken
  readonly sequence: number
  readonly queued: number
  readonly running: number
  readonly slots: number
  readonly pinnedSlots: number
  readonly batchCapacity: number
  readonly leaving: boolean
  readonly healthy: boolean
  /**
   * If true, `added` lists all adapters loaded on the endpoint, as `team/adapter@version`. Otherwise `added` and `removed` are the
   * changes since the previous digest.
   */
  readonly full: boolean
  readonly added: readonly string[]
  readonly removed: readonly string[]
  /** Number of requests that one more load is expected to stall, because this load must evict an adapter that they need. */
  readonly evictionCost: number
}

/** The latest ownership object that the sender knows, forwarded so that peers need not wait until they read the object themselves. */
export interface OwnershipFrame {
  readonly kind: 'ownership'
  /**
   * Sequence number in the value of the ownership object. The version that the store gives the object is not used, since that version
   * may decrease when the store is restored.
   */
  readonly version: number
  readonly value: unknown
}

/** Sent by a leaving owner to the new owner of an endpoint, which takes over the loaded names and pins unchanged. */
export interface HandOverFrame {
  readonly kind: 'hand-over'
  readonly call: number
  readonly endpoint: EndpointId
  readonly token: FencingToken
  /** Whether the sender knew all pins of earlier owners. If not, the receiver asks all members for their pins, as after the loss of an owner. */
  readonly recovered: boolean
  readonly loaded: readonly LoadedName[]
  readonly pins: readonly { readonly requestId: RequestId, readonly instance: InstanceId, readonly loadedName: LoadedName | undefined, readonly team: string }[]
}

/** Requests a load turn, which is the right to load one adapter from the weight store. The receiver coordinates the turns of all instances. */
export interface LoadTurnAskFrame {
  readonly kind: 'load-turn-ask'
  readonly call: number
  /** Id of the turn, chosen by the sender and repeated in `load-turn-done`. */
  readonly turn: string
  /**
   * How long requests have been stalled by the missing adapter, in milliseconds, weighted by the load ordering policy, plus the
   * milliseconds that the sender has already waited for the turn. Of all waiting turns, the one with the highest urgency is granted first.
   */
  readonly urgency: number
}

/** Releases a granted load turn, or withdraws a `load-turn-ask` that has not been granted yet. */
export interface LoadTurnDoneFrame {
  readonly kind: 'load-turn-done'
  readonly turn: string
}

/**
 * The tokens that each team has used on the sender's endpoints since the sender's previous frame of this kind, so that fair queueing
 * counts the use at all owners. Tokens are weighted: an output token counts more than a prompt token.
 */
export interface TeamServiceFrame {
  readonly kind: 'team-service'
  readonly tokens: readonly { readonly team: string, readonly tokens: number }[]
}
