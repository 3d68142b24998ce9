/** What single requests look like. */
import type { Random } from './random.js'
import type { TraceRequest } from './trace.js'

/** An adapter and its team. */
export interface AdapterName {
  readonly team: string
  readonly adapter: string
}

/** Lengths of requests. */
export interface RequestShape {
  readonly meanPromptTokens: number
  readonly meanOutputTokens: number
  /** Share of the requests of the class `batch`; the others are `interactive`. */
  readonly batchShare: number
}

/** A short lookup or note. */
export const DEFAULT_REQUEST_SHAPE: RequestShape = { meanPromptTokens: 200, meanOutputTokens: 80, batchShare: 0.2 }

const MINIMUM_TOKENS = 8
const MAXIMUM_MULTIPLE_OF_MEAN = 4
const NOT_IDEMPOTENT_SHARE = 0.05

/**
 * @param random - where lengths come from
 * @param atMilliseconds - when it comes
 * @param name - the adapter
 * @param shape - mean lengths
 */
export function generateRequest (random: Random, atMilliseconds: number, name: AdapterName, shape: RequestShape): TraceRequest {
  return {
    atMilliseconds,
    team: name.team,
    adapter: name.adapter,
    version: '1',
    priorityClass: random.unit() < shape.batchShare ? 'batch' : 'interactive',
    promptTokens: tokens(random, shape.meanPromptTokens),
    outputTokens: tokens(random, shape.meanOutputTokens),
    idempotent: random.unit() >= NOT_IDEMPOTENT_SHARE
  }
}

/**
 * @param teams - number of teams
 * @param count - number of adapters, dealt to the teams in random order
 */
export function generateAdapters (random: Random, teams: number, count: number): AdapterName[] {
  const names = Array.from({ length: count }, (_, index) => ({ team: `team-${index % teams}`, adapter: `adapter-${index}` }))
  return random.shuffle(names)
}

function tokens (random: Random, mean: number): number {
  const drawn = Math.round(random.exponential(mean - MINIMUM_TOKENS)) + MINIMUM_TOKENS
  return Math.min(drawn, mean * MAXIMUM_MULTIPLE_OF_MEAN)
}
