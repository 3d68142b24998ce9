/** Sample requests of the development deployment, each with its expected response. */
import { request } from 'undici'
import { expectedAnswer } from '../engine/answer-text.js'
import { SERVICE_NAME } from './sample-settings.js'

/** An entry instance that receives sample requests. */
export interface SampleTarget {
  readonly name: string
  readonly url: string
  readonly key: string
}

/** Result of one sample request. */
export interface SampleOutcome {
  readonly passed: boolean
  /** One line to print. */
  readonly line: string
}

interface SampleQuestion {
  readonly form: 'chat' | 'text'
  readonly stream: boolean
  readonly model: string
  /** Adapter that must serve the request, as `team/adapter@version`. */
  readonly servedBy: string
  readonly prompt: string
}

interface Answer {
  readonly status: number
  readonly servedBy: string
  readonly text: string
  /** Whether the complete response was received; a stream must end with its end mark. */
  readonly whole: boolean
  readonly problem: string
}

const MAXIMUM_TOKENS = 8
/** Seed of all sample requests; without a seed the response text differs each time. */
const SEED = 7
const RESPONSE_TIMEOUT_MILLISECONDS = 30_000

const QUESTIONS: readonly SampleQuestion[] = [
  { form: 'chat', stream: false, model: 'athletics/justification@1', servedBy: 'athletics/justification@1', prompt: 'Rank the 800 m.' },
  { form: 'chat', stream: true, model: 'athletics/justification', servedBy: 'athletics/justification@2', prompt: 'Rank the 800 m.' },
  { form: 'text', stream: false, model: 'athletics/eligibility', servedBy: 'athletics/eligibility@1', prompt: 'May she enter?' },
  { form: 'text', stream: true, model: 'listings/blurb@3', servedBy: 'listings/blurb@3', prompt: 'Football at eight.' }
]

/**
 * Sends the sample requests to one instance, one after another.
 *
 * @param instance - instance that receives the requests
 * @returns the result of each request
 */
export async function sendSamples (instance: SampleTarget): Promise<SampleOutcome[]> {
  const outcomes: SampleOutcome[] = []
  for (const question of QUESTIONS) outcomes.push(await catchFailure(instance, labelOf(question), () => askModel(instance, question)))
  outcomes.push(await catchFailure(instance, 'plain service', () => askService(instance)))
  return outcomes
}

async function catchFailure (instance: SampleTarget, label: string, ask: () => Promise<SampleOutcome>): Promise<SampleOutcome> {
  try {
    return await ask()
  } catch (problem) {
    return outcomeOf(instance, label, false, problem instanceof Error ? problem.message : String(problem))
  }
}

async function askModel (instance: SampleTarget, question: SampleQuestion): Promise<SampleOutcome> {
  const answer = await send(instance, question)
  const adapter = question.servedBy
  const prompt = question.form === 'chat' ? `user: ${question.prompt}\nassistant:` : question.prompt
  const expected = expectedAnswer({ adapter, prompt, seed: SEED }, MAXIMUM_TOKENS)
  const passed = answer.status === 200 && answer.whole && answer.servedBy === adapter && answer.text === expected
  const detail = answer.status === 200
    ? `served by ${answer.servedBy}: "${answer.text}"${passed ? '' : ` (expected ${adapter}: "${expected}")`}`
    : `status ${answer.status}: ${answer.problem}`
  return outcomeOf(instance, labelOf(question), passed, detail)
}

async function send (instance: SampleTarget, { form, stream, model, prompt }: SampleQuestion): Promise<Answer> {
  const content = form === 'chat' ? { messages: [{ role: 'user', content: prompt }] } : { prompt }
  const path = form === 'chat' ? '/v1/chat/completions' : '/v1/completions'
  const response = await request(instance.url + path, {
    method: 'POST',
    headers: { authorization: `Bearer ${instance.key}`, 'content-type': 'application/json' },
    body: JSON.stringify({ model, max_tokens: MAXIMUM_TOKENS, seed: SEED, stream, ...content }),
    signal: AbortSignal.timeout(RESPONSE_TIMEOUT_MILLISECONDS)
  })
  const body = await response.body.text()
  if (response.statusCode !== 200) return { status: response.statusCode, servedBy: '', text: '', whole: false, problem: body }
  const { 'x-limpetwinch-team': team, 'x-limpetwinch-adapter': adapter, 'x-limpetwinch-version': version } = response.headers
  const servedBy = `${String(team)}/${String(adapter)}@${String(version)}`
  const documents = stream ? streamDocuments(body) : [body]
  return { status: 200, servedBy, text: documents.map(textOf).join(''), whole: !stream || body.endsWith('data: [DONE]\n\n'), problem: '' }
}

/** @returns the JSON documents of a stream, without the end mark */
function streamDocuments (body: string): string[] {
  return body.split('\n\n')
    .filter((event) => event.startsWith('data: {'))
    .map((event) => event.slice('data: '.length))
}

interface Choice {
  readonly text?: string
  readonly message?: { readonly content?: string }
  readonly delta?: { readonly content?: string }
}

function textOf (document: string): string {
  const [choice] = (JSON.parse(document) as { choices?: Choice[] }).choices ?? []
  return choice?.text ?? choice?.message?.content ?? choice?.delta?.content ?? ''
}

async function askService (instance: SampleTarget): Promise<SampleOutcome> {
  const response = await request(`${instance.url}/services/${SERVICE_NAME}/schedule?day=1`, {
    headers: { authorization: `Bearer ${instance.key}`, 'x-limpetwinch-team': 'listings' },
    signal: AbortSignal.timeout(RESPONSE_TIMEOUT_MILLISECONDS)
  })
  const body = await response.body.text()
  if (response.statusCode !== 200) return outcomeOf(instance, 'plain service', false, `status ${response.statusCode}: ${body}`)
  const echo = JSON.parse(body) as { endpoint: string, method: string, path: string }
  const passed = echo.method === 'GET' && echo.path === '/schedule?day=1'
  return outcomeOf(instance, 'plain service', passed, `answered by ${echo.endpoint}: ${echo.method} ${echo.path}`)
}

function labelOf ({ form, stream, model }: SampleQuestion): string {
  return `${form}, ${stream ? 'streamed' : 'whole'}, ${model}`
}

function outcomeOf (instance: SampleTarget, label: string, passed: boolean, detail: string): SampleOutcome {
  return { passed, line: `${passed ? 'ok    ' : 'FAILED'} ${instance.name} | ${label} | ${detail}` }
}
