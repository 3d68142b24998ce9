/** Traces of the load tool: requests with their arrival times, read from a file or drawn from a seed. */
import { createReadStream } from 'node:fs'
import { createInterface } from 'node:readline'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { z } from 'zod'
import { Random, ZipfRanks } from '../policy/traces/random.js'

const traceLineSchema = z.object({
  at_ms: z.number().min(0),
  team: z.string().min(1),
  adapter: z.string().min(1),
  version: z.string().min(1).optional(),
  class: z.string().min(1).default('normal'),
  prompt_tokens: z.int().min(1).max(100_000),
  output_tokens: z.int().min(1).max(100_000),
  idempotent: z.boolean().default(true)
})

/** One line of a trace, with the field names of the file. */
export type TraceLine = z.infer<typeof traceLineSchema>

/** Options of a trace that is drawn from a seed. */
export interface TraceDrawOptions {
  readonly seed: number
  readonly requestsPerSecond: number
  readonly seconds: number
  /** Models as `team/adapter` or `team/adapter@version`, the most popular first. */
  readonly models: readonly string[]
  /** Popularity of the model at rank r is 1 / r ** skew. */
  readonly skew: number
  readonly promptTokens: number
  readonly outputTokens: number
  /** Share of requests that may run at most once, 0 to 1. */
  readonly onceShare: number
  readonly priorityClass: string
}

const MILLISECONDS_PER_SECOND = 1000

/**
 * Reads a trace from a file.
 *
 * @param file - path of a file of JSON lines
 * @returns the lines in order of time, or a message that names the first invalid line
 */
export async function readTrace (file: string): Promise<Result<TraceLine[], string>> {
  const lines: TraceLine[] = []
  let number = 0
  for await (const text of createInterface({ input: createReadStream(file), crlfDelay: Infinity })) {
    number += 1
    if (text.trim() === '') continue
    const line = parseLine(text)
    if (line.isErr()) return err(`${file}:${number}: ${line.error}`)
    lines.push(line.value)
  }
  return ok(lines.sort((one, other) => one.at_ms - other.at_ms))
}

/** @returns the parsed line, or the reason why it is invalid */
export function parseLine (text: string): Result<TraceLine, string> {
  let body: unknown
  try {
    body = JSON.parse(text)
  } catch {
    return err('not JSON; write one object a line')
  }
  const parsed = traceLineSchema.safeParse(body)
  return parsed.success ? ok(parsed.data) : err(z.prettifyError(parsed.error))
}

/** @returns a trace drawn from a seed: Poisson arrivals, skewed popularity; the same seed gives the same trace */
export function drawTrace (draw: TraceDrawOptions): TraceLine[] {
  const random = new Random(draw.seed, 'load')
  const ranks = new ZipfRanks(draw.models.length, draw.skew)
  const meanGap = MILLISECONDS_PER_SECOND / draw.requestsPerSecond
  const lines: TraceLine[] = []
  let at = random.exponential(meanGap)
  while (at < draw.seconds * MILLISECONDS_PER_SECOND) {
    const [team = '', adapter = '', version] = (draw.models[ranks.draw(random)] ?? '').split(/[/@]/)
    lines.push({
      at_ms: at,
      team,
      adapter,
      ...(version === undefined ? {} : { version }),
      class: draw.priorityClass,
      prompt_tokens: draw.promptTokens,
      output_tokens: draw.outputTokens,
      idempotent: random.unit() >= draw.onceShare
    })
    at += random.exponential(meanGap)
  }
  return lines
}
