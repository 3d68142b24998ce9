/** Waits until an entry instance says that it is ready. */
import { setTimeout as sleep } from 'node:timers/promises'
import { LimpetwinchError } from '@limpetwinch/core'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { request } from 'undici'

const READY_PATH = '/ready'
const READY_MILLISECONDS = 30_000
const PAUSE_MILLISECONDS = 50

/**
 * @param name - the instance's name, for errors
 * @param admin - its admin URL
 * @param hopeless - whether waiting on makes no sense
 * @returns nothing, or `process-failed` with what it said last
 */
export async function untilReady (name: string, admin: string, hopeless: () => boolean): Promise<Result<void, LimpetwinchError>> {
  const deadline = performance.now() + READY_MILLISECONDS
  let said = 'no answer'
  while (performance.now() < deadline && !hopeless()) {
    const answer = await ask(admin + READY_PATH)
    if (answer.ready) return ok()
    said = answer.said
    await sleep(PAUSE_MILLISECONDS)
  }
  return err(new LimpetwinchError('process-failed', { name, reason: `it is not ready: ${said}` }))
}

async function ask (url: string): Promise<{ ready: boolean, said: string }> {
  try {
    const answer = await request(url, { signal: AbortSignal.timeout(READY_MILLISECONDS) })
    const said = await answer.body.text()
    return { ready: answer.statusCode === 200, said: `status ${answer.statusCode} ${said.slice(0, 300)}` }
  } catch (problem) {
    return { ready: false, said: problem instanceof Error ? problem.message : String(problem) }
  }
}
