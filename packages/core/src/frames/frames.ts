/**
 * The frames (messages) that instances exchange over TCP. Each frame is encoded as CBOR and preceded by its length. In a frame that
 * starts or answers a call, `call` is the number by which the sender of the call matches the response.
 */
import type { ErrorName, Outcome } from '../errors/errors-data.js'
import type { AdapterReference } from '../ids/adapter-reference.js'
import type { DataCentreId, EndpointId, FencingToken, InstanceId, LoadedName, RequestId, Revision, SettingsPath } from '../ids/ids.js'
import type { SettingsDocument } from '../settings/operator-settings.js'
import type { TextEdit } from '../settings/text-edit.js'

/** The first frame in each direction of a connection, which identifies the sender. */
export interface HelloFrame {
  readonly kind: 'hello'
  readonly instance: InstanceId
  readonly dataCentre: DataCentreId
  readonly address: string
}

/** Sent at every heartbeat interval. A peer whose heartbeats are missing is first suspected and then considered to have left. */
export interface HeartbeatFrame {
  readonly kind: 'heartbeat'
  readonly sequence: number
  /**
   * Sequence number of the receiver's last heartbeat that arrived on this connection, 0 for none. The echo proves that the sender made
   * this heartbeat after the receiver had sent the echoed one.
   */
  readonly echo: number
  readonly leaving: boolean
  /** Hash over all settings revisions in force at the sender; different hashes show that one side lacks a change. */
  readonly settingsHash: string
  /**
   * Sequence number of the latest ownership object (the stored record of which instance owns which endpoint) that the sender knows.
   * While the response to a write by the sender is missing, this is the sequence number of that write if it is higher, because
   * the write may have taken effect.
   */
  readonly ownershipVersion: number
  /** Whether the sender's last call to the object API got a response. */
  readonly storeReachable: boolean
  /** A configuration version that was the newest one at a known moment; absent if the sender knows of no such moment. */
  readonly provedConfiguration?: number | undefined
  /** Time from that moment until the sender created this heartbeat, in milliseconds. A duration does not depend on synchronised clocks. */
  readonly provedMillisecondsAgo?: number | undefined
}

/** The sender's last frame: the sender runs no more requests, sends no more orders to endpoints and then exits. */
export interface GoodbyeFrame {
  readonly kind: 'goodbye'
}

/** The fields of a frame that reports an error. */
export interface ErrorFrameBody {
  readonly error: ErrorName
  readonly details: Record<string, unknown>
  readonly outcome: Outcome
  readonly retryAfterSeconds?: number
}

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

/** A settings document whose text is sent as a change of the previous text. */
export interface SettingsEdit extends Omit<SettingsDocument, 'text'>, TextEdit {
  /** Write id of the document to which the change applies. */
  readonly base: string
}

/** Sends settings documents that the receiver may not have yet, or may have only in an older revision. */
export interface SettingsChangeFrame {
  readonly kind: 'settings-change'
  readonly documents: readonly SettingsDocument[]
  /**
   * Set only in a response to `settings-revisions`. `whole`: the response contains all newer documents. `more`: it contains a part
   * of them, and the rest needs another request. `unready`: the sender does not have a complete state yet.
   */
  readonly answer?: 'whole' | 'more' | 'unready' | undefined
  /** Changes of documents whose previous text the receiver is expected to have. */
  readonly edits?: readonly SettingsEdit[] | undefined
}

