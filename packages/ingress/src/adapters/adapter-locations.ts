/** Which engine holds which adapter, as told by those who order loads, else by the engines' own statements. */
import type { AdaptersHeldFrame, EndpointId } from '@limpetwinch/core'
import type { AdapterKey, Endpoint, HeldAdapter } from '../routes/configuration.js'
import { InFlightLoads } from './in-flight-loads.js'

interface Told {
  readonly born: number
  readonly token: number
  readonly sequence: number
}

/** Evicted adapters that an engine caches; so many are taken to be there still. */
const MOST_CACHED = 40

/** Where adapters lie. */
export class AdapterLocations {
  private readonly byAdapter = new Map<AdapterKey, Map<EndpointId, number>>()
  private readonly byEndpoint = new Map<EndpointId, Map<AdapterKey, number>>()
  /** Adapters on their way to engines. */
  readonly inFlight = new InFlightLoads()
  /** Evicted adapters, the last one last, with the version that was held. */
  private readonly cached = new Map<EndpointId, Map<AdapterKey, number>>()
  private readonly told = new Map<EndpointId, Told>()
  private readonly waiting = new Map<AdapterKey, Set<() => void>>()

  /** @returns engines that hold the adapter, with the version there */
  holders (key: AdapterKey): ReadonlyMap<EndpointId, number> {
    return this.byAdapter.get(key) ?? NOBODY
  }

  /** @returns whether the engine held the adapter lately, not older than this, and so loads it without the weight store */
  isCached (endpoint: EndpointId, key: AdapterKey, leastVersion: number): boolean {
    return (this.cached.get(endpoint)?.get(key) ?? -1) >= leastVersion
  }

  /** Takes what the one that orders an engine's loads says; words of an earlier life, token or moment change nothing. */
  takeNotice (frame: AdaptersHeldFrame, now: number): void {
    const before = this.told.get(frame.endpoint)
    if (before !== undefined && !isNewer(frame, before)) return
    this.told.set(frame.endpoint, { born: frame.born, token: frame.token, sequence: frame.sequence })
    const held = new Set(frame.held.map(([key]) => key))
    const isCached = (key: string): boolean => this.isCached(frame.endpoint, key as AdapterKey, 0)
    this.inFlight.replace(frame.endpoint, frame.inFlight, (key) => held.has(key), isCached, now)
    this.replace(frame.endpoint, frame.held.map(([key, version]) => ({ key: key as AdapterKey, version })))
  }

  /** Takes an engine's own statement, unless somebody who orders its loads has spoken in this life of it. */
  takeStatement (endpoint: Endpoint): void {
    const before = this.told.get(endpoint.id)
    if (before !== undefined && before.born >= endpoint.born) return
    this.told.delete(endpoint.id)
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
    this.told.delete(endpoint)
    this.inFlight.forget(endpoint)
    this.cached.delete(endpoint)
    this.byEndpoint.delete(endpoint)
  }

  /**
   * Waits until some engine newly holds the adapter.
   *
   * @param key - the adapter
   * @param milliseconds - how long at most
   * @param signal - ends the wait as well
   */
  async arrival (key: AdapterKey, milliseconds: number, signal: AbortSignal): Promise<void> {
    if (signal.aborted) return
    await new Promise<void>((resolve) => {
      const waiters = this.waiting.get(key) ?? new Set()
      const finish = (): void => {
        clearTimeout(timer)
        signal.removeEventListener('abort', finish)
        waiters.delete(finish)
        if (waiters.size === 0 && this.waiting.get(key) === waiters) this.waiting.delete(key)
        resolve()
      }
      const timer = setTimeout(finish, milliseconds)
      signal.addEventListener('abort', finish)
      waiters.add(finish)
      this.waiting.set(key, waiters)
    })
  }

  /** Wakes all that wait for the adapter, as when a load was refused. */
  wake (key: AdapterKey): void {
    for (const finish of [...this.waiting.get(key) ?? []]) finish()
  }

  private replace (endpoint: EndpointId, held: readonly HeldAdapter[]): void {
    const before = this.byEndpoint.get(endpoint) ?? new Map<AdapterKey, number>()
    const after = new Map(held.map(({ key, version }) => [key, version]))
    this.byEndpoint.set(endpoint, after)
    for (const key of before.keys()) {
      if (after.has(key)) continue
      this.takeOut(endpoint, key)
      this.keepCached(endpoint, key, before.get(key) ?? 0)
    }
    for (const [key, version] of after) {
      const holders = this.byAdapter.get(key) ?? new Map<EndpointId, number>()
      holders.set(endpoint, version)
      this.byAdapter.set(key, holders)
      if (before.get(key) !== version) this.wake(key)
    }
  }

  private keepCached (endpoint: EndpointId, key: AdapterKey, version: number): void {
    const kept = this.cached.get(endpoint) ?? new Map<AdapterKey, number>()
    this.cached.set(endpoint, kept)
    kept.delete(key)
    kept.set(key, version)
    const oldest = kept.keys().next().value
    if (kept.size > MOST_CACHED && oldest !== undefined) kept.delete(oldest)
  }

  private takeOut (endpoint: EndpointId, key: AdapterKey): void {
    const holders = this.byAdapter.get(key)
    holders?.delete(endpoint)
    if (holders?.size === 0) this.byAdapter.delete(key)
  }
}

const NOBODY: ReadonlyMap<EndpointId, number> = new Map()

function isNewer (frame: AdaptersHeldFrame, before: Told): boolean {
  if (frame.born !== before.born) return frame.born > before.born
  if (frame.token !== before.token) return frame.token > before.token
  return frame.sequence > before.sequence
}
