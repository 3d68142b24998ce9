/** Serves `GET /admin/watch`: settings that come into force on this instance, as server-sent events. */
import type { Context } from 'hono'
import { streamSSE } from 'hono/streaming'
import type { SSEStreamingApi } from 'hono/streaming'
import type { SettingsPath } from '@limpetwinch/core'
import type { SettingsFollower } from '../settings/settings-follower.js'
import { Wake } from '../concurrency/wake.js'
import type { ChangeFeed } from './change-feed.js'
import type { SettingsPrincipal } from './settings-access.js'
import { summaryOf } from './settings-responses.js'

/** Maximum number of concurrent watch streams on this instance. Each stream holds a connection and a little memory. */
export const MAXIMUM_WATCHES = 200
/** Maximum interval between keep-alive comments in an idle stream, which show both ends that the connection is alive. */
const KEEP_ALIVE_MILLISECONDS = 10_000

/**
 * Streams the state of all paths under a prefix, then each change. A client that reconnects, to this or another instance,
 * receives the state again and skips the revisions that it knows, so it misses nothing between two connections.
 *
 * @param context - the request, which may have `prefix` and `after` (a revision) in its query
 * @param follower - the source of the settings in force
 * @param feed - announces the paths that changed
 * @param principal - the client, which receives only the paths that it may access
 * @returns the response that streams the state and the changes
 */
export function watchResponse (context: Context, follower: SettingsFollower, feed: ChangeFeed, principal: SettingsPrincipal): Response {
  const prefix = context.req.query('prefix') ?? '/'
  const after = Number(context.req.query('after') ?? 0)
  const isShown = (path: SettingsPath): boolean => isUnder(path, prefix) && principal.mayAccess(path)
  return streamSSE(context, async (stream) => {
    const pending = new Set(follower.documents()
      .filter((document) => isShown(document.path) && document.revision > after)
      .map((document) => document.path))
    const wake = new Wake()
    const ending = new AbortController()
    stream.onAbort(() => { ending.abort() })
    const stop = feed.listen((paths) => {
      for (const path of paths) if (isShown(path)) pending.add(path)
      wake.notify()
    })
    try {
      while (!ending.signal.aborted) {
        await sendPending(stream, follower, pending)
        await stream.write(': alive\n\n')
        await wake.wait(KEEP_ALIVE_MILLISECONDS, ending.signal)
      }
    } finally {
      stop()
    }
  })
}

/** Sends the newest state of each pending path once. A slow client thus skips intermediate changes. */
async function sendPending (stream: SSEStreamingApi, follower: SettingsFollower, pending: Set<SettingsPath>): Promise<void> {
  for (const path of pending) {
    pending.delete(path)
    const document = follower.document(path)
    if (document !== undefined) await stream.writeSSE({ event: 'change', data: JSON.stringify(summaryOf(document)) })
  }
}

/** Matches whole segments of the path: the prefix `/teams/a` covers `/teams/a` but not `/teams/ab`. */
function isUnder (path: SettingsPath, prefix: string): boolean {
  return path === prefix || path.startsWith(prefix.endsWith('/') ? prefix : `${prefix}/`)
}
