/**
 * The frames (messages) that instances exchange over TCP. Each frame is encoded as CBOR and preceded by its length. In a frame that
 * starts or answers a call, `call` is the number by which the sender of the call matches the response.
 */
import type { HelloFrame, HeartbeatFrame, GoodbyeFrame, AcceptedFrame, RefusedFrame } from './connection-frames.js'
import type { AdmissionAskFrame, AdmissionGrantedFrame, AdmissionRefusedFrame, AdmissionDoneFrame, PinsAskFrame, PinsReportFrame, EndpointDigestFrame, OwnershipFrame, HandOverFrame, LoadTurnAskFrame, LoadTurnDoneFrame, TeamServiceFrame } from './endpoint-owner-frames.js'
import type { SettingsChangeFrame, SettingsRevisionsFrame } from './settings-frames.js'
import type { BeliefsOfferFrame, BeliefsAskFrame, BeliefsFrame, OverlayRoleFrame, OverlayPresenceFrame, OverlayBatchFrame, EndpointsLeavingFrame, EndpointLeavingFrame } from './cluster-frames.js'
import type { RelayLoadFrame, WorkChangedFrame, AdaptersHeldFrame, AdaptersChangedFrame, LoadAskFrame, LoadRefusedFrame } from './work-frames.js'
import type { EndpointCrashFrame, RequestTrialFrame, RequestVerdictFrame, SoundPartsFrame } from './quarantine-frames.js'
import type { EngineSamplesFrame, EngineSpeedsFrame } from './speed-frames.js'
import type { UnreachableServicesFrame } from './path-frames.js'
import type { UnboundedResponseFrame } from './response-frames.js'
import type { StreamOriginsFrame, StreamOriginAskFrame, StreamOriginAnswerFrame } from './stream-frames.js'
import type { QuotaAskFrame, QuotaAnswerFrame, RateLimitFrame, RateAskFrame, RateAnswerFrame, BrittleEndpointFrame, EndpointBackoffFrame } from './limit-frames.js'
import type { PlaceAskFrame, PlaceAnswerFrame, PlaceReturnFrame } from './place-frames.js'

export type * from './connection-frames.js'
export type * from './endpoint-owner-frames.js'
export type * from './settings-frames.js'
export type * from './cluster-frames.js'
export type * from './work-frames.js'
export type * from './speed-frames.js'
export type * from './quarantine-frames.js'
export type * from './limit-frames.js'
export type * from './place-frames.js'
export type * from './path-frames.js'
export type * from './stream-frames.js'
export type * from './response-frames.js'

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
  | SoundPartsFrame
  | RequestVerdictFrame
  | QuotaAskFrame
  | QuotaAnswerFrame
  | RateLimitFrame
  | RateAskFrame
  | RateAnswerFrame
  | UnreachableServicesFrame
  | BrittleEndpointFrame
  | StreamOriginsFrame
  | StreamOriginAskFrame
  | StreamOriginAnswerFrame
  | EndpointLeavingFrame
  | EndpointBackoffFrame
  | EngineSamplesFrame
  | EngineSpeedsFrame
  | UnboundedResponseFrame
  | PlaceAskFrame
  | PlaceAnswerFrame
  | PlaceReturnFrame
  | WorkChangedFrame
  | AcceptedFrame
  | RefusedFrame

/** The kinds of all frames. */
export type FrameKind = PeerFrame['kind']

/** The frame type of one kind. */
export type FrameOf<Kind extends FrameKind> = Extract<PeerFrame, { kind: Kind }>
