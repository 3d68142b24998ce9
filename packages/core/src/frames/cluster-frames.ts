/** Frames that spread the cluster state and the notices of other instances. */
import type { InstanceId } from '../ids/ids.js'

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
  /**
   * For each part of the state, the time in milliseconds since the sender was last proved to know all of its changes; a part is absent
   * if it never was, and all are in frames of an older release.
   */
  readonly provedMillisecondsAgo?: Partial<Record<keyof ClusterStateRevisions, number | undefined>> | undefined
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
  /** Indexes in `items` of the frames that a request waits for; absent in frames of an older release. */
  readonly immediate?: readonly number[] | undefined
}

/** Endpoints that the platform lists as leaving. Sent for peers whose copy of the platform's list is older, or that cannot reach the platform. */
export interface EndpointsLeavingFrame {
  readonly kind: 'endpoints-leaving'
  /** All leaving endpoints, so that receivers also learn that an endpoint is no longer leaving. */
  readonly leaving: readonly string[]
  /** Time in milliseconds from the read of the list until this frame was sent. A duration does not depend on synchronised clocks. */
  readonly readMillisecondsAgo: number
}

/** Says that an endpoint has stated in a response that it is leaving, whatever its entry says. */
export interface EndpointLeavingFrame {
  readonly kind: 'endpoint-leaving'
  readonly endpoint: string
  /** Start time of the endpoint's process, which tells one incarnation from the next. */
  readonly born: number
}
