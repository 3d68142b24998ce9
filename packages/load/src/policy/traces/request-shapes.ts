/** Generates single requests and adapter names of a trace. */
import type { Random } from './random.js'
import type { TraceRequest } from './trace.js'

/** Names of an adapter and its team. */
export interface AdapterName {
  readonly team: string
  readonly adapter: string
}

/** Mean lengths and priority classes of the requests of a trace. */
export interface RequestShape {
  readonly meanPromptTokens: number
  readonly meanOutputTokens: number
  /** Share of the requests of the class `batch`; the others are `interactive`. */
  readonly batchShare: number
}

/** Lengths of a short request, such as a lookup or a note. */
export const DEFAULT_REQUEST_SHAPE: RequestShape = { meanPromptTokens: 200, meanOutputTokens: 80, batchShare: 0.2 }

const MINIMUM_TOKENS = 8
/** Maximum drawn length as a multiple of the mean length. */
const MAXIMUM_MULTIPLE_OF_MEAN = 4
const NOT_IDEMPOTENT_SHARE = 0.05

/**
 * @param random - source of the lengths, the class and the idempotence
 * @param atMilliseconds - arrival time
 * @param name - the adapter of the request
 * @param shape - mean lengths and share of batch requests
 * @returns the request
 */
export function generateRequest (random: Random, atMilliseconds: number, name: AdapterName, shape: RequestShape): TraceRequest {
  return {
    atMilliseconds,
    team: name.team,
    adapter: name.adapter,
    version: '1',
    priorityClass: random.unit() < shape.batchShare ? 'batch' : 'interactive',
    promptTokens: drawTokens(random, shape.meanPromptTokens),
    outputTokens: drawTokens(random, shape.meanOutputTokens),
    idempotent: random.unit() >= NOT_IDEMPOTENT_SHARE
  }
}

/**
 * @param random - source of the order
 * @param teams - number of teams
 * @param count - number of adapters, spread evenly over the teams
 * @returns the adapters in random order
 */
export function generateAdapters (random: Random, teams: number, count: number): AdapterName[] {
  const names = Array.from({ length: count }, (_, index) => ({ team: `team-${index % teams}`, adapter: `adapter-${index}` }))
  return random.shuffle(names)
}

function drawTokens (random: Random, mean: number): number {
  const drawn = Math.round(random.exponential(mean - MINIMUM_TOKENS)) + MINIMUM_TOKENS
  return Math.min(drawn, mean * MAXIMUM_MULTIPLE_OF_MEAN)
}
