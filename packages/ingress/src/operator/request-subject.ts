/** Finds the route, service and team of a described request, as the listener does for one that is sent. */
import { LimpetwinchError } from '@limpetwinch/core'
import type { TeamId } from '@limpetwinch/core'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import type { ActiveConfiguration } from '../cluster-state/accepted-configuration.js'
import type { RequestFacts } from '../relay/request-codec.js'
import { adapterKey } from '../routes/configuration.js'
import type { Route, ServiceName } from '../routes/configuration.js'
import type { DescribedRequest } from './where-answer.js'
import type { WhereSubject } from './where-section.js'

/** @returns the subject without its candidates, or the error with which the request would be refused */
export function subjectOf (request: DescribedRequest, inForce: ActiveConfiguration | undefined): Result<Omit<WhereSubject, 'endpoints'>, LimpetwinchError> {
  if (inForce === undefined) return err(new LimpetwinchError('not-configured'))
  const route = routeOf(request, inForce)
  if (route === undefined) return err(new LimpetwinchError('unknown-route', { host: request.host ?? '', path: request.path ?? '' }))
  const name = (request.service ?? mainTarget(route)) as ServiceName | undefined
  const service = name === undefined ? undefined : inForce.services.get(name)
  if (service === undefined) return err(new LimpetwinchError('no-endpoint', { reason: `the route ${route.name} names no known service` }))
  const team = request.team === undefined ? undefined : inForce.teams.get(request.team as TeamId)
  if (request.team !== undefined && team === undefined) return err(new LimpetwinchError('invalid-request', { where: 'team', reason: `the configuration in force has no team '${request.team}'` }))
  return ok({ facts: factsOf(request), route, service, team, priority: request.priority ?? team?.priority ?? route.priority })
}

/** @returns the route of host and path; for a service alone, the first route that leads there */
function routeOf ({ service, host, path }: DescribedRequest, { table, configuration }: ActiveConfiguration): Route | undefined {
  if (host !== undefined && path !== undefined) return table.match(host, path)
  return configuration.routes.find(({ targets }) => targets.some((target) => target.service === service && target.weight > 0))
}

/** @returns the service that gets most of the route's requests */
function mainTarget ({ targets }: Route): string | undefined {
  return targets.reduce<Route['targets'][number] | undefined>((most, each) => each.weight > (most?.weight ?? 0) ? each : most, undefined)?.service
}

function factsOf ({ model, adapter, promptParts, promptTokens, outputTokens }: DescribedRequest): RequestFacts {
  return {
    requestId: undefined,
    caller: undefined,
    key: undefined,
    deadlineMilliseconds: undefined,
    adapter: model === undefined ? undefined : { model, name: adapter, key: adapterKey(model, adapter) },
    tokens: 'stated',
    promptTokens,
    outputTokens,
    promptParts,
    lastEventId: undefined,
    firstAttempt: undefined
  }
}
