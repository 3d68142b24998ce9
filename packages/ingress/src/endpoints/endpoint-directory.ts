/** Tracks the endpoints known to this instance: which may receive requests, which are leaving, which have left. */
import type { EndpointId, Logger } from '@limpetwinch/core'
import type { Endpoint, ServiceName } from '../routes/configuration.js'

/**
 * Time for which an endpoint whose entry disappeared during an outage of the store stays in use after the outage. Entries lapse
 * when endpoints cannot renew them; running endpoints write them again within two seconds.
 */
const LAPSE_GRACE_MILLISECONDS = 2_000

/** Time for which it is remembered that an endpoint without an entry has said that it is leaving, in milliseconds: its entry may come back. */
const SAID_LEAVING_MILLISECONDS = 60_000

/** All endpoint entries of the store at one revision. */
export interface EndpointListing {
  /** Store revision of the listing; it only grows. */
  readonly revision: number
  readonly endpoints: readonly Endpoint[]
  /** Entries that lapsed during an outage that a peer observed; they may be written again within moments. */
  readonly lapsed?: ReadonlySet<EndpointId>
}

/** Listener for changes of an endpoint. */
export type EndpointListener = (endpoint: Endpoint, change: 'arrived' | 'restarted' | 'leaving' | 'gone') => void

/** An endpoint, and whether its entry has lapsed. */
interface EndpointRecord {
  endpoint: Endpoint
  /** Monotonic time at which an endpoint with a lapsed entry counts as having left; undefined while it is listed. */
  removedAt: number | undefined
}

/** A process of an endpoint that has said in a response that it is leaving. */
interface SaidLeaving {
  readonly born: number
  /** Monotonic time at which its entry was found missing; undefined while it has one. */
  missingSince: number | undefined
}

/** The endpoints known to this instance. */
export class EndpointDirectory {
  private readonly records = new Map<EndpointId, EndpointRecord>()
  /** What endpoints said of themselves in responses; their entries do not take it back. */
  private readonly leavingByResponse = new Map<EndpointId, SaidLeaving>()
  private readonly byService = new Map<ServiceName, Endpoint[]>()
  private readonly listeners: EndpointListener[] = []
  private readonly listingListeners: ((endpoints: readonly Endpoint[]) => void)[] = []
  private readonly logger: Logger
  private appliedRevision = 0

  /** @param logger - logs each change of an endpoint */
  constructor (logger: Logger) {
    this.logger = logger
  }

  /** Store revision of the latest listing that was applied; 0 before the first. */
  get revision (): number {
    return this.appliedRevision
  }

  /** Registers a listener that is called with each change of an endpoint. */
  onChange (listener: EndpointListener): void {
    this.listeners.push(listener)
  }

  /** Registers a listener that is called with all endpoints after each listing that was applied. */
  onListing (listener: (endpoints: readonly Endpoint[]) => void): void {
    this.listingListeners.push(listener)
  }

  /** @returns the endpoints of a service that may receive new requests */
  servable (service: ServiceName): readonly Endpoint[] {
    return this.byService.get(service) ?? []
  }

  /** @returns all endpoints that have not left, including those that are leaving */
  all (): readonly Endpoint[] {
    return [...this.records.values()].map((record) => record.endpoint)
  }

  /** @returns the endpoint; undefined when it is unknown or has left */
  find (id: EndpointId): Endpoint | undefined {
    return this.records.get(id)?.endpoint
  }

  /** @returns endpoints whose entries changed after the revision, for peers that do not read the store */
  since (revision: number): readonly Endpoint[] {
    return [...this.records.values()].map((record) => record.endpoint).filter((endpoint) => endpoint.revision > revision)
  }

  /** @returns ids of the entries in the latest listing, and of those that lapsed recently */
  ids (): { readonly present: readonly EndpointId[], readonly lapsed: readonly EndpointId[] } {
    const ids = [...this.records.keys()]
    return {
      present: ids.filter((id) => this.records.get(id)?.removedAt === undefined),
      lapsed: ids.filter((id) => this.records.get(id)?.removedAt !== undefined)
    }
  }

