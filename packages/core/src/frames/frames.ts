/** The frames that entry instances exchange over TCP: each is encoded as CBOR and preceded by its length. */
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

/** Sent at every heartbeat interval. A peer whose heartbeats are missing is suspected first and then considered gone. */
export interface HeartbeatFrame {
  readonly kind: 'heartbeat'
  readonly sequence: number
  /** Sequence of the receiver's last heartbeat that arrived on this connection, 0 for none. It proves that this one was made later. */
  readonly echo: number
  readonly leaving: boolean
  /** Hash over all settings revisions in force at the sender; different hashes show that one side lacks a change. */
  readonly settingsHash: string
  /** Sequence of the latest ownership object that the sender knows, or of a write by the sender whose result is unknown. */
  readonly ownershipVersion: number
  /** Whether the sender's last call to the object API got a response. */
  readonly storeReachable: boolean
}

/** The sender's last frame: the sender runs no more requests, sends no more orders and ends. */
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
  /** Undefined for the base model alone. */
  readonly adapter: AdapterReference | undefined
  readonly team: string
  readonly priority: number
  readonly promptTokens: number
  readonly maximumTokens: number
  /** Remaining time that the caller will wait, in milliseconds. A duration does not depend on synchronised clocks. */
  readonly patience: number
}

/** Admits a request: its adapter is loaded and stays pinned until `admission-done`. */
export interface AdmissionGrantedFrame {
  readonly kind: 'admission-granted'
  readonly call: number
  readonly token: FencingToken
  readonly loadedName: LoadedName | undefined
  readonly loadStall: number
  readonly queueWait: number
}

/** Refuses a request, of which nothing was sent to the endpoint. */
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

/** Sent by a new owner to each member: asks which of its requests use the endpoint and tells it to accept no older token from then on. */
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
  /** Whether `added` lists all adapters of the endpoint, as `team/adapter@version`. Otherwise `added` and `removed` are changes since the last digest. */
  readonly full: boolean
  readonly added: readonly string[]
  readonly removed: readonly string[]
  /** Number of requests that one more load is expected to stall because of the eviction it needs. */
  readonly evictionCost: number
}

/** A settings document, sent as a change of its previous text. */
export interface SettingsEdit extends Omit<SettingsDocument, 'text'>, TextEdit {
  /** Write id of the document to which the change applies. */
  readonly base: string
}

/** Settings documents that the receiver may lack or know only in an older state. */
export interface SettingsChangeFrame {
  readonly kind: 'settings-change'
  readonly documents: readonly SettingsDocument[]
  /**
   * In a response to `settings-revisions`: `whole` for all newer documents, `more` for a part of them, `unready` if the sender
   * does not have a complete state yet.
   */
  readonly answer?: 'whole' | 'more' | 'unready' | undefined
  /** Changes of documents whose previous text the receiver is expected to have. */
  readonly edits?: readonly SettingsEdit[] | undefined
}

/** The sender's settings revisions, sent when the settings hashes differ. The receiver responds with the documents that are newer on its side. */
export interface SettingsRevisionsFrame {
  readonly kind: 'settings-revisions'
  readonly revisions: readonly { readonly path: SettingsPath, readonly revision: Revision, readonly writeId: string, readonly acceptedAt: number }[]
}

/** The latest ownership object that the sender knows, forwarded so that peers need not wait until they read it themselves. */
export interface OwnershipFrame {
  readonly kind: 'ownership'
  /** Sequence number in the object's value. The version in the store is not used, since it may decrease when the store is restored. */
  readonly version: number
  readonly value: unknown
}

/** Sent by a leaving owner to the new owner of an endpoint, which takes over the loaded names and pins unchanged. */
export interface HandOverFrame {
  readonly kind: 'hand-over'
  readonly call: number
  readonly endpoint: EndpointId
  readonly token: FencingToken
  /** Whether the sender knew all earlier pins. If not, the receiver asks all members for their pins, as it does after the loss of an owner. */
  readonly recovered: boolean
  readonly loaded: readonly LoadedName[]
  readonly pins: readonly { readonly requestId: RequestId, readonly instance: InstanceId, readonly loadedName: LoadedName | undefined, readonly team: string }[]
}

