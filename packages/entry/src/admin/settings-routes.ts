/** HTTP routes through which operators and the owners of teams read and change settings. */
import type { HttpBindings } from '@hono/node-server'
import { Hono } from 'hono'
import type { Context } from 'hono'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { LimpetwinchError, patchText } from '@limpetwinch/core'
import type { SettingsPath } from '@limpetwinch/core'
import { readBody } from '../callers/body-reader.js'
import type { BodyLimits } from '../callers/body-reader.js'
import type { SettingsFollower } from '../settings/settings-follower.js'
import type { SettingsHistory } from '../settings/settings-history.js'
import type { SettingsChange, SettingsWriter } from '../settings/settings-writer.js'
import { ChangeFeed } from './change-feed.js'
import { pathOfTarget, principalOf } from './settings-access.js'
import type { SettingsPrincipal } from './settings-access.js'
import { acceptedResponse, errorResponse, summaryOf } from './settings-responses.js'
import { patchOf, revisionOf, textOf } from './settings-bodies.js'
import { readResponse } from './settings-reads.js'
import { MAXIMUM_WATCHES, watchResponse } from './settings-watch-route.js'

/** Dependencies of the settings routes. */
export interface SettingsRoutesOptions {
  readonly follower: SettingsFollower
  readonly writer: SettingsWriter
  readonly history: SettingsHistory
  readonly administratorKeySha256: string
  /** Time in seconds within which a request body must arrive. */
  readonly bodySeconds: number
}

type AdminContext = Context<{ Bindings: HttpBindings }>

interface AuthorizedRequest {
  readonly principal: SettingsPrincipal
  readonly path: SettingsPath
}

const SETTINGS_PREFIX = '/admin/settings'
const VALIDATE_PREFIX = '/admin/validate'
/** Maximum size of a request body, which is the maximum size of a value in the store. */
const MAXIMUM_BODY_BYTES = 1_000_000

/**
 * @param options - the dependencies of the routes
 * @returns the routes under `/admin/settings`, `/admin/validate` and `/admin/watch`
 */
export function settingsRoutes (options: SettingsRoutesOptions): Hono<{ Bindings: HttpBindings }> {
  const app = new Hono<{ Bindings: HttpBindings }>()
  const feed = new ChangeFeed(options.follower)
  const limits: BodyLimits = { bytes: MAXIMUM_BODY_BYTES, seconds: options.bodySeconds }
  app.get(SETTINGS_PREFIX, (context) => responseOf(list(options, context)))
  app.get(`${SETTINGS_PREFIX}/*`, async (context) => {
    const authorized = authorize(options, context, SETTINGS_PREFIX)
    return authorized.isErr() ? errorResponse(authorized.error) : await readResponse(options, authorized.value.path, context.req.query())
  })
  app.put(`${SETTINGS_PREFIX}/*`, async (context) => await write(options, context, async () => {
    const text = (await readBody(context.env.incoming, limits)).andThen(textOf)
    return text.map((put): SettingsChange['change'] => () => ok(put))
  }))
  app.patch(`${SETTINGS_PREFIX}/*`, async (context) => await write(options, context, async () => {
    const patch = (await readBody(context.env.incoming, limits)).andThen((body) => patchOf(context.req.header('content-type'), body))
    return patch.map((change): SettingsChange['change'] => (text) => patchText(text, change))
  }))
  app.delete(`${SETTINGS_PREFIX}/*`, async (context) => await write(options, context, async () => ok(deletionOf(context))))
  app.post(`${VALIDATE_PREFIX}/*`, async (context) => await validate(options, context, limits))
  app.get('/admin/watch', (context) => {
    const principal = authenticate(options, context)
    if (principal.isErr()) return errorResponse(principal.error)
    if (feed.watchers >= MAXIMUM_WATCHES) return errorResponse(new LimpetwinchError('overloaded', { reason: `${MAXIMUM_WATCHES} watches are open already` }, { retryAfterSeconds: 10 }))
    return watchResponse(context, options.follower, feed, principal.value)
  })
  return app
}

function authenticate (options: SettingsRoutesOptions, context: AdminContext): Result<SettingsPrincipal, LimpetwinchError> {
  const settings = options.follower.current()
  if (settings === undefined) return err(new LimpetwinchError('settings-unread', {}, { retryAfterSeconds: 1 }))
  return principalOf(context.req.header('authorization'), options.administratorKeySha256, settings)
}

/** Authenticates the client before it checks the path, so that a client without a key cannot find out which paths exist. */
function authorize (options: SettingsRoutesOptions, context: AdminContext, prefix: string): Result<AuthorizedRequest, LimpetwinchError> {
  return authenticate(options, context).andThen((principal) =>
    pathOfTarget(context.env.incoming.url ?? '', prefix).andThen((path): Result<AuthorizedRequest, LimpetwinchError> => {
      if (!principal.mayAccess(path)) return err(new LimpetwinchError('forbidden', { what: path }))
      return ok({ principal, path })
    }))
}

function list (options: SettingsRoutesOptions, context: AdminContext): Result<Response, LimpetwinchError> {
  return authenticate(options, context).map((principal) => {
    const paths = options.follower.documents().filter((document) => principal.mayAccess(document.path)).map(summaryOf)
    return Response.json({ paths: paths.sort((left, right) => left.path < right.path ? -1 : 1) })
  })
}

async function write (
  options: SettingsRoutesOptions,
  context: AdminContext,
  read: () => Promise<Result<SettingsChange['change'], LimpetwinchError>>
): Promise<Response> {
  const authorized = authorize(options, context, SETTINGS_PREFIX)
  if (authorized.isErr()) return errorResponse(authorized.error)
  const { path, principal } = authorized.value
  const ifRevision = revisionOf(context.req.header('if-match'), path)
  if (ifRevision.isErr()) return errorResponse(ifRevision.error)
  const change = await read()
  if (change.isErr()) return errorResponse(change.error)
  const accepted = await options.writer.accept({ path, ifRevision: ifRevision.value, change: change.value, author: principal.author })
  return accepted.match(acceptedResponse, errorResponse)
}

function deletionOf (context: AdminContext): SettingsChange['change'] {
  const path = context.env.incoming.url ?? ''
  return (text) => text === undefined ? err(new LimpetwinchError('no-settings', { path: path.slice(SETTINGS_PREFIX.length) })) : ok(undefined)
}

async function validate (options: SettingsRoutesOptions, context: AdminContext, limits: BodyLimits): Promise<Response> {
  const authorized = authorize(options, context, VALIDATE_PREFIX)
  if (authorized.isErr()) return errorResponse(authorized.error)
  const text = (await readBody(context.env.incoming, limits)).andThen(textOf)
  const checked = text.andThen((body) => options.writer.validate(authorized.value.path, body))
  return responseOf(checked.map(() => Response.json({ path: authorized.value.path, valid: true })))
}

function responseOf (result: Result<Response, LimpetwinchError>): Response {
  return result.match((response) => response, errorResponse)
}
