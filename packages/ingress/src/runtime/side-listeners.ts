/** The addresses beside the callers': readiness and metrics. */
import { getRequestListener } from '@hono/node-server'
import { createServer } from 'node:http'
import type { Server } from 'node:http'
import { Hono } from 'hono'

/** What the side addresses answer from. */
export interface SideAnswers {
  readonly isReady: () => boolean
  readonly metrics: () => Promise<string>
}

/** @returns an application that answers every path of the readiness address: 200 when ready, else 503 */
export function readinessApplication (answers: SideAnswers): Hono {
  const app = new Hono()
  app.get('*', (context) => answers.isReady() ? context.text('ready\n') : context.text('not ready\n', 503))
  return app
}

/** @returns an application that serves the metrics */
export function metricsApplication (answers: SideAnswers): Hono {
  const app = new Hono()
  app.get('/metrics', async (context) => context.text(await answers.metrics()))
  return app
}

/** Listens at `host:port`. @returns the server */
export async function listenAt (address: string, app: Hono): Promise<Server> {
  const server = createServer(getRequestListener(app.fetch, { overrideGlobalObjects: false }))
  const at = address.lastIndexOf(':')
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(Number(address.slice(at + 1)), address.slice(0, at), () => resolve())
  })
  return server
}
