/** HTTP routes for operators: settings, status, request timelines, histograms and health. */
import { Hono } from 'hono'
import type { HttpBindings } from '@hono/node-server'
import type { Context, Next } from 'hono'
import { LimpetwinchError } from '@limpetwinch/core'
import { hashOf } from '../callers/authentication.js'
import type { ExplainLog } from '../metrics/explain-log.js'
import type { Metrics } from '../metrics/metrics.js'
import { statusOf } from './status.js'
import type { StatusSources } from './status.js'

/** Dependencies of the admin API. */
export interface AdminApiOptions extends StatusSources {
  readonly administratorKeySha256: string
  readonly explain: ExplainLog
  readonly measures: Metrics
  /** Routes under `/admin/settings`, `/admin/validate` and `/admin/watch`. They authenticate their clients themselves. */
  readonly settingsRoutes: Hono<{ Bindings: HttpBindings }>
}

/**
 * @param options - the dependencies of the routes
 * @returns the routes for operators
 */
export function adminApi (options: AdminApiOptions): Hono<{ Bindings: HttpBindings }> {
  const app = new Hono<{ Bindings: HttpBindings }>()
  app.get('/health', (context) => context.json({ status: 'alive' }))
  app.get('/ready', (context) => {
    const ready = options.isReady() && !options.isStopping()
    return context.json({ status: ready ? 'ready' : 'not ready' }, ready ? 200 : 503)
  })
  const administratorsOnly = checkAdministrator(options.administratorKeySha256)
  app.get('/admin/status', administratorsOnly, (context) => context.json(statusOf(options)))
  app.get('/admin/histograms', administratorsOnly, (context) => context.json({ series: options.measures.summary() }))
  app.get('/admin/explain/:request', administratorsOnly, (context) => explain(options, context))
  app.route('/', options.settingsRoutes)
  return app
}

function explain (options: AdminApiOptions, context: Context): Response {
  const timeline = options.explain.get(context.req.param('request') ?? '')
  if (timeline !== undefined) return context.json({ requestId: timeline.requestId, adapter: timeline.adapter, steps: timeline.steps })
  return context.json({
    error: {
      code: 'unknown_request',
      message: 'This instance remembers no such request. Ask the instance that took it; only the latest requests are remembered.'
    }
  }, 404)
}

function checkAdministrator (sha256: string) {
  return async (context: Context, next: Next): Promise<Response | undefined> => {
    const key = /^Bearer (\S+)$/i.exec(context.req.header('authorization') ?? '')?.[1]
    // The comparison is between hashes, so its duration reveals nothing about the key.
    if (key !== undefined && hashOf(key) === sha256) {
      await next()
      return undefined
    }
    const error = new LimpetwinchError('unauthorized')
    return context.json({
      error: { code: error.code, message: "The key is not the administrators'. Send 'Authorization: Bearer <administrators' key>'." }
    }, 401)
  }
}
