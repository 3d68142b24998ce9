/** Finds an engine for a request, and has the adapter loaded where none holds it. */
import type { Clock, EndpointId, InstanceId, LoadAskFrame, Logger } from '@limpetwinch/core'
import type { RequestFacts } from '../relay/request-codec.js'
import type { Service } from '../routes/configuration.js'
import type { EngineChoice, EngineRouter, LoadChoice } from '../routing/engine-router.js'
import type { AdapterLocations } from './adapter-locations.js'

/** Between askings: a want that is not repeated is dropped, and another engine may have room by now. */
const ASK_MILLISECONDS = 300
/** An engine that was asked keeps its turn at first: another one would need a load of its own. */
const ASKED_ONCE_MILLISECONDS = -300
/** One that did not bring the adapter after two askings has no slot, or nobody who orders its loads any more. */
const ASKED_AGAIN_MILLISECONDS = 500
const PATIENT_ASKINGS = 2
/** A refusal says that the holder has changed; the news of it comes within this. */
const REFUSAL_MILLISECONDS = 500
/** Between looks while no engine can be asked at all. */
const NOBODY_MILLISECONDS = 100

/** What the seeker needs. */
export interface AdapterSeekerParts {
  readonly clock: Clock
  readonly logger: Logger
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
    const asked = new Map<EndpointId, number>()
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

  /** Asks the best engine for the adapter and waits a while. */
  private async haveLoaded (service: Service, facts: RequestFacts, asked: Map<EndpointId, number>, until: number, signal: AbortSignal): Promise<void> {
    const { clock, router, locations } = this.parts
    const { adapter } = facts
    if (adapter === undefined) return
    const now = clock.now()
    const load = router.chooseForLoad(service, adapter.key, adapter.model, this.refusing(adapter.key, now), (endpoint) => biasOf(asked.get(endpoint) ?? 0), now)
    if (load === undefined) return await locations.arrival(adapter.key, Math.max(1, Math.min(NOBODY_MILLISECONDS, until - now)), signal)
    asked.set(load.endpoint.id, (asked.get(load.endpoint.id) ?? 0) + 1)
    this.askFor(load, facts, true, now)
    await locations.arrival(adapter.key, Math.max(1, Math.min(ASK_MILLISECONDS, until - now)), signal)
  }

  /** Engines whose loads the asked instance does not order; the holder that it believed in has changed. */
  private refusing (key: string, now: number): Set<EndpointId> {
    const engines = new Set<EndpointId>()
    for (const [what, refusedAt] of this.refusals) {
      if (now - refusedAt > REFUSAL_MILLISECONDS) this.refusals.delete(what)
      else if (what.endsWith(` ${key}`)) engines.add(what.slice(0, what.indexOf(' ')) as EndpointId)
    }
    return engines
  }

  private askForCopy (service: Service, facts: RequestFacts, choice: EngineChoice, now: number): void {
    const copy = this.parts.router.chooseForCopy(service, facts, choice, now)
    if (copy !== undefined) this.askFor(copy, facts, false, now)
  }

  private askFor ({ endpoint, costMilliseconds }: LoadChoice, facts: RequestFacts, waiting: boolean, now: number): void {
    const holder = this.parts.holderOf(endpoint.id)
    if (holder === undefined || facts.adapter === undefined) return
    const version = this.parts.leastVersion(facts, now)
    this.parts.logger.debug('A load was asked for.', {
      request: facts.requestId, adapter: facts.adapter.key, endpoint: endpoint.id, of: holder, version, waiting, costMilliseconds: Math.round(costMilliseconds)
    })
    this.parts.ask(holder, { kind: 'load-ask', endpoint: endpoint.id, key: facts.adapter.key, version, waiting })
  }
}

function biasOf (askings: number): number {
  if (askings === 0) return 0
  return askings < PATIENT_ASKINGS ? ASKED_ONCE_MILLISECONDS : ASKED_AGAIN_MILLISECONDS * (askings - 1)
}
