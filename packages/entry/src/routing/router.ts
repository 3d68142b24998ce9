/** Chooses an endpoint for each request by the current routing policy. */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { LimpetwinchError } from '@limpetwinch/core'
import type { Clock, DataCentreId, EndpointId, EngineSettings, InstanceId, OperatorSettings } from '@limpetwinch/core'
import type { EndpointView, RoutingPolicy, RoutingRequest } from '@limpetwinch/decisions'
import type { Membership } from '../membership/membership.js'
import type { EndpointDirectory, EndpointState } from './endpoint-directory.js'
import type { PrefixTracker } from './prefix-tracker.js'

/** Assumed one-way latency between data centres, milliseconds. The value only serves to compare endpoints. */
const REMOTE_DISTANCE = 0.5
/** Time after which a caller may retry a request that no endpoint could serve. */
const RETRY_SECONDS = 1
/**
 * How long an endpoint is still chosen after the last digest of an owner that has ended. Within this time the next owner is
 * expected to send its first digest, and requests for the endpoint wait.
 */
const NEXT_OWNER_MILLISECONDS = 10_000

/** The engine that a request is routed to, and the owner that admits it. */
export interface Route {
  readonly engine: EngineSettings
  readonly owner: InstanceId
}

/** Dependencies of a router. */
export interface RouterOptions {
  readonly dataCentre: DataCentreId
  readonly directory: EndpointDirectory
  readonly prefixes: PrefixTracker
  readonly membership: Membership
  readonly policy: () => RoutingPolicy
  readonly clock: Clock
}

/** Chooses the endpoint of a request and looks up its owner. */
export class Router {
  private readonly options: RouterOptions

  /** @param options - dependencies */
  constructor (options: RouterOptions) {
    this.options = options
  }

  /**
   * Chooses an endpoint for a request by the current policy.
   *
   * @param question - what the routing policy needs to know of the request
   * @param settings - the current settings
   * @returns the engine and its owner, or the error `no-endpoint`
   */
  route (question: RoutingRequest, settings: OperatorSettings): Result<Route, LimpetwinchError> {
    const { directory, policy, clock } = this.options
    const now = clock.now()
    const engines = directory.enginesIn(settings)
    const views = engines.flatMap((engine) => this.viewOf(engine, question, now))
    const chosen = policy().choose(question, views, now)
    const engine = engines.find((candidate) => candidate.endpoint === chosen)
    const state = chosen === undefined ? undefined : directory.get(chosen)
    if (engine === undefined || state === undefined) {
      const reason = `none of ${views.length} reachable engines serves ${question.baseModel}`
      return err(new LimpetwinchError('no-endpoint', { reason }, { retryAfterSeconds: RETRY_SECONDS }))
    }
    return ok({ engine, owner: state.owner })
  }

  /**
   * @returns whether an endpoint is marked as leaving in the platform's list of instances and endpoints, which the membership
   *   follows; a leaving endpoint gets no new requests
   */
  isLeaving (endpoint: EndpointId): boolean {
    return this.options.membership.leavingEndpoints().has(endpoint)
  }

  private viewOf (engine: EngineSettings, question: RoutingRequest, now: number): EndpointView[] {
    const state = this.options.directory.get(engine.endpoint)
    if (state === undefined || !state.digest.healthy) return []
    const ended = (this.options.membership.member(state.owner)?.state ?? 'gone') === 'gone'
    if (ended && now - state.digestReceivedAt > NEXT_OWNER_MILLISECONDS) return []
    return [this.view(engine, state, question)]
  }

  private view (engine: EngineSettings, state: EndpointState, question: RoutingRequest): EndpointView {
    const { dataCentre, prefixes } = this.options
    const { digest } = state
    return {
      endpoint: engine.endpoint,
      dataCentre: engine.dataCentre,
      oneWayMilliseconds: engine.dataCentre === dataCentre ? 0 : REMOTE_DISTANCE,
      baseModel: engine.baseModel,
      role: '',
      queued: digest.queued,
      running: digest.running,
      sentSinceReport: state.sentSince,
      slots: digest.slots,
      pinnedSlots: digest.pinnedSlots,
      batchCapacity: digest.batchCapacity,
      leaving: digest.leaving || this.isLeaving(engine.endpoint),
      pendingLoads: state.adaptersRequestedSince.size,
      holds: (adapter) => {
        if (state.adapters.has(adapter)) return 'loaded'
        return state.adaptersRequestedSince.has(adapter) ? 'loading' : 'absent'
      },
      evictionCost: () => digest.evictionCost,
      cachedShare: (prompt) => prefixes.share(engine.endpoint, question.adapter, prompt)
    }
  }
}
