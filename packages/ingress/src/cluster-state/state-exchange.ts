/**
 * Exchanges the state read from the store between instances: leaves get the state from a hub, which reads the store for them,
 * and instances that the store rejects get the state from any neighbour.
 */
import type { ClusterStateRevisions, BeliefsAskFrame, BeliefsFrame, BeliefsOfferFrame, ChangedObjects, Clock, EndpointId, InstanceId } from '@limpetwinch/core'
import type { PeerLinks } from '@limpetwinch/entry'
import type { EndpointDirectory } from '../endpoints/endpoint-directory.js'
import type { ClusterObject } from '../members/cluster-objects.js'
import type { PeerOverlay } from '../overlay/peer-overlay.js'
import type { AdapterAnnouncement, Configuration, Endpoint } from '../routes/configuration.js'
import type { AcceptedConfiguration } from './accepted-configuration.js'
import type { AdapterVersions } from './adapter-versions.js'
import type { ClusterView } from './cluster-view.js'
import { STATE_KINDS } from './state-freshness.js'
import type { StateFreshness, StateKind } from './state-freshness.js'
import type { StoreHealth } from './store-health.js'

/**
 * Interval between offers, by which instances announce the revisions of their state. A peer with older state learns of newer state
 * within this time, well within the one second in which state must spread.
 */
const OFFER_MILLISECONDS = 400
/**
 * An instance that reads the store, and was proved to know a kind of state less than this time ago, requests endpoints and cluster objects
 * from no peer that offers newer ones. These change all the time, the instance will read the newer state from the store itself, and a
 * request to the peer would transfer the same bytes twice.
 */
const RECENT_PROOF_MILLISECONDS = 900
/**
 * Minimum interval between requests for state. When the store rejects an instance, all peers of this instance make offers at once,
 * and one reply is enough.
 */
const REQUEST_INTERVAL_MILLISECONDS = 150
/**
 * Interval at which an unchanged offer is sent again, as a part of the shortest limit on the age of state: the offer is the only sign for a
 * leaf that its hub still reads the store.
 */
const UNCHANGED_OFFER_SHARE = 0.1
/** Time for which a leaf trusts that a hub to which it has just attached reads the store. */
const NEW_HUB_TRUSTED_MILLISECONDS = 2_500
/**
 * Time after attaching for which a leaf trusts a hub that says that it has not read some kind of state yet: when a whole fleet starts, hubs
 * first read the members alone, and each leaf that did not wait for them would read everything itself.
 */
const UNREAD_TRUSTED_MILLISECONDS = 6_000
/**
 * Longest time between two responses of the store to an instance that reads it, because the watch of endpoints ends sooner. When
 * the latest response of a reachable store is older, the instance has only just begun to read the store again.
 */
const LONGEST_WATCH_MILLISECONDS = 3_500

/** The state that instances exchange. */
export interface ExchangedState {
  readonly configuration: AcceptedConfiguration
  readonly directory: EndpointDirectory
  readonly versions: AdapterVersions
  readonly cluster: ClusterView
  readonly health: StoreHealth
  readonly freshness: StateFreshness
}

/** Offers the revisions of this instance's state to neighbours and requests the state that is newer there. */
export class StateExchange {
  private readonly network: PeerLinks
  private readonly overlay: PeerOverlay
  private readonly state: ExchangedState
  private readonly clock: Clock
  private lastOffer = ''
  private offeredAt = -Infinity
  private requestedAt = -Infinity
  /** Monotonic time in milliseconds until which the hub's statements suffice; from then on this instance reads the store itself. */
  private trustedUntil = -Infinity
  private attachedAt = -Infinity
  private readonly unchangedOfferMilliseconds: number
  /** Monotonic time in milliseconds of the latest store read by another instance, which is stated to instances of an older release. */
  private readAt = -Infinity

  constructor (network: PeerLinks, overlay: PeerOverlay, state: ExchangedState, clock: Clock) {
    this.network = network
    this.overlay = overlay
    this.state = state
    this.clock = clock
    this.unchangedOfferMilliseconds = UNCHANGED_OFFER_SHARE * Math.min(...Object.values(state.freshness.limits))
    network.onNotice('beliefs-offer', (from, frame) => this.handleOffer(from, frame))
    network.onNotice('beliefs-ask', (from, frame) => this.sendState(from, frame))
    network.onNotice('beliefs', (_from, frame) => this.applyState(frame))
    overlay.onNeighbour((neighbour) => { if (!overlay.isHub) this.handleAttached(neighbour) })
  }

