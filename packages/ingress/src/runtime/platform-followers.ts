/** Creates the followers of all kinds of objects that an instance reads from the platform's store. */
import type { Clock, Logger, StoredObject } from '@limpetwinch/core'
import { StoreFollower } from '../cluster-state/store-follower.js'
import type { Moment } from '../cluster-state/configuration-proof.js'
import type { StateFreshness, StateKind } from '../cluster-state/state-freshness.js'
import type { StoreHealth } from '../cluster-state/store-health.js'
import { CLUSTER_KIND, decodeClusterObject } from '../members/cluster-objects.js'
import type { ClusterObject } from '../members/cluster-objects.js'
import type { AdapterAnnouncement, Configuration, Endpoint } from '../routes/configuration.js'
import type { IngressPlatform } from './ingress-platform.js'

/**
 * Longest wait of one watch call for endpoints. It bounds how late an unresponsive store is detected. A shorter wait would make
 * more calls; the platform counts each call, and the store limits the rate of calls.
 */
const ENDPOINT_WATCH_MILLISECONDS = 2_500
/** Longest wait of one watch call for the other kinds of objects. An unresponsive store is already detected by the endpoint watch. */
const OTHER_WATCH_MILLISECONDS = 8_000
/**
 * Delay after a watch call that returned changed endpoints. Engines write to the store with each load, so nearly each watch call
 * returns a change at once and is followed by another call. A leaving endpoint must still be seen within two seconds, even with a
 * slow store.
 */
const ENDPOINT_PACE_MILLISECONDS = 900
/** Delay after a watch call that returned changed objects of another kind. */
const OTHER_PACE_MILLISECONDS = 50
/**
 * Delay after a watch call that returned changed cluster objects, per member of the cluster. When many instances start together,
 * each writes its member object, and with a fixed delay every reader would make one call per writer.
 */
const CLUSTER_PACE_PER_MEMBER_MILLISECONDS = 5

/**
 * Time in which all instances register when the whole deployment starts for the first time. Until then the members do not show who is a
 * hub, and each instance of a large fleet would read all kinds of objects itself, once for each instance that registers.
 */
export const REGISTRATION_MILLISECONDS = 3_000
/** Delay after a watch call that returned changed cluster objects during that time. */
const REGISTRATION_PACE_MILLISECONDS = 500

/** Dependencies of the followers, and the functions that receive the objects read. */
export interface FollowerDependencies {
  readonly platform: IngressPlatform
  readonly health: StoreHealth
  readonly clock: Clock
  readonly logger: Logger
  readonly onConfiguration: (configuration: Configuration) => void
  /** Called after each listing of the configuration was applied, with the moment at which it was asked for. */
  readonly onConfigurationCurrent: (askedAt: Moment) => void
  readonly onEndpoints: (endpoints: readonly Endpoint[], revision: number) => void
  readonly onAnnouncements: (announcements: Iterable<AdapterAnnouncement>) => void
  readonly onCluster: (objects: Iterable<ClusterObject>, revision: number) => void
  readonly freshness: StateFreshness
  /** Whether the whole deployment starts for the first time. */
  readonly isFirstStart: boolean
  /** @returns the number of members */
  readonly memberCount: () => number
}

/** The followers with which one instance reads objects from the platform's store, one follower for each kind of object. */
export interface PlatformFollowers {
  /** By the kind of state. The cluster objects are those by which instances find each other. */
  readonly byKind: Readonly<Record<StateKind, StoreFollower<unknown>>>
  /** All but that of the cluster objects. */
  readonly others: readonly StoreFollower<unknown>[]
}

interface FollowedKind<Decoded> {
  readonly kind: string
  readonly decode: (object: StoredObject) => Decoded | undefined
  readonly explain?: (object: StoredObject) => readonly string[]
  readonly onCurrent?: (askedAt: Moment) => void
  readonly onAnswer?: (askedAt: number, revision: number) => void
  readonly probesByListing?: boolean
  readonly watchMilliseconds: number
  readonly paceMilliseconds: () => number
  readonly apply: (objects: ReadonlyMap<string, Decoded>, revision: number) => void
}

const OTHER_PACES = { watchMilliseconds: OTHER_WATCH_MILLISECONDS, paceMilliseconds: () => OTHER_PACE_MILLISECONDS }
const ENDPOINT_PACES = { watchMilliseconds: ENDPOINT_WATCH_MILLISECONDS, paceMilliseconds: () => ENDPOINT_PACE_MILLISECONDS }

/** @returns one follower for each kind of object, not yet running */
export function createFollowers (dependencies: FollowerDependencies): PlatformFollowers {
  const { forms } = dependencies.platform
  const { freshness } = dependencies
  const startedAt = dependencies.clock.now()
  const configuration = createFollower<Configuration>(dependencies, {
    ...OTHER_PACES,
    kind: forms.configurationKind,
    probesByListing: true,
    decode: forms.decodeConfiguration,
    explain: forms.configurationProblems,
    onCurrent: (askedAt) => {
      freshness.record('configuration', askedAt.monotonic)
      dependencies.onConfigurationCurrent(askedAt)
    },
    apply: (objects) => { for (const each of objects.values()) dependencies.onConfiguration(each) }
  })
  const endpoints = createFollower<Endpoint>(dependencies, {
    ...ENDPOINT_PACES,
    kind: forms.endpointKind,
    decode: forms.decodeEndpoint,
    onAnswer: (askedAt, revision) => freshness.record('endpoints', askedAt, revision),
    apply: (objects, revision) => dependencies.onEndpoints([...objects.values()], revision)
  })
  const announcements = createFollower<AdapterAnnouncement>(dependencies, {
    ...OTHER_PACES,
    kind: forms.announcementKind,
    decode: forms.decodeAnnouncement,
    onAnswer: (askedAt) => freshness.record('announcements', askedAt),
    apply: (objects) => dependencies.onAnnouncements(objects.values())
  })
  const cluster = createFollower<ClusterObject>(dependencies, {
    kind: CLUSTER_KIND,
    decode: decodeClusterObject,
    onAnswer: (askedAt, revision) => freshness.record('cluster', askedAt, revision),
    watchMilliseconds: OTHER_WATCH_MILLISECONDS,
    paceMilliseconds: () => clusterPace(dependencies, startedAt),
    apply: (objects, revision) => dependencies.onCluster(objects.values(), revision)
  })
  return { byKind: { configuration, endpoints, announcements, cluster }, others: [configuration, endpoints, announcements] }
}

function clusterPace ({ clock, isFirstStart, memberCount }: FollowerDependencies, startedAt: number): number {
  if (isFirstStart && clock.now() - startedAt < REGISTRATION_MILLISECONDS) return REGISTRATION_PACE_MILLISECONDS
  return Math.max(OTHER_PACE_MILLISECONDS, CLUSTER_PACE_PER_MEMBER_MILLISECONDS * memberCount())
}

function createFollower<Decoded> (dependencies: FollowerDependencies, followed: FollowedKind<Decoded>): StoreFollower<unknown> {
  const { platform, health, clock, logger } = dependencies
  return new StoreFollower<Decoded>({ store: platform.store, health, clock, logger, ...followed }) as StoreFollower<unknown>
}