  /**
   * Applies a listing; one that is not newer than the latest is ignored.
   *
   * @param listing - all entries at one revision
   * @param outageEndedAt - monotonic time at which a recent outage of the store ended; undefined when there was none
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

  /**
   * Records that an endpoint has said in a response that it is leaving.
   *
   * @param born - start time of the process that said so
   * @param source - whether this instance or another one received the response
   * @returns whether this is new
   */
  markLeaving (id: EndpointId, born: number, source: 'response' | 'peer'): boolean {
    const record = this.records.get(id)
    if (record === undefined || record.endpoint.born !== born || this.leavingByResponse.get(id)?.born === born) return false
    this.leavingByResponse.set(id, { born, missingSince: undefined })
    this.logger.info('An endpoint said in a response that it is leaving.', { endpoint: id, born, source })
    if (record.endpoint.leaving) return true
    record.endpoint = { ...record.endpoint, leaving: true }
    this.announce(record.endpoint, 'leaving')
    this.rebuild()
    return true
  }

  /** @returns the endpoints that have said in responses that they are leaving */
  saidLeaving (): readonly Pick<Endpoint, 'id' | 'born'>[] {
    return [...this.leavingByResponse].map(([id, { born }]) => ({ id, born }))
  }

  /** Removes endpoints whose lapsed entries were not written again in time; to be called every few hundred milliseconds. */
  expire (now: number): void {
    let changed = false
    for (const [id, record] of this.records) {
      if (record.removedAt === undefined || record.removedAt > now) continue
      this.remove(id, record, 'not back after the outage of the store')
      changed = true
    }
    if (changed) this.rebuild()
    this.forgetSaidLeaving(now)
  }

  private forgetSaidLeaving (now: number): void {
    for (const [id, said] of this.leavingByResponse) {
      said.missingSince = this.records.has(id) ? undefined : said.missingSince ?? now
      if (said.missingSince !== undefined && now - said.missingSince > SAID_LEAVING_MILLISECONDS) this.leavingByResponse.delete(id)
    }
  }

  private applyEntry (entry: Endpoint): void {
    const record = this.records.get(entry.id)
    const saidLeaving = this.leavingByResponse.get(entry.id)
    if (saidLeaving !== undefined && entry.born > saidLeaving.born) this.leavingByResponse.delete(entry.id)
    const endpoint = saidLeaving?.born === entry.born ? { ...entry, leaving: true } : entry
    if (record === undefined) {
      this.records.set(endpoint.id, { endpoint, removedAt: undefined })
      return this.announce(endpoint, 'arrived')
    }
    record.removedAt = undefined
    const known = record.endpoint
    // A delayed write may arrive after newer ones. If it were applied, an endpoint that is leaving would count as ready, and new
    // requests would be truncated there. Incarnations and statement numbers only grow.
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
    this.logger.info('The entry of an endpoint lapsed during an outage of the store.', { endpoint: id, revision: this.appliedRevision })
  }

  private remove (id: EndpointId, record: EndpointRecord, reason: string): void {
    this.records.delete(id)
    this.logger.info('An endpoint is gone.', { endpoint: id, reason, revision: this.appliedRevision })
    for (const listener of this.listeners) listener(record.endpoint, 'gone')
  }

  private announce (endpoint: Endpoint, change: 'arrived' | 'restarted' | 'leaving'): void {
    const { id, service, address, softwareVersion, born, leavesInMilliseconds } = endpoint
    this.logger.info(CHANGE_MESSAGES[change], { endpoint: id, service, address, softwareVersion, born, revision: this.appliedRevision, leavesInMilliseconds })
    for (const listener of this.listeners) listener(endpoint, change)
  }

  private rebuild (): void {
    this.byService.clear()
    for (const { endpoint } of this.records.values()) {
      if (endpoint.leaving) continue
      const endpoints = this.byService.get(endpoint.service) ?? []
      endpoints.push(endpoint)
      this.byService.set(endpoint.service, endpoints)
    }
  }
}

const CHANGE_MESSAGES = {
  arrived: 'An endpoint arrived.',
  restarted: 'An endpoint restarted.',
  leaving: 'An endpoint is leaving.'
} as const
