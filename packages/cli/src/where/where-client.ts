/** Asks one ingress instance, at its metrics address, where a request would go. */
import { LimpetwinchError, readBoundedText } from '@limpetwinch/core'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { request } from 'undici'
import { z } from 'zod'
import { whereSchema } from './where-schema.js'
import type { Where } from './where-schema.js'

const ANSWER_MILLISECONDS = 5_000
const MAXIMUM_ANSWER_BYTES = 4 * 1024 * 1024
const OK = 200

const problemSchema = z.object({ error: z.object({ message: z.string() }) })

/**
 * @param instance - URL or `host:port` of the metrics address of an instance
 * @param query - the described request
 * @returns the answer; `admin-unreachable` when there is none, `invalid-request` when the description is not accepted
 */
export async function askWhere (instance: string, query: URLSearchParams): Promise<Result<Where, LimpetwinchError>> {
  const base = instance.includes('://') ? instance.replace(/\/+$/, '') : `http://${instance}`
  try {
    const response = await request(`${base}/where?${query.toString()}`, { signal: AbortSignal.timeout(ANSWER_MILLISECONDS) })
    const text = await readBoundedText(response.body, MAXIMUM_ANSWER_BYTES)
    if (response.statusCode !== OK) return err(new LimpetwinchError('invalid-request', { where: `the request for ${instance}`, reason: problemOf(text) }))
    return ok(whereSchema.parse(JSON.parse(text)))
  } catch (cause) {
    return err(new LimpetwinchError('admin-unreachable', { server: base, reason: cause instanceof Error ? cause.message : String(cause) }, { cause }))
  }
}

function problemOf (text: string): string {
  try {
    return problemSchema.parse(JSON.parse(text)).error.message
  } catch {
    return 'the instance does not explain requests; check that this is the metrics address of an ingress instance of the same release'
  }
}
