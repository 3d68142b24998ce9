/** The frames between entry instances: cbor, each after its length, over TCP. */
import type { ErrorName, Outcome } from '../errors/errors-data.js'
import type { AdapterReference } from '../ids/adapter-reference.js'
import type { DataCentreId, EndpointId, FencingToken, InstanceId, LoadedName, RequestId, Revision, SettingsPath } from '../ids/ids.js'
import type { SettingsDocument } from '../settings/operator-settings.js'
import type { TextEdit } from '../settings/text-edit.js'

/** First frame each way: who speaks. */
export interface HelloFrame {
  readonly kind: 'hello'
  readonly instance: InstanceId
  readonly dataCentre: DataCentreId
  readonly address: string
}

/** Sent every heartbeat interval; a peer that goes without is suspect, then gone. */
export interface HeartbeatFrame {
  readonly kind: 'heartbeat'
  readonly sequence: number
  /** Sequence of the receiver's last heartbeat on this connection, 0 for none: dates what this one confirms. */
  readonly echo: number
  readonly leaving: boolean
  /** Hash over all settings revisions in force here; a difference shows a gap. */
  readonly settingsHash: string
  /** Sequence of the newest ownership object seen, or of a write of the sender whose fate is open. */
  readonly ownershipVersion: number
  /** Whether the sender's last call to the object API was answered. */
  readonly storeReachable: boolean
}

/** The sender's last frame: it runs no request, gives no order and ends. */
export interface GoodbyeFrame {
  readonly kind: 'goodbye'
}

/** An error as a peer sends it. */
export interface ErrorFrameBody {
  readonly error: ErrorName
  readonly details: Record<string, unknown>
  readonly outcome: Outcome
  readonly retryAfterSeconds?: number
}

/** Asks the owner to admit a request to an endpoint. */
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
  /** How long the caller still waits, milliseconds; a span, so that clocks need not agree. */
  readonly patience: number
}

/** Admits the request: the adapter is loaded and pinned until `admission-done`. */
export interface AdmissionGrantedFrame {
  readonly kind: 'admission-granted'
  readonly call: number
  readonly token: FencingToken
  readonly loadedName: LoadedName | undefined
  readonly loadStall: number
  readonly queueWait: number
}

/** Refuses the request: nothing was sent to the endpoint. */
export interface AdmissionRefusedFrame extends ErrorFrameBody {
  readonly kind: 'admission-refused'
  readonly call: number
}

/** Ends the pin, or withdraws the ask when it comes before a grant. */
export interface AdmissionDoneFrame {
  readonly kind: 'admission-done'
  readonly requestId: RequestId
  readonly endpoint: EndpointId
  readonly outputTokens: number
  readonly outcome: 'answered' | 'not-run' | 'failed' | 'withdrawn'
}

/** A new owner asks each member which of its requests use the endpoint, and that it honours no older token from then on. */
export interface PinsAskFrame {
  readonly kind: 'pins-ask'
  readonly call: number
  readonly endpoint: EndpointId
  readonly token: FencingToken
}

/** All of the sender's requests that may be running on the endpoint under older tokens. */
export interface PinsReportFrame {
  readonly kind: 'pins-report'
  readonly call: number
  readonly pins: readonly { readonly requestId: RequestId, readonly loadedName: LoadedName | undefined, readonly team: string }[]
}

/** What an owner tells the data centre about an endpoint, for routing. */
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
  /** Adapters `team/adapter@version` since the digest before; `full` replaces all. */
  readonly full: boolean
  readonly added: readonly string[]
  readonly removed: readonly string[]
  /** Requests that one more load is expected to stall by its eviction. */
  readonly evictionCost: number
}

/** A document as a change of the one before it. */
export interface SettingsEdit extends Omit<SettingsDocument, 'text'>, TextEdit {
  /** Write id of the document that it changes. */
  readonly base: string
}

/** Settings that the receiver has not yet, or a newer state of them. */
export interface SettingsChangeFrame {
  readonly kind: 'settings-change'
  readonly documents: readonly SettingsDocument[]
  /** In an answer to `settings-revisions`: all that is newer, a part of it, or nothing as the sender has no whole state. */
  readonly answer?: 'whole' | 'more' | 'unready' | undefined
  /** Changes of documents that the receiver is expected to have. */
  readonly edits?: readonly SettingsEdit[] | undefined
}

/** Sent when hashes differ: the sender's revisions; the receiver answers with what is newer there. */
export interface SettingsRevisionsFrame {
  readonly kind: 'settings-revisions'
  readonly revisions: readonly { readonly path: SettingsPath, readonly revision: Revision, readonly writeId: string, readonly acceptedAt: number }[]
}