/** Requests a turn to load from the weight store. */
export interface LoadTurnAskFrame {
  readonly kind: 'load-turn-ask'
  readonly call: number
  /** Id of the turn, chosen by the sender and repeated in `load-turn-done`. */
  readonly turn: string
  /** Expected stall that the load ends; the largest value is granted first. */
  readonly urgency: number
}

/** Releases a turn. */
export interface LoadTurnDoneFrame {
  readonly kind: 'load-turn-done'
  readonly turn: string
}

/** Weighted tokens that teams have used on the sender's endpoints since its previous frame of this kind, so that fairness holds across owners. */
export interface TeamServiceFrame {
  readonly kind: 'team-service'
  readonly tokens: readonly { readonly team: string, readonly tokens: number }[]
}

/** Revisions of the parts of the cluster state that an instance knows. Each number only increases. */
export interface ClusterStateRevisions {
  readonly configuration: number
  readonly endpoints: number
  readonly announcements: number
  /** Revision of the objects that limpetwinch itself keeps in the store; absent in frames of an older release. */
  readonly cluster?: number | undefined
}

/** Offers the sender's cluster state by its revisions. A peer that has older revisions and does not read the store asks for the newer state. */
export interface BeliefsOfferFrame extends ClusterStateRevisions {
  readonly kind: 'beliefs-offer'
  /**
   * Age, in milliseconds, of the latest read of the store from which the sender has received state, directly or through other
   * instances; absent if there was none. A duration does not depend on synchronised clocks.
   */
  readonly readMillisecondsAgo?: number | undefined
}

/** Asks for the cluster state that is newer than these revisions. */
export interface BeliefsAskFrame extends ClusterStateRevisions {
  readonly kind: 'beliefs-ask'
}

/** Changes of a collection of the store since the revision named in the request. */
export interface ChangedObjects {
  readonly revision: number
  /** The changed objects, decoded. */
  readonly value: unknown
  /** Names of all existing objects; the receiver removes objects with other names. */
  readonly present?: readonly string[] | undefined
  /** Names of objects that the store lost in an outage and that may be written again within moments. */
  readonly lapsed?: readonly string[] | undefined
}

/** Decoded state of the store at a revision. A part is absent if the sender has no newer state of it. */
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

/** The instances to which a hub is connected. All instances receive it, so that an instance learns that another one is alive without a connection to it. */
export interface OverlayPresenceFrame {
  readonly kind: 'overlay-presence'
  readonly connected: readonly InstanceId[]
  /** The connected instances that are leaving and accept no new load ownership. */
  readonly leaving: readonly InstanceId[]
}

/** A forwarded frame. An empty `to` addresses all instances. */
export type OverlayItem = readonly [origin: InstanceId, to: InstanceId | '', hops: number, frame: Uint8Array]

/** Forwarded frames of other instances or for other instances, still in the encoding of their origin. */
export interface OverlayBatchFrame {
  readonly kind: 'overlay-batch'
  readonly items: readonly OverlayItem[]
  /** Indexes in `items` of frames whose forwarding may be delayed; absent in frames of an older release. */
  readonly patient?: readonly number[] | undefined
}

/** Work of the sender that is in flight on one endpoint. */
export interface RelayedLoad {
  readonly endpoint: EndpointId
  readonly requests: number
  /** Prompt tokens of requests to the endpoint that have not received a first event yet. */
  readonly prefillTokens: number
  readonly memoryTokens: number
  /** For each adapter key the number of running requests and the number of requests sent since the last digest. */
  readonly adapters: readonly (readonly [key: string, running: number, sent: number])[]
}

/** The sender's work on all endpoints. Endpoints that are not listed have none. */
export interface RelayLoadFrame {
  readonly kind: 'relay-load'
  readonly loads: readonly RelayedLoad[]
}

