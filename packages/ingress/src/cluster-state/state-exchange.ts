/**
 * Passes on what the store said: to instances that do not read it, since a hub of their data centre does, and to those that it
 * turns away.
 */
import type { BeliefRevisions, BeliefsAskFrame, BeliefsFrame, BeliefsOfferFrame, ChangedObjects, Clock, EndpointId, InstanceId } from '@limpetwinch/core'
import type { PeerLinks } from '@limpetwinch/entry'
import type { EndpointDirectory } from '../endpoints/endpoint-directory.js'
import type { ClusterObject } from '../members/cluster-objects.js'
import type { PeerOverlay } from '../overlay/peer-overlay.js'
import type { AdapterAnnouncement, Configuration, Endpoint } from '../routes/configuration.js'
import type { AcceptedConfiguration } from './accepted-configuration.js'
import type { AdapterVersions } from './adapter-versions.js'
import type { ClusterView } from './cluster-view.js'
import type { StoreHealth } from './store-health.js'

/** Between offers: a peer that is behind learns it within this, well inside the second that beliefs may take. */
const OFFER_MILLISECONDS = 400
/** An instance whose own reading is younger than this will see the change by itself; asking would double the bytes. */
const FRESH_MILLISECONDS = 900
/** All peers offer at once when the store turns one instance away; one answer is enough. */
const ASK_MILLISECONDS = 150
/** An offer with nothing new is repeated after this: a leaf has no other sign that its hub still reads the store. */
const REPEAT_MILLISECONDS = 1_000
/** A leaf that hears of no reading for so long reads for itself. */
const CURRENT_MILLISECONDS = 2_500
/** Whoever reads the store is answered at least this often: its watches end sooner. */
const LONGEST_WATCH_MILLISECONDS = 3_500

/** The beliefs that are exchanged. */
export interface ExchangedState {
  readonly configuration: AcceptedConfiguration
  readonly directory: EndpointDirectory
  readonly versions: AdapterVersions
  readonly cluster: ClusterView
  readonly health: StoreHealth
}

/** Offers revisions to neighbours and asks for what is newer there. */
export class StateExchange {
  private readonly network: PeerLinks
  private readonly overlay: PeerOverlay
  private readonly beliefs: ExchangedState
  private readonly clock: Clock
  private offered = ''
  private offeredAt = -Infinity
  private askedAt = -Infinity
  /** When somebody read the store, as far as the word of it has come here. */
  private readAt = -Infinity

  constructor (network: PeerLinks, overlay: PeerOverlay, beliefs: ExchangedState, clock: Clock) {
    this.network = network
    this.overlay = overlay
    this.beliefs = beliefs
    this.clock = clock
    network.onNotice('beliefs-offer', (from, frame) => this.consider(from, frame))
    network.onNotice('beliefs-ask', (from, frame) => this.answer(from, frame))
    network.onNotice('beliefs', (_from, frame) => this.take(frame))
    overlay.onNeighbour((neighbour) => { if (!overlay.isHub) this.attached(neighbour) })
  }

  /** Whether this instance has to read the store itself: nobody reads it for it, or who does is behind. */
  get needsStore (): boolean {
    if (this.overlay.isHub) return true
    if (!this.overlay.isAttached) return !this.overlay.isAwaitingHub
    return this.clock.now() - this.readAt > CURRENT_MILLISECONDS
  }

  /** This process stood still: what it was told before is old, and its hub may have given it up without a sign. */
  markStale (): void {
    this.readAt = -Infinity
  }

