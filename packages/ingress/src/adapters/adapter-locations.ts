/** Tracks which engine holds which adapter, from the notices of the load owners or else from the endpoints' own statements in the store. */
import type { AdaptersHeldFrame, EndpointId, InstanceId } from '@limpetwinch/core'
import type { AdapterKey, Endpoint, HeldAdapter } from '../routes/configuration.js'
import { InFlightLoads } from './in-flight-loads.js'
import { mostCached } from './slot-reservations.js'

/** Identifies the last notice that was applied for an engine. */
interface LastNotice {
  /**
   * Process that sent the notice. A restarted host keeps its fencing token, but its new process numbers its notices from the
   * beginning. If only sequence numbers were compared, the notices of the new process would be rejected as old, and callers would
   * wait for adapters that are already loaded.
   */
  readonly sender: InstanceId
  readonly born: number
  readonly token: number
  readonly sequence: number
}

/** Load queue of one engine, as last reported by its load owner. */
export interface ReportedQueue {
  readonly waiting: ReadonlySet<string>
  /** Expected wait of one more load in the queue, milliseconds. */
  readonly waitMilliseconds: number
  /** Expected wait of one more load of each priority while no slot is free, from the most urgent one on; less urgent loads wait as long as the last one. */
  readonly waits: readonly number[]
  readonly receivedAt: number
}

/** Engines that hold, load or recently evicted each adapter, and the load queue of each engine. */
export class AdapterLocations {
  private readonly byAdapter = new Map<AdapterKey, Map<EndpointId, number>>()
  private readonly byEndpoint = new Map<EndpointId, Map<AdapterKey, number>>()
  /** Loads in progress on all engines. */
  readonly inFlight = new InFlightLoads()
  /** Evicted adapters per engine, the most recently evicted one last, with the version that was held. */
  private readonly recentlyEvicted = new Map<EndpointId, Map<AdapterKey, number>>()
  private readonly lastNotices = new Map<EndpointId, LastNotice>()
  private readonly loadQueues = new Map<EndpointId, ReportedQueue>()
  /** Highest number of adapters that an engine was seen to hold: an estimate of its slots, from which the size of its cache is estimated. */
  private readonly mostHeld = new Map<EndpointId, number>()
  private readonly waiting = new Map<AdapterKey, Set<() => void>>()

  /** @returns engines that hold the adapter, with the version there */
  holders (key: AdapterKey): ReadonlyMap<EndpointId, number> {
    return this.byAdapter.get(key) ?? NO_HOLDERS
  }

  /** @returns whether the engine recently evicted the adapter in at least this version, and so loads it from its cache, not from the weight store */
  isCached (endpoint: EndpointId, key: AdapterKey, leastVersion: number): boolean {
    return (this.recentlyEvicted.get(endpoint)?.get(key) ?? -1) >= leastVersion
  }

  /** @returns the engine's load queue as last reported; undefined before the first notice about the engine */
  line (endpoint: EndpointId): ReportedQueue | undefined {
    return this.loadQueues.get(endpoint)
  }

  /**
   * Applies a notice of an engine's load owner; a notice with an earlier incarnation, token or sequence number is ignored.
   *
   * @param sender - process that sent the notice
   * @returns adapters that the engine no longer offers
   */
  applyNotice (sender: InstanceId, frame: AdaptersHeldFrame, now: number): readonly AdapterKey[] {
    const before = this.lastNotices.get(frame.endpoint)
    if (before !== undefined && !isNewer(sender, frame, before)) return []
    this.lastNotices.set(frame.endpoint, { sender, born: frame.born, token: frame.token, sequence: frame.sequence })
    const held = new Set(frame.held.map(([key]) => key))
    const isCached = (key: string): boolean => this.isCached(frame.endpoint, key as AdapterKey, 0)
    this.inFlight.replace(frame.endpoint, frame.inFlight, (key) => held.has(key), isCached, now)
    this.loadQueues.set(frame.endpoint, { waiting: new Set(frame.waiting), waitMilliseconds: frame.waitMilliseconds ?? 0, waits: frame.waits ?? [], receivedAt: now })
    return this.replace(frame.endpoint, frame.held.map(([key, version]) => ({ key: key as AdapterKey, version })))
  }

