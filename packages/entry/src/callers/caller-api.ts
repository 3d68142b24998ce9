/** HTTP routes for callers: completions, the list of models, and calls of plain services. */
import { Hono } from 'hono'
import type { Context } from 'hono'
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response'
import type { HttpBindings } from '@hono/node-server'
import type { IncomingMessage, ServerResponse } from 'node:http'
import { LimpetwinchError, newRequestId } from '@limpetwinch/core'
import type { OperatorSettings, TeamId } from '@limpetwinch/core'
import { sendErrorResponse } from './completions.js'
import type { Completions, CompletionsOptions } from './completions.js'
import type { ServiceCalls } from './service-calls.js'

/** Dependencies of the caller API. */
export interface CallerApiOptions extends CompletionsOptions {
  readonly completions: Completions
  readonly serviceCalls: ServiceCalls
  /** Registers a request as in progress until the given promise settles, so that a graceful stop can wait for it. */
  readonly trackRequest: (work: Promise<void>) => Promise<void>
}

type CallerContext = Context<{ Bindings: HttpBindings }>
type RequestHandler = (message: IncomingMessage, response: ServerResponse) => Promise<void>

/**
 * @param options - the dependencies of the routes
 * @returns the routes for callers. Handlers write responses directly to the connection, so that they can stream them
 */
export function callerApi (options: CallerApiOptions): Hono<{ Bindings: HttpBindings }> {
  const app = new Hono<{ Bindings: HttpBindings }>()
  const serve = (handler: RequestHandler) => async (context: CallerContext): Promise<Response> => {
    const { incoming, outgoing } = context.env
    await options.trackRequest(handler(incoming, outgoing))
    return RESPONSE_ALREADY_SENT
  }
  app.post('/v1/chat/completions', serve(async (message, response) => await options.completions.serve('chat', message, response)))
  app.post('/v1/completions', serve(async (message, response) => await options.completions.serve('text', message, response)))
  app.get('/v1/models', serve(async (message, response) => listModels(options, message, response)))
  app.all('/services/*', serve(async (message, response) => await options.serviceCalls.serve(message, response)))
  app.notFound((context) => {
    sendErrorResponse(context.env.outgoing, new LimpetwinchError('unknown-path', { path: context.req.path.slice(0, 80) }), newRequestId())
    return RESPONSE_ALREADY_SENT
  })
  return app
}

function listModels (options: CallerApiOptions, message: IncomingMessage, response: ServerResponse): void {
  const settings = options.settings()
  const requestId = newRequestId()
  if (settings === undefined) {
    return sendErrorResponse(response, new LimpetwinchError('store-unavailable', { reason: 'no settings yet' }, { retryAfterSeconds: 1 }), requestId)
  }
  const caller = options.authentication.check(message.headers.authorization, settings)
  if (caller.isErr()) return sendErrorResponse(response, caller.error, requestId)
  response.writeHead(200, { 'content-type': 'application/json', 'x-request-id': requestId })
  response.end(JSON.stringify({ object: 'list', data: [...caller.value.keys()].flatMap((team) => modelsOf(settings, team)) }))
}

function modelsOf (settings: OperatorSettings, team: TeamId): unknown[] {
  const adapters = Object.entries(settings.teams.get(team)?.adapters ?? {})
  return adapters.flatMap(([adapter, entry]) => entry.versions.map((version) => ({
    id: `${team}/${adapter}@${version}`,
    object: 'model',
    owned_by: team,
    parent: entry.baseModel,
    current: version === entry.current
  })))
}
