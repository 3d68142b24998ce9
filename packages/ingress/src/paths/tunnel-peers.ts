/** Chooses the instances that are asked for tunnels. */
import type { Clock, DataCentreId, EndpointId, InstanceId } from '@limpetwinch/core'
import type { Endpoint, ServiceName } from '../routes/configuration.js'
import type { TunnelPeer } from './tunnel-client.js'

/** Time for which an instance that opened no tunnel is asked after the others for the same endpoint, in milliseconds. */
const AVOID_MILLISECONDS = 3_000
/** Time after which an announcement of unreachable services is not valid any more, in milliseconds; it is repeated more often than that. */
const ANNOUNCEMENT_VALID_MILLISECONDS = 5_000

/** What the choice needs of the instance. */
export interface TunnelPeersDependencies {
  readonly clock: Clock
  readonly dataCentre: DataCentreId
  /** @returns the other instances that open tunnels, are reachable and not stopping */
  readonly members: () => readonly TunnelPeer[]
  /** Returns a number from 0 to 1. */
  readonly random: () => number
}

interface Announcement {
  readonly services: ReadonlySet<string>
  readonly sequence: number
  readonly receivedAt: number
}

/** The instances that open tunnels, and the services that each of them does not reach itself. */
export class TunnelPeers {
  private readonly parts: TunnelPeersDependencies
  private readonly announcements = new Map<InstanceId, Announcement>()
  /** Monotonic time until which an instance is asked after the others for an endpoint, by the ids of both. */
  private readonly avoidedUntil = new Map<string, number>()

  constructor (parts: TunnelPeersDependencies) {
    this.parts = parts
  }

  /** Records which services an instance reaches less than half of. @param sequence - number of the announcement; an older one is ignored */
  recordAnnouncement (from: InstanceId, services: readonly string[], sequence: number): void {
    const earlier = this.announcements.get(from)
    if (earlier !== undefined && earlier.sequence > sequence) return
    this.announcements.set(from, { services: new Set(services), sequence, receivedAt: this.parts.clock.now() })
  }

  /** @returns whether the instance reaches the service itself, as far as it has announced */
  reaches (instance: InstanceId, service: ServiceName): boolean {
    const announcement = this.announcements.get(instance)
    if (announcement === undefined || !announcement.services.has(service)) return true
    return this.parts.clock.now() - announcement.receivedAt > ANNOUNCEMENT_VALID_MILLISECONDS
  }

  /** Records that an instance opened no tunnel to an endpoint. It says little of others: the endpoint may have ended. */
  avoid (instance: InstanceId, endpoint: EndpointId): void {
    this.avoidedUntil.set(pairOf(instance, endpoint), this.parts.clock.now() + AVOID_MILLISECONDS)
  }

  /**
   * @param most - largest number of instances
   * @returns the instances to ask for a tunnel to the endpoint, in order: one of the own data centre, which is the nearest, then one of another,
   *   since a cut may cover a whole data centre, and so on. After them come those that failed lately, and last those that reach little of the
   *   service.
   */
  candidates ({ id, service }: Endpoint, most: number): readonly TunnelPeer[] {
    const { clock, dataCentre, members, random } = this.parts
    const now = clock.now()
    const rankOf = ({ instance }: TunnelPeer): number => {
      if (!this.reaches(instance, service)) return 2
      return now < (this.avoidedUntil.get(pairOf(instance, id)) ?? -Infinity) ? 1 : 0
    }
    const ranked = members().map((peer) => ({ peer, rank: rankOf(peer) + random() })).toSorted((one, other) => one.rank - other.rank)
    const near = ranked.filter(({ peer }) => peer.dataCentre === dataCentre)
    const far = ranked.filter(({ peer }) => peer.dataCentre !== dataCentre)
    const inTurns = Array.from({ length: Math.max(near.length, far.length) }, (_, index) => [near[index], far[index]]).flat().filter((each) => each !== undefined)
    return inTurns.toSorted((one, other) => Math.floor(one.rank) - Math.floor(other.rank)).slice(0, most).map(({ peer }) => peer)
  }

  /** Forgets instances that are not registered any more, and what is not valid any more; called periodically. */
  keepOnly (isMember: (instance: InstanceId) => boolean): void {
    const now = this.parts.clock.now()
    for (const instance of this.announcements.keys()) if (!isMember(instance)) this.announcements.delete(instance)
    for (const [pair, until] of this.avoidedUntil) if (until <= now) this.avoidedUntil.delete(pair)
  }
}

function pairOf (instance: InstanceId, endpoint: EndpointId): string {
  return `${instance} ${endpoint}`
}
