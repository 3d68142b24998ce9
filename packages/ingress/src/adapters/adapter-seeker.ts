/** Finds an engine for a request, and has the adapter loaded where none holds it. */
import type { Clock, EndpointId, InstanceId, LoadAskFrame } from '@limpetwinch/core'
import type { RequestFacts } from '../relay/request-codec.js'
import type { Endpoint, Service } from '../routes/configuration.js'
import type { EngineChoice, EngineRouter } from '../routing/engine-router.js'
import type { AdapterLocations } from './adapter-locations.js'

/** A load takes a quarter of a second, a busy engine's turn about as long; after this another engine is asked. */
const ASK_MILLISECONDS = 900
/** Between looks while no engine can be asked at all. */
const NOBODY_MILLISECONDS = 100

/** What the seeker needs. */
export interface AdapterSeekerParts {
  readonly clock: Clock
  readonly router: EngineRouter
  readonly locations: AdapterLocations
  /** @returns who orders the engine's loads */
  readonly holderOf: (endpoint: EndpointId) => InstanceId | undefined
  /** Tells the one that orders an engine's loads that an adapter is wanted. */
  readonly ask: (to: InstanceId, frame: LoadAskFrame) => void
  /** @returns the least adapter version that a new request may begin on */
  readonly leastVersion: (request: RequestFacts, now: number) => number
}

/** An engine, and how long its adapter was waited for. */
export interface FoundEngine extends EngineChoice {
  readonly stallMilliseconds: number
}

/** Finds engines. */
export class AdapterSeeker {
  private readonly parts: AdapterSeekerParts
  private readonly refusals = new Map<string, number>()

  constructor (parts: AdapterSeekerParts) {
    this.parts = parts
  }

  /** A load was refused: those that wait for it look elsewhere. */
  refused (endpoint: EndpointId, key: string): void {
    this.refusals.set(`${endpoint} ${key}`, this.parts.clock.now())
    this.parts.locations.wake(key as Parameters<AdapterLocations['wake']>[0])
  }

  /**
   * @param service - whose engines
   * @param facts - the request
   * @param tried - engines that it was sent to before
   * @param until - monotonic time at which the search is given up
   * @param signal - ends it as well
   * @returns an engine that holds the adapter, or undefined
   */
  async seek (service: Service, facts: RequestFacts, tried: ReadonlySet<EndpointId>, until: number, signal: AbortSignal): Promise<FoundEngine | undefined> {
    const { clock, router } = this.parts
    const startedAt = clock.now()
    const asked = new Set<EndpointId>(tried)
    while (!signal.aborted) {
      const now = clock.now()
      const choice = router.choose(service, facts, tried, now)
      if (choice !== undefined) {
        this.askForCopy(service, facts, choice, now)
        return { ...choice, stallMilliseconds: now - startedAt }
      }
      if (now >= until || facts.adapter?.name === undefined) return undefined
      await this.haveLoaded(service, facts, asked, until, signal)
    }
    return undefined
  }

  private async haveLoaded (service: Service, facts: RequestFacts, asked: Set<EndpointId>, until: number, signal: AbortSignal): Promise<void> {
    const { clock, router, locations } = this.parts
    const { adapter } = facts
    if (adapter === undefined) return
    const now = clock.now()
    const load = router.chooseForLoad(service, adapter.key, adapter.model, asked, now)
    if (load === undefined) {
      // All have been asked in turn: the first may have room by now.
      asked.clear()
      return await locations.arrival(adapter.key, Math.min(NOBODY_MILLISECONDS, until - now), signal)
    }
    this.askFor(load.endpoint, facts, true, now)
    await locations.arrival(adapter.key, Math.max(1, Math.min(ASK_MILLISECONDS, until - now)), signal)
    const waited = clock.now() - now
    const refusedAt = this.refusals.get(`${load.endpoint.id} ${adapter.key}`) ?? -Infinity
    if (waited >= ASK_MILLISECONDS || refusedAt >= now) asked.add(load.endpoint.id)
    this.refusals.delete(`${load.endpoint.id} ${adapter.key}`)
  }

  private askForCopy (service: Service, facts: RequestFacts, choice: EngineChoice, now: number): void {
    const copy = this.parts.router.chooseForCopy(service, facts, choice, now)
    if (copy !== undefined) this.askFor(copy.endpoint, facts, false, now)
  }

  private askFor (endpoint: Endpoint, facts: RequestFacts, waiting: boolean, now: number): void {
    const holder = this.parts.holderOf(endpoint.id)
    if (holder === undefined || facts.adapter === undefined) return
    const version = this.parts.leastVersion(facts, now)
    this.parts.ask(holder, { kind: 'load-ask', endpoint: endpoint.id, key: facts.adapter.key, version, waiting })
  }
}