/** The newest ownership object seen, passed on so that no peer waits for its own read. */
export interface OwnershipFrame {
  readonly kind: 'ownership'
  /** Sequence of the object's value; the store's own version may go back when it is restored. */
  readonly version: number
  readonly value: unknown
}

/** An owner that leaves hands over: the new owner takes loaded names and pins as they are. */
export interface HandOverFrame {
  readonly kind: 'hand-over'
  readonly call: number
  readonly endpoint: EndpointId
  readonly token: FencingToken
  /** Whether the sender itself knew all earlier pins; if not, the receiver asks the members as after a loss. */
  readonly recovered: boolean
  readonly loaded: readonly LoadedName[]
  readonly pins: readonly { readonly requestId: RequestId, readonly instance: InstanceId, readonly loadedName: LoadedName | undefined, readonly team: string }[]
}

/** Asks for the turn to load from the weight store. */
export interface LoadTurnAskFrame {
  readonly kind: 'load-turn-ask'
  readonly call: number
  /** The asker's own id of the turn, named again when it is given back. */
  readonly turn: string
  /** Expected stall that the load ends; larger goes first. */
  readonly urgency: number
}

/** Gives the turn back. */
export interface LoadTurnDoneFrame {
  readonly kind: 'load-turn-done'
  readonly turn: string
}

/** Service that teams had from the sender's endpoints since its last such frame; keeps fairness across owners. */
export interface TeamServiceFrame {
  readonly kind: 'team-service'
  readonly tokens: readonly { readonly team: string, readonly tokens: number }[]
}

/** How new an instance's beliefs are; each number grows. */
export interface ClusterStateRevisions {
  readonly configuration: number
  readonly endpoints: number
  readonly announcements: number
  /** The product's own objects in the store; absent from an older release. */
  readonly cluster?: number | undefined
}

/** How new the sender's beliefs are. A peer that is behind and does not read the store asks for them. */
export interface BeliefsOfferFrame extends ClusterStateRevisions {
  readonly kind: 'beliefs-offer'
  /** Since somebody whose word has come here read the store, milliseconds; absent where nobody has. A span, so that clocks need not agree. */
  readonly readMillisecondsAgo?: number | undefined
}

/** Asks for what is newer than this. */
export interface BeliefsAskFrame extends ClusterStateRevisions {
  readonly kind: 'beliefs-ask'
}

/** What has changed in a collection of the store since the revision that was asked from. */
export interface ChangedObjects {
  readonly revision: number
  /** Those that changed, decoded. */
  readonly value: unknown
  /** Names of all that there are; whoever knows another one drops it. */
  readonly present?: readonly string[] | undefined
  /** Names of those that the store lost in an outage and that may come back within moments. */
  readonly lapsed?: readonly string[] | undefined
}

/** What the store said at a revision, decoded; absent parts are not newer. */
export interface BeliefsFrame {
  readonly kind: 'beliefs'
  readonly configuration?: { readonly revision: number, readonly value: unknown } | undefined
  readonly endpoints?: ChangedObjects | undefined
  readonly announcements?: { readonly revision: number, readonly value: unknown } | undefined
  readonly cluster?: ChangedObjects | undefined
}

/** What the sender is in the overlay: a hub passes notices on, a leaf gets all of them from its hub. */
export interface OverlayRoleFrame {
  readonly kind: 'overlay-role'
  readonly role: 'hub' | 'leaf'
}

/** Whom a hub is connected to. It is told to all: an instance without a connection to another one learns here that it lives. */
export interface OverlayPresenceFrame {
  readonly kind: 'overlay-presence'
  readonly connected: readonly InstanceId[]
  /** Those of them that take no new duties. */
  readonly leaving: readonly InstanceId[]
}

/** A frame that is passed on. */
export type OverlayItem = readonly [origin: InstanceId, to: InstanceId | '', hops: number, frame: Uint8Array]

/** Frames of others, or for others, as they were encoded by those who sent them. */
export interface OverlayBatchFrame {
  readonly kind: 'overlay-batch'
  readonly items: readonly OverlayItem[]
  /** Places in `items` of those that may wait on their way; absent from an older release. */
  readonly patient?: readonly number[] | undefined
}

/** What one endpoint has in hand from the sender, as told to its peers. */
export interface RelayedLoad {
  readonly endpoint: EndpointId
  readonly requests: number
  /** Prompt tokens sent there that have not led to a first event yet. */
  readonly prefillTokens: number
  readonly memoryTokens: number
  /** Adapters by key: requests that run now, and requests sent since the last digest. */
  readonly adapters: readonly (readonly [key: string, running: number, sent: number])[]
}

