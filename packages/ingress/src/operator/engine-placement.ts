/** Explains which engine a request would go to, or which one would load its adapter. */
import { LimpetwinchError } from '@limpetwinch/core'
import type { EndpointId } from '@limpetwinch/core'
import { longestAdapterWait } from '@limpetwinch/decisions'
import { AttemptRecord } from '../relay/attempt-record.js'
import type { EngineChoice, EngineQuery, LoadChoice } from '../routing/engine-router.js'
import { known, Placement } from './placement.js'
import type { Placed, PlacementSubject } from './placement.js'
import type { WhereCandidate, WhereOutcome } from './where-answer.js'

const NO_BIAS = (): number => 0

/** The placement of requests on model engines. */
export class EnginePlacement extends Placement {
  override place (subject: PlacementSubject, most: number, now: number): Placed {
    const { router, rateLimiter } = this.sources
    const { service, facts, route, priority } = subject
    const query = (excluded: ReadonlySet<EndpointId>): EngineQuery => ({ service, facts, gapMilliseconds: route.gapMilliseconds, excluded })
    const full = rateLimiter.withoutRoom(priority)
    const holders = this.ranked((excluded) => router.choose(query(excluded), now), full, most)
    const hasAdapter = facts.adapter?.name !== undefined
    const loads = hasAdapter ? this.ranked((excluded) => router.chooseForLoad(query(excluded), NO_BIAS, now), full, most - holders.length) : []
    const candidates = [...holders.map((choice) => this.runCandidate(choice, subject, now)), ...loads.map((choice) => this.loadCandidate(choice, now))]
    const [first] = holders
    return { candidates, outcome: first === undefined ? this.withoutHolder(subject, loads[0], now) : { kind: 'sent', endpoint: first.endpoint.id } }
  }

  private withoutHolder (subject: PlacementSubject, load: LoadChoice | undefined, now: number): WhereOutcome {
    const { engineFinder, rateLimiter, loadMilliseconds, locations } = this.sources
    const { service, facts, route, priority } = subject
    const longestWaitMilliseconds = facts.adapter?.name === undefined ? 0 : longestAdapterWait({ timeToDeadline: route.timeoutMilliseconds, objective: route.objectiveMilliseconds, gap: route.gapMilliseconds })
    const limited = rateLimiter.refusal(service.name, priority)
    const untilRoom = limited === undefined ? undefined : rateLimiter.millisecondsUntilRoom(service.name, priority)
    if (limited !== undefined && untilRoom !== undefined) {
      return untilRoom <= longestWaitMilliseconds ? { kind: 'wait', waitMilliseconds: Math.round(untilRoom) } : this.refused(limited)
    }
    const waitMilliseconds = load === undefined ? undefined : Math.round((locations.line(load.endpoint.id)?.waitMilliseconds ?? 0) + loadMilliseconds())
    if (load !== undefined && waitMilliseconds !== undefined && waitMilliseconds <= longestWaitMilliseconds) {
      return { kind: 'load', endpoint: load.endpoint.id, waitMilliseconds, longestWaitMilliseconds: Math.round(longestWaitMilliseconds) }
    }
    const retryAfterSeconds = engineFinder.retryAfterSeconds(service)
    if (facts.adapter === undefined) return this.refused(new AttemptRecord().finalError(retryAfterSeconds))
    const reason = load === undefined ? 'no engine holds it, and none can load it' : `its load would take ${waitMilliseconds} ms`
    return this.refused(new LimpetwinchError('adapter-not-ready', { adapter: facts.adapter.key, reason }, { retryAfterSeconds }), longestWaitMilliseconds)
  }

  private runCandidate ({ endpoint, forecastMilliseconds, uncachedTokens, costMilliseconds = forecastMilliseconds }: EngineChoice, { facts }: PlacementSubject, now: number): WhereCandidate {
    const { prefixes, locations } = this.sources
    const { adapter, promptParts } = facts
    const ofPauses = { 'running and pauses': costMilliseconds - forecastMilliseconds }
    const version = adapter === undefined ? undefined : locations.holders(adapter.key).get(endpoint.id)
    return {
      endpoint: endpoint.id,
      dataCentre: endpoint.dataCentre,
      use: 'run',
      cost: Math.round(costMilliseconds),
      items: known({
        'first event': forecastMilliseconds,
        ...ofPauses,
        'cached tokens': adapter === undefined ? 0 : prefixes.cachedTokens(endpoint.id, adapter.key, promptParts),
        'tokens to read': uncachedTokens,
        'adapter version': version,
        ...this.engineItems(endpoint.id, now)
      }),
      ages: this.ages(endpoint.id, now)
    }
  }

  private loadCandidate ({ endpoint, costMilliseconds }: LoadChoice, now: number): WhereCandidate {
    const { locations, loadMilliseconds } = this.sources
    return {
      endpoint: endpoint.id,
      dataCentre: endpoint.dataCentre,
      use: 'load',
      cost: Math.round(costMilliseconds),
      items: known({ 'load from the store': loadMilliseconds(), 'load queue': locations.line(endpoint.id)?.waitMilliseconds, ...this.engineItems(endpoint.id, now) }),
      ages: this.ages(endpoint.id, now)
    }
  }

  private engineItems (endpoint: EndpointId, now: number): Record<string, number> {
    const { figures, ejection } = this.sources
    const { slowness, outstanding } = figures.figureOf(endpoint)
    return { slowness, requests: outstanding.requests, 'prompt tokens waiting': outstanding.prefillTokens, 'memory tokens': outstanding.memoryTokens, penalty: ejection.penalty(endpoint, now) }
  }

  private ages (endpoint: EndpointId, now: number): Record<string, number> {
    const { figures, locations } = this.sources
    const { measured, workAgeMilliseconds } = figures.figureOf(endpoint)
    const queue = locations.line(endpoint)
    return known({ requests: workAgeMilliseconds, slowness: measured?.ageMilliseconds, 'load queue': queue === undefined ? undefined : now - queue.receivedAt })
  }
}
