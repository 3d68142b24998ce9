/** Plain services under `/services/<name>/…`. */
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
import { headerReader, refuse } from './completions.js'
import type { CompletionsOptions } from './completions.js'
import { REQUEST_ID_HEADER } from './error-response.js'
import { parseRequestOptions } from './request-options.js'
import type { RequestOptions } from './request-options.js'

/** Header that names the team that a call counts for, where a key belongs to several. */
const TEAM_HEADER = 'x-limpetwinch-team'

/** Headers that belong to one connection, or that limpetwinch itself reads. */
const UNFORWARDED_HEADERS: ReadonlySet<string> = new Set(['host', 'connection', 'keep-alive', 'transfer-encoding', 'content-length', 'authorization', 'upgrade', 'te', 'trailer', 'proxy-authorization', 'expect'])

interface AcceptedCall {
  readonly settings: OperatorSettings
  readonly team: TeamId
  readonly service: string
  readonly call: ServiceCall
  readonly options: RequestOptions
}

/** Serves calls of plain services. */
export class ServiceCalls {
  private readonly options: CompletionsOptions
  private readonly delivery: ServiceDelivery

  /**
   * @param options - as for completions
   * @param delivery - passes calls on
   */
  constructor (options: CompletionsOptions, delivery: ServiceDelivery) {
    this.options = options
    this.delivery = delivery
  }

  /** Serves one call; resolves when the answer has ended. */
  async serve (message: IncomingMessage, response: ServerResponse): Promise<void> {
    const requestId = newRequestId()
    const accepted = await this.accept(message)
    if (accepted.isErr()) return refuse(response, accepted.error, requestId)
    const { team, settings } = accepted.value
    const passage = this.options.teamLimiters.admit(team, settings, 0, 0)
    if (passage.isErr()) return refuse(response, passage.error, requestId)
    passage.value.start()
    const result = await this.claimAndDeliver(accepted.value, requestId, response)
    passage.value.finish(0)
    this.options.measures.series(team, accepted.value.options.priorityClass).outcome(result.isOk() ? 'answered' : result.error.outcome)
    result.match((delivered) => answer(response, delivered, requestId), (error) => refuse(response, error, requestId))
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
    return body.map((bytes) => ({ settings, team: team.value, service, call: { method, target, headers: forwardedHeadersOf(message), body: bytes }, options: options.value }))
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
    const gone = abortOnDisconnect(response)
    const timer = setTimeout(() => gone.abort(), accepted.options.patience)
    const { service, options, settings } = accepted
    const call = { ...accepted.call, headers: { ...accepted.call.headers, [REQUEST_ID_HEADER]: requestId } }
    const result = await this.delivery.deliver(requestId, service, call, options.idempotent, settings, gone.signal)
    clearTimeout(timer)
    return result
  }
}

/** The team that a call counts for: the key's only one, or the one named. */
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

function answer (response: ServerResponse, delivered: DeliveredCall, requestId: RequestId): void {
  if (response.destroyed) return
  const headers = Object.fromEntries(Object.entries(delivered.answer.headers).filter(([name]) => !UNFORWARDED_HEADERS.has(name)))
  response.writeHead(delivered.answer.status, { ...headers, [REQUEST_ID_HEADER]: requestId, 'x-limpetwinch-endpoint': delivered.endpoint })
  response.end(delivered.answer.body)
}