  /** Offers until the signal ends it. */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.clock.sleep(OFFER_MILLISECONDS, signal)
      if (this.needsStore) this.offer()
    }
  }

  private offer (): void {
    const revisions = this.revisions()
    const text = JSON.stringify(revisions)
    const now = this.clock.now()
    // At rest every peer has heard it already; one that lost the frame is behind in the next change only.
    const isRepeat = text === this.offered && this.beliefs.health.reachable
    this.offered = text
    const neighbours = isRepeat ? this.overlay.neighboursOf('leaf') : this.overlay.neighbours()
    if (isRepeat && now - this.offeredAt < REPEAT_MILLISECONDS) return
    this.offeredAt = now
    this.network.notifyAll(neighbours, { kind: 'beliefs-offer', ...revisions, readMillisecondsAgo: this.readMillisecondsAgo(now) })
  }

  /** Passed on, an age goes on growing: two instances that both hear of a reading only from each other do not keep it young. */
  private readMillisecondsAgo (now: number): number | undefined {
    const { reachable } = this.beliefs.health
    const silence = this.beliefs.health.millisecondsSinceAnswer(now)
    // One that has just begun to read again, after a hub did it for a while, knows nothing of the store yet.
    if (reachable && silence < LONGEST_WATCH_MILLISECONDS) return 0
    const age = Math.min(silence, now - this.readAt)
    return age === Infinity ? undefined : age
  }

  private revisions (): Required<BeliefRevisions> {
    return {
      configuration: this.beliefs.configuration.version,
      endpoints: this.beliefs.directory.revision,
      announcements: this.beliefs.versions.versionSum,
      cluster: this.beliefs.cluster.revision
    }
  }

  private consider (from: InstanceId, offer: BeliefsOfferFrame): void {
    const own = this.revisions()
    const now = this.clock.now()
    if (offer.readMillisecondsAgo !== undefined) this.readAt = Math.max(this.readAt, now - offer.readMillisecondsAgo)
    const behind = offer.configuration > own.configuration || offer.endpoints > own.endpoints || offer.announcements > own.announcements || (offer.cluster ?? 0) > own.cluster
    if (!behind) return
    const fresh = this.needsStore && this.beliefs.health.reachable && this.beliefs.health.millisecondsSinceAnswer(now) < FRESH_MILLISECONDS
    if (fresh || now - this.askedAt < ASK_MILLISECONDS) return
    this.ask(from)
  }

  /** The hub's own word follows within a second; until then it is taken to read the store, as hubs do. */
  private attached (hub: InstanceId): void {
    this.readAt = this.clock.now()
    this.ask(hub)
  }

  private ask (neighbour: InstanceId): void {
    this.askedAt = this.clock.now()
    this.network.notify(neighbour, { kind: 'beliefs-ask', ...this.revisions() })
  }

  private answer (to: InstanceId, ask: BeliefsAskFrame): void {
    const { configuration, directory, versions } = this.beliefs
    const inForce = configuration.current
    this.network.notify(to, {
      kind: 'beliefs',
      configuration: inForce !== undefined && configuration.version > ask.configuration ? { revision: configuration.version, value: inForce.configuration } : undefined,
      endpoints: directory.revision > ask.endpoints ? this.endpointsSince(ask.endpoints) : undefined,
      announcements: versions.versionSum > ask.announcements ? { revision: versions.versionSum, value: versions.all() } : undefined,
      cluster: this.clusterSince(ask.cluster)
    })
  }

  private endpointsSince (revision: number): ChangedObjects {
    const { directory } = this.beliefs
    return { revision: directory.revision, value: directory.since(revision), ...directory.ids() }
  }

  private clusterSince (revision: number | undefined): ChangedObjects | undefined {
    const { cluster } = this.beliefs
    if (revision === undefined || cluster.revision <= revision) return undefined
    return { revision: cluster.revision, value: cluster.since(revision), present: cluster.paths() }
  }

  /** Peers run the same release and have checked what they pass on when they read it from the store. */
  private take (frame: BeliefsFrame): void {
    const { configuration, versions, cluster } = this.beliefs
    if (frame.configuration !== undefined) configuration.apply(frame.configuration.value as Configuration, 'peer')
    if (frame.endpoints !== undefined) this.takeEndpoints(frame.endpoints)
    if (frame.announcements !== undefined) {
      versions.apply(frame.announcements.value as readonly AdapterAnnouncement[], 'peer', this.clock.now())
    }
    if (frame.cluster !== undefined) cluster.merge(frame.cluster.value as readonly ClusterObject[], frame.cluster.present ?? [], frame.cluster.revision)
  }

  private takeEndpoints ({ revision, value, present = [], lapsed = [] }: ChangedObjects): void {
    const { directory, health } = this.beliefs
    const now = this.clock.now()
    const changed = new Map((value as readonly Endpoint[]).map((endpoint) => [endpoint.id, endpoint]))
    const endpoints = present.flatMap((id) => changed.get(id as EndpointId) ?? directory.find(id as EndpointId) ?? [])
    directory.apply({ revision, endpoints, lapsed: new Set(lapsed as readonly EndpointId[]) }, health.recentOutageEnd(now), now)
  }
}
