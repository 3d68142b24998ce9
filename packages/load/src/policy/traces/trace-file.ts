/** Reads a trace from a file of JSON lines. */
import { readFileSync } from 'node:fs'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { z } from 'zod'
import { LimpetwinchError } from '@limpetwinch/core'
import type { DeploymentSize, Trace, TraceRequest } from './trace.js'

const lineSchema = z.object({
  at_ms: z.number().min(0),
  team: z.string().min(1),
  adapter: z.string().min(1),
  version: z.coerce.string().default('1'),
  class: z.string().default('interactive'),
  prompt_tokens: z.int().min(0),
  output_tokens: z.int().min(1),
  idempotent: z.boolean().default(true)
})

/**
 * @param path - path of a file with one request on each line
 * @param size - size of the deployment on which the trace is replayed
 * @returns the trace in order of time, or the error `invalid-trace` with the number of the first invalid line
 */
export function readTraceFile (path: string, size: DeploymentSize): Result<Trace, LimpetwinchError> {
  const requests: TraceRequest[] = []
  let number = 0
  for (const line of readFileSync(path, 'utf8').split('\n')) {
    number += 1
    if (line.trim() === '') continue
    const request = parseLine(line)
    if (request === undefined) return err(new LimpetwinchError('invalid-trace', { path, line: number }))
    requests.push(request)
  }
  requests.sort((left, right) => left.atMilliseconds - right.atMilliseconds)
  return ok({ name: path, size, requests, weights: new Map(), restarts: [], measuredFromMilliseconds: 0 })
}

function parseLine (line: string): TraceRequest | undefined {
  let json: unknown
  try {
    json = JSON.parse(line)
  } catch {
    return undefined
  }
  const parsed = lineSchema.safeParse(json)
  if (!parsed.success) return undefined
  const { data } = parsed
  return {
    atMilliseconds: data.at_ms,
    team: data.team,
    adapter: data.adapter,
    version: data.version,
    priorityClass: data.class,
    promptTokens: data.prompt_tokens,
    outputTokens: data.output_tokens,
    idempotent: data.idempotent
  }
}
