/** What this instance believes of the endpoints: who may get work, who is leaving, who is gone. */
import type { EndpointId, Logger } from '@limpetwinch/core'
import type { Endpoint, ServiceName } from '../routes/configuration.js'

/**
 * Time for which an endpoint that vanished from the store during an outage stays in use after the store's return.
 * Entries lapse when endpoints cannot renew them; living ones write again within two seconds.
 */
const LAPSE_GRACE_MILLISECONDS = 2_000

/** All entries of the store at one revision. */
export interface EndpointListing {
  /** The store's revision; it only grows. */
  readonly revision: number
  readonly endpoints: readonly Endpoint[]
  /** Entries that lapsed in an outage which a peer has seen; they may come back within moments. */
  readonly lapsed?: ReadonlySet<EndpointId>
}

/** Hears of changes. */
export type EndpointListener = (endpoint: Endpoint, change: 'arrived' | 'restarted' | 'leaving' | 'gone') => void

interface Record {
  endpoint: Endpoint
  /** Monotonic time at which a lapsed entry counts as gone; undefined while it is listed. */
  goneAt: number | undefined
}

/** The endpoints known here. */
export class EndpointDirectory {
  private readonly records = new Map<EndpointId, Record>()
  private readonly byService = new Map<ServiceName, Endpoint[]>()
  private readonly listeners: EndpointListener[] = []
  private readonly listingListeners: ((endpoints: readonly Endpoint[]) => void)[] = []
  private readonly logger: Logger
  private revisionSeen = 0

  /** @param logger - hears of each change of belief */
  constructor (logger: Logger) {
    this.logger = logger
  }

  /** @returns the store's revision of the newest listing applied; 0 before the first */
  get revision (): number {
    return this.revisionSeen
  }

  /** Calls the listener with each change of belief. */
  onChange (listener: EndpointListener): void {
    this.listeners.push(listener)
  }

  /** Calls the listener with all endpoints after each listing that was taken up. */
  onListing (listener: (endpoints: readonly Endpoint[]) => void): void {
    this.listingListeners.push(listener)
  }

  /** @returns the endpoints of a service that may get new work */
  servable (service: ServiceName): readonly Endpoint[] {
    return this.byService.get(service) ?? []
  }

  /** @returns all endpoints that are not gone, leaving ones included */
  all (): readonly Endpoint[] {
    return [...this.records.values()].map((record) => record.endpoint)
  }

  /** @returns the endpoint unless it is gone */
  find (id: EndpointId): Endpoint | undefined {
    return this.records.get(id)?.endpoint
  }

  /** @returns entries that changed after the revision, for peers that do not read the store */
  since (revision: number): readonly Endpoint[] {
    return [...this.records.values()].map((record) => record.endpoint).filter((endpoint) => endpoint.revision > revision)
  }

  /** @returns ids of the entries that the store listed last, and of those that lapsed lately */
  ids (): { readonly present: readonly EndpointId[], readonly lapsed: readonly EndpointId[] } {
    const ids = [...this.records.keys()]
    return {
      present: ids.filter((id) => this.records.get(id)?.goneAt === undefined),
      lapsed: ids.filter((id) => this.records.get(id)?.goneAt !== undefined)
    }
  }

  /**
   * Takes a listing up; one that is not newer changes nothing.
   *
   * @param listing - all entries at a revision
   * @param outageEndedAt - monotonic time at which an outage of the store ended lately, undefined when there was none
   * @param now - monotonic time
   */
  apply (listing: EndpointListing, outageEndedAt: number | undefined, now: number): void {
    if (listing.revision <= this.revisionSeen) return
    this.revisionSeen = listing.revision
    const listed = new Set(listing.endpoints.map((endpoint) => endpoint.id))
    for (const endpoint of listing.endpoints) this.take(endpoint)
    for (const [id, record] of this.records) {
      if (!listed.has(id)) this.miss(id, record, listing.lapsed?.has(id) === true ? now : outageEndedAt, now)
    }
    this.rebuild()
    for (const listener of this.listingListeners) listener(this.all())
  }

  /** Drops lapsed entries whose time is over; to be called every few hundred milliseconds. */
  expire (now: number): void {
    let changed = false
    for (const [id, record] of this.records) {
      if (record.goneAt === undefined || record.goneAt > now) continue
      this.drop(id, record, 'not back after the outage of the store')
      changed = true
    }
    if (changed) this.rebuild()
  }

  private take (endpoint: Endpoint): void {
    const record = this.records.get(endpoint.id)
    if (record === undefined) {
      this.records.set(endpoint.id, { endpoint, goneAt: undefined })
      return this.tell(endpoint, 'arrived')
    }
    record.goneAt = undefined
    const known = record.endpoint
    // A write that was held up on its way may arrive after newer ones. Taken at its word it would call an endpoint
    // ready that has said that it leaves, and new work would be cut off there. Lives and statements only grow.
    if (endpoint.born < known.born || (endpoint.born === known.born && endpoint.statement < known.statement)) return
    const restarted = endpoint.born > known.born
    const stillLeaving = !restarted && known.leaving
    record.endpoint = stillLeaving ? { ...endpoint, leaving: true } : endpoint
    if (restarted) this.tell(endpoint, 'restarted')
    else if (endpoint.leaving && !known.leaving) this.tell(endpoint, 'leaving')
  }

  private miss (id: EndpointId, record: Record, outageEndedAt: number | undefined, now: number): void {
    if (record.goneAt !== undefined) return
    if (outageEndedAt === undefined || record.endpoint.leaving) return this.drop(id, record, 'removed from the store')
    record.goneAt = Math.max(now, outageEndedAt + LAPSE_GRACE_MILLISECONDS)
    this.logger.info('An entry lapsed during the outage.', { endpoint: id, revision: this.revisionSeen })
  }

  private drop (id: EndpointId, record: Record, reason: string): void {
    this.records.delete(id)
    this.logger.info('An endpoint is gone.', { endpoint: id, reason, revision: this.revisionSeen })
    for (const listener of this.listeners) listener(record.endpoint, 'gone')
  }

  private tell (endpoint: Endpoint, change: 'arrived' | 'restarted' | 'leaving'): void {
    const { id, service, address, born, leavesInMilliseconds } = endpoint
    this.logger.info(CHANGE_LINES[change], { endpoint: id, service, address, born, revision: this.revisionSeen, leavesInMilliseconds })
    for (const listener of this.listeners) listener(endpoint, change)
  }

  private rebuild (): void {
    this.byService.clear()
    for (const { endpoint } of this.records.values()) {
      if (endpoint.leaving) continue
      const ofService = this.byService.get(endpoint.service) ?? []
      ofService.push(endpoint)
      this.byService.set(endpoint.service, ofService)
    }
  }
}

const CHANGE_LINES = {
  arrived: 'An endpoint arrived.',
  restarted: 'An endpoint started again.',
  leaving: 'An endpoint is leaving.'
} as const
