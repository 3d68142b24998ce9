/** Changes of settings as an instance sends them, over as many connections as it takes. */
import { setTimeout as sleep } from 'node:timers/promises'
import { createParser } from 'eventsource-parser'
import type { Dispatcher } from 'undici'
import type { LimpetwinchError } from '@limpetwinch/core'
import type { AdminClient } from './admin-client.js'
import { summarySchema } from './settings-command.js'
import type { SettingsSummary } from './settings-command.js'

const INITIAL_RECONNECT_DELAY_MILLISECONDS = 200
const MAXIMUM_RECONNECT_DELAY_MILLISECONDS = 5_000
/** The server writes more often than this; a connection that is silent for longer is dead. */
const IDLE_TIMEOUT_MILLISECONDS = 30_000

/** What a watch is about. */
export interface WatchOptions {
  readonly prefix: string
  readonly after: number
  /** Told of each lost connection. */
  readonly onConnectionLost: (error: LimpetwinchError | undefined) => void
  /** Whether an error ends the watch. */
  readonly isFinal: (error: LimpetwinchError) => boolean
}

/**
 * Yields each path's state and then its changes, each revision once. Every connection starts with the whole state, so
 * that nothing is missed while there was none.
 *
 * @param client - the instance
 * @param options - what to watch
 * @param signal - ends it
 */
export async function * watchSettings (client: AdminClient, options: WatchOptions, signal: AbortSignal): AsyncIterable<SettingsSummary> {
  const known = new Map<string, number>()
  let wait = INITIAL_RECONNECT_DELAY_MILLISECONDS
  while (!signal.aborted) {
    let error: LimpetwinchError | undefined
    const silence = new IdleTimer(signal)
    try {
      const opened = await client.openStream(`/admin/watch?prefix=${encodeURIComponent(options.prefix)}&after=${options.after}`, silence.signal)
      if (opened.isErr()) error = opened.error
      else wait = INITIAL_RECONNECT_DELAY_MILLISECONDS
      for await (const summary of opened.isOk() ? summaries(opened.value, silence) : []) {
        if ((known.get(summary.path) ?? 0) >= summary.revision) continue
        known.set(summary.path, summary.revision)
        yield summary
      }
    } finally {
      // Also when the reader has had enough: the timer would keep the process for another half minute.
      silence.stop()
    }
    if (signal.aborted) return
    if (error !== undefined && options.isFinal(error)) return
    options.onConnectionLost(error)
    await sleep(wait * (0.5 + Math.random() / 2))
    wait = Math.min(MAXIMUM_RECONNECT_DELAY_MILLISECONDS, wait * 2)
  }
}

async function * summaries (response: Dispatcher.ResponseData, silence: IdleTimer): AsyncIterable<SettingsSummary> {
  let waiting: SettingsSummary[] = []
  const parser = createParser({
    onEvent: ({ event, data }) => {
      const summary = summarySchema.safeParse(event === 'change' ? JSON.parse(data) : undefined)
      if (summary.success) waiting.push(summary.data)
    }
  })
  const decoder = new TextDecoder()
  try {
    for await (const chunk of response.body) {
      silence.heard()
      parser.feed(decoder.decode(chunk as Buffer, { stream: true }))
      const ready = waiting
      waiting = []
      yield * ready
    }
  } catch {
    // The connection was lost; the caller opens another and is told so.
  }
}

/** Ends a connection that says nothing: it may be dead without either end having noticed. */
class IdleTimer {
  readonly signal: AbortSignal
  private readonly ending = new AbortController()
  private timer: NodeJS.Timeout | undefined

  constructor (outer: AbortSignal) {
    this.signal = AbortSignal.any([outer, this.ending.signal])
    this.heard()
  }

  heard (): void {
    clearTimeout(this.timer)
    this.timer = setTimeout(() => { this.ending.abort() }, IDLE_TIMEOUT_MILLISECONDS)
  }

  stop (): void {
    clearTimeout(this.timer)
    this.ending.abort()
  }
}