  /** Applies an engine's own statement, unless a load owner has already sent a notice about this incarnation of the engine. */
  applyStatement (endpoint: Endpoint): void {
    const before = this.lastNotices.get(endpoint.id)
    if (before !== undefined && before.born >= endpoint.born) return
    this.lastNotices.delete(endpoint.id)
    this.loadQueues.delete(endpoint.id)
    this.inFlight.forget(endpoint.id)
    this.replace(endpoint.id, endpoint.adapters)
  }

  /** Removes one adapter of an engine that answered that it does not hold it. */
  forget (endpoint: EndpointId, key: AdapterKey): void {
    this.byEndpoint.get(endpoint)?.delete(key)
    this.byAdapter.get(key)?.delete(endpoint)
  }

  /** Removes everything known about an engine that has left. */
  remove (endpoint: EndpointId): void {
    this.replace(endpoint, [])
    this.lastNotices.delete(endpoint)
    this.loadQueues.delete(endpoint)
    this.mostHeld.delete(endpoint)
    this.inFlight.forget(endpoint)
    this.recentlyEvicted.delete(endpoint)
    this.byEndpoint.delete(endpoint)
  }

  /**
   * Waits until an engine begins to hold the adapter or a new version of it, or until `wakeWaitingRequests` is called.
   *
   * @param milliseconds - longest wait
   * @param signal - cancels the wait
   */
  async waitForArrival (key: AdapterKey, milliseconds: number, signal: AbortSignal): Promise<void> {
    if (signal.aborted) return
    await new Promise<void>((resolve) => {
      const waitingForKey = this.waiting.get(key) ?? new Set()
      const finish = (): void => {
        clearTimeout(timer)
        signal.removeEventListener('abort', finish)
        waitingForKey.delete(finish)
        if (waitingForKey.size === 0 && this.waiting.get(key) === waitingForKey) this.waiting.delete(key)
        resolve()
      }
      const timer = setTimeout(finish, milliseconds)
      signal.addEventListener('abort', finish)
      waitingForKey.add(finish)
      this.waiting.set(key, waitingForKey)
    })
  }

  /** Ends the wait of all requests that wait for the adapter, for example after a load was refused. */
  wakeWaitingRequests (key: AdapterKey): void {
    for (const finish of [...this.waiting.get(key) ?? []]) finish()
  }

  /**
   * Replaces the set of adapters that an engine holds.
   *
   * @returns adapters that the engine no longer holds
   */
  private replace (endpoint: EndpointId, held: readonly HeldAdapter[]): readonly AdapterKey[] {
    const before = this.byEndpoint.get(endpoint) ?? new Map<AdapterKey, number>()
    const after = new Map(held.map(({ key, version }) => [key, version]))
    this.byEndpoint.set(endpoint, after)
    this.mostHeld.set(endpoint, Math.max(after.size, this.mostHeld.get(endpoint) ?? 0))
    for (const key of before.keys()) {
      if (after.has(key)) continue
      this.removeHolder(endpoint, key)
      this.rememberEvicted(endpoint, key, before.get(key) ?? 0)
    }
    for (const [key, version] of after) {
      const holders = this.byAdapter.get(key) ?? new Map<EndpointId, number>()
      holders.set(endpoint, version)
      this.byAdapter.set(key, holders)
      if (before.get(key) !== version) this.wakeWaitingRequests(key)
    }
    return [...before.keys()].filter((key) => !after.has(key))
  }

  private rememberEvicted (endpoint: EndpointId, key: AdapterKey, version: number): void {
    const evicted = this.recentlyEvicted.get(endpoint) ?? new Map<AdapterKey, number>()
    this.recentlyEvicted.set(endpoint, evicted)
    evicted.delete(key)
    evicted.set(key, version)
    const oldest = evicted.keys().next().value
    if (evicted.size > mostCached(this.mostHeld.get(endpoint) ?? 0) && oldest !== undefined) evicted.delete(oldest)
  }

  private removeHolder (endpoint: EndpointId, key: AdapterKey): void {
    const holders = this.byAdapter.get(key)
    holders?.delete(endpoint)
    if (holders?.size === 0) this.byAdapter.delete(key)
  }
}

const NO_HOLDERS: ReadonlyMap<EndpointId, number> = new Map()

function isNewer (sender: InstanceId, frame: AdaptersHeldFrame, before: LastNotice): boolean {
  if (frame.born !== before.born) return frame.born > before.born
  if (frame.token !== before.token) return frame.token > before.token
  return sender !== before.sender || frame.sequence > before.sequence
}
