/** Polls an entry instance until it is ready, or until settings are in force there. */
import { setTimeout as sleep } from 'node:timers/promises'
import { LimpetwinchError } from '@limpetwinch/core'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { request } from 'undici'
import { z } from 'zod'

const READY_PATH = '/ready'
const STATUS_PATH = '/admin/status'
const READY_TIMEOUT_MILLISECONDS = 60_000
const POLL_INTERVAL_MILLISECONDS = 50

const statusSchema = z.object({ settings: z.object({ paths: z.number() }) })

interface PolledResponse {
  readonly status: number
  readonly text: string
}

/**
 * Waits until an instance is ready.
 *
 * @param name - name of the instance, for errors
 * @param admin - admin URL of the instance
 * @param isAborted - whether to stop polling, for example after a process ended
 * @returns nothing, or `process-failed` with the last response
 */
export async function untilReady (name: string, admin: string, isAborted: () => boolean): Promise<Result<void, LimpetwinchError>> {
  return await until(name, 'it is not ready', async () => await ask(admin + READY_PATH), (response) => response.status === 200, isAborted)
}

/**
 * Waits until settings are in force at an instance.
 *
 * @param name - name of the instance, for errors
 * @param admin - admin URL of the instance
 * @param key - administrators' key
 * @param paths - number of settings paths that must be in force
 * @param isAborted - whether to stop polling, for example after a process ended
 * @returns nothing, or `process-failed` with the last response
 */
export async function untilSettingsInForce (name: string, admin: string, key: string, paths: number, isAborted: () => boolean): Promise<Result<void, LimpetwinchError>> {
  const inForce = (response: PolledResponse): boolean => {
    const status = statusSchema.safeParse(response.status === 200 ? JSON.parse(response.text) : undefined)
    return status.success && status.data.settings.paths >= paths
  }
  return await until(name, 'the settings are not in force', async () => await ask(admin + STATUS_PATH, key), inForce, isAborted)
}

async function until (name: string, failure: string, poll: () => Promise<PolledResponse>, isDone: (response: PolledResponse) => boolean, isAborted: () => boolean): Promise<Result<void, LimpetwinchError>> {
  const deadline = performance.now() + READY_TIMEOUT_MILLISECONDS
  let response: PolledResponse = { status: 0, text: 'no answer' }
  while (performance.now() < deadline && !isAborted()) {
    response = await poll()
    if (isDone(response)) return ok()
    await sleep(POLL_INTERVAL_MILLISECONDS)
  }
  return err(new LimpetwinchError('process-failed', { name, reason: `${failure}: status ${response.status} ${response.text.slice(0, 300)}` }))
}

async function ask (url: string, key = ''): Promise<PolledResponse> {
  try {
    const answer = await request(url, { headers: { authorization: `Bearer ${key}` }, signal: AbortSignal.timeout(READY_TIMEOUT_MILLISECONDS) })
    return { status: answer.statusCode, text: await answer.body.text() }
  } catch (problem) {
    return { status: 0, text: problem instanceof Error ? problem.message : String(problem) }
  }
}
