/** Streams changes of settings from an instance and reconnects when the connection is lost. */
import { setTimeout as sleep } from 'node:timers/promises'
import { createParser } from 'eventsource-parser'
import type { Dispatcher } from 'undici'
import type { LimpetwinchError } from '@limpetwinch/core'
import type { AdminClient } from './admin-client.js'
import { summarySchema } from './settings-command.js'
import type { SettingsSummary } from './settings-command.js'

/** Longest delay before the first reconnect; doubled before each further reconnect until a connection opens. */
const INITIAL_RECONNECT_DELAY_MILLISECONDS = 200
const MAXIMUM_RECONNECT_DELAY_MILLISECONDS = 5_000
/** Maximum time without data on a connection. The server writes more often; a connection on which nothing arrives for longer is dead. */
const IDLE_TIMEOUT_MILLISECONDS = 30_000

/** Options of a watch of settings. */
export interface WatchOptions {
  /** Settings path; the settings of this path and of all paths under it are watched. */
  readonly prefix: string
  /** Revisions up to this one are skipped when a connection starts with the state of each path. */
  readonly after: number
  /** Called when a connection is lost or cannot be opened; without an error when an open connection was lost. */
  readonly onConnectionLost: (error: LimpetwinchError | undefined) => void
  /** Decides whether an error ends the watch. */
  readonly isFinal: (error: LimpetwinchError) => boolean
}

/**
 * Yields the state of each path and then its changes, each revision once. Every connection starts with the complete state, so
 * that no change made between two connections is missed.
 *
 * @param client - client of the instance
 * @param options - what to watch
 * @param signal - ends the watch
 */
export async function * watchSettings (client: AdminClient, options: WatchOptions, signal: AbortSignal): AsyncIterable<SettingsSummary> {
  const known = new Map<string, number>()
  let reconnectDelay = INITIAL_RECONNECT_DELAY_MILLISECONDS
  while (!signal.aborted) {
    let error: LimpetwinchError | undefined
    const idleTimer = new IdleTimer(signal)
    try {
      const opened = await client.openStream(`/admin/watch?prefix=${encodeURIComponent(options.prefix)}&after=${options.after}`, idleTimer.signal)
      if (opened.isErr()) error = opened.error
      else reconnectDelay = INITIAL_RECONNECT_DELAY_MILLISECONDS
      for await (const summary of opened.isOk() ? summaries(opened.value, idleTimer) : []) {
        if ((known.get(summary.path) ?? 0) >= summary.revision) continue
        known.set(summary.path, summary.revision)
        yield summary
      }
    } finally {
      // Also needed when the consumer stops reading early: otherwise the timer would keep the process alive for another half minute.
      idleTimer.stop()
    }
    if (signal.aborted) return
    if (error !== undefined && options.isFinal(error)) return
    options.onConnectionLost(error)
    await sleep(reconnectDelay * (0.5 + Math.random() / 2))
    reconnectDelay = Math.min(MAXIMUM_RECONNECT_DELAY_MILLISECONDS, reconnectDelay * 2)
  }
}

async function * summaries (response: Dispatcher.ResponseData, idleTimer: IdleTimer): AsyncIterable<SettingsSummary> {
  let pending: SettingsSummary[] = []
  const parser = createParser({
    onEvent: ({ event, data }) => {
      const summary = summarySchema.safeParse(event === 'change' ? JSON.parse(data) : undefined)
      if (summary.success) pending.push(summary.data)
    }
  })
  const decoder = new TextDecoder()
  try {
    for await (const chunk of response.body) {
      idleTimer.restart()
      parser.feed(decoder.decode(chunk as Buffer, { stream: true }))
      const ready = pending
      pending = []
      yield * ready
    }
  } catch {
    // The connection was lost; the calling loop reports it and opens another one.
  }
}

/** Aborts a connection on which nothing arrives: it may be dead without either end having noticed. */
class IdleTimer {
  readonly signal: AbortSignal
  private readonly idle = new AbortController()
  private timer: NodeJS.Timeout | undefined

  constructor (outer: AbortSignal) {
    this.signal = AbortSignal.any([outer, this.idle.signal])
    this.restart()
  }

  restart (): void {
    clearTimeout(this.timer)
    this.timer = setTimeout(() => { this.idle.abort() }, IDLE_TIMEOUT_MILLISECONDS)
  }

  stop (): void {
    clearTimeout(this.timer)
    this.idle.abort()
  }
}
