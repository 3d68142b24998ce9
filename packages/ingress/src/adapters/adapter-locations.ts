/** Which engine holds which adapter, as told by those who order loads, else by the engines' own statements. */
import type { AdaptersHeldFrame, EndpointId, InstanceId } from '@limpetwinch/core'
import type { AdapterKey, Endpoint, HeldAdapter } from '../routes/configuration.js'
import { InFlightLoads } from './in-flight-loads.js'
import { mostCached } from './slot-reservations.js'

interface LastNotice {
  /**
   * A host that starts again goes on under its token, and its new process counts its statements from the beginning. By
   * their numbers alone they would pass for old ones, and callers would wait for adapters that have long come.
   */
  readonly sender: InstanceId
  readonly born: number
  readonly token: number
  readonly sequence: number
}

/** The line of one engine, as the one that orders its loads tells it. */
export interface ReportedQueue {
  readonly waiting: ReadonlySet<string>
  /** How long one more load would wait for its turn. */
  readonly waitMilliseconds: number
  readonly receivedAt: number
}

/** Where adapters lie. */
export class AdapterLocations {
  private readonly byAdapter = new Map<AdapterKey, Map<EndpointId, number>>()
  private readonly byEndpoint = new Map<EndpointId, Map<AdapterKey, number>>()
  /** Adapters on their way to engines. */
  readonly inFlight = new InFlightLoads()
  /** Evicted adapters, the last one last, with the version that was held. */
  private readonly recentlyEvicted = new Map<EndpointId, Map<AdapterKey, number>>()
  private readonly lastNotices = new Map<EndpointId, LastNotice>()
  private readonly lines = new Map<EndpointId, ReportedQueue>()
  /** Most adapters that an engine was seen to hold; what it caches goes by its slots. */
  private readonly mostHeld = new Map<EndpointId, number>()
  private readonly waiting = new Map<AdapterKey, Set<() => void>>()

  /** @returns engines that hold the adapter, with the version there */
  holders (key: AdapterKey): ReadonlyMap<EndpointId, number> {
    return this.byAdapter.get(key) ?? NO_HOLDERS
  }

  /** @returns whether the engine held the adapter lately, not older than this, and so loads it without the weight store */
  isCached (endpoint: EndpointId, key: AdapterKey, leastVersion: number): boolean {
    return (this.recentlyEvicted.get(endpoint)?.get(key) ?? -1) >= leastVersion
  }

  /** @returns the engine's line, as told last; undefined while nobody has spoken of it */
  line (endpoint: EndpointId): ReportedQueue | undefined {
    return this.lines.get(endpoint)
  }

  /**
   * Takes what the one that orders an engine's loads says; words of an earlier life, token or moment change nothing.
   *
   * @param sender - the process that says it
   * @returns adapters that are offered there no more
   */
  applyNotice (sender: InstanceId, frame: AdaptersHeldFrame, now: number): readonly AdapterKey[] {
    const before = this.lastNotices.get(frame.endpoint)
    if (before !== undefined && !isNewer(sender, frame, before)) return []
    this.lastNotices.set(frame.endpoint, { sender: sender, born: frame.born, token: frame.token, sequence: frame.sequence })
    const held = new Set(frame.held.map(([key]) => key))
    const isCached = (key: string): boolean => this.isCached(frame.endpoint, key as AdapterKey, 0)
    this.inFlight.replace(frame.endpoint, frame.inFlight, (key) => held.has(key), isCached, now)
    this.lines.set(frame.endpoint, { waiting: new Set(frame.waiting), waitMilliseconds: frame.waitMilliseconds ?? 0, receivedAt: now })
    return this.replace(frame.endpoint, frame.held.map(([key, version]) => ({ key: key as AdapterKey, version })))
  }

  /** Takes an engine's own statement, unless somebody who orders its loads has spoken in this life of it. */
  applyStatement (endpoint: Endpoint): void {
    const before = this.lastNotices.get(endpoint.id)
    if (before !== undefined && before.born >= endpoint.born) return
    this.lastNotices.delete(endpoint.id)
    this.lines.delete(endpoint.id)
    this.inFlight.forget(endpoint.id)
    this.replace(endpoint.id, endpoint.adapters)
  }

  /** An engine answered that it does not hold the adapter. */
  forget (endpoint: EndpointId, key: AdapterKey): void {
    this.byEndpoint.get(endpoint)?.delete(key)
    this.byAdapter.get(key)?.delete(endpoint)
  }

  /** The engine is gone. */
  remove (endpoint: EndpointId): void {
    this.replace(endpoint, [])
    this.lastNotices.delete(endpoint)
    this.lines.delete(endpoint)
    this.mostHeld.delete(endpoint)
    this.inFlight.forget(endpoint)
    this.recentlyEvicted.delete(endpoint)
    this.byEndpoint.delete(endpoint)
  }

  /**
   * Waits until some engine newly holds the adapter.
   *
   * @param key - the adapter
   * @param milliseconds - how long at most
   * @param signal - ends the wait as well
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

  /** Wakes all that wait for the adapter, as when a load was refused. */
  wakeWaitingRequests (key: AdapterKey): void {
    for (const finish of [...this.waiting.get(key) ?? []]) finish()
  }

  /** @returns adapters that are not held any more */
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
    const kept = this.recentlyEvicted.get(endpoint) ?? new Map<AdapterKey, number>()
    this.recentlyEvicted.set(endpoint, kept)
    kept.delete(key)
    kept.set(key, version)
    const oldest = kept.keys().next().value
    if (kept.size > mostCached(this.mostHeld.get(endpoint) ?? 0) && oldest !== undefined) kept.delete(oldest)
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
