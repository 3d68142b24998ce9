/** `GET /admin/watch`: settings as they come into force here, as server-sent events. */
import type { Context } from 'hono'
import { streamSSE } from 'hono/streaming'
import type { SSEStreamingApi } from 'hono/streaming'
import type { SettingsPath } from '@limpetwinch/core'
import type { SettingsFollower } from '../settings/settings-follower.js'
import { Wake } from '../concurrency/wake.js'
import type { ChangeFeed } from './change-feed.js'
import type { SettingsPrincipal } from './settings-access.js'
import { summaryOf } from './settings-responses.js'

/** Watches held at a time; each holds a connection and a little memory. */
export const MAXIMUM_WATCHES = 200
/** A line now and then shows both ends that the connection is alive. */
const KEEP_ALIVE_MILLISECONDS = 10_000

/**
 * Sends the state under a prefix, then each change. A reader that reconnects is sent the state again, to any instance,
 * and passes over the revisions that it knows; so nothing is missed between two connections.
 *
 * @param context - the request; `prefix` and `after` (a revision) in its query
 * @param follower - what is in force
 * @param feed - tells of changes
 * @param reader - sees only what it reaches
 * @returns the stream
 */
export function watchResponse (context: Context, follower: SettingsFollower, feed: ChangeFeed, reader: SettingsPrincipal): Response {
  const prefix = context.req.query('prefix') ?? '/'
  const after = Number(context.req.query('after') ?? 0)
  const shown = (path: SettingsPath): boolean => isUnder(path, prefix) && reader.reaches(path)
  return streamSSE(context, async (stream) => {
    const waiting = new Set(follower.documents().filter((document) => shown(document.path) && document.revision > after).map((document) => document.path))
    const wake = new Wake()
    const ending = new AbortController()
    stream.onAbort(() => { ending.abort() })
    const stop = feed.listen((paths) => {
      for (const path of paths) if (shown(path)) waiting.add(path)
      wake.notify()
    })
    try {
      while (!ending.signal.aborted) {
        await sendPending(stream, follower, waiting)
        await stream.write(': alive\n\n')
        await wake.wait(KEEP_ALIVE_MILLISECONDS, ending.signal)
      }
    } finally {
      stop()
    }
  })
}

/** A slow reader gets the newest state of each path once, however many changes it missed. */
async function sendPending (stream: SSEStreamingApi, follower: SettingsFollower, waiting: Set<SettingsPath>): Promise<void> {
  for (const path of waiting) {
    waiting.delete(path)
    const document = follower.document(path)
    if (document !== undefined) await stream.writeSSE({ event: 'change', data: JSON.stringify(summaryOf(document)) })
  }
}

/** `/teams/a` covers `/teams/a` and not `/teams/ab`. */
function isUnder (path: SettingsPath, prefix: string): boolean {
  return path === prefix || path.startsWith(prefix.endsWith('/') ? prefix : `${prefix}/`)
}
