/** Traces: which request comes when. */
import { createReadStream } from 'node:fs'
import { createInterface } from 'node:readline'
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand'
import type { RandomGenerator } from 'pure-rand'
import { z } from 'zod'

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

/** One line of a trace; the names are those of the file. */
export type TraceLine = z.infer<typeof traceLineSchema>

/** What a trace is drawn from. */
export interface TraceDraw {
  readonly seed: number
  readonly requestsPerSecond: number
  readonly seconds: number
  /** `team/adapter` or `team/adapter@version`, the most popular first. */
  readonly models: readonly string[]
  /** Popularity of the model at rank r is 1 / r ** skew. */
  readonly skew: number
  readonly promptTokens: number
  readonly outputTokens: number
  /** Share of requests that may run at most once, 0 to 1. */
  readonly onceShare: number
  readonly priorityClass: string
}

const RANDOM_STEPS = 2 ** 30

/**
 * Reads a trace.
 *
 * @param file - JSON lines
 * @returns its lines in the order of their times, or the first line that is none
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

/** @returns the line, or why it is none */
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
export function drawTrace (draw: TraceDraw): TraceLine[] {
  const random = xoroshiro128plus(draw.seed)
  const chooseModel = modelChooser(draw)
  const lines: TraceLine[] = []
  let at = nextGap(random, draw.requestsPerSecond)
  while (at < draw.seconds * 1000) {
    const [team = '', adapter = '', version] = chooseModel(uniform(random)).split(/[/@]/)
    lines.push({
      at_ms: at,
      team,
      adapter,
      ...(version === undefined ? {} : { version }),
      class: draw.priorityClass,
      prompt_tokens: draw.promptTokens,
      output_tokens: draw.outputTokens,
      idempotent: uniform(random) >= draw.onceShare
    })
    at += nextGap(random, draw.requestsPerSecond)
  }
  return lines
}

function modelChooser (draw: TraceDraw): (share: number) => string {
  const weights = draw.models.map((_, index) => 1 / (index + 1) ** draw.skew)
  const total = weights.reduce((sum, weight) => sum + weight, 0)
  return (share) => {
    let left = share * total
    const found = weights.findIndex((weight) => {
      left -= weight
      return left < 0
    })
    return draw.models.at(found) ?? ''
  }
}

function nextGap (random: RandomGenerator, perSecond: number): number {
  return -Math.log(1 - uniform(random)) * 1000 / perSecond
}

/** @returns a number from 0 to below 1 */
function uniform (random: RandomGenerator): number {
  return unsafeUniformIntDistribution(0, RANDOM_STEPS - 1, random) / RANDOM_STEPS
}
