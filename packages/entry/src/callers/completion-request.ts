/** Parses completion requests: the fields of the OpenAI request formats that limpetwinch uses. Other fields are ignored. */
import { err, ok } from 'neverthrow'
import type { Result } from 'neverthrow'
import { z } from 'zod'
import { LimpetwinchError } from '@limpetwinch/core'

const DEFAULT_MAXIMUM_TOKENS = 256
const MAXIMUM_TOKENS = 131_072
const MAXIMUM_MESSAGES = 4_096
/**
 * Assumed number of characters per token, which estimates the prompt tokens without the tokenizer of the model. The engine's
 * own count replaces the estimate at the end of the run.
 */
const CHARACTERS_PER_TOKEN = 4

const maximumTokens = z.int().min(1).max(MAXIMUM_TOKENS)
const commonFields = {
  model: z.string().min(1).max(256),
  stream: z.boolean().nullish(),
  temperature: z.number().min(0).max(2).nullish(),
  seed: z.int().min(0).max(Number.MAX_SAFE_INTEGER).nullish(),
  max_tokens: maximumTokens.nullish(),
  max_completion_tokens: maximumTokens.nullish(),
  n: z.literal(1, 'only one answer is made for each request').nullish()
}
const contentPart = z.looseObject({ type: z.literal('text', 'only text parts are served'), text: z.string() })
const chatSchema = z.looseObject({
  ...commonFields,
  messages: z.array(z.looseObject({
    role: z.enum(['system', 'developer', 'user', 'assistant', 'tool']),
    content: z.union([z.string(), z.array(contentPart)]).nullish()
  })).min(1).max(MAXIMUM_MESSAGES)
})
const textSchema = z.looseObject({ ...commonFields, prompt: z.string() })

/** Format of a completion request: a list of chat messages or a text prompt. */
export type CompletionForm = 'chat' | 'text'

/** A validated completion request. */
export interface CompletionRequest {
  readonly form: CompletionForm
  readonly model: string
  readonly prompt: string
  readonly promptTokens: number
  readonly maximumTokens: number
  readonly stream: boolean
  readonly temperature: number | undefined
  readonly seed: number | undefined
}

/**
 * @param form - the format of the request, as given by the path that was called
 * @param body - the parsed JSON body
 * @returns the request, or the error `invalid-request` that names the invalid field
 */
export function parseCompletion (form: CompletionForm, body: unknown): Result<CompletionRequest, LimpetwinchError> {
  if (form === 'chat') return check(chatSchema, body).map((fields) => build(form, fields, promptOf(fields.messages)))
  return check(textSchema, body).map((fields) => build(form, fields, fields.prompt))
}

type CommonFields = z.infer<z.ZodObject<typeof commonFields>>

function check<Fields> (schema: z.ZodType<Fields>, body: unknown): Result<Fields, LimpetwinchError> {
  const parsed = schema.safeParse(body)
  if (parsed.success) return ok(parsed.data)
  const issue = parsed.error.issues[0]
  const where = issue === undefined || issue.path.length === 0 ? 'body' : issue.path.join('.')
  return err(new LimpetwinchError('invalid-request', { where, reason: issue?.message ?? 'is not valid' }))
}

function build (form: CompletionForm, fields: CommonFields, prompt: string): CompletionRequest {
  return {
    form,
    model: fields.model,
    prompt,
    promptTokens: Math.max(1, Math.ceil(prompt.length / CHARACTERS_PER_TOKEN)),
    maximumTokens: fields.max_completion_tokens ?? fields.max_tokens ?? DEFAULT_MAXIMUM_TOKENS,
    stream: fields.stream ?? false,
    temperature: fields.temperature ?? undefined,
    seed: fields.seed ?? undefined
  }
}

function promptOf (messages: z.infer<typeof chatSchema>['messages']): string {
  const lines = messages.map((message) => `${message.role}: ${textOf(message.content)}`)
  return `${lines.join('\n')}\nassistant:`
}

function textOf (content: string | { text: string }[] | null | undefined): string {
  if (content === null || content === undefined) return ''
  return typeof content === 'string' ? content : content.map((part) => part.text).join('')
}
