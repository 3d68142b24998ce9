/** Waits until an entry instance is ready, and until settings are in force there. */
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
 * @param name - the instance's name, for errors
 * @param admin - its admin URL
 * @param hopeless - whether waiting on makes no sense
 * @returns nothing, or `process-failed` with what it said last
 */
export async function untilReady (name: string, admin: string, hopeless: () => boolean): Promise<Result<void, LimpetwinchError>> {
  return await until(name, 'it is not ready', async () => await ask(admin + READY_PATH), (said) => said.status === 200, hopeless)
}

/**
 * @param name - the instance's name, for errors
 * @param admin - its admin URL
 * @param key - administrators' key
 * @param paths - how many paths are set
 * @param hopeless - whether waiting on makes no sense
 * @returns nothing, or `process-failed` with what it said last
 */
export async function untilSettingsInForce (name: string, admin: string, key: string, paths: number, hopeless: () => boolean): Promise<Result<void, LimpetwinchError>> {
  const inForce = (said: PolledResponse): boolean => {
    const status = statusSchema.safeParse(said.status === 200 ? JSON.parse(said.text) : undefined)
    return status.success && status.data.settings.paths >= paths
  }
  return await until(name, 'the settings are not in force', async () => await ask(admin + STATUS_PATH, key), inForce, hopeless)
}

async function until (name: string, complaint: string, look: () => Promise<PolledResponse>, enough: (said: PolledResponse) => boolean, hopeless: () => boolean): Promise<Result<void, LimpetwinchError>> {
  const deadline = performance.now() + READY_TIMEOUT_MILLISECONDS
  let said: PolledResponse = { status: 0, text: 'no answer' }
  while (performance.now() < deadline && !hopeless()) {
    said = await look()
    if (enough(said)) return ok()
    await sleep(POLL_INTERVAL_MILLISECONDS)
  }
  return err(new LimpetwinchError('process-failed', { name, reason: `${complaint}: status ${said.status} ${said.text.slice(0, 300)}` }))
}

async function ask (url: string, key = ''): Promise<PolledResponse> {
  try {
    const answer = await request(url, { headers: { authorization: `Bearer ${key}` }, signal: AbortSignal.timeout(READY_TIMEOUT_MILLISECONDS) })
    return { status: answer.statusCode, text: await answer.body.text() }
  } catch (problem) {
    return { status: 0, text: problem instanceof Error ? problem.message : String(problem) }
  }
}