/** The sender's settings revisions, sent when the settings hashes differ. The receiver responds with the documents of which it has a newer state. */
export interface SettingsRevisionsFrame {
  readonly kind: 'settings-revisions'
  readonly revisions: readonly { readonly path: SettingsPath, readonly revision: Revision, readonly writeId: string, readonly acceptedAt: number }[]
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

/** Revisions of the parts of the cluster state that an instance knows. The revision of a part never decreases. */
export interface ClusterStateRevisions {
  readonly configuration: number
  readonly endpoints: number
  readonly announcements: number
  /** Revision of the objects that limpetwinch itself stores; absent in frames of an older release. */
  readonly cluster?: number | undefined
}

/** Offers the sender's cluster state by its revisions. A peer that has older revisions and does not read the store asks for the newer state. */
export interface BeliefsOfferFrame extends ClusterStateRevisions {
  readonly kind: 'beliefs-offer'
  /**
   * Time in milliseconds since the latest read of the store that the sender knows of, by itself or by another instance; absent if
   * the sender knows of none. A duration does not depend on synchronised clocks.
   */
  readonly readMillisecondsAgo?: number | undefined
}

/** Asks the receiver for all parts of the cluster state that are newer than the revisions in this frame. */
export interface BeliefsAskFrame extends ClusterStateRevisions {
  readonly kind: 'beliefs-ask'
}

/** Changes of one collection of stored objects (endpoints, or limpetwinch's own objects) since the revision in the `beliefs-ask`. */
export interface ChangedObjects {
  readonly revision: number
  /**
   * Array of the objects of the collection that changed, in the form in which instances keep them after decoding. The ingress package
   * defines the types of these objects.
   */
  readonly value: unknown
  /** Names of all existing objects of the collection; the receiver removes objects with other names. */
  readonly present?: readonly string[] | undefined
  /** Names of objects that the store lost in an outage and that may be written again within moments. */
  readonly lapsed?: readonly string[] | undefined
}

/**
 * Response to `beliefs-ask`: parts of the cluster state, decoded from the store, each with its revision. A part is absent if the sender's
 * revision of the part is not higher than the revision in the `beliefs-ask`.
 */
export interface BeliefsFrame {
  readonly kind: 'beliefs'
  readonly configuration?: { readonly revision: number, readonly value: unknown } | undefined
  readonly endpoints?: ChangedObjects | undefined
  readonly announcements?: { readonly revision: number, readonly value: unknown } | undefined
  readonly cluster?: ChangedObjects | undefined
}

/** The sender's role in the overlay: a hub forwards one-way messages, a leaf receives all of them from its hub. */
export interface OverlayRoleFrame {
  readonly kind: 'overlay-role'
  readonly role: 'hub' | 'leaf'
}

/** The instances to which a hub is connected. All instances receive this frame, and so learn which instances are alive without connecting to them. */
export interface OverlayPresenceFrame {
  readonly kind: 'overlay-presence'
  readonly connected: readonly InstanceId[]
  /** The connected instances that are leaving and accept no new load ownership. */
  readonly leaving: readonly InstanceId[]
  /** Grows with each announcement of the sender, so that an older one that was forwarded on a longer way is ignored; absent in frames of an older release. */
  readonly sequence?: number | undefined
}

/** A forwarded frame, still encoded, and the number of hops that the frame has made. An empty `to` addresses all instances. */
export type OverlayItem = readonly [origin: InstanceId, to: InstanceId | '', hops: number, frame: Uint8Array]

/** Frames that the overlay forwards between instances. Each is still encoded as its origin encoded it. */
export interface OverlayBatchFrame {
  readonly kind: 'overlay-batch'
  readonly items: readonly OverlayItem[]
  /** Indexes in `items` of the frames that may be delayed to be batched with later ones; absent in frames of an older release. */
  readonly patient?: readonly number[] | undefined
}

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
}

/** Tells the instance that sent a `load-ask` that the load was not ordered, so that this instance chooses another endpoint. */
export interface LoadRefusedFrame {
  readonly kind: 'load-refused'
  readonly endpoint: EndpointId
  readonly key: string
  readonly reason: string
}

/** Reports that an endpoint crashed, and which requests of the sender were in flight on it. */
export interface EndpointCrashFrame {
  readonly kind: 'endpoint-crash'
  /** Id of the endpoint and start time of the crashed incarnation, as `id/born`. */
  readonly life: string
  readonly service: string
  /** Time since the crash when this frame was sent, in milliseconds. */
  readonly millisecondsAgo: number
  /**
   * The requests in flight. For each: how long the request had been on the endpoint, in milliseconds, and whether the request ran in
   * isolation from other suspected requests.
   */
  readonly aboard: readonly (readonly [fingerprint: string, milliseconds: number, isolated: boolean])[]
}

/**
 * Coordinates isolated runs of requests that are suspected of crashing endpoints. Only one instance at a time runs a suspected request,
 * on an endpoint that runs no other suspected request.
 */
export interface RequestTrialFrame {
  readonly kind: 'request-trial'
  readonly fingerprint: string
  /**
   * `claimed`: the sender wants to run the request and asks peers for objections. `running`: such an objection, because a claim of
   * the sender conflicts. `sent`: the request was sent to the endpoint, and peers count the run. `over`: the run ended.
   * `completed`: the run completed without a crash, which clears the request of all suspicion.
   */
  readonly state: 'claimed' | 'running' | 'sent' | 'over' | 'completed'
  /** The endpoint on which the request runs; absent when the request no longer runs. */
  readonly endpoint?: EndpointId | undefined
  /** Time after which the sender's claim to run the request lapses, in milliseconds; 0 when the run is over. */
  readonly milliseconds: number
}

/** Reports the quarantine of a request: no instance sends the request to endpoints, because the request is held responsible for crashes. */
export interface RequestVerdictFrame {
  readonly kind: 'request-verdict'
  readonly fingerprint: string
  /** Number of crashes that are attributed to the request. */
  readonly crashes: number
  /** Number of quarantines in a row without a completed run between them. */
  readonly strikes: number
  /** Whether it is ruled out that the request was in flight at the crashes by coincidence. */
  readonly certain: boolean
  /** Time in milliseconds until one trial run of the request is allowed. */
  readonly remainingMilliseconds: number
}

