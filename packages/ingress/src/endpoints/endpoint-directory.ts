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

interface EndpointRecord {
  endpoint: Endpoint
  /** Monotonic time at which a lapsed entry counts as gone; undefined while it is listed. */
  removedAt: number | undefined
}

/** The endpoints known here. */
export class EndpointDirectory {
  private readonly records = new Map<EndpointId, EndpointRecord>()
  private readonly byService = new Map<ServiceName, Endpoint[]>()
  private readonly listeners: EndpointListener[] = []
  private readonly listingListeners: ((endpoints: readonly Endpoint[]) => void)[] = []
  private readonly logger: Logger
  private appliedRevision = 0

  /** @param logger - hears of each change of belief */
  constructor (logger: Logger) {
    this.logger = logger
  }

  /** @returns the store's revision of the newest listing applied; 0 before the first */
  get revision (): number {
    return this.appliedRevision
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
      present: ids.filter((id) => this.records.get(id)?.removedAt === undefined),
      lapsed: ids.filter((id) => this.records.get(id)?.removedAt !== undefined)
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
    if (listing.revision <= this.appliedRevision) return
    this.appliedRevision = listing.revision
    const listed = new Set(listing.endpoints.map((endpoint) => endpoint.id))
    for (const endpoint of listing.endpoints) this.applyEntry(endpoint)
    for (const [id, record] of this.records) {
      if (!listed.has(id)) this.handleMissing(id, record, listing.lapsed?.has(id) === true ? now : outageEndedAt, now)
    }
    this.rebuild()
    for (const listener of this.listingListeners) listener(this.all())
  }

  /** Drops lapsed entries whose time is over; to be called every few hundred milliseconds. */
  expire (now: number): void {
    let changed = false
    for (const [id, record] of this.records) {
      if (record.removedAt === undefined || record.removedAt > now) continue
      this.remove(id, record, 'not back after the outage of the store')
      changed = true
    }
    if (changed) this.rebuild()
  }

  private applyEntry (endpoint: Endpoint): void {
    const record = this.records.get(endpoint.id)
    if (record === undefined) {
      this.records.set(endpoint.id, { endpoint, removedAt: undefined })
      return this.announce(endpoint, 'arrived')
    }
    record.removedAt = undefined
    const known = record.endpoint
    // A write that was held up on its way may arrive after newer ones. Taken at its word it would call an endpoint
    // ready that has said that it leaves, and new work would be cut off there. Lives and statements only grow.
    if (endpoint.born < known.born || (endpoint.born === known.born && endpoint.statement < known.statement)) return
    const restarted = endpoint.born > known.born
    const stillLeaving = !restarted && known.leaving
    record.endpoint = stillLeaving ? { ...endpoint, leaving: true } : endpoint
    if (restarted) this.announce(endpoint, 'restarted')
    else if (endpoint.leaving && !known.leaving) this.announce(endpoint, 'leaving')
  }

  private handleMissing (id: EndpointId, record: EndpointRecord, outageEndedAt: number | undefined, now: number): void {
    if (record.removedAt !== undefined) return
    if (outageEndedAt === undefined || record.endpoint.leaving) return this.remove(id, record, 'removed from the store')
    record.removedAt = Math.max(now, outageEndedAt + LAPSE_GRACE_MILLISECONDS)
    this.logger.info('An entry lapsed during the outage.', { endpoint: id, revision: this.appliedRevision })
  }

  private remove (id: EndpointId, record: EndpointRecord, reason: string): void {
    this.records.delete(id)
    this.logger.info('An endpoint is gone.', { endpoint: id, reason, revision: this.appliedRevision })
    for (const listener of this.listeners) listener(record.endpoint, 'gone')
  }

  private announce (endpoint: Endpoint, change: 'arrived' | 'restarted' | 'leaving'): void {
    const { id, service, address, born, leavesInMilliseconds } = endpoint
    this.logger.info(CHANGE_MESSAGES[change], { endpoint: id, service, address, born, revision: this.appliedRevision, leavesInMilliseconds })
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

const CHANGE_MESSAGES = {
  arrived: 'An endpoint arrived.',
  restarted: 'An endpoint started again.',
  leaving: 'An endpoint is leaving.'
} as const
