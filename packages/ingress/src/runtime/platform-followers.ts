/** The followers of all kinds of objects that an instance reads from the platform's store. */
import type { Clock, Logger, StoredObject } from '@limpetwinch/core'
import { StoreFollower } from '../cluster-state/store-follower.js'
import type { StoreHealth } from '../cluster-state/store-health.js'
import { CLUSTER_KIND, decodeClusterObject } from '../members/cluster-objects.js'
import type { ClusterObject } from '../members/cluster-objects.js'
import type { AdapterAnnouncement, Configuration, Endpoint } from '../routes/configuration.js'
import type { IngressPlatform } from './ingress-platform.js'

/** A watch bounds how late a store that fell silent is noticed; each one is a call that the platform counts. */
const ENDPOINT_WATCH_MILLISECONDS = 2_500
const OTHER_WATCH_MILLISECONDS = 8_000
/** Engines write with each load, so that nearly each step is a call. A leaving endpoint must still be seen within two seconds, on a slow store too. */
const ENDPOINT_PACE_MILLISECONDS = 900
const OTHER_PACE_MILLISECONDS = 50
/**
 * When many instances start together each writes itself down. Followed step by step, every reader would make a call for each
 * writer; so the pace grows with the members.
 */
const CLUSTER_PACE_FOR_MEMBER_MILLISECONDS = 5

/** Who hears what the store says. */
export interface FollowerDependencies {
  readonly platform: IngressPlatform
  readonly health: StoreHealth
  readonly clock: Clock
  readonly logger: Logger
  readonly onConfiguration: (configuration: Configuration) => void
  readonly onEndpoints: (endpoints: readonly Endpoint[], revision: number) => void
  readonly onAnnouncements: (announcements: Iterable<AdapterAnnouncement>) => void
  readonly onCluster: (objects: Iterable<ClusterObject>, revision: number) => void
  /** How many instances there are. */
  readonly memberCount: () => number
}

/** The followers of one instance. */
export interface PlatformFollowers {
  /** Of the product's own objects, by which instances find each other. */
  readonly cluster: StoreFollower<unknown>
  readonly others: readonly StoreFollower<unknown>[]
}

interface Followed<Decoded> {
  readonly kind: string
  readonly decode: (object: StoredObject) => Decoded | undefined
  readonly watchMilliseconds: number
  readonly paceMilliseconds: () => number
  readonly apply: (objects: ReadonlyMap<string, Decoded>, revision: number) => void
}

const OTHER_PACES = { watchMilliseconds: OTHER_WATCH_MILLISECONDS, paceMilliseconds: () => OTHER_PACE_MILLISECONDS }
const ENDPOINT_PACES = { watchMilliseconds: ENDPOINT_WATCH_MILLISECONDS, paceMilliseconds: () => ENDPOINT_PACE_MILLISECONDS }

/** @returns one follower for each kind, not yet running */
export function makeFollowers (parts: FollowerDependencies): PlatformFollowers {
  const { forms } = parts.platform
  const others = [
    follower<Configuration>(parts, {
      ...OTHER_PACES,
      kind: forms.configurationKind,
      decode: forms.decodeConfiguration,
      apply: (objects) => { for (const configuration of objects.values()) parts.onConfiguration(configuration) }
    }),
    follower<Endpoint>(parts, {
      ...ENDPOINT_PACES,
      kind: forms.endpointKind,
      decode: forms.decodeEndpoint,
      apply: (objects, revision) => parts.onEndpoints([...objects.values()], revision)
    }),
    follower<AdapterAnnouncement>(parts, {
      ...OTHER_PACES,
      kind: forms.announcementKind,
      decode: forms.decodeAnnouncement,
      apply: (objects) => parts.onAnnouncements(objects.values())
    })
  ]
  const cluster = follower<ClusterObject>(parts, {
    kind: CLUSTER_KIND,
    decode: decodeClusterObject,
    watchMilliseconds: OTHER_WATCH_MILLISECONDS,
    paceMilliseconds: () => Math.max(OTHER_PACE_MILLISECONDS, CLUSTER_PACE_FOR_MEMBER_MILLISECONDS * parts.memberCount()),
    apply: (objects, revision) => parts.onCluster(objects.values(), revision)
  })
  return { cluster, others }
}

function follower<Decoded> (parts: FollowerDependencies, followed: Followed<Decoded>): StoreFollower<unknown> {
  const { platform, health, clock, logger } = parts
  return new StoreFollower<Decoded>({ store: platform.store, health, clock, logger, ...followed }) as StoreFollower<unknown>
}
