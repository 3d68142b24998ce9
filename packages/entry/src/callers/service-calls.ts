/** Serves calls of plain services, which are HTTP back ends without a model engine, under `/services/<name>/…`. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { LimpetwinchError, newRequestId } from '@limpetwinch/core'
import type { OperatorSettings, RequestId, ServiceCall, TeamId } from '@limpetwinch/core'
import { idempotentByMethod } from '../delivery/service-delivery.js'
import type { DeliveredCall, ServiceDelivery } from '../delivery/service-delivery.js'
import type { CallerTeams } from './authentication.js'
import { readBody } from './body-reader.js'
import { abortOnDisconnect } from './caller-disconnect.js'
import { headerReader, sendErrorResponse } from './completions.js'
import type { CompletionsOptions } from './completions.js'
import { REQUEST_ID_HEADER } from './error-response.js'
import { parseRequestOptions } from './request-options.js'
import type { RequestOptions } from './request-options.js'

/** Header that names the team that a call is accounted to. It is required when the caller's key belongs to several teams. */
const TEAM_HEADER = 'x-limpetwinch-team'

/** Headers that are forwarded neither to the service nor back, because they concern one connection or limpetwinch itself. */
const UNFORWARDED_HEADERS: ReadonlySet<string> = new Set([
  'host', 'connection', 'keep-alive', 'transfer-encoding', 'content-length', 'authorization', 'upgrade', 'te', 'trailer',
  'proxy-authorization', 'expect'
])

interface AcceptedCall {
  readonly settings: OperatorSettings
  readonly team: TeamId
  readonly service: string
  readonly call: ServiceCall
  readonly options: RequestOptions
}

/** Handles calls of plain services. */
export class ServiceCalls {
  private readonly options: CompletionsOptions
  private readonly delivery: ServiceDelivery

  /**
   * @param options - the dependencies, which are the same as those of completion serving
   * @param delivery - forwards calls to service endpoints
   */
  constructor (options: CompletionsOptions, delivery: ServiceDelivery) {
    this.options = options
    this.delivery = delivery
  }

  /** Serves one call. Resolves when the response has been written. */
  async serve (message: IncomingMessage, response: ServerResponse): Promise<void> {
    const requestId = newRequestId()
    const accepted = await this.accept(message)
    if (accepted.isErr()) return sendErrorResponse(response, accepted.error, requestId)
    const { team, settings } = accepted.value
    const admission = this.options.teamLimiters.admit(team, settings, 0, 0)
    if (admission.isErr()) return sendErrorResponse(response, admission.error, requestId)
    admission.value.start()
    const result = await this.claimAndDeliver(accepted.value, requestId, response)
    admission.value.finish(0)
    this.options.measures.series(team, accepted.value.options.priorityClass).outcome(result.isOk() ? 'answered' : result.error.outcome)
    result.match((delivered) => sendResponse(response, delivered, requestId), (error) => sendErrorResponse(response, error, requestId))
  }

  private async accept (message: IncomingMessage): Promise<Result<AcceptedCall, LimpetwinchError>> {
    const settings = this.options.settings()
    if (settings === undefined) return err(new LimpetwinchError('store-unavailable', { reason: 'no settings yet' }, { retryAfterSeconds: 1 }))
    const team = this.options.authentication.check(message.headers.authorization, settings)
      .andThen((teams) => teamOf(teams, headerReader(message)(TEAM_HEADER)))
    if (team.isErr()) return err(team.error)
    const [, service = '', target = '/'] = /^\/services\/([^/?]+)([/?].*)?$/.exec(message.url ?? '') ?? []
    const method = message.method ?? 'GET'
    const options = idempotentByMethod(settings, service, method)
      .andThen((idempotent) => parseRequestOptions(headerReader(message), 1000 * settings.policy.longestRequestSeconds, idempotent))
    if (options.isErr()) return err(options.error)
    const body = await readBody(message, this.options.bodyLimits)
    return body.map((bytes) => ({
      settings,
      team: team.value,
      service,
      call: { method, target, headers: forwardedHeadersOf(message), body: bytes },
      options: options.value
    }))
  }

  private async claimAndDeliver (accepted: AcceptedCall, requestId: RequestId, response: ServerResponse): Promise<Result<DeliveredCall, LimpetwinchError>> {
    const { options, team } = accepted
    if (options.idempotent || options.key === undefined) return await this.deliver(accepted, requestId, response)
    const claim = await this.options.claims.claim(team, options.key, requestId)
    if (claim.isErr()) return err(claim.error)
    const result = await this.deliver(accepted, requestId, response)
    if (result.isOk()) await this.options.claims.answered(claim.value)
    else if (result.error.outcome === 'not_run') await this.options.claims.release(claim.value)
    return result
  }

  private async deliver (accepted: AcceptedCall, requestId: RequestId, response: ServerResponse): Promise<Result<DeliveredCall, LimpetwinchError>> {
    const cancellation = abortOnDisconnect(response)
    const timer = setTimeout(() => cancellation.abort(), accepted.options.patience)
    const { service, options, settings } = accepted
    const call = { ...accepted.call, headers: { ...accepted.call.headers, [REQUEST_ID_HEADER]: requestId } }
    const result = await this.delivery.deliver(requestId, service, call, options.idempotent, settings, cancellation.signal)
    clearTimeout(timer)
    return result
  }
}

/** Selects the team that a call is accounted to: the team named in the header, or the only team of the key. */
function teamOf (teams: CallerTeams, named: string | undefined): Result<TeamId, LimpetwinchError> {
  const [first] = teams.keys()
  if (named === undefined && first !== undefined && teams.size === 1) return ok(first)
  if (named !== undefined && teams.has(named as TeamId)) return ok(named as TeamId)
  if (named !== undefined) return err(new LimpetwinchError('forbidden', { what: `team '${named.slice(0, 80)}'` }))
  return err(new LimpetwinchError('invalid-request', { where: TEAM_HEADER, reason: 'the key belongs to several teams, so name one here' }))
}

function forwardedHeadersOf (message: IncomingMessage): Record<string, string> {
  const entries = Object.entries(message.headers).flatMap(([name, value]) => {
    if (value === undefined || UNFORWARDED_HEADERS.has(name)) return []
    return [[name, Array.isArray(value) ? value.join(', ') : value] as const]
  })
  return Object.fromEntries(entries)
}

function sendResponse (response: ServerResponse, delivered: DeliveredCall, requestId: RequestId): void {
  if (response.destroyed) return
  const headers = Object.fromEntries(Object.entries(delivered.answer.headers).filter(([name]) => !UNFORWARDED_HEADERS.has(name)))
  response.writeHead(delivered.answer.status, { ...headers, [REQUEST_ID_HEADER]: requestId, 'x-limpetwinch-endpoint': delivered.endpoint })
  response.end(delivered.answer.body)
}