/** The adapters of an endpoint as known to its load owner, the instance that orders its loads. */
export interface AdaptersHeldFrame {
  readonly kind: 'adapters-held'
  readonly endpoint: EndpointId
  /** Identifies the incarnation of the endpoint. */
  readonly born: number
  readonly token: FencingToken
  /** Increases with each frame under one token. */
  readonly sequence: number
  readonly held: readonly (readonly [key: string, version: number])[]
  readonly inFlight: readonly string[]
  /** Adapters with a pending load, in no particular order; absent in frames of an older release. */
  readonly waiting?: readonly string[] | undefined
  /** Expected wait of one more load for its turn, in milliseconds; absent in frames of an older release. */
  readonly waitMilliseconds?: number | undefined
}

/** Changes of an endpoint's adapters since the load owner's previous frame about them. Usually only one of many adapters has changed. */
export interface AdaptersChangedFrame {
  readonly kind: 'adapters-changed'
  readonly endpoint: EndpointId
  readonly born: number
  readonly token: FencingToken
  /** One more than the sequence of the previous frame, to which these changes apply. */
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
  /** Whether requests wait for the adapter. Otherwise the load makes an additional copy. */
  readonly waiting: boolean
  /** The waiting request, so that a request whose load is asked for repeatedly counts once; absent in frames of an older release. */
  readonly request?: string | undefined
  /** Time until a response to the request is late, in milliseconds; negative if it is late already. Absent in frames of an older release. */
  readonly onTimeMilliseconds?: number | undefined
}

/** Tells the instance that sent a `load-ask` that the load was not ordered, so that it chooses another endpoint. */
export interface LoadRefusedFrame {
  readonly kind: 'load-refused'
  readonly endpoint: EndpointId
  readonly key: string
  readonly reason: string
}

/** Reports that an endpoint crashed, and which requests of the sender were in flight on it. */
export interface EndpointCrashFrame {
  readonly kind: 'endpoint-crash'
  /** The endpoint and its incarnation. */
  readonly life: string
  readonly service: string
  readonly millisecondsAgo: number
  /** For each request in flight how long it had been on the endpoint, and whether it ran in isolation from other suspected requests. */
  readonly aboard: readonly (readonly [fingerprint: string, milliseconds: number, isolated: boolean])[]
}

/** Coordinates isolated runs: only one instance at a time runs a suspected request, isolated from other suspected requests. */
export interface RequestTrialFrame {
  readonly kind: 'request-trial'
  readonly fingerprint: string
  /**
   * `claimed` asks peers for objections, `running` is such an objection, `sent` tells peers to count this run, `over` ends it, and
   * `completed` clears the request of all suspicion.
   */
  readonly state: 'claimed' | 'running' | 'sent' | 'over' | 'completed'
  /** The endpoint on which the request runs; absent when it no longer runs. */
  readonly endpoint?: EndpointId | undefined
  /** Maximum duration of the request in milliseconds. */
  readonly milliseconds: number
}

/** Reports the quarantine of a request, which is not sent to endpoints because it crashes them. */
export interface RequestVerdictFrame {
  readonly kind: 'request-verdict'
  readonly fingerprint: string
  readonly crashes: number
  readonly strikes: number
  readonly certain: boolean
  readonly remainingMilliseconds: number
}

/** Endpoints that the platform lists as leaving, for peers whose own copy of the list is older or who cannot reach the platform. */
export interface EndpointsLeavingFrame {
  readonly kind: 'endpoints-leaving'
  /** All leaving endpoints, so that receivers also learn that an endpoint is no longer leaving. */
  readonly leaving: readonly string[]
  /** Age of the read of the list when this frame was sent. A duration does not depend on synchronised clocks. */
  readonly readMillisecondsAgo: number
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
  | AcceptedFrame
  | RefusedFrame

/** The kinds of all frames. */
export type FrameKind = PeerFrame['kind']

/** The frame type of one kind. */
export type FrameOf<Kind extends FrameKind> = Extract<PeerFrame, { kind: Kind }>