/** Endpoints that the platform lists as leaving. Sent for peers whose copy of the platform's list is older, or that cannot reach the platform. */
export interface EndpointsLeavingFrame {
  readonly kind: 'endpoints-leaving'
  /** All leaving endpoints, so that receivers also learn that an endpoint is no longer leaving. */
  readonly leaving: readonly string[]
  /** Time in milliseconds from the read of the list until this frame was sent. A duration does not depend on synchronised clocks. */
  readonly readMillisecondsAgo: number
}

/** Asks the quota owner of a team, the instance that divides the team's quota, for tokens. */
export interface QuotaAskFrame {
  readonly kind: 'quota-ask'
  readonly team: string
  /** Number of this ask among those of the sender for the team. The sender ignores answers to earlier asks. */
  readonly number: number
  /** Tokens that the sender holds for the team and has not used. */
  readonly held: number
  /** Tokens that the sender gives back, no longer included in `held`. */
  readonly returned: number
  /** Costs of the requests that wait for this ask, in tokens, in the order of their arrival. */
  readonly needs: readonly number[]
  /** Tokens that the sender wants to hold for coming requests. */
  readonly wanted: number
}

/** Answers a `quota-ask`. */
export interface QuotaAnswerFrame {
  readonly kind: 'quota-answer'
  readonly team: string
  readonly number: number
  /** For each of the `needs` whether its tokens are granted. */
  readonly granted: readonly boolean[]
  /** Tokens granted for coming requests. */
  readonly extra: number
  /** Expected time until a refused need can be granted, in milliseconds; 0 if none was refused. */
  readonly milliseconds: number
  /** Whether the answering instance is not the quota owner of the team; it granted nothing then. */
  readonly notOwner: boolean
}

/** What an endpoint said of its rate limit in a response, passed on to all instances. */
export interface RateLimitFrame {
  readonly kind: 'rate-limit'
  readonly endpoint: string
  /** Start time of the endpoint's process, which tells one incarnation from the next. */
  readonly born: number
  /** Requests a second from all instances together; undefined when the endpoint named no limit. */
  readonly limit?: number | undefined
  /** Time in milliseconds from the sending of the request until this frame was sent. A duration does not depend on synchronised clocks. */
  readonly sentMillisecondsAgo: number
  /** Time in milliseconds from the reading of the response until this frame was sent. */
  readonly readMillisecondsAgo: number
}

/** Asks the quota owner of an endpoint, the instance that divides the endpoint's rate limit, whether requests may be sent. */
export interface RateAskFrame {
  readonly kind: 'rate-ask'
  readonly endpoint: string
  /** Number of this ask among those of the sender for the endpoint. The sender ignores answers to earlier asks. */
  readonly number: number
  /** For each request that waits for this ask the part of the capacity that must be available, in the order of their arrival. */
  readonly floors: readonly number[]
}

/** Answers a `rate-ask`. */
export interface RateAnswerFrame {
  readonly kind: 'rate-answer'
  readonly endpoint: string
  readonly number: number
  /** For each of the requests whether it may be sent. */
  readonly granted: readonly boolean[]
  /** Expected time until a refused request may be sent, in milliseconds; 0 if none was refused. */
  readonly milliseconds: number
  /** Whether the answering instance is not the quota owner of the endpoint; it granted nothing then. */
  readonly notOwner: boolean
}

/** A positive response to a call, without further content. */
export interface AcceptedFrame {
  readonly kind: 'accepted'
  readonly call: number
}

/** A negative response to a call. */
export interface RefusedFrame extends ErrorFrameBody {
  readonly kind: 'refused'
  readonly call: number
}

/** Any frame between peers. */
export type PeerFrame =
  | HelloFrame
  | HeartbeatFrame
  | GoodbyeFrame
  | AdmissionAskFrame
  | AdmissionGrantedFrame
  | AdmissionRefusedFrame
  | AdmissionDoneFrame
  | PinsAskFrame
  | PinsReportFrame
  | EndpointDigestFrame
  | SettingsChangeFrame
  | SettingsRevisionsFrame
  | OwnershipFrame
  | HandOverFrame
  | LoadTurnAskFrame
  | LoadTurnDoneFrame
  | TeamServiceFrame
  | BeliefsOfferFrame
  | BeliefsAskFrame
  | BeliefsFrame
  | RelayLoadFrame
  | AdaptersHeldFrame
  | LoadAskFrame
  | LoadRefusedFrame
  | EndpointsLeavingFrame
  | AdaptersChangedFrame
  | OverlayRoleFrame
  | OverlayPresenceFrame
  | OverlayBatchFrame
  | EndpointCrashFrame
  | RequestTrialFrame
  | RequestVerdictFrame
  | QuotaAskFrame
  | QuotaAnswerFrame
  | RateLimitFrame
  | RateAskFrame
  | RateAnswerFrame
  | AcceptedFrame
  | RefusedFrame

/** The kinds of all frames. */
export type FrameKind = PeerFrame['kind']

/** The frame type of one kind. */
export type FrameOf<Kind extends FrameKind> = Extract<PeerFrame, { kind: Kind }>
