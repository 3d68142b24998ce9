/** HTTP for operators and teams' owners: settings under paths. */
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

/** What the routes work with. */
export interface SettingsRoutesOptions {
  readonly follower: SettingsFollower
  readonly writer: SettingsWriter
  readonly history: SettingsHistory
  readonly administratorKeySha256: string
  /** How slowly a body may come; its size is limited by what a value of the store may hold. */
  readonly bodySeconds: number
}

type AdminContext = Context<{ Bindings: HttpBindings }>

interface AuthorizedRequest {
  readonly reader: SettingsPrincipal
  readonly path: SettingsPath
}

const SETTINGS_PREFIX = '/admin/settings'
const VALIDATE_PREFIX = '/admin/validate'
const MAXIMUM_BODY_BYTES = 1_000_000

/**
 * @param options - what they work with
 * @returns the routes under `/admin/settings`, `/admin/validate` and `/admin/watch`
 */
export function settingsRoutes (options: SettingsRoutesOptions): Hono<{ Bindings: HttpBindings }> {
  const app = new Hono<{ Bindings: HttpBindings }>()
  const feed = new ChangeFeed(options.follower)
  const limits: BodyLimits = { bytes: MAXIMUM_BODY_BYTES, seconds: options.bodySeconds }
  app.get(SETTINGS_PREFIX, (context) => answered(list(options, context)))
  app.get(`${SETTINGS_PREFIX}/*`, async (context) => {
    const asked = authorize(options, context, SETTINGS_PREFIX)
    return asked.isErr() ? errorResponse(asked.error) : await readResponse(options, asked.value.path, context.req.query())
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
    const reader = authenticate(options, context)
    if (reader.isErr()) return errorResponse(reader.error)
    if (feed.watchers >= MAXIMUM_WATCHES) return errorResponse(new LimpetwinchError('overloaded', { reason: `${MAXIMUM_WATCHES} others watch already` }, { retryAfterSeconds: 10 }))
    return watchResponse(context, options.follower, feed, reader.value)
  })
  return app
}

function authenticate (options: SettingsRoutesOptions, context: AdminContext): Result<SettingsPrincipal, LimpetwinchError> {
  const settings = options.follower.current()
  if (settings === undefined) return err(new LimpetwinchError('settings-unread', {}, { retryAfterSeconds: 1 }))
  return principalOf(context.req.header('authorization'), options.administratorKeySha256, settings)
}

/** Who asks comes first: without a key nobody learns which paths there are. */
function authorize (options: SettingsRoutesOptions, context: AdminContext, prefix: string): Result<AuthorizedRequest, LimpetwinchError> {
  return authenticate(options, context).andThen((reader) =>
    pathOfTarget(context.env.incoming.url ?? '', prefix).andThen((path): Result<AuthorizedRequest, LimpetwinchError> => {
      if (!reader.reaches(path)) return err(new LimpetwinchError('forbidden', { what: path }))
      return ok({ reader, path })
    }))
}

function list (options: SettingsRoutesOptions, context: AdminContext): Result<Response, LimpetwinchError> {
  return authenticate(options, context).map((reader) => {
    const paths = options.follower.documents().filter((document) => reader.reaches(document.path)).map(summaryOf)
    return Response.json({ paths: paths.sort((left, right) => left.path < right.path ? -1 : 1) })
  })
}

async function write (options: SettingsRoutesOptions, context: AdminContext, read: () => Promise<Result<SettingsChange['change'], LimpetwinchError>>): Promise<Response> {
  const asked = authorize(options, context, SETTINGS_PREFIX)
  if (asked.isErr()) return errorResponse(asked.error)
  const { path, reader } = asked.value
  const ifRevision = revisionOf(context.req.header('if-match'), path)
  if (ifRevision.isErr()) return errorResponse(ifRevision.error)
  const change = await read()
  if (change.isErr()) return errorResponse(change.error)
  const accepted = await options.writer.accept({ path, ifRevision: ifRevision.value, change: change.value, author: reader.author })
  return accepted.match(acceptedResponse, errorResponse)
}

function deletionOf (context: AdminContext): SettingsChange['change'] {
  const path = context.env.incoming.url ?? ''
  return (text) => text === undefined ? err(new LimpetwinchError('no-settings', { path: path.slice(SETTINGS_PREFIX.length) })) : ok(undefined)
}

async function validate (options: SettingsRoutesOptions, context: AdminContext, limits: BodyLimits): Promise<Response> {
  const asked = authorize(options, context, VALIDATE_PREFIX)
  if (asked.isErr()) return errorResponse(asked.error)
  const text = (await readBody(context.env.incoming, limits)).andThen(textOf)
  const checked = text.andThen((body) => options.writer.validate(asked.value.path, body))
  return answered(checked.map(() => Response.json({ path: asked.value.path, valid: true })))
}

function answered (result: Result<Response, LimpetwinchError>): Response {
  return result.match((response) => response, errorResponse)
}
