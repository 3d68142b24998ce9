/** Picks an endpoint for each request by the routing policy in force. */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { LimpetwinchError } from '@limpetwinch/core'
import type { Clock, DataCentreId, EndpointId, EngineSettings, InstanceId, OperatorSettings } from '@limpetwinch/core'
import type { EndpointView, RoutingPolicy, RoutingRequest } from '@limpetwinch/decisions'
import type { Membership } from '../membership/membership.js'
import type { EndpointDirectory, EndpointState } from './endpoint-directory.js'
import type { PrefixTracker } from './prefix-tracker.js'

/** One way between data centres, milliseconds, for comparison only. */
const REMOTE_DISTANCE = 0.5
const RETRY_SECONDS = 1
/** The next owner of an endpoint whose owner has ended is heard within so long; until then requests wait for it. */
const NEXT_OWNER_MILLISECONDS = 10_000

/** Where a request goes. */
export interface Route {
  readonly engine: EngineSettings
  readonly owner: InstanceId
}

/** What a router works with. */
export interface RouterOptions {
  readonly dataCentre: DataCentreId
  readonly directory: EndpointDirectory
  readonly prefixes: PrefixTracker
  readonly membership: Membership
  readonly policy: () => RoutingPolicy
  readonly clock: Clock
}

/** Picks endpoints and owners. */
export class Router {
  private readonly options: RouterOptions

  /** @param options - what it works with */
  constructor (options: RouterOptions) {
    this.options = options
  }

  /**
   * @param question - the request
   * @param settings - what is in force
   * @returns the engine and its owner, or `no-endpoint`
   */
  route (question: RoutingRequest, settings: OperatorSettings): Result<Route, LimpetwinchError> {
    const { directory, policy, clock } = this.options
    const now = clock.now()
    const engines = directory.enginesIn(settings)
    const views = engines.flatMap((engine) => this.viewOf(engine, question, now))
    const chosen = policy().choose(question, views, now)
    const engine = engines.find((candidate) => candidate.endpoint === chosen)
    const knowledge = chosen === undefined ? undefined : directory.get(chosen)
    if (engine === undefined || knowledge === undefined) {
      const reason = `none of ${views.length} reachable engines serves ${question.baseModel}`
      return err(new LimpetwinchError('no-endpoint', { reason }, { retryAfterSeconds: RETRY_SECONDS }))
    }
    return ok({ engine, owner: knowledge.owner })
  }

  /** @returns whether an endpoint is leaving, by the platform's list */
  isLeaving (endpoint: EndpointId): boolean {
    return this.options.membership.leavingEndpoints().has(endpoint)
  }

  private viewOf (engine: EngineSettings, question: RoutingRequest, now: number): EndpointView[] {
    const knowledge = this.options.directory.get(engine.endpoint)
    if (knowledge === undefined || !knowledge.digest.healthy) return []
    const ended = (this.options.membership.member(knowledge.owner)?.state ?? 'gone') === 'gone'
    if (ended && now - knowledge.digestReceivedAt > NEXT_OWNER_MILLISECONDS) return []
    return [this.view(engine, knowledge, question)]
  }

  private view (engine: EngineSettings, knowledge: EndpointState, question: RoutingRequest): EndpointView {
    const { dataCentre, prefixes } = this.options
    const { digest } = knowledge
    return {
      endpoint: engine.endpoint,
      dataCentre: engine.dataCentre,
      oneWayMilliseconds: engine.dataCentre === dataCentre ? 0 : REMOTE_DISTANCE,
      baseModel: engine.baseModel,
      role: '',
      queued: digest.queued,
      running: digest.running,
      sentSinceReport: knowledge.sentSince,
      slots: digest.slots,
      pinnedSlots: digest.pinnedSlots,
      batchCapacity: digest.batchCapacity,
      leaving: digest.leaving || this.isLeaving(engine.endpoint),
      pendingLoads: knowledge.adaptersRequestedSince.size,
      holds: (adapter) => {
        if (knowledge.adapters.has(adapter)) return 'loaded'
        return knowledge.adaptersRequestedSince.has(adapter) ? 'loading' : 'absent'
      },
      evictionCost: () => digest.evictionCost,
      cachedShare: (prompt) => prefixes.share(engine.endpoint, question.adapter, prompt)
    }
  }
}
