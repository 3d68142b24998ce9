/** Reads the description of a request from the query of a URL. */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { z } from 'zod'
import type { DescribedRequest } from './where-answer.js'

const DEFAULT_CANDIDATES = 10
const MAXIMUM_CANDIDATES = 100
const PROMPT_PART = /^([^:,]+):(\d+)$/

const text = z.string().min(1).max(400).optional()
const count = z.coerce.number().int().min(0).optional()
const querySchema = z.strictObject({
  service: text,
  host: text,
  path: z.string().startsWith('/').max(2_000).optional(),
  model: text,
  adapter: text,
  prompt: z.string().max(10_000).refine((value) => value.split(',').every((part) => PROMPT_PART.test(part)), 'parts as ID:TOKENS, separated by commas, are expected').optional(),
  promptTokens: count,
  outputTokens: count,
  team: text,
  priority: count,
  candidates: z.coerce.number().int().min(1).max(MAXIMUM_CANDIDATES).default(DEFAULT_CANDIDATES)
}).refine(({ service, host, path }) => service !== undefined || (host !== undefined && path !== undefined), 'service, or host and path, are needed')

/** @returns the described request, or what is wrong with its description */
export function readWhereQuery (parameters: URLSearchParams): Result<DescribedRequest, string> {
  const read = querySchema.safeParse(Object.fromEntries(parameters))
  if (!read.success) return err(z.prettifyError(read.error))
  const { prompt, promptTokens, outputTokens = 0, ...rest } = read.data
  const promptParts = (prompt ?? '').split(',').flatMap((part) => {
    const [, id, tokens] = PROMPT_PART.exec(part) ?? []
    return id === undefined ? [] : [{ id, tokens: Number(tokens) }]
  })
  const sum = promptParts.reduce((total, { tokens }) => total + tokens, 0)
  const { service, host, path, model, adapter, team, priority, candidates } = rest
  return ok({ service, host, path, model, adapter, team, priority, candidates, promptParts, promptTokens: promptTokens ?? sum, outputTokens })
}