  /**
   * Whether this instance must read the store itself: this instance is a hub, no hub reads the store for it, or what its hub says of
   * some kind of state is too old. That the hub reads the store is not enough: it may lack one kind of state.
   */
  get needsStore (): boolean {
    if (this.overlay.isHub) return true
    if (!this.overlay.isAttached) return !this.overlay.isAwaitingHub
    return this.clock.now() > this.trustedUntil
  }

  /**
   * Discards what the hub has stated before a process pause. It is out of date, and the hub may have closed the connection without this
   * instance having noticed.
   */
  markStale (): void {
    this.readAt = -Infinity
    this.trustedUntil = -Infinity
  }

  /** Tells the hubs at once what this instance has learnt from the store, so that they need not ask the store for the same. */
  shareProof (): void {
    if (this.needsStore) this.network.notifyAll(this.overlay.neighboursOf('hub'), this.currentOffer())
  }

  /** Sends offers periodically, while this instance must read the store itself, until the signal aborts. */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.clock.sleep(OFFER_MILLISECONDS, signal)
      if (this.needsStore) this.offer()
    }
  }

  private offer (): void {
    const text = JSON.stringify(this.revisions())
    const now = this.clock.now()
    // Unchanged revisions were already offered to every neighbour. Only leaves get the same offer again, as the sign that their hub
    // still reads the store. A hub that did not receive the earlier offer keeps older state only until the revisions change and are
    // offered to all neighbours. While the store does not respond to this instance, every offer is sent to all neighbours.
    const isUnchanged = text === this.lastOffer && this.state.health.reachable
    this.lastOffer = text
    const neighbours = isUnchanged ? this.overlay.neighboursOf('leaf') : this.overlay.neighbours()
    if (isUnchanged && now - this.offeredAt < this.unchangedOfferMilliseconds) return
    this.offeredAt = now
    this.network.notifyAll(neighbours, this.currentOffer())
  }

  private currentOffer (): BeliefsOfferFrame {
    return {
      kind: 'beliefs-offer',
      ...this.revisions(),
      readMillisecondsAgo: this.readMillisecondsAgo(this.clock.now()),
      provedMillisecondsAgo: this.provedMillisecondsAgo()
    }
  }

  /**
   * The age of a read keeps growing while instances pass it on, so two instances that know of a read only from each other do not
   * make it appear recent.
   *
   * @returns milliseconds since the latest store read that this instance knows of; undefined when it knows of none
   */
  private readMillisecondsAgo (now: number): number | undefined {
    const { reachable } = this.state.health
    const sinceResponse = this.state.health.millisecondsSinceAnswer(now)
    // An instance that starts to read the store again, after a hub has read it on its behalf, has no new response yet: the latest
    // response may be old.
    if (reachable && sinceResponse < LONGEST_WATCH_MILLISECONDS) return 0
    const age = Math.min(sinceResponse, now - this.readAt)
    return age === Infinity ? undefined : age
  }

  private provedMillisecondsAgo (): Partial<Record<StateKind, number>> {
    const { freshness } = this.state
    const ages = STATE_KINDS.map((kind) => [kind, freshness.ageMilliseconds(kind)] as const)
    return Object.fromEntries(ages.filter(([kind, age]) => freshness.isProved(kind) && age < Infinity))
  }

  /** Records what a peer knew when it sent an offer. An offer is on its way for milliseconds, which are not counted. */
  private recordStatements (offer: BeliefsOfferFrame, now: number): void {
    const { freshness } = this.state
    let statedUntil = Infinity
    for (const kind of STATE_KINDS) {
      // A peer of an older release states one time for all kinds.
      const age = offer.provedMillisecondsAgo === undefined ? offer.readMillisecondsAgo : offer.provedMillisecondsAgo[kind]
      const kindUntil = age === undefined ? this.attachedAt + UNREAD_TRUSTED_MILLISECONDS : now - age + freshness.limits[kind]
      statedUntil = Math.min(statedUntil, kindUntil)
      if (age !== undefined) freshness.recordStatement(kind, { revision: offer[kind] ?? 0, provedAt: now - age })
    }
    this.trustedUntil = statedUntil
    this.useStatements()
  }

  private useStatements (): void {
    const own = this.revisions()
    for (const kind of STATE_KINDS) this.state.freshness.useStatement(kind, own[kind])
  }

  private revisions (): Required<ClusterStateRevisions> {
    return {
      configuration: this.state.configuration.version,
      endpoints: this.state.directory.revision,
      announcements: this.state.versions.versionSum,
      cluster: this.state.cluster.revision
    }
  }

  private handleOffer (from: InstanceId, offer: BeliefsOfferFrame): void {
    const now = this.clock.now()
    if (offer.readMillisecondsAgo !== undefined) this.readAt = Math.max(this.readAt, now - offer.readMillisecondsAgo)
    this.recordStatements(offer, now)
    const own = this.revisions()
    const isBehind = (kind: StateKind): boolean => (offer[kind] ?? 0) > this.state.freshness.knownRevision(kind, own[kind])
    const isWanted = STATE_KINDS.some((kind) => isBehind(kind) && this.wants(kind))
    if (isWanted && now - this.requestedAt >= REQUEST_INTERVAL_MILLISECONDS) this.requestState(from)
  }

  /** @returns whether newer state of a kind is requested from a peer; an instance that reads the store has most of it first */
  private wants (kind: StateKind): boolean {
    if (kind === 'configuration' || kind === 'announcements' || !this.needsStore) return true
    return this.state.freshness.ageMilliseconds(kind) > RECENT_PROOF_MILLISECONDS
  }

  /**
   * Assumes that the hub to which this leaf has just attached reads the store, as hubs do, until the hub's first offer arrives
   * within a second.
   */
  private handleAttached (hub: InstanceId): void {
    this.readAt = this.clock.now()
    this.attachedAt = this.clock.now()
    this.trustedUntil = this.attachedAt + NEW_HUB_TRUSTED_MILLISECONDS
    this.requestState(hub)
  }

  private requestState (neighbour: InstanceId): void {
    this.requestedAt = this.clock.now()
    this.network.notify(neighbour, { kind: 'beliefs-ask', ...this.revisions() })
  }

  private sendState (to: InstanceId, request: BeliefsAskFrame): void {
    const { configuration, directory, versions } = this.state
    const active = configuration.current
    this.network.notify(to, {
      kind: 'beliefs',
      configuration: active !== undefined && configuration.version > request.configuration
        ? { revision: configuration.version, value: active.configuration }
        : undefined,
      endpoints: directory.revision > request.endpoints ? this.endpointsSince(request.endpoints) : undefined,
      announcements: versions.versionSum > request.announcements ? { revision: versions.versionSum, value: versions.all() } : undefined,
      cluster: this.clusterSince(request.cluster)
    })
  }

  private endpointsSince (revision: number): ChangedObjects {
    const { directory } = this.state
    return { revision: directory.revision, value: directory.since(revision), ...directory.ids() }
  }

  private clusterSince (revision: number | undefined): ChangedObjects | undefined {
    const { cluster } = this.state
    if (revision === undefined || cluster.revision <= revision) return undefined
    return { revision: cluster.revision, value: cluster.since(revision), present: cluster.paths() }
  }

  /** Applies state without validation: peers run the same release and validated the state when they read it from the store. */
  private applyState (frame: BeliefsFrame): void {
    const { configuration, versions, cluster } = this.state
    if (frame.configuration !== undefined) configuration.apply(frame.configuration.value as Configuration, 'peer')
    if (frame.endpoints !== undefined) this.applyEndpoints(frame.endpoints)
    if (frame.announcements !== undefined) {
      versions.apply(frame.announcements.value as readonly AdapterAnnouncement[], 'peer', this.clock.now())
    }
    if (frame.cluster !== undefined) cluster.merge(frame.cluster.value as readonly ClusterObject[], frame.cluster.present ?? [], frame.cluster.revision)
    this.useStatements()
  }

  private applyEndpoints ({ revision, value, present = [], lapsed = [] }: ChangedObjects): void {
    const { directory, health } = this.state
    const now = this.clock.now()
    const changed = new Map((value as readonly Endpoint[]).map((endpoint) => [endpoint.id, endpoint]))
    const endpoints = present.flatMap((id) => changed.get(id as EndpointId) ?? directory.find(id as EndpointId) ?? [])
    const outageEndedAt = health.recentOutageEnd(now)
    // An instance that the store has answered all the time knows that there was no outage in which an entry could lapse.
    const sawNoOutage = this.needsStore && health.reachable && outageEndedAt === undefined
    directory.apply({ revision, endpoints, lapsed: new Set(sawNoOutage ? [] : lapsed as readonly EndpointId[]) }, outageEndedAt, now)
  }
}
