/** Passes on what the store said, so that an instance that the store turns away is no later than its peers. */
import type { BeliefsAskFrame, BeliefsFrame, BeliefsOfferFrame, Clock, InstanceId } from '@limpetwinch/core'
import type { PeerNetwork } from '@limpetwinch/entry'
import type { AdapterAnnouncement, Configuration, Endpoint } from '../routes/configuration.js'
import type { EndpointDirectory } from '../endpoints/endpoint-directory.js'
import type { AcceptedConfiguration } from './accepted-configuration.js'
import type { AdapterVersions } from './adapter-versions.js'
import type { StoreHealth } from './store-health.js'

/** Between offers: a peer that is behind learns it within this, well inside the second that beliefs may take. */
const OFFER_MILLISECONDS = 400
/** An instance whose own reading is younger than this will see the change by itself; asking would double the bytes. */
const FRESH_MILLISECONDS = 900

/** All peers offer at once when the store turns one instance away; one answer is enough. */
const ASK_MILLISECONDS = 150

/** The beliefs that are exchanged. */
export interface ExchangedBeliefs {
  readonly configuration: AcceptedConfiguration
  readonly directory: EndpointDirectory
  readonly versions: AdapterVersions
  readonly health: StoreHealth
}

/** Offers revisions to all peers and asks for what is newer there. */
export class BeliefExchange {
  private readonly network: PeerNetwork
  private readonly beliefs: ExchangedBeliefs
  private readonly clock: Clock
  private offered = ''
  private askedAt = -Infinity

  constructor (network: PeerNetwork, beliefs: ExchangedBeliefs, clock: Clock) {
    this.network = network
    this.beliefs = beliefs
    this.clock = clock
    network.onNotice('beliefs-offer', (from, frame) => this.consider(from, frame))
    network.onNotice('beliefs-ask', (from, frame) => this.answer(from, frame))
    network.onNotice('beliefs', (_from, frame) => this.take(frame))
  }

  /** Offers until the signal ends it. */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.clock.sleep(OFFER_MILLISECONDS, signal)
      const revisions = this.revisions()
      const text = JSON.stringify(revisions)
      // At rest every peer has heard it already; one that lost the frame is behind in the next change only.
      const repeat = text === this.offered && this.beliefs.health.reachable
      this.offered = text
      if (repeat) continue
      for (const peer of this.network.connected()) this.network.notify(peer, { kind: 'beliefs-offer', ...revisions })
    }
  }

  private revisions (): Omit<BeliefsOfferFrame, 'kind'> {
    return {
      configuration: this.beliefs.configuration.version,
      endpoints: this.beliefs.directory.revision,
      announcements: this.beliefs.versions.stamp
    }
  }

  private consider (from: InstanceId, offer: BeliefsOfferFrame): void {
    const own = this.revisions()
    const behind = offer.configuration > own.configuration || offer.endpoints > own.endpoints || offer.announcements > own.announcements
    if (!behind) return
    const now = this.clock.now()
    const fresh = this.beliefs.health.reachable && this.beliefs.health.silence(now) < FRESH_MILLISECONDS
    if (fresh || now - this.askedAt < ASK_MILLISECONDS) return
    this.askedAt = now
    this.network.notify(from, { kind: 'beliefs-ask', ...own })
  }

  private answer (to: InstanceId, ask: BeliefsAskFrame): void {
    const { configuration, directory, versions } = this.beliefs
    const inForce = configuration.current
    this.network.notify(to, {
      kind: 'beliefs',
      configuration: inForce !== undefined && configuration.version > ask.configuration ? { revision: configuration.version, value: inForce.configuration } : undefined,
      endpoints: directory.revision > ask.endpoints ? { revision: directory.revision, value: directory.listing().endpoints } : undefined,
      announcements: versions.stamp > ask.announcements ? { revision: versions.stamp, value: versions.all() } : undefined
    })
  }

  /** Peers run the same release and have checked what they pass on when they read it from the store. */
  private take (frame: BeliefsFrame): void {
    const { configuration, directory, versions, health } = this.beliefs
    const now = this.clock.now()
    if (frame.configuration !== undefined) configuration.apply(frame.configuration.value as Configuration, 'peer')
    if (frame.endpoints !== undefined) {
      const { revision, value } = frame.endpoints
      directory.apply({ revision, endpoints: value as readonly Endpoint[] }, health.outageEndedAt(now), now)
    }
    if (frame.announcements !== undefined) {
      versions.apply(frame.announcements.value as readonly AdapterAnnouncement[], 'peer', now)
    }
  }
}