/** The sender's own work on all endpoints; endpoints that are not named have none. */
export interface RelayLoadFrame {
  readonly kind: 'relay-load'
  readonly loads: readonly RelayedLoad[]
}

/** The adapters of an endpoint as the one that orders its loads knows them. */
export interface AdaptersHeldFrame {
  readonly kind: 'adapters-held'
  readonly endpoint: EndpointId
  /** The endpoint's life. */
  readonly born: number
  readonly token: FencingToken
  /** Grows with each such frame of one token. */
  readonly sequence: number
  readonly held: readonly (readonly [key: string, version: number])[]
  readonly inFlight: readonly string[]
  /** Adapters that wait for their load, in no order; absent from an older release. */
  readonly waiting?: readonly string[] | undefined
  /** How long one more load would wait for its turn, milliseconds; absent from an older release. */
  readonly waitMilliseconds?: number | undefined
}

/** What has changed since the last word on what an endpoint holds; most words change one adapter of many. */
export interface AdaptersChangedFrame {
  readonly kind: 'adapters-changed'
  readonly endpoint: EndpointId
  readonly born: number
  readonly token: FencingToken
  /** One more than that of the word that this one goes on from. */
  readonly sequence: number
  /** Held in another version counts as added. */
  readonly added: readonly (readonly [key: string, version: number])[]
  readonly removed: readonly string[]
  readonly inFlight: readonly string[]
  readonly waitingAdded: readonly string[]
  readonly waitingRemoved: readonly string[]
  readonly waitMilliseconds: number
}

/** Asks the one that orders an endpoint's loads for an adapter. */
export interface LoadAskFrame {
  readonly kind: 'load-ask'
  readonly endpoint: EndpointId
  readonly key: string
  /** The least version that is of use. */
  readonly version: number
  /** Whether requests wait for it, or it is a further copy. */
  readonly waiting: boolean
  /** The request that waits, so that one which asks again counts once; absent from an older release. */
  readonly request?: string | undefined
  /** Until an answer to it is late, milliseconds; below 0 it is already. Absent from an older release. */
  readonly onTimeMilliseconds?: number | undefined
}

/** The load was not ordered; the asker looks for another endpoint. */
export interface LoadRefusedFrame {
  readonly kind: 'load-refused'
  readonly endpoint: EndpointId
  readonly key: string
  readonly reason: string
}

/** An endpoint crashed: the requests that the sender had there. */
export interface EndpointCrashFrame {
  readonly kind: 'endpoint-crash'
  /** The endpoint and its life. */
  readonly life: string
  readonly service: string
  readonly millisecondsAgo: number
  /** How long each had been there, and whether it was kept apart from other suspected requests. */
  readonly aboard: readonly (readonly [fingerprint: string, milliseconds: number, isolated: boolean])[]
}

/** A suspected request is run by one instance at a time, apart from other suspected ones. */
export interface RequestTrialFrame {
  readonly kind: 'request-trial'
  readonly fingerprint: string
  /** `claimed` asks for objections, `running` objects, `sent` counts; `completed` clears the request of all that spoke against it. */
  readonly state: 'claimed' | 'running' | 'sent' | 'over' | 'completed'
  /** Where it runs; absent when it runs no more. */
  readonly endpoint?: EndpointId | undefined
  /** How long the request may last. */
  readonly milliseconds: number
}

/** A request is kept from endpoints since it crashes them. */
export interface RequestVerdictFrame {
  readonly kind: 'request-verdict'
  readonly fingerprint: string
  readonly crashes: number
  readonly strikes: number
  readonly certain: boolean
  readonly remainingMilliseconds: number
}

/** Endpoints that the platform lists as leaving, for peers whose own reading of the list is older or cut off. */
export interface EndpointsLeavingFrame {
  readonly kind: 'endpoints-leaving'
  /** All of them, so that one that is taken back is heard of as well. */
  readonly leaving: readonly string[]
  /** Age of the reading when this was sent; a span, so that clocks need not agree. */
  readonly readMillisecondsAgo: number
}

/** A plain yes to a call. */
export interface AcceptedFrame {
  readonly kind: 'accepted'
  readonly call: number
}

/** A no to a call. */
export interface RefusedFrame extends ErrorFrameBody {
  readonly kind: 'refused'
  readonly call: number
}

/** Anything that passes between peers. */
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

/** The kinds of frames. */
export type FrameKind = PeerFrame['kind']

/** The frame of one kind. */
export type FrameOf<Kind extends FrameKind> = Extract<PeerFrame, { kind: Kind }>
